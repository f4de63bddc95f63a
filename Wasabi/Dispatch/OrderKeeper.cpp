#include "Wasabi/Dispatch/OrderKeeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabi {

namespace asio = boost::asio;

OrderKeeper::OrderKeeper(asio::any_io_executor Executor, RecordStore Store,
                         EnginePort Engines,
                         std::shared_ptr<DecisionLog> Decisions,
                         Settings Limits)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Store(std::move(Store)), Engines(std::move(Engines)),
      Decisions(std::move(Decisions)), Changed(this->Executor) {}

std::shared_ptr<OrderKeeper>
OrderKeeper::create(asio::any_io_executor Executor, RecordStore Store,
                    EnginePort Engines, std::shared_ptr<DecisionLog> Decisions,
                    Settings Limits) {
  return std::shared_ptr<OrderKeeper>(
      new OrderKeeper(std::move(Executor), std::move(Store), std::move(Engines),
                      std::move(Decisions), std::move(Limits)));
}

void OrderKeeper::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->keep(); },
      asio::detached);
}

void OrderKeeper::setEngines(std::vector<UpstreamEntry> Now) {
  Entries = std::move(Now);
  Changed.notify();
}

const UpstreamEntry *OrderKeeper::engine() const {
  for (const UpstreamEntry &it : Entries) {
    if (!Gone.contains(it.incarnation()))
      return &it;
  }
  return nullptr;
}

void OrderKeeper::setWanted(const ServerName &Of, WantedWeights What,
                            Offset At) {
  Wanted &wanted = ByServer[Of];
  if (wanted.At > At)
    return;
  wanted = Wanted{std::move(What), At};
  Changed.notify();
}

asio::awaitable<void> OrderKeeper::keep() {
  for (;;) {
    bool settled = co_await look();
    co_await Changed.wait(monotonicNow() +
                          (settled ? Limits.RestEvery : Limits.LookEvery));
  }
}

/// Looks at the engine once and gives the order that is due. False if the
/// engine is not where it should be.
asio::awaitable<bool> OrderKeeper::look() {
  const UpstreamEntry *entry = this->engine();
  if (entry == nullptr)
    co_return true;
  UpstreamEntry engine = *entry;
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
  const WantedWeights *due = dueFor(is, *got);
  if (due != nullptr && Token)
    co_await order(engine, *due, got->Accepted);
  if (!first)
    co_await publish(engine.Id, held);
  co_return !got->Busy && due == nullptr;
}

/// What the engine should be ordered to take now, null if nothing.
const WantedWeights *OrderKeeper::dueFor(const ServerIncarnation &Of,
                                         const EngineReport &Now) const {
  auto wanted = ByServer.find(Of.Server);
  if (Now.Busy || wanted == ByServer.end())
    return nullptr;
  const WantedWeights &what = wanted->second.What;
  if (!sameStart(what.Start, Of.Start))
    return nullptr;
  auto has = Now.Models.find(what.Model);
  bool there = has != Now.Models.end() && has->second >= what.Version;
  return there ? nullptr : &what;
}

asio::awaitable<void> OrderKeeper::order(UpstreamEntry Engine,
                                         WantedWeights What,
                                         std::uint64_t Accepted) {
  VersionOrder order{What.Model,    What.Version, What.Mode,
                     Limits.Holder, *Token,       Accepted};
  Outcome<OrderOutcome> got =
      co_await Engines.Order(Engine, order, Limits.AnswerTime);
  bool begun = got && *got == OrderOutcome::Begun;
  if (got && *got == OrderOutcome::OtherServer)
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
asio::awaitable<void> OrderKeeper::publish(ServerName Of, HeldWeights Now) {
  if (Token && Published == Now && PublishedOf == Of)
    co_return;
  Outcome<Offset> got = co_await Store.AppendKeyed(
      HeldTopic, Of.Text, encodeHeld(Now), Limits.StoreTime);
  Decisions->line("engine.state",
                  {{"server", Of.Text},
                   {"start", std::to_string(Now.Start)},
                   {"loading", Now.Loading ? "yes" : "no"},
                   {"result", got ? "told" : describe(got.failure())}});
  if (!got)
    co_return;
  Token = *got;
  Published = std::move(Now);
  PublishedOf = std::move(Of);
}

} // namespace wasabi
