#include "Wasabi/Node/ControlPlane.h"

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Adapters/PlatformLog/HttpLog.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Node/ClaimManager.h"
#include "Wasabi/Node/ControlServer.h"
#include "Wasabi/Node/ControlStatus.h"
#include "Wasabi/Node/LogFollower.h"
#include "Wasabi/Node/MembershipManager.h"
#include "Wasabi/Node/PeerLinks.h"
#include "Wasabi/Node/RecordAppender.h"
#include "Wasabi/Node/SnapshotRule.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <thread>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
constexpr char SnapshotResource[] = "snapshots";
/// Time between two looks at claims and snapshots.
constexpr Millis DutyPeriod(100);
/// How often the writer of snapshots looks where the log begins.
constexpr Millis RetentionLook(10000);
/// Longest that leaving waits for the releases of claims.
constexpr Millis LeaveLimit(3000);
constexpr Millis LeaveLook(20);

Failure notRun(FailureCode Code, std::string Place, std::string Reason) {
  return Failure{Verdict::NotRun, Code, std::move(Place), std::move(Reason),
                 Millis(0)};
}

/// The control plane on its own thread. Its parts live on that thread.
class ControlThread final : public ControlPlane {
public:
  ControlThread(Settings Setup, Timeline &Events, OrderHandler Handle)
      : Setup(std::move(Setup)), Events(Events), Handle(std::move(Handle)),
        Life(wallMicros()), Guard(asio::make_work_guard(Context)),
        DutyTimer(Context) {}
  ~ControlThread() override;

  Result<Done> bind();
  void start();

  Address address() const override { return Server->address(); }
  std::shared_ptr<const FoldState> state() const override {
    return Follower->state();
  }
  bool ready() const override;
  Incarnation life() const override { return Life; }
  std::shared_ptr<const View> view() const override { return Watch->view(); }
  void setServers(std::vector<ServerStatus> Servers) override;
  void requestClaim(std::string Resource) override {
    Keeper->requestClaim(Resource);
  }
  void withdrawClaim(std::string Resource) override {
    Keeper->withdrawClaim(Resource);
  }
  std::optional<HeldClaim> held(const std::string &Resource) const override {
    return Keeper->held(Resource, monotonicNow());
  }
  std::optional<FencingToken>
  tokenDespiteOutage(const std::string &Resource) const override {
    return Keeper->token(*state(), Resource);
  }
  void noteUnreachable(InstanceName Member) override;
  void order(InstanceName Daemon, Order What, Millis Timeout,
             std::function<void(Outcome<OrderAnswer>)> Callback) override;
  void
  append(RecordBody Body,
         std::function<void(Outcome<ControlStateChange>)> Callback) override;
  void leave(std::function<void()> Callback) override;
  std::string statusJson() const override;

private:
  void makeParts();
  Member selfMember() const;
  MembershipManager::Hooks watchHooks();
  LogFollower::Hooks followerHooks();
  void receive(ControlMessage What, const ControlServer::Reply &Answer);
  void takeOrder(const OrderRequestMessage &Ask, ControlServer::Reply Answer);
  asio::awaitable<void>
  sendOrder(InstanceName Daemon, Order What, Millis Timeout,
            std::function<void(Outcome<OrderAnswer>)> Callback);
  asio::awaitable<void> dutyLoop();
  asio::awaitable<void> leaveSteps(std::function<void()> Callback);
  void lookAtSnapshots(TimePoint Now);
  bool mayDecide() const;

  const Settings Setup;
  Timeline &Events;
  const OrderHandler Handle;
  const Incarnation Life;
  ControlCounters Counters;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  BootTimer DutyTimer;
  std::shared_ptr<http::Client> Client;
  std::shared_ptr<ControlServer> Server;
  std::shared_ptr<PeerLinks> Links;
  std::shared_ptr<MembershipManager> Watch;
  std::shared_ptr<LogFollower> Follower;
  std::shared_ptr<RecordAppender> Appender;
  std::shared_ptr<ClaimManager> Keeper;
  SnapshotSettings SnapshotLimits;
  Offset SnapshotSeen = 0;
  TimePoint SnapshotSeenAt = monotonicNow();
  TimePoint RetentionLookedAt;
  bool SnapshotBusy = false;
  bool Stopped = false;
  std::thread Thread;
};

// ---- construction ----

ControlThread::~ControlThread() {
  if (!Thread.joinable())
    return;
  asio::post(Context, [this]() {
    Stopped = true;
    DutyTimer.cancel();
    Server->stop();
    Watch->stop();
    Appender->stop();
    Follower->stop();
    Links->stop();
    Context.stop();
  });
  Thread.join();
}

Result<Done> ControlThread::bind() {
  ControlServer::Settings limits;
  limits.Listen = Setup.Listen;
  BOOST_LEAF_ASSIGN(Server, ControlServer::create(Context, limits, Counters));
  makeParts();
  return Done();
}

Member ControlThread::selfMember() const {
  Member self;
  self.Instance = Setup.Instance;
  self.Domain = Setup.Domain;
  self.Kind = Setup.Kind;
  self.Life = Life;
  self.Requests = Setup.Requests;
  self.Control = Setup.Advertise.empty() ? Server->address() : Setup.Advertise;
  self.Admin = Setup.Admin;
  return self;
}

MembershipManager::Hooks ControlThread::watchHooks() {
  MembershipManager::Hooks calls;
  calls.FillLogPosition = [this](Gossip &Carried) {
    Carried.Next = Follower->next();
    Carried.CaughtUpAge = Follower->caughtUpAge();
  };
  calls.OnPeerLogPosition = [this](const InstanceName &Peer, Offset Next,
                                   Millis Age) {
    Follower->hear(Peer, Next, Age);
  };
  return calls;
}

LogFollower::Hooks ControlThread::followerHooks() {
  LogFollower::Hooks calls;
  calls.CurrentView = [this]() { return Watch->view(); };
  calls.OnApplied = [this](Offset At, const FoldState &State,
                           const ControlStateChange &Did) {
    // The claims look at the record in flight before the appender closes it.
    Keeper->onApplied(At, State, Did, monotonicNow());
    Appender->onApplied(At, State, Did);
  };
  calls.OnStateReplaced = [this](const FoldState &State) {
    Keeper->onStateReplaced(State, monotonicNow());
    Appender->onStateReplaced(State);
  };
  return calls;
}

void ControlThread::makeParts() {
  asio::any_io_executor executor = Context.get_executor();
  http::Client::Settings client;
  Client = http::Client::create(executor, client);
  PeerLinks::Settings links;
  Links = PeerLinks::create(executor, links, Counters);

  MembershipManager::Settings watch;
  watch.Self = selfMember();
  watch.Instances = Setup.Instances;
  watch.Seeds = Setup.Seeds;
  watch.Swim.ProbePeriod = Setup.ProbePeriod;
  watch.ProbeTimeout = Setup.ProbeTimeout;
  watch.MinListReadInterval = Setup.MinListReadInterval;
  watch.ListBytesPerSecond = Setup.ListBytesPerSecond;
  watch.Seed = Setup.Seed;
  Watch = MembershipManager::create(executor, watch, Links, Client, Counters,
                                    Events, watchHooks());

  LogPort log = makeHttpLog(Client, Setup.Log);
  LogFollower::Settings follower;
  follower.ReadersPerDomain = Setup.ReadersPerDomain;
  follower.Seed = Setup.Seed + 2;
  Follower = LogFollower::create(executor, follower, log, Links, Counters,
                                 Events, followerHooks());

  RecordAppender::Settings appender;
  appender.Instance = Setup.Instance;
  appender.Life = Life;
  appender.Seed = Setup.Seed + 3;
  Appender =
      RecordAppender::create(executor, appender, log, Follower, Counters);

  ClaimManager::Settings keeper;
  keeper.Instance = Setup.Instance;
  keeper.Life = Life;
  keeper.Rules.Term = Setup.ClaimTerm;
  keeper.Rules.Settle = Setup.ClaimSettleDelay;
  Keeper = ClaimManager::create(keeper, Appender, Events);
}

void ControlThread::start() {
  if (Setup.Kind == Role::Daemon)
    Keeper->requestClaim(SnapshotResource);
  Server->start(
      [this](ControlMessage What, const ControlServer::Reply &Answer) {
        receive(std::move(What), Answer);
      });
  Watch->start();
  Follower->start();
  Appender->start();
  asio::co_spawn(
      Context, [this]() -> asio::awaitable<void> { return dutyLoop(); },
      asio::detached);
  Thread = std::thread([this]() { Context.run(); });
}

bool ControlThread::ready() const {
  return Follower->hasState() && view()->Members.contains(Setup.Instance);
}

// ---- messages ----

void ControlThread::receive(ControlMessage What,
                            const ControlServer::Reply &Answer) {
  if (const PingMessage *ping = std::get_if<PingMessage>(&What))
    Watch->receive(*ping, Answer);
  else if (const PingRequestMessage *ask =
               std::get_if<PingRequestMessage>(&What))
    Watch->receive(*ask, Answer);
  else if (const LogPushMessage *push = std::get_if<LogPushMessage>(&What))
    Follower->receive(*push);
  else if (const LogRequestMessage *gap = std::get_if<LogRequestMessage>(&What))
    Answer(Follower->answer(*gap));
  else if (const StateRequestMessage *state =
               std::get_if<StateRequestMessage>(&What))
    Answer(Follower->answer(*state));
  else if (const OrderRequestMessage *order =
               std::get_if<OrderRequestMessage>(&What))
    takeOrder(*order, Answer);
}

void ControlThread::takeOrder(const OrderRequestMessage &Ask,
                              ControlServer::Reply Answer) {
  std::uint64_t sequence = Ask.Sequence;
  if (!Handle) {
    OrderResponseMessage refused;
    refused.Sequence = sequence;
    refused.Answer = notRun(FailureCode::NoUpstream, Setup.Instance.Text,
                            "no server stands behind this process");
    Answer(refused);
    return;
  }
  asio::any_io_executor executor = Context.get_executor();
  Handle(Ask.What, [executor, sequence,
                    Answer = std::move(Answer)](Outcome<OrderAnswer> Did) {
    // The answer may come from any thread.
    OrderResponseMessage done;
    done.Sequence = sequence;
    done.Answer = std::move(Did);
    asio::post(executor, [Answer, done]() { Answer(done); });
  });
}

// ---- what other threads ask ----

void ControlThread::setServers(std::vector<ServerStatus> Servers) {
  asio::post(Context, [this, Servers = std::move(Servers)]() mutable {
    Watch->setServers(std::move(Servers));
  });
}

void ControlThread::noteUnreachable(InstanceName Member) {
  asio::post(Context, [this, Member = std::move(Member)]() {
    Watch->noteUnreachable(Member);
  });
}

void ControlThread::order(InstanceName Daemon, Order What, Millis Timeout,
                          std::function<void(Outcome<OrderAnswer>)> Callback) {
  asio::co_spawn(
      Context,
      [this, Daemon, What, Timeout, Callback]() -> asio::awaitable<void> {
        return sendOrder(Daemon, What, Timeout, Callback);
      },
      asio::detached);
}

asio::awaitable<void>
ControlThread::sendOrder(InstanceName Daemon, Order What, Millis Timeout,
                         std::function<void(Outcome<OrderAnswer>)> Callback) {
  std::shared_ptr<const View> seen = view();
  auto found = seen->Members.find(Daemon);
  if (found == seen->Members.end() || found->second.Control.empty()) {
    Callback(notRun(FailureCode::Unreachable, Daemon.Text,
                    "it is not among the members"));
    co_return;
  }
  Address where = found->second.Control;
  OrderRequestMessage ask{Links->nextSequence(), Setup.Instance.Text,
                          std::move(What)};
  ControlMessage question = std::move(ask);
  Outcome<ControlMessage> answer =
      co_await Links->ask(where, std::move(question), Timeout);
  if (!answer) {
    Callback(answer.failure());
    co_return;
  }
  const OrderResponseMessage *done =
      std::get_if<OrderResponseMessage>(&*answer);
  if (done == nullptr) {
    Failure why{Verdict::MayHaveRun, FailureCode::BadInput, Daemon.Text,
                "its answer is not one to an order", Millis(0)};
    Callback(std::move(why));
    co_return;
  }
  Callback(done->Answer);
}

void ControlThread::append(
    RecordBody Body,
    std::function<void(Outcome<ControlStateChange>)> Callback) {
  asio::post(Context, [this, Body = std::move(Body),
                       Callback = std::move(Callback)]() mutable {
    Appender->append(std::move(Body), false,
                     [Callback](const Outcome<Appended> &Done) {
                       if (Done)
                         Callback(Done->Did);
                       else
                         Callback(Done.failure());
                     });
  });
}

// ---- duties ----

bool ControlThread::mayDecide() const {
  std::shared_ptr<const View> seen = view();
  bool leaving = seen->Members.at(Setup.Instance).State == Health::Leaving;
  return Follower->hasState() && Follower->logReachable() && !leaving &&
         !seen->MayBeIsolated && !state()->BlockedOffset;
}

asio::awaitable<void> ControlThread::dutyLoop() {
  while (!Stopped) {
    DutyTimer.expires_after(DutyPeriod);
    co_await DutyTimer.async_wait(Awaited);
    if (Stopped || !Follower->hasState())
      continue;
    TimePoint now = monotonicNow();
    std::shared_ptr<const FoldState> folded = state();
    std::shared_ptr<const View> seen = view();
    Keeper->decide(*folded, *seen, mayDecide(), now);
    lookAtSnapshots(now);
  }
}

void ControlThread::lookAtSnapshots(TimePoint Now) {
  std::shared_ptr<const FoldState> folded = state();
  if (folded->SnapshotRevision != SnapshotSeen) {
    SnapshotSeen = folded->SnapshotRevision;
    SnapshotSeenAt = Now;
  }
  std::optional<HeldClaim> claim = Keeper->held(SnapshotResource, Now);
  if (!claim || SnapshotBusy || folded->BlockedOffset)
    return;
  if (Now - RetentionLookedAt > RetentionLook) {
    RetentionLookedAt = Now;
    Follower->requestRead();
  }
  SnapshotDecisionInput situation;
  situation.Next = folded->Next;
  situation.Last = folded->SnapshotRevision;
  situation.LogFirst = Follower->logFirst();
  situation.Age = std::chrono::duration_cast<Millis>(Now - SnapshotSeenAt);
  if (!snapshotDue(situation, SnapshotLimits))
    return;

  SnapshotBusy = true;
  Appender->append(makeSnapshot(*folded, claim->Token), false,
                   [this](const Outcome<Appended> &Done) {
                     SnapshotBusy = false;
                     if (!Done)
                       spdlog::warn("control: snapshot: {}",
                                    describe(Done.failure()));
                   });
}

void ControlThread::leave(std::function<void()> Callback) {
  asio::co_spawn(
      Context,
      [this, Callback]() -> asio::awaitable<void> {
        return leaveSteps(Callback);
      },
      asio::detached);
}

asio::awaitable<void>
ControlThread::leaveSteps(std::function<void()> Callback) {
  // Successors need not wait a term for what is given up.
  Keeper->withdrawAllClaims();
  TimePoint until = monotonicNow() + LeaveLimit;
  co_await Watch->leave();
  BootTimer timer(Context);
  while (!Stopped && Keeper->holdsAny(*state()) && monotonicNow() < until) {
    timer.expires_after(LeaveLook);
    co_await timer.async_wait(Awaited);
  }
  Callback();
}

std::string ControlThread::statusJson() const {
  ControlStatus status;
  status.State = state();
  status.Seen = view();
  status.Held = Keeper->heldNow(monotonicNow());
  status.LogReachable = Follower->logReachable();
  status.Ready = ready();
  return toJson(status, Counters);
}

} // namespace

Result<std::unique_ptr<ControlPlane>>
ControlPlane::create(Settings Setup, Timeline &Events, OrderHandler Handle) {
  if (Setup.Instance.empty())
    return badInput("control plane", "the instance has no name");
  if (Setup.ProbePeriod <= Millis(0) || Setup.ProbeTimeout <= Millis(0))
    return badInput("control plane",
                    "probe period and timeout must be above 0");
  if (Setup.ClaimTerm <= Millis(0))
    return badInput("control plane", "the claims' term must be above 0");
  std::unique_ptr<ControlThread> made = std::make_unique<ControlThread>(
      std::move(Setup), Events, std::move(Handle));
  BOOST_LEAF_CHECK(made->bind());
  made->start();
  return std::unique_ptr<ControlPlane>(std::move(made));
}

} // namespace wasabi
