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
/// Time between two checks of claims and snapshots.
constexpr Millis TickInterval(100);
/// Time between two reads of the log's first offset by the snapshot writer.
constexpr Millis RetentionCheckInterval(10000);
/// Maximum time that leaving waits for the release of claims.
constexpr Millis LeaveTimeout(3000);
constexpr Millis LeavePollInterval(20);

Failure notRun(FailureCode Code, std::string Place, std::string Reason) {
  return Failure{Verdict::NotRun, Code, std::move(Place), std::move(Reason),
                 Millis(0)};
}

/// Implements the control plane on its own thread, on which all its components
/// run.
class ControlThread final : public ControlPlane {
public:
  ControlThread(Settings Setup, Timeline &Events, OrderHandler Handle)
      : Setup(std::move(Setup)), Events(Events), Handle(std::move(Handle)),
        Life(wallMicros()), WorkGuard(asio::make_work_guard(Context)),
        TickTimer(Context) {}
  ~ControlThread() override;

  Result<Done> bind();
  void start();

  Address address() const override { return Server->address(); }
  std::shared_ptr<const FoldState> state() const override {
    return Follower->state();
  }
  bool ready() const override;
  Incarnation life() const override { return Life; }
  std::shared_ptr<const View> view() const override {
    return Membership->view();
  }
  void setServers(std::vector<ServerStatus> Servers) override;
  void requestClaim(std::string Resource) override {
    Claims->requestClaim(Resource);
  }
  void withdrawClaim(std::string Resource) override {
    Claims->withdrawClaim(Resource);
  }
  std::optional<HeldClaim> held(const std::string &Resource) const override {
    return Claims->held(Resource, monotonicNow());
  }
  std::optional<FencingToken>
  tokenDespiteOutage(const std::string &Resource) const override {
    return Claims->token(*state(), Resource);
  }
  void noteUnreachable(InstanceName Target) override;
  void order(InstanceName Daemon, Order Command, Millis Timeout,
             std::function<void(Outcome<OrderAnswer>)> Callback) override;
  void
  append(RecordBody Body,
         std::function<void(Outcome<ControlStateChange>)> Callback) override;
  void leave(std::function<void()> Callback) override;
  std::string statusJson() const override;

private:
  void createComponents();
  Member selfMember() const;
  MembershipManager::Hooks membershipHooks();
  LogFollower::Hooks followerHooks();
  void receive(ControlMessage Message, const ControlServer::Reply &Answer);
  void handleOrder(const OrderRequestMessage &Request,
                   ControlServer::Reply Answer);
  asio::awaitable<void>
  sendOrder(InstanceName Daemon, Order Command, Millis Timeout,
            std::function<void(Outcome<OrderAnswer>)> Callback);
  asio::awaitable<void> tickLoop();
  asio::awaitable<void> performLeave(std::function<void()> Callback);
  void appendSnapshotIfDue(TimePoint Now);
  bool mayAcquireClaims() const;

  const Settings Setup;
  Timeline &Events;
  const OrderHandler Handle;
  const Incarnation Life;
  ControlCounters Counters;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard;
  BootTimer TickTimer;
  std::shared_ptr<http::Client> Client;
  /// Bounds what peers make the process hold.
  std::shared_ptr<PeerMemory> PeerAccount;
  std::shared_ptr<ControlServer> Server;
  std::shared_ptr<PeerLinks> Links;
  std::shared_ptr<MembershipManager> Membership;
  std::shared_ptr<LogFollower> Follower;
  std::shared_ptr<RecordAppender> Appender;
  std::shared_ptr<ClaimManager> Claims;
  SnapshotSettings SnapshotLimits;
  Offset LastSnapshotOffset = 0;
  TimePoint LastSnapshotTime = monotonicNow();
  TimePoint LastRetentionCheck;
  bool SnapshotInFlight = false;
  bool Stopped = false;
  std::thread Thread;
};

// ---- Construction ----

ControlThread::~ControlThread() {
  if (!Thread.joinable())
    return;
  asio::post(Context, [this]() {
    Stopped = true;
    TickTimer.cancel();
    Server->stop();
    Membership->stop();
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
  PeerMemory::Settings memory;
  memory.MaxBytes = Setup.MaxPeerBytes;
  memory.OnYield = [this] { Counters.ConnectionsYielded.fetch_add(1); };
  PeerAccount = PeerMemory::create(std::move(memory));
  limits.Memory = PeerAccount;
  BOOST_LEAF_ASSIGN(Server, ControlServer::create(Context, limits, Counters));
  createComponents();
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

MembershipManager::Hooks ControlThread::membershipHooks() {
  MembershipManager::Hooks hooks;
  hooks.FillLogPosition = [this](Gossip &Piggybacked) {
    Piggybacked.Next = Follower->next();
    Piggybacked.CaughtUpAge = Follower->caughtUpAge();
  };
  hooks.OnPeerLogPosition = [this](const InstanceName &Peer, Offset Next,
                                   Millis Age) {
    Follower->onPeerLogPosition(Peer, Next, Age);
  };
  return hooks;
}

LogFollower::Hooks ControlThread::followerHooks() {
  LogFollower::Hooks hooks;
  hooks.CurrentView = [this]() { return Membership->view(); };
  hooks.OnApplied = [this](Offset At, const FoldState &State,
                           const ControlStateChange &Change) {
    // The claim manager reads `firstSent` before the appender completes the
    // record.
    Claims->onApplied(At, State, Change, monotonicNow());
    Appender->onApplied(At, State, Change);
  };
  hooks.OnStateReplaced = [this](const FoldState &State) {
    Claims->onStateReplaced(State, monotonicNow());
    Appender->onStateReplaced(State);
  };
  return hooks;
}

void ControlThread::createComponents() {
  asio::any_io_executor executor = Context.get_executor();
  http::Client::Settings client;
  Client = http::Client::create(executor, client);
  PeerLinks::Settings links;
  Links = PeerLinks::create(executor, links, Counters);

  MembershipManager::Settings membership;
  membership.Self = selfMember();
  membership.Instances = Setup.Instances;
  membership.Seeds = Setup.Seeds;
  membership.Swim.PeerProbeInterval = Setup.PeerProbeInterval;
  membership.ProbeTimeout = Setup.ProbeTimeout;
  membership.MinListReadInterval = Setup.MinListReadInterval;
  membership.ListBytesPerSecond = Setup.ListBytesPerSecond;
  membership.Seed = Setup.Seed;
  Membership = MembershipManager::create(executor, membership, Links, Client,
                                         Counters, Events, membershipHooks());

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

  ClaimManager::Settings claims;
  claims.Instance = Setup.Instance;
  claims.Life = Life;
  claims.Rules.Term = Setup.ClaimTerm;
  claims.Rules.SettleDelay = Setup.ClaimSettleDelay;
  Claims = ClaimManager::create(claims, Appender, Events);
}

void ControlThread::start() {
  if (Setup.Kind == Role::Daemon)
    Claims->requestClaim(SnapshotResource);
  Server->start(
      [this](ControlMessage Message, const ControlServer::Reply &Answer) {
        receive(std::move(Message), Answer);
      });
  Membership->start();
  Follower->start();
  Appender->start();
  asio::co_spawn(
      Context, [this]() -> asio::awaitable<void> { return tickLoop(); },
      asio::detached);
  Thread = std::thread([this]() { Context.run(); });
}

bool ControlThread::ready() const {
  return Follower->hasState() && view()->Members.contains(Setup.Instance);
}

// ---- Messages ----

void ControlThread::receive(ControlMessage Message,
                            const ControlServer::Reply &Answer) {
  if (const PingMessage *ping = std::get_if<PingMessage>(&Message))
    Membership->receive(*ping, Answer);
  else if (const PingRequestMessage *request =
               std::get_if<PingRequestMessage>(&Message))
    Membership->receive(*request, Answer);
  else if (const LogPushMessage *push = std::get_if<LogPushMessage>(&Message))
    Follower->receive(*push);
  else if (const LogRequestMessage *gap =
               std::get_if<LogRequestMessage>(&Message))
    Answer(Follower->answer(*gap));
  else if (const StateRequestMessage *state =
               std::get_if<StateRequestMessage>(&Message))
    Answer(Follower->answer(*state));
  else if (const OrderRequestMessage *order =
               std::get_if<OrderRequestMessage>(&Message))
    handleOrder(*order, Answer);
}

void ControlThread::handleOrder(const OrderRequestMessage &Request,
                                ControlServer::Reply Answer) {
  std::uint64_t sequence = Request.Sequence;
  if (!Handle) {
    OrderResponseMessage refused;
    refused.Sequence = sequence;
    refused.Answer = notRun(FailureCode::NoUpstream, Setup.Instance.Text,
                            "this process has no server");
    Answer(refused);
    return;
  }
  asio::any_io_executor executor = Context.get_executor();
  Handle(Request.Command, [executor, sequence, Answer = std::move(Answer)](
                              Outcome<OrderAnswer> Reply) {
    // The handler may answer from any thread.
    OrderResponseMessage done;
    done.Sequence = sequence;
    done.Answer = std::move(Reply);
    asio::post(executor, [Answer, done]() { Answer(done); });
  });
}

// ---- Calls from other threads ----

void ControlThread::setServers(std::vector<ServerStatus> Servers) {
  asio::post(Context, [this, Servers = std::move(Servers)]() mutable {
    Membership->setServers(std::move(Servers));
  });
}

void ControlThread::noteUnreachable(InstanceName Target) {
  asio::post(Context, [this, Target = std::move(Target)]() {
    Membership->noteUnreachable(Target);
  });
}

void ControlThread::order(InstanceName Daemon, Order Command, Millis Timeout,
                          std::function<void(Outcome<OrderAnswer>)> Callback) {
  asio::co_spawn(
      Context,
      [this, Daemon, Command, Timeout, Callback]() -> asio::awaitable<void> {
        return sendOrder(Daemon, Command, Timeout, Callback);
      },
      asio::detached);
}

asio::awaitable<void>
ControlThread::sendOrder(InstanceName Daemon, Order Command, Millis Timeout,
                         std::function<void(Outcome<OrderAnswer>)> Callback) {
  std::shared_ptr<const View> clusterView = view();
  auto found = clusterView->Members.find(Daemon);
  if (found == clusterView->Members.end() || found->second.Control.empty()) {
    Callback(notRun(FailureCode::Unreachable, Daemon.Text,
                    "not a member, or its control address is unknown"));
    co_return;
  }
  Address where = found->second.Control;
  OrderRequestMessage request{Links->nextSequence(), Setup.Instance.Text,
                              std::move(Command)};
  ControlMessage message = std::move(request);
  Outcome<ControlMessage> answer =
      co_await Links->ask(where, std::move(message), Timeout);
  if (!answer) {
    Callback(answer.failure());
    co_return;
  }
  const OrderResponseMessage *done =
      std::get_if<OrderResponseMessage>(&*answer);
  if (done == nullptr) {
    Failure why{Verdict::MayHaveRun, FailureCode::BadInput, Daemon.Text,
                "the answer is not an order response", Millis(0)};
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
                     [Callback](const Outcome<AppendedRecord> &Done) {
                       if (Done)
                         Callback(Done->Change);
                       else
                         Callback(Done.failure());
                     });
  });
}

// ---- Periodic work ----

bool ControlThread::mayAcquireClaims() const {
  std::shared_ptr<const View> clusterView = view();
  bool leaving =
      clusterView->Members.at(Setup.Instance).State == Health::Leaving;
  return Follower->hasState() && Follower->logReachable() && !leaving &&
         !clusterView->MayBeIsolated && !state()->BlockedOffset;
}

asio::awaitable<void> ControlThread::tickLoop() {
  while (!Stopped) {
    TickTimer.expires_after(TickInterval);
    co_await TickTimer.async_wait(Awaited);
    PeerAccount->releaseFreed(monotonicNow());
    if (Stopped || !Follower->hasState())
      continue;
    TimePoint now = monotonicNow();
    std::shared_ptr<const FoldState> folded = state();
    std::shared_ptr<const View> clusterView = view();
    Claims->decide(*folded, *clusterView, mayAcquireClaims(), now);
    appendSnapshotIfDue(now);
  }
}

void ControlThread::appendSnapshotIfDue(TimePoint Now) {
  std::shared_ptr<const FoldState> folded = state();
  if (folded->SnapshotRevision != LastSnapshotOffset) {
    LastSnapshotOffset = folded->SnapshotRevision;
    LastSnapshotTime = Now;
  }
  std::optional<HeldClaim> claim = Claims->held(SnapshotResource, Now);
  if (!claim || SnapshotInFlight || folded->BlockedOffset)
    return;
  if (Now - LastRetentionCheck > RetentionCheckInterval) {
    LastRetentionCheck = Now;
    Follower->requestRead();
  }
  SnapshotDecisionInput input;
  input.Next = folded->Next;
  input.Last = folded->SnapshotRevision;
  input.LogFirst = Follower->logFirst();
  input.Age = std::chrono::duration_cast<Millis>(Now - LastSnapshotTime);
  if (!snapshotDue(input, SnapshotLimits))
    return;

  SnapshotInFlight = true;
  Appender->append(makeSnapshot(*folded, claim->Token), false,
                   [this](const Outcome<AppendedRecord> &Done) {
                     SnapshotInFlight = false;
                     if (!Done)
                       spdlog::warn("control: snapshot: {}",
                                    describe(Done.failure()));
                   });
}

void ControlThread::leave(std::function<void()> Callback) {
  asio::co_spawn(
      Context,
      [this, Callback]() -> asio::awaitable<void> {
        return performLeave(Callback);
      },
      asio::detached);
}

asio::awaitable<void>
ControlThread::performLeave(std::function<void()> Callback) {
  // Releases the claims, so that successors need not wait for their terms to
  // end.
  Claims->withdrawAllClaims();
  TimePoint until = monotonicNow() + LeaveTimeout;
  co_await Membership->leave();
  BootTimer timer(Context);
  while (!Stopped && Claims->holdsAny(*state()) && monotonicNow() < until) {
    timer.expires_after(LeavePollInterval);
    co_await timer.async_wait(Awaited);
  }
  Callback();
}

std::string ControlThread::statusJson() const {
  ControlStatus status;
  status.State = state();
  status.ClusterView = view();
  status.Held = Claims->activeClaims(monotonicNow());
  status.LogReachable = Follower->logReachable();
  status.Ready = ready();
  return toJson(status, Counters);
}

} // namespace

Result<std::unique_ptr<ControlPlane>>
ControlPlane::create(Settings Setup, Timeline &Events, OrderHandler Handle) {
  if (Setup.Instance.empty())
    return badInput("control plane", "the instance name is empty");
  if (Setup.PeerProbeInterval <= Millis(0) || Setup.ProbeTimeout <= Millis(0))
    return badInput("control plane",
                    "probe interval and timeout must be greater than 0");
  if (Setup.ClaimTerm <= Millis(0))
    return badInput("control plane", "the claim term must be greater than 0");
  std::unique_ptr<ControlThread> made = std::make_unique<ControlThread>(
      std::move(Setup), Events, std::move(Handle));
  BOOST_LEAF_CHECK(made->bind());
  made->start();
  return std::unique_ptr<ControlPlane>(std::move(made));
}

} // namespace wasabi
