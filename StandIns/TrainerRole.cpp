#include "StandIns/TrainerRole.h"

#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabi::standins {

namespace {

/// Maximum number of sample records kept; older ones are dropped and counted.
constexpr std::size_t MaxRecords = 200000;
constexpr Millis StoreTimeout{2000};
constexpr Millis StorePause{100};

std::vector<VersionSpan> readSpans(const boost::json::object &Sample) {
  std::vector<VersionSpan> spans;
  const boost::json::value *all = Sample.if_contains("spans");
  if (all == nullptr || !all->is_array())
    throw InvalidBody("'spans' is not a list");
  for (const boost::json::value &it : all->get_array()) {
    if (!it.is_object())
      throw InvalidBody("'spans' has a member that is not an object");
    const boost::json::object &span = it.get_object();
    spans.push_back(VersionSpan{readNumber(span, "from"),
                                readNumber(span, "to"),
                                readNumber(span, "weights_version")});
  }
  return spans;
}

TrainerSample readSample(const boost::json::value &Given) {
  if (!Given.is_object())
    throw InvalidBody("'samples' has a member that is not an object");
  const boost::json::object &from = Given.get_object();
  return TrainerSample{readText(from, "slot"), readText(from, "text"),
                       readNumber(from, "tokens"), readSpans(from),
                       readNumber(from, "seed")};
}

std::vector<TrainerSample> readSamples(const boost::json::object &Body) {
  const boost::json::value *all = Body.if_contains("samples");
  if (all == nullptr || !all->is_array())
    throw InvalidBody("'samples' is not a list");
  std::vector<TrainerSample> samples;
  samples.reserve(all->get_array().size());
  for (const boost::json::value &it : all->get_array())
    samples.push_back(readSample(it));
  return samples;
}

boost::json::array toJson(const std::vector<VersionSpan> &Spans) {
  boost::json::array all;
  for (const VersionSpan &it : Spans) {
    all.push_back(
        {{"from", it.From}, {"to", it.To}, {"weights_version", it.Version}});
  }
  return all;
}

boost::json::object toJson(const DeliveredSample &Record) {
  boost::json::object sample;
  sample["delivery"] = Record.Delivery;
  sample["fence"] = Record.Fence;
  sample["slot"] = Record.Slot;
  sample["spans"] = toJson(Record.Spans);
  sample["newest_at_arrival"] = Record.NewestAtArrival;
  sample["tokens"] = Record.Tokens;
  sample["text_ok"] = Record.TextMatches;
  sample["taken"] = Record.IsAccepted;
  sample["fault"] = toText(Record.Fault).data();
  return sample;
}

class TrainerRole final : public Role,
                          public std::enable_shared_from_this<TrainerRole> {
public:
  TrainerRole(const boost::asio::any_io_executor &Executor,
              const TrainerSettings &Settings)
      : Role({{"slow_ms", 0}, {"lose_answers", 0}, {"outage", false}}),
        Executor(Executor), Settings(Settings), Simulator(Settings.Simulator),
        Store(http::Client::create(Executor, http::Client::Settings{})),
        Opened(Executor), Whole(Executor) {}

  void start();
  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;

private:
  boost::asio::awaitable<void> train();
  boost::asio::awaitable<void> publish(std::uint64_t Version);
  boost::asio::awaitable<void> sendStep(const http::Request &Ask,
                                        const ResponderPtr &To);
  boost::asio::awaitable<void> takeDelivery(const http::Request &Ask,
                                            const ResponderPtr &To);
  boost::json::object deliverAll(const boost::json::object &Body);
  boost::json::object stepNow() const;
  bool hasEnded() const;
  void remember(DeliveredSample Record);

  const boost::asio::any_io_executor Executor;
  const TrainerSettings Settings;
  TrainerSimulator Simulator;
  std::shared_ptr<http::Client> Store;
  Signal Opened;
  Signal Whole;
  std::deque<DeliveredSample> Records;
  std::uint64_t Dropped = 0;
};

void TrainerRole::start() {
  Simulator.openStep(wallMicros());
  boost::asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->train(); },
      boost::asio::detached);
}

bool TrainerRole::hasEnded() const {
  return Settings.Steps > 0 && Simulator.steps().size() >= Settings.Steps &&
         Simulator.steps().back().TrainedUs > 0;
}

boost::asio::awaitable<void> TrainerRole::train() {
  co_await publish(Simulator.newest());
  while (!hasEnded()) {
    while (!Simulator.isStepComplete())
      co_await Whole.wait();
    co_await sleepFor(Settings.TrainingTime);
    co_await publish(Simulator.newest() + 1);
    Simulator.publish(wallMicros());
    if (!hasEnded())
      Simulator.openStep(wallMicros());
    Opened.notify();
  }
}

boost::asio::awaitable<void> TrainerRole::publish(std::uint64_t Version) {
  bool published = Settings.Store.empty();
  while (!published) {
    http::Request ask;
    ask.Method = "POST";
    ask.Target = "/v1/models/" + Settings.Simulator.Model + "/versions";
    ask.Body = "{\"version\":" + std::to_string(Version) + "}";
    Outcome<http::Response> answer =
        co_await Store->call(Settings.Store, std::move(ask), StoreTimeout);
    published = answer && answer->Status == Created;
    if (!published)
      co_await sleepFor(StorePause);
  }
}

boost::json::object TrainerRole::stepNow() const {
  boost::json::array groups;
  boost::json::array have;
  boost::json::object now;
  bool ended = hasEnded();
  if (!ended) {
    for (const TrainerGroup &it : Simulator.groups()) {
      groups.push_back({{"group", it.Group},
                        {"prompt", it.Prompt},
                        {"samples", it.Samples},
                        {"max_tokens", it.MaxTokens},
                        {"seed", it.Seed}});
    }
    have = boost::json::array(Simulator.held().begin(), Simulator.held().end());
  }
  now["step"] = Simulator.step() + (ended ? 1 : 0);
  now["model"] = Settings.Simulator.Model;
  now["opened_us"] = ended ? Simulator.steps().back().TrainedUs
                           : Simulator.steps().back().OpenedUs;
  now["newest"] = Simulator.newest();
  now["groups"] = std::move(groups);
  now["have"] = std::move(have);
  now["fence"] = Simulator.fence();
  now["finished"] = ended;
  return now;
}

boost::asio::awaitable<void> TrainerRole::sendStep(const http::Request &Ask,
                                                   const ResponderPtr &To) {
  std::uint64_t after = readQuery(Ask.query("after"), "after", 0);
  std::uint64_t wait = readQuery(Ask.query("wait_ms"), "wait_ms", 0);
  TimePoint deadline = monotonicNow() + Millis(wait);
  while (Simulator.step() <= after && !hasEnded() &&
         monotonicNow() < deadline && !To->gone())
    co_await Opened.wait(deadline);
  if (InjectedFaults.isOn("outage")) {
    To->abort();
    co_return;
  }
  co_await sendJson(To, Ok, stepNow());
}

boost::json::object TrainerRole::deliverAll(const boost::json::object &Body) {
  std::string delivery = readText(Body, "delivery");
  std::uint64_t fence = readNumber(Body, "fence");
  // Parses all samples before accepting any.
  std::vector<TrainerSample> samples = readSamples(Body);
  boost::json::array taken;
  boost::json::array refused;
  for (const TrainerSample &it : samples) {
    DeliveredSample record =
        Simulator.deliver(delivery, fence, it, wallMicros());
    if (record.IsAccepted) {
      taken.emplace_back(it.Slot);
    } else {
      refused.push_back(
          {{"slot", it.Slot}, {"reason", toText(record.Fault).data()}});
    }
    remember(std::move(record));
  }
  if (Simulator.isStepComplete())
    Whole.notify();
  boost::json::object answer;
  answer["newest"] = Simulator.newest();
  answer["taken"] = std::move(taken);
  answer["refused"] = std::move(refused);
  answer["step_whole"] = Simulator.isStepComplete();
  return answer;
}

boost::asio::awaitable<void> TrainerRole::takeDelivery(const http::Request &Ask,
                                                       const ResponderPtr &To) {
  boost::json::object body = readObject(Ask.Body);
  readSamples(body);
  if (Simulator.rejectsFencingToken(readNumber(body, "fence"))) {
    boost::json::object refusal;
    refusal["fence"] = Simulator.fence();
    co_await sendJson(To, Conflict, std::move(refusal));
    co_return;
  }
  boost::json::object answer = deliverAll(body);
  if (InjectedFaults.consumeOne("lose_answers")) {
    To->abort();
    co_return;
  }
  co_await sendJson(To, Ok, std::move(answer));
}

void TrainerRole::remember(DeliveredSample Record) {
  Records.push_back(std::move(Record));
  if (Records.size() <= MaxRecords)
    return;
  Records.pop_front();
  ++Dropped;
}

boost::asio::awaitable<void> TrainerRole::answer(const http::Request &Ask,
                                                 const ResponderPtr &To) {
  if (Ask.Method == "GET" && Ask.path() == "/v1/step")
    co_await sendStep(Ask, To);
  else if (Ask.Method == "POST" && Ask.path() == "/v1/deliveries")
    co_await takeDelivery(Ask, To);
  else
    co_await sendError(To, NotFound, "no such path");
}

boost::json::value TrainerRole::truth() const {
  std::uint64_t now = wallMicros();
  boost::json::array steps;
  for (const TrainerStep &it : Simulator.steps()) {
    steps.push_back({{"step", it.Step},
                     {"opened_us", it.OpenedUs},
                     {"whole_us", it.CompletedUs},
                     {"trained_us", it.TrainedUs}});
  }
  boost::json::array deliveries;
  for (const DeliveredSample &it : Records)
    deliveries.push_back(toJson(it));
  boost::json::object refused;
  for (const std::pair<const RejectReason, std::uint64_t> &it :
       Simulator.refused())
    refused[toText(it.first).data()] = it.second;
  boost::json::object all;
  all["idle_us"] = Simulator.idleUs(now);
  all["training_us"] = Simulator.trainingUs(now);
  all["steps"] = std::move(steps);
  all["deliveries"] = std::move(deliveries);
  all["dropped"] = Dropped;
  all["duplicates"] = Simulator.counts().Duplicates;
  all["stale"] = Simulator.counts().Stale;
  all["mislabelled"] = Simulator.counts().Mislabelled;
  all["unknown"] = Simulator.counts().Unknown;
  all["refused"] = std::move(refused);
  all["newest"] = Simulator.newest();
  all["finished"] = hasEnded();
  return all;
}

} // namespace

std::shared_ptr<Role>
createTrainerRole(const boost::asio::any_io_executor &Executor,
                  const TrainerSettings &Settings) {
  std::shared_ptr<TrainerRole> role =
      std::make_shared<TrainerRole>(Executor, Settings);
  role->start();
  return role;
}

} // namespace wasabi::standins
