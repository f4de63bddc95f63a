#include "Wasabi/Weights/WeightsOwner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace wasabi {

namespace {

/// Staleness bound of a service without a trainer.
constexpr std::int64_t NoTrainerBound =
    std::numeric_limits<std::int32_t>::max();

/// Returns the lowest staleness bound of the trainers attached to a service.
std::int64_t findStalenessBound(const Configuration &Config,
                                const ServiceName &Service) {
  std::int64_t bound = NoTrainerBound;
  for (const auto &it : Config.Attachments) {
    auto trainer = Config.Trainers.find(it.second.Trainer);
    if (it.second.Service == Service && trainer != Config.Trainers.end())
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
  boost::asio::co_spawn(Context.Executor, pollLoop(self),
                        boost::asio::detached);
  boost::asio::co_spawn(Context.Executor, tickLoop(self),
                        boost::asio::detached);
}

bool WeightsOwner::ownsClaim() const {
  std::shared_ptr<const FoldState> state = Context.Control.state();
  auto it = state->Claims.find(weightsResource(Setup.Model));
  return it != state->Claims.end() && it->second.Token == Setup.Fence &&
         !it->second.Released;
}

boost::asio::awaitable<void>
WeightsOwner::pollLoop(std::shared_ptr<WeightsOwner> Self) {
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
    sendPlanned();
  }
}

boost::asio::awaitable<void>
WeightsOwner::tickLoop(std::shared_ptr<WeightsOwner> Self) {
  while (!Self->Stopped) {
    sendPlanned();
    co_await pause(Setup.TickInterval);
  }
}

std::vector<SwapTarget> WeightsOwner::collectTargets() const {
  std::vector<SwapTarget> found;
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  auto newest = static_cast<std::int64_t>(State.Newest);
  for (const auto &it : config->Services) {
    if (it.second.Kind != ServiceKind::Engines ||
        it.second.Model != Setup.Model)
      continue;
    std::int64_t bound = findStalenessBound(*config, it.first);
    for (const ReportedEngine &engine : findServiceEngines(Context, it.first)) {
      std::int64_t headroom =
          static_cast<std::int64_t>(engine.Version) + bound - newest;
      found.push_back(SwapTarget{engine.Name, it.first, engine.Daemon,
                                 engine.Version, engine.Running + engine.Queued,
                                 headroom});
    }
  }
  return found;
}

void WeightsOwner::sendPlanned() {
  if (State.Newest == 0 || Stopped || !ownsClaim())
    return;
  std::shared_ptr<const Configuration> config = Context.Control.state()->Config;
  for (const SwapOrder &it :
       planSwaps(State, collectTargets(), config->preset(), monotonicNow()))
    sendOrder(it);
}

void WeightsOwner::sendOrder(const SwapOrder &Swap) {
  recordEvent("weights.order", Swap, "");
  Order order{Swap.Server, weightsResource(Setup.Model), Setup.Fence,
              Setup.Model, Swap.Version};
  std::shared_ptr<WeightsOwner> self = shared_from_this();
  // The answer arrives on the control thread, possibly after the duty has
  // ended; the gate posts it to the duty's thread.
  Context.Control.order(
      Swap.Daemon, std::move(order), Setup.OrderTimeout,
      [self, Swap, gate = Context.Gate](const Outcome<OrderAnswer> &answer) {
        gate->post([self, Swap, answer] { self->onAnswer(Swap, answer); });
      });
}

void WeightsOwner::onAnswer(const SwapOrder &Swap,
                            const Outcome<OrderAnswer> &Answer) {
  TimePoint now = monotonicNow();
  if (!Answer) {
    noteFailure(State, Swap.Server, now);
    recordEvent("weights.failed", Swap, describe(Answer.failure()));
    return;
  }
  // An answer alone does not confirm the swap; the reported version does.
  bool isConfirmed = Answer->Version == Swap.Version;
  noteAnswer(State, Swap.Server, Answer->Version, now);
  if (isConfirmed)
    recordEvent("weights.done", Swap, "");
  else
    recordEvent("weights.failed", Swap,
                "the engine reports version " +
                    std::to_string(Answer->Version));
  sendPlanned();
}

void WeightsOwner::recordEvent(const std::string &Kind, const SwapOrder &Swap,
                               const std::string &Reason) {
  std::vector<EventField> fields{{"model", Setup.Model.Text},
                                 {"version", std::to_string(Swap.Version)},
                                 {"server", Swap.Server.Text},
                                 {"fence", std::to_string(Setup.Fence)}};
  if (!Reason.empty())
    fields.push_back({"reason", Reason});
  Context.Events.record(Kind, std::move(fields));
}

std::string WeightsOwner::statusJson() const {
  std::size_t swapping = 0;
  for (const auto &it : State.Servers)
    swapping += it.second.Ordered ? 1 : 0;
  return boost::json::serialize(
      boost::json::object{{"model", Setup.Model.Text},
                          {"fence", Setup.Fence},
                          {"newest", State.Newest},
                          {"swapping", swapping},
                          {"window", State.FetchWindow}});
}

} // namespace wasabi
