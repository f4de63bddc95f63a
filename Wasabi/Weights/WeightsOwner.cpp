#include "Wasabi/Weights/WeightsOwner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace wasabi {

namespace {

/// Headroom of a service that no trainer uses.
constexpr std::int64_t NoTrainer = std::numeric_limits<std::int32_t>::max();

/// The tightest bound of the trainers attached to a service.
std::int64_t tightestBound(const Configuration &Of,
                           const ServiceName &Service) {
  std::int64_t bound = NoTrainer;
  for (const auto &it : Of.Attachments) {
    auto trainer = Of.Trainers.find(it.second.Trainer);
    if (it.second.Service == Service && trainer != Of.Trainers.end())
      bound = std::min<std::int64_t>(bound, trainer->second.StalenessBound);
  }
  return bound;
}

} // namespace

std::string weightsResource(const ModelName &Model) {
  return "weights/" + Model.Text;
}

std::shared_ptr<WeightsOwner> WeightsOwner::create(RolloutContext &Context,
                                                   Settings Setup) {
  return std::shared_ptr<WeightsOwner>(
      new WeightsOwner(Context, std::move(Setup)));
}

WeightsOwner::WeightsOwner(RolloutContext &Context, Settings Setup)
    : Context(Context), Setup(std::move(Setup)) {}

void WeightsOwner::start() {
  std::shared_ptr<WeightsOwner> self = shared_from_this();
  boost::asio::co_spawn(Context.Executor, pollStore(self),
                        boost::asio::detached);
  boost::asio::co_spawn(Context.Executor, tick(self), boost::asio::detached);
}

bool WeightsOwner::ownsClaim() const {
  std::shared_ptr<const FoldState> state = Context.Control.state();
  auto it = state->Claims.find(weightsResource(Setup.Model));
  return it != state->Claims.end() && it->second.Token == Setup.Fence &&
         !it->second.Released;
}

boost::asio::awaitable<void>
WeightsOwner::pollStore(std::shared_ptr<WeightsOwner> Self) {
  while (!Self->Stopped) {
    Outcome<WeightVersion> newest = co_await Context.Weights.Newest(
        Setup.Model, State.Newest, Setup.PollTimeout);
    if (!newest) {
      co_await pause(Setup.PollRetryDelay);
      continue;
    }
    if (*newest <= State.Newest)
      continue;
    State.Newest = *newest;
    Context.Events.record(
        "weights.published",
        {{"model", Setup.Model.Text}, {"version", std::to_string(*newest)}});
    planNow();
  }
}

boost::asio::awaitable<void>
WeightsOwner::tick(std::shared_ptr<WeightsOwner> Self) {
  while (!Self->Stopped) {
    planNow();
    co_await pause(Setup.TickInterval);
  }
}

std::vector<SwapTarget> WeightsOwner::targets() const {
  std::vector<SwapTarget> all;
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  auto newest = static_cast<std::int64_t>(State.Newest);
  for (const auto &it : config->Services) {
    if (it.second.Kind != ServiceKind::Engines ||
        it.second.Model != Setup.Model)
      continue;
    std::int64_t bound = tightestBound(*config, it.first);
    for (const ReportedEngine &engine : findServiceEngines(Context, it.first)) {
      std::int64_t headroom =
          static_cast<std::int64_t>(engine.Version) + bound - newest;
      all.push_back(SwapTarget{engine.Name, it.first, engine.Daemon,
                               engine.Version, engine.Running + engine.Queued,
                               headroom});
    }
  }
  return all;
}

void WeightsOwner::planNow() {
  if (State.Newest == 0 || Stopped || !ownsClaim())
    return;
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  for (const SwapOrder &it :
       planSwaps(State, targets(), config->preset(), monotonicNow()))
    send(it);
}

void WeightsOwner::send(const SwapOrder &What) {
  note("weights.order", What, "");
  Order order{What.Server, weightsResource(Setup.Model), Setup.Fence,
              Setup.Model, What.Version};
  std::shared_ptr<WeightsOwner> self = shared_from_this();
  // The answer comes on the control thread, maybe after this duty has ended.
  Context.Control.order(
      What.Daemon, std::move(order), Setup.OrderTimeout,
      [self, What, gate = Context.Gate](const Outcome<OrderAnswer> &answer) {
        gate->post([self, What, answer] { self->onAnswer(What, answer); });
      });
}

void WeightsOwner::onAnswer(const SwapOrder &Of,
                            const Outcome<OrderAnswer> &Answer) {
  TimePoint now = monotonicNow();
  if (!Answer) {
    noteFailure(State, Of.Server, now);
    note("weights.failed", Of, describe(Answer.failure()));
    return;
  }
  // The report counts, not that there was an answer.
  bool isThere = Answer->Version == Of.Version;
  noteAnswer(State, Of.Server, Answer->Version, now);
  if (isThere)
    note("weights.done", Of, "");
  else
    note("weights.failed", Of,
         "the engine reports version " + std::to_string(Answer->Version));
  planNow();
}

void WeightsOwner::note(const std::string &Kind, const SwapOrder &Of,
                        const std::string &Reason) {
  std::vector<EventField> fields{{"model", Setup.Model.Text},
                                 {"version", std::to_string(Of.Version)},
                                 {"server", Of.Server.Text},
                                 {"fence", std::to_string(Setup.Fence)}};
  if (!Reason.empty())
    fields.push_back({"reason", Reason});
  Context.Events.record(Kind, std::move(fields));
}

std::string WeightsOwner::statusJson() const {
  std::size_t swapping = 0;
  for (const auto &it : State.Servers)
    swapping += it.second.Ordered ? 1 : 0;
  return boost::json::serialize(boost::json::object{{"model", Setup.Model.Text},
                                                    {"fence", Setup.Fence},
                                                    {"newest", State.Newest},
                                                    {"swapping", swapping},
                                                    {"window", State.Window}});
}

} // namespace wasabi
