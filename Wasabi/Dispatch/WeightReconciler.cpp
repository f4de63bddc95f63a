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
      Executor, [self = shared_from_this()] { return self->keep(); },
      asio::detached);
}

void WeightReconciler::setRegistrations(std::vector<UpstreamRegistration> Now) {
  Entries = std::move(Now);
  Changed.notify();
}

const UpstreamRegistration *WeightReconciler::engine() const {
  for (const UpstreamRegistration &it : Entries) {
    if (!Gone.contains(it.incarnation()))
      return &it;
  }
  return nullptr;
}

void WeightReconciler::setWanted(const ServerName &Of, WantedWeights What,
                                 Offset At) {
  Wanted &wanted = WantedByServer[Of];
  if (wanted.At > At)
    return;
  wanted = Wanted{std::move(What), At};
  Changed.notify();
}

asio::awaitable<void> WeightReconciler::keep() {
  for (;;) {
    bool settled = co_await look();
    co_await Changed.wait(monotonicNow() + (settled ? Limits.IdlePollInterval
                                                    : Limits.PollInterval));
  }
}

/// Looks at the engine once and gives the order that is due. False if the
/// engine is not where it should be.
asio::awaitable<bool> WeightReconciler::look() {
  const UpstreamRegistration *entry = this->engine();
  if (entry == nullptr)
    co_return true;
  UpstreamRegistration engine = *entry;
  Outcome<EngineReport> got =
      co_await Engines.Report(engine, Limits.AnswerTime);
  if (!got)
    co_return true;
  // The engine knows best which start it is; its registration may be late.
  ServerIncarnation is{engine.Id, got->Start > 0 ? got->Start : engine.Start};
  // Without a token of this life nothing may be ordered.
  bool first = !Token;
  // Named, since GCC 12 destroys an aggregate that is a temporary of a
  // `co_await` twice.
  HeldWeights held{got->Models, got->Busy, is.Start};
  if (first)
    co_await publish(engine.Id, held);
  const WantedWeights *due = findDueWeights(is, *got);
  if (due != nullptr && Token)
    co_await order(engine, *due, got->Accepted);
  if (!first)
    co_await publish(engine.Id, held);
  co_return !got->Busy && due == nullptr;
}

/// What the engine should be ordered to take now, null if nothing.
const WantedWeights *
WeightReconciler::findDueWeights(const ServerIncarnation &Of,
                                 const EngineReport &Now) const {
  auto wanted = WantedByServer.find(Of.Server);
  if (Now.Busy || wanted == WantedByServer.end())
    return nullptr;
  const WantedWeights &what = wanted->second.What;
  if (!mayBeSameStart(what.Start, Of.Start))
    return nullptr;
  auto has = Now.Models.find(what.Model);
  bool there = has != Now.Models.end() && has->second >= what.Version;
  return there ? nullptr : &what;
}

asio::awaitable<void> WeightReconciler::order(UpstreamRegistration Engine,
                                              WantedWeights What,
                                              std::uint64_t Accepted) {
  WeightLoadRequest order{What.Model,    What.Version, What.Mode,
                          Limits.Holder, *Token,       Accepted};
  Outcome<WeightLoadOutcome> got =
      co_await Engines.LoadWeights(Engine, order, Limits.AnswerTime);
  bool begun = got && *got == WeightLoadOutcome::Started;
  if (got && *got == WeightLoadOutcome::WrongServer)
    Gone.insert(Engine.incarnation());
  std::string result =
      got ? begun ? "begun" : "not begun" : describe(got.failure());
  Decisions->line("engine.order", {{"server", Engine.Id.Text},
                                   {"model", order.Model.Text},
                                   {"version", std::to_string(order.Version)},
                                   {"token", std::to_string(order.Token)},
                                   {"accepted", std::to_string(Accepted)},
                                   {"result", result}});
}

/// Tells the store what the engine holds, if that is news. What the store does
/// not take is told again at the next look.
asio::awaitable<void> WeightReconciler::publish(ServerName Of,
                                                HeldWeights Now) {
  if (Token && Published == Now && PublishedServer == Of)
    co_return;
  Outcome<Offset> got = co_await Store.AppendKeyed(
      HeldTopic, Of.Text, encodeHeld(Now), Limits.AppendTimeout);
  Decisions->line("engine.state",
                  {{"server", Of.Text},
                   {"start", std::to_string(Now.Start)},
                   {"loading", Now.Loading ? "yes" : "no"},
                   {"result", got ? "told" : describe(got.failure())}});
  if (!got)
    co_return;
  Token = *got;
  Published = std::move(Now);
  PublishedServer = std::move(Of);
}

} // namespace wasabi
