#include "Wasabi/Dispatch/WeightReconciler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabi {

namespace asio = boost::asio;

WeightReconciler::WeightReconciler(asio::any_io_executor Executor,
                                   RecordStore Store, EnginePort Engines,
                                   std::shared_ptr<DecisionLog> Decisions,
                                   Settings Limits)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Store(std::move(Store)), Engines(std::move(Engines)),
      Decisions(std::move(Decisions)), Changed(this->Executor) {}

std::shared_ptr<WeightReconciler> WeightReconciler::create(
    asio::any_io_executor Executor, RecordStore Store, EnginePort Engines,
    std::shared_ptr<DecisionLog> Decisions, Settings Limits) {
  return std::shared_ptr<WeightReconciler>(new WeightReconciler(
      std::move(Executor), std::move(Store), std::move(Engines),
      std::move(Decisions), std::move(Limits)));
}

void WeightReconciler::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->pollLoop(); },
      asio::detached);
}

void WeightReconciler::setRegistrations(
    std::vector<UpstreamRegistration> Entries) {
  Registrations = std::move(Entries);
  Changed.notify();
}

const UpstreamRegistration *WeightReconciler::engine() const {
  for (const UpstreamRegistration &it : Registrations) {
    if (!ReplacedServers.contains(it.incarnation()))
      return &it;
  }
  return nullptr;
}

void WeightReconciler::setWanted(const ServerName &Server,
                                 WantedWeights Weights, Offset RecordOffset) {
  WantedRecord &wanted = WantedByServer[Server];
  if (wanted.RecordOffset > RecordOffset)
    return;
  wanted = WantedRecord{std::move(Weights), RecordOffset};
  Changed.notify();
}

asio::awaitable<void> WeightReconciler::pollLoop() {
  for (;;) {
    bool settled = co_await pollEngine();
    co_await Changed.wait(monotonicNow() + (settled ? Limits.IdlePollInterval
                                                    : Limits.PollInterval));
  }
}

/// Polls the engine once and requests the weights that are due. Returns false
/// if the engine is loading or lacks the wanted weights.
asio::awaitable<bool> WeightReconciler::pollEngine() {
  const UpstreamRegistration *entry = this->engine();
  if (entry == nullptr)
    co_return true;
  UpstreamRegistration engine = *entry;
  Outcome<EngineReport> got =
      co_await Engines.Report(engine, Limits.ReportTimeout);
  if (!got)
    co_return true;
  // The start time that the engine reports takes precedence: its registration
  // may be stale.
  ServerIncarnation running{engine.Id,
                            got->Start > 0 ? got->Start : engine.Start};
  // A load request needs a token of this incarnation: publish first.
  bool first = !Token;
  // Named, since GCC 12 destroys an aggregate that is a temporary of a
  // `co_await` twice.
  HeldWeights held{got->Models, got->Busy, running.Start};
  if (first)
    co_await publish(engine.Id, held);
  const WantedWeights *due = findDueWeights(running, *got);
  if (due != nullptr && Token)
    co_await orderWeights(engine, *due, got->Accepted);
  if (!first)
    co_await publish(engine.Id, held);
  co_return !got->Busy && due == nullptr;
}

/// Returns the weights that the engine should load now; null if there are none.
const WantedWeights *
WeightReconciler::findDueWeights(const ServerIncarnation &Running,
                                 const EngineReport &Report) const {
  auto wanted = WantedByServer.find(Running.Server);
  if (Report.Busy || wanted == WantedByServer.end())
    return nullptr;
  const WantedWeights &weights = wanted->second.Weights;
  if (!mayBeSameStart(weights.Start, Running.Start))
    return nullptr;
  auto has = Report.Models.find(weights.Model);
  bool isLoaded = has != Report.Models.end() && has->second >= weights.Version;
  return isLoaded ? nullptr : &weights;
}

asio::awaitable<void>
WeightReconciler::orderWeights(UpstreamRegistration Engine,
                               WantedWeights Weights, std::uint64_t Accepted) {
  WeightLoadRequest request{Weights.Model, Weights.Version, Weights.Mode,
                            Limits.Holder, *Token,          Accepted};
  Outcome<WeightLoadOutcome> got =
      co_await Engines.LoadWeights(Engine, request, Limits.ReportTimeout);
  bool started = got && *got == WeightLoadOutcome::Started;
  if (got && *got == WeightLoadOutcome::WrongServer)
    ReplacedServers.insert(Engine.incarnation());
  std::string result =
      got ? started ? "begun" : "not begun" : describe(got.failure());
  Decisions->line("engine.order", {{"server", Engine.Id.Text},
                                   {"model", request.Model.Text},
                                   {"version", std::to_string(request.Version)},
                                   {"token", std::to_string(request.Token)},
                                   {"accepted", std::to_string(Accepted)},
                                   {"result", result}});
}

/// Appends the weights that the engine holds to the store if they have changed.
/// A failed append is repeated at the next poll.
asio::awaitable<void> WeightReconciler::publish(ServerName Server,
                                                HeldWeights Held) {
  if (Token && Published == Held && PublishedServer == Server)
    co_return;
  std::vector<KeyedValue> values{{Server.Text, encodeHeld(Held)}};
  Outcome<Offset> got = co_await Store.AppendKeyed(HeldTopic, std::move(values),
                                                   Limits.AppendTimeout);
  Decisions->line("engine.state",
                  {{"server", Server.Text},
                   {"start", std::to_string(Held.Start)},
                   {"loading", Held.Loading ? "yes" : "no"},
                   {"result", got ? "told" : describe(got.failure())}});
  if (!got)
    co_return;
  Token = *got;
  Published = std::move(Held);
  PublishedServer = std::move(Server);
}

} // namespace wasabi
