#include "StandIns/EngineRole.h"

#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <random>
#include <unordered_map>

namespace wasabi::standins {

namespace {

/// Maximum number of completion records kept; older ones are dropped and
/// counted.
constexpr std::size_t MaxRecords = 100000;
constexpr std::size_t MaxImports = 10000;
/// Target number of tokens per stream and tick, within the tick's bounds.
constexpr double TokensPerTick = 4;
constexpr double MinTickMicros = 5000;
constexpr double MaxTickMicros = 50000;
constexpr Millis FetchTimeout{600000};
constexpr Millis FetchPause{50};

/// The load at a point in time.
struct LoadSample {
  TimePoint At;
  std::uint64_t Running = 0;
  std::uint64_t Queued = 0;
};

/// A job and the progress of the coroutine that sends its tokens.
struct Sending {
  Sending(const boost::asio::any_io_executor &Executor, EngineRequest Ask)
      : Job(std::make_shared<EngineJob>(std::move(Ask))), Wake(Executor) {}
  EngineBatch::Job Job;
  Signal Wake;
  /// Number of tokens sent.
  std::uint64_t Sent = 0;
};

boost::json::array toJson(const std::vector<VersionSpan> &Spans) {
  boost::json::array all;
  for (const VersionSpan &it : Spans) {
    all.push_back(
        {{"from", it.From}, {"to", it.To}, {"weights_version", it.Version}});
  }
  return all;
}

/// Returns the name of an exported state.
std::string cacheName(std::string_view Prompt, std::uint64_t Seed) {
  return hashText(std::string(Prompt) + '\0' + std::to_string(Seed));
}

class EngineRole final : public Role,
                         public std::enable_shared_from_this<EngineRole> {
public:
  EngineRole(const boost::asio::any_io_executor &Executor,
             const EngineSettings &Settings)
      : Role({{"slow_factor", 1.0},
              {"fail_next_load", 0},
              {"wrong_version_next_load", 0},
              {"lose_order_answers", 0},
              {"hang", false},
              {"draining", false},
              {"crash_after_tokens", 0},
              {"no_version_report", false}}),
        Executor(Executor), Settings(Settings), Batch(Settings.Batch),
        Cache(Settings.Cache), Version(Settings.Version),
        ModelName(Settings.Model), Random(Settings.Seed),
        Store(http::Client::create(Executor, http::Client::Settings{})),
        Loaded(Executor) {}

  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;
  void onFaultsChanged() override;

private:
  boost::asio::awaitable<void> complete(const http::Request &Ask,
                                        const ResponderPtr &To);
  boost::asio::awaitable<void> sendStream(std::shared_ptr<Sending> Work,
                                          const ResponderPtr &To);
  boost::asio::awaitable<void> sendFullResponse(std::shared_ptr<Sending> Work,
                                                const ResponderPtr &To);
  EngineRequest readAsk(const http::Request &Ask,
                        const boost::json::object &Body) const;
  bool start(const std::shared_ptr<Sending> &Work);
  void end(const std::shared_ptr<Sending> &Work);
  std::string nextChunks(Sending &Work) const;
  boost::asio::awaitable<void> generate();
  void crashIfTold() const;

  boost::asio::awaitable<void> order(const http::Request &Ask,
                                     const ResponderPtr &To);
  boost::asio::awaitable<void> load(const boost::json::object &Body,
                                    const ResponderPtr &To);
  boost::asio::awaitable<bool> fetch(std::string Model,
                                     std::uint64_t RequestedVersion);
  std::uint64_t computeWrongVersion(std::uint64_t RequestedVersion);
  bool isStale(std::uint64_t Token) const;

  boost::json::value state();
  boost::json::value cacheEvents(std::uint64_t From) const;
  boost::json::value exportCache(const std::string &Request) const;
  void importCache(const std::string &Text);
  void recordLoad();

  const boost::asio::any_io_executor Executor;
  const EngineSettings Settings;
  EngineBatch Batch;
  PrefixCache Cache;
  std::uint64_t Version;
  std::string ModelName;
  std::string Duty = "generate";
  std::uint64_t Fence = 0;
  std::minstd_rand Random;
  std::shared_ptr<http::Client> Store;
  /// True while a weight load runs. Other loads wait for its end.
  bool Loading = false;
  Signal Loaded;
  bool Generating = false;
  /// `Batch.generated()` when the faults were last changed.
  std::uint64_t GeneratedBefore = 0;
  std::unordered_map<EngineBatch::Job, std::shared_ptr<Sending>> Active;
  std::deque<EngineBatch::Job> Records;
  std::uint64_t Dropped = 0;
  boost::json::array Orders;
  std::deque<LoadSample> Loads;
  std::unordered_map<std::string, std::uint64_t> Imports;
};

//===--- Recorded state ---------------------------------------------------===//

boost::json::value EngineRole::truth() const {
  boost::json::array completions;
  for (const EngineBatch::Job &it : Records) {
    completions.push_back({{"request", it->Ask.Request},
                           {"attempt", it->Ask.Attempt},
                           {"prompt", it->Ask.Prompt},
                           {"seed", it->Ask.Seed},
                           {"from", it->Ask.Start},
                           {"tokens", it->Position},
                           {"max_tokens", it->Ask.MaxTokens},
                           {"spans", toJson(it->Spans)},
                           {"finished", it->finished()},
                           {"started_us", it->StartedUs},
                           {"ended_us", it->EndedUs}});
  }
  boost::json::object all;
  all["name"] = Settings.Name;
  all["completions"] = std::move(completions);
  all["dropped"] = Dropped;
  all["generated"] = Batch.generated();
  all["orders"] = Orders;
  all["version"] = Version;
  all["role"] = Duty;
  return all;
}

void EngineRole::recordLoad() {
  Loads.push_back(LoadSample{monotonicNow(), Batch.running(), Batch.queued()});
  TimePoint seen = monotonicNow() - Settings.LoadReportDelay;
  // Reports the newest sample that is old enough.
  while (Loads.size() > 1 && Loads[1].At <= seen)
    Loads.pop_front();
}

boost::json::value EngineRole::state() {
  recordLoad();
  LoadSample told;
  if (Loads.front().At <= monotonicNow() - Settings.LoadReportDelay)
    told = Loads.front();
  boost::json::object state;
  state["model"] = ModelName;
  state["version"] = Version;
  state["running"] = told.Running;
  state["queued"] = told.Queued;
  state["slots"] = Settings.Batch.Slots;
  state["tokens_per_s"] = Settings.TokensPerSecond;
  state["fence"] = Fence;
  state["checks_fences"] = Settings.ChecksFences;
  state["draining"] = InjectedFaults.isOn("draining");
  state["role"] = Duty;
  return state;
}

boost::json::value EngineRole::cacheEvents(std::uint64_t From) const {
  boost::json::array events;
  std::uint64_t end = From;
  for (const CacheEvent &it : Cache.eventsSince(From, monotonicNow())) {
    events.push_back(
        {{"seq", it.Sequence}, {"prefix", it.Prefix}, {"stored", it.Stored}});
    end = it.Sequence + 1;
  }
  boost::json::object answer;
  answer["end"] = end;
  answer["events"] = std::move(events);
  return answer;
}

void EngineRole::onFaultsChanged() {
  GeneratedBefore = Batch.generated();
  for (const std::pair<const EngineBatch::Job, std::shared_ptr<Sending>> &it :
       Active)
    it.second->Wake.notify();
}

boost::asio::awaitable<void> EngineRole::answer(const http::Request &Ask,
                                                const ResponderPtr &To) {
  std::string_view path = Ask.path();
  if (InjectedFaults.isOn("hang")) {
    co_await waitForDisconnect(To);
  } else if (path == "/v1/completions") {
    co_await complete(Ask, To);
  } else if (path == "/v1/orders") {
    co_await order(Ask, To);
  } else if (path == "/v1/state") {
    co_await sendJson(To, Ok, state());
  } else if (path == "/v1/cache-events") {
    std::uint64_t from = readQuery(Ask.query("from"), "from", 0);
    co_await sendJson(To, Ok, cacheEvents(from));
  } else if (path == "/v1/kv/export") {
    std::string request = readText(readObject(Ask.Body), "request");
    boost::json::value held = exportCache(request);
    unsigned status = held.is_null() ? NotFound : Ok;
    co_await sendJson(To, status, std::move(held));
  } else if (path == "/v1/kv/import") {
    importCache(readText(readObject(Ask.Body), "kv"));
    co_await sendJson(To, Ok, boost::json::object());
  } else {
    co_await sendError(To, NotFound, "no such path");
  }
}

//===--- Completions ------------------------------------------------------===//

EngineRequest EngineRole::readAsk(const http::Request &Ask,
                                  const boost::json::object &Body) const {
  EngineRequest ask;
  ask.Request = std::string(Ask.header("X-Request-Id"));
  ask.Attempt = std::string(Ask.header("X-Attempt"));
  ask.Prompt = readText(Body, "prompt");
  ask.Seed = readNumber(Body, "seed", 0);
  ask.MaxTokens = readNumber(Body, "max_tokens");
  const boost::json::value *priority = Body.if_contains("priority");
  if (priority != nullptr && priority->is_int64())
    ask.Priority = priority->get_int64();
  const boost::json::value *resume = Body.if_contains("resume");
  if (resume != nullptr && resume->is_object())
    ask.Start = readNumber(resume->get_object(), "position");
  return ask;
}

boost::asio::awaitable<void> EngineRole::complete(const http::Request &Ask,
                                                  const ResponderPtr &To) {
  boost::json::object body = readObject(Ask.Body);
  if (readText(body, "model", ModelName) != ModelName) {
    co_await sendError(To, NotFound, "the model is not loaded");
    co_return;
  }
  if (InjectedFaults.isOn("draining")) {
    co_await sendError(To, Unavailable, "draining", 1);
    co_return;
  }
  std::shared_ptr<Sending> work =
      std::make_shared<Sending>(Executor, readAsk(Ask, body));
  work->Sent = work->Job->Ask.Start;
  if (!start(work)) {
    co_await sendError(To, Unavailable, "the queue is full", 1);
    co_return;
  }
  // A closed connection cancels the job.
  To->onGone([self = shared_from_this(), work] {
    self->end(work);
    work->Wake.notify();
  });
  if (readBool(body, "stream", false))
    co_await sendStream(work, To);
  else
    co_await sendFullResponse(work, To);
  end(work);
}

bool EngineRole::start(const std::shared_ptr<Sending> &Work) {
  EngineJob &job = *Work->Job;
  const EngineRequest &ask = job.Ask;
  std::size_t held = Cache.matchAndInsert(ask.Prompt, monotonicNow());
  std::size_t bytes = ask.Prompt.size() - held + ask.Start * TokenBytes;
  const std::unordered_map<std::string, std::uint64_t>::iterator imported =
      Imports.find(cacheName(ask.Prompt, ask.Seed));
  if (imported != Imports.end() && imported->second >= ask.Start)
    bytes = 0;
  // Milliseconds per 1,000 bytes equal microseconds per byte.
  job.RemainingPrefillMicros =
      static_cast<double>(bytes) * Settings.PrefillMillis *
      std::max(1.0, InjectedFaults.real("slow_factor"));
  job.StartedUs = wallMicros();
  if (!Batch.submit(Work->Job))
    return false;
  Active[Work->Job] = Work;
  Records.push_back(Work->Job);
  if (Records.size() > MaxRecords) {
    Records.pop_front();
    ++Dropped;
  }
  recordLoad();
  if (!Generating) {
    Generating = true;
    boost::asio::co_spawn(
        Executor, [self = shared_from_this()] { return self->generate(); },
        boost::asio::detached);
  }
  return true;
}

void EngineRole::end(const std::shared_ptr<Sending> &Work) {
  EngineJob &job = *Work->Job;
  job.Ended = true;
  if (job.EndedUs == 0)
    job.EndedUs = wallMicros();
  Batch.remove(Work->Job);
  Active.erase(Work->Job);
  recordLoad();
}

boost::asio::awaitable<void> EngineRole::generate() {
  TimePoint last = monotonicNow();
  while (Batch.running() > 0) {
    double slow = std::max(1.0, InjectedFaults.real("slow_factor"));
    double rate = Settings.TokensPerSecond / slow;
    constexpr double MicrosPerSecond = 1e6;
    double tick = std::clamp(TokensPerTick * MicrosPerSecond / rate,
                             MinTickMicros, MaxTickMicros);
    co_await sleepFor(Micros(static_cast<std::int64_t>(tick)));
    TimePoint now = monotonicNow();
    Micros elapsed = now - last;
    last = now;
    if (InjectedFaults.isOn("hang"))
      continue;
    for (const EngineBatch::Job &it : Batch.advance(elapsed, rate, Version)) {
      if (it->Ended)
        it->EndedUs = wallMicros();
      const std::unordered_map<EngineBatch::Job,
                               std::shared_ptr<Sending>>::iterator sending =
          Active.find(it);
      if (sending != Active.end())
        sending->second->Wake.notify();
    }
    recordLoad();
    crashIfTold();
  }
  Generating = false;
}

void EngineRole::crashIfTold() const {
  std::uint64_t most = InjectedFaults.number("crash_after_tokens");
  if (most > 0 && Batch.generated() - GeneratedBefore >= most)
    std::_Exit(EXIT_FAILURE);
}

std::string EngineRole::nextChunks(Sending &Work) const {
  const EngineJob &job = *Work.Job;
  std::string events;
  for (const VersionSpan &it : job.Spans) {
    if (it.To <= Work.Sent)
      continue;
    // Each chunk holds tokens of one version.
    events += "data: {\"position\":" + std::to_string(Work.Sent);
    events += ",\"tokens\":" + std::to_string(it.To - Work.Sent);
    events += ",\"text\":\"";
    for (std::uint64_t i = Work.Sent; i < it.To; ++i)
      job.Writer.append(events, i, it.Version);
    events += '"';
    if (!InjectedFaults.isOn("no_version_report"))
      events += ",\"weights_version\":" + std::to_string(it.Version);
    events += "}\n\n";
    Work.Sent = it.To;
  }
  return events;
}

boost::asio::awaitable<void>
EngineRole::sendStream(std::shared_ptr<Sending> Work, const ResponderPtr &To) {
  http::Response head;
  head.Headers.push_back(http::Header{"Content-Type", "text/event-stream"});
  co_await To->begin(std::move(head));
  const EngineJob &job = *Work->Job;
  while (!To->gone()) {
    while (Work->Sent >= job.Position && !job.Ended && !To->gone())
      co_await Work->Wake.wait();
    bool last = job.Ended;
    std::string events = nextChunks(*Work);
    if (last && job.finished()) {
      events +=
          "data: {\"done\":true,\"tokens\":" + std::to_string(job.Position) +
          ",\"finish\":\"length\"}\n\ndata: [DONE]\n\n";
    }
    Outcome<Done> sent = co_await To->write(std::move(events));
    if (!sent || last)
      break;
  }
  if (job.finished())
    co_await To->end();
}

boost::asio::awaitable<void>
EngineRole::sendFullResponse(std::shared_ptr<Sending> Work,
                             const ResponderPtr &To) {
  const EngineJob &job = *Work->Job;
  while (!job.Ended && !To->gone())
    co_await Work->Wake.wait();
  if (!job.finished())
    co_return;
  std::string text = spansText(job.Ask.Prompt, job.Ask.Seed, job.Spans);
  boost::json::object answer;
  answer["text"] = text;
  answer["tokens"] = job.Position;
  if (!InjectedFaults.isOn("no_version_report"))
    answer["spans"] = toJson(job.Spans);
  answer["finish"] = "length";
  co_await sendJson(To, Ok, std::move(answer));
}

//===--- Orders -----------------------------------------------------------===//

bool EngineRole::isStale(std::uint64_t Token) const {
  return Settings.ChecksFences && Token < Fence;
}

boost::asio::awaitable<void> EngineRole::order(const http::Request &Ask,
                                               const ResponderPtr &To) {
  boost::json::object body = readObject(Ask.Body);
  std::uint64_t token = readNumber(body, "fence");
  std::string kind = readText(body, "order");
  boost::json::object record = body;
  record["at_us"] = wallMicros();
  record["stale"] = token < Fence;
  Orders.push_back(std::move(record));
  if (isStale(token)) {
    boost::json::object refusal;
    refusal["fence"] = Fence;
    co_await sendJson(To, Conflict, std::move(refusal));
    co_return;
  }
  Fence = std::max(Fence, token);
  if (kind == "load") {
    co_await load(body, To);
  } else if (kind == "role") {
    Duty = readText(body, "role");
    boost::json::object done;
    done["role"] = Duty;
    co_await sendJson(To, Ok, std::move(done));
  } else {
    throw InvalidBody("'order' is neither load nor role");
  }
}

boost::asio::awaitable<void> EngineRole::load(const boost::json::object &Body,
                                              const ResponderPtr &To) {
  std::uint64_t token = readNumber(Body, "fence");
  std::uint64_t wanted = readNumber(Body, "version");
  std::string model = readText(Body, "model", ModelName);
  while (Loading)
    co_await Loaded.wait();
  // A newer lease holder may have sent its order in the meantime.
  if (isStale(token)) {
    boost::json::object refusal;
    refusal["fence"] = Fence;
    co_await sendJson(To, Conflict, std::move(refusal));
    co_return;
  }
  Loading = true;
  bool fetched = co_await fetch(model, wanted);
  Loading = false;
  Loaded.notify();

  if (InjectedFaults.consumeOne("fail_next_load")) {
    Version = computeWrongVersion(wanted);
    fetched = false;
  } else if (fetched && InjectedFaults.consumeOne("wrong_version_next_load")) {
    Version = computeWrongVersion(wanted);
  } else if (fetched) {
    Version = wanted;
    ModelName = model;
  }
  if (InjectedFaults.consumeOne("lose_order_answers")) {
    To->abort();
    co_return;
  }
  if (!fetched) {
    co_await sendError(To, InternalError, "the load failed");
    co_return;
  }
  boost::json::object done;
  done["version"] = wanted;
  co_await sendJson(To, Ok, std::move(done));
}

std::uint64_t EngineRole::computeWrongVersion(std::uint64_t RequestedVersion) {
  // The engine keeps its version or loads the one before the requested version.
  bool stays = Random() % 2 == 0;
  return stays || RequestedVersion == 0 ? Version : RequestedVersion - 1;
}

boost::asio::awaitable<bool> EngineRole::fetch(std::string Model,
                                               std::uint64_t RequestedVersion) {
  if (Settings.Store.empty()) {
    co_await sleepFor(Settings.LoadTime);
    co_return true;
  }
  for (;;) {
    http::Request ask;
    ask.Method = "GET";
    ask.Target = "/v1/models/" + Model + "/versions/" +
                 std::to_string(RequestedVersion) + "/blob";
    Outcome<http::Response> got =
        co_await Store->call(Settings.Store, std::move(ask), FetchTimeout);
    if (!got)
      co_return false;
    if (got->Status != TooManyRequests)
      co_return got->Status == Ok;
    co_await sleepFor(FetchPause);
  }
}

//===--- KV cache ---------------------------------------------------------===//

boost::json::value EngineRole::exportCache(const std::string &Request) const {
  // Only the last attempt of a request counts.
  for (auto it = Records.rbegin(); it != Records.rend(); ++it) {
    const EngineJob &job = **it;
    if (job.Ask.Request != Request)
      continue;
    boost::json::object held;
    held["kv"] = cacheName(job.Ask.Prompt, job.Ask.Seed) + ":" +
                 std::to_string(job.Position);
    return held;
  }
  return nullptr;
}

void EngineRole::importCache(const std::string &Text) {
  std::size_t colon = Text.find(':');
  if (colon == std::string::npos)
    throw InvalidBody("'kv' is not an export");
  if (Imports.size() >= MaxImports)
    Imports.clear();
  Imports[Text.substr(0, colon)] = readQuery(Text.substr(colon + 1), "kv", 0);
}

} // namespace

std::shared_ptr<Role>
createEngineRole(const boost::asio::any_io_executor &Executor,
                 const EngineSettings &Settings) {
  return std::make_shared<EngineRole>(Executor, Settings);
}

} // namespace wasabi::standins
