#include "UnitTests/Dispatch/FakeEngines.h"

namespace wasabi::batchtest {

namespace asio = boost::asio;

namespace {

constexpr unsigned Ok = 200;

Failure makeFailure(FailureCode Code) {
  return Failure{
      Verdict::MayHaveRun, Code, "fake engine", "injected fault", {}};
}

/// Stream of a text whose events have the data `ITEM:N`.
class FakeStream final : public EngineStream {
public:
  FakeStream(FakeEngines &Engines, ServerName ServerId, std::string Item,
             std::uint64_t After, StreamHead Head)
      : Engines(Engines), ServerId(std::move(ServerId)), Item(std::move(Item)),
        LastEvent(After), Head(std::move(Head)),
        Wake(Engines.Context.get_executor()) {}

  const StreamHead &head() const override { return Head; }
  void cancel() override {
    Cancelled = true;
    Wake.notify();
  }

  asio::awaitable<Outcome<std::optional<EngineEvent>>>
  next(Millis Timeout) override {
    FakeServer &server = Engines.Servers[ServerId];
    TimePoint until =
        monotonicNow() + (server.Unresponsive ? Timeout : server.EventDelay);
    if (!Cancelled)
      co_await Wake.wait(until);
    // The server may have become unresponsive during the delay.
    if (!Cancelled && server.Unresponsive)
      co_await Wake.wait(monotonicNow() + Timeout);
    server.Crashed = server.Crashed || (Item == Engines.CrashItem &&
                                        EventsSent >= Engines.CrashAfterEvents);
    if (server.Crashed)
      co_return makeFailure(FailureCode::ConnectionLost);
    if (Cancelled || server.Unresponsive)
      co_return makeFailure(FailureCode::Cancelled);
    bool isEndless = server.EndlessEventBytes > 0;
    if (!isEndless && LastEvent >= Engines.EventsPerText)
      co_return std::optional<EngineEvent>();
    if (server.BreakAfterEvents > 0 &&
        ++AttemptedEvents > server.BreakAfterEvents)
      co_return makeFailure(FailureCode::ConnectionLost);
    EngineEvent event;
    event.Id = ++LastEvent;
    ++EventsSent;
    event.Data = isEndless ? std::string(server.EndlessEventBytes, 'x')
                           : Item + ":" + std::to_string(LastEvent);
    if (Head.Version != server.Version) {
      event.Version = server.Version;
      Head.Version = server.Version;
    }
    co_return std::optional<EngineEvent>(std::move(event));
  }

private:
  FakeEngines &Engines;
  const ServerName ServerId;
  const std::string Item;
  std::uint64_t LastEvent;
  std::uint64_t AttemptedEvents = 0;
  std::uint64_t EventsSent = 0;
  StreamHead Head;
  AsyncSignal Wake;
  bool Cancelled = false;
};

} // namespace

EnginePort FakeEngines::port() {
  EnginePort port;
  port.Open = [this](UpstreamRegistration Server, const http::Request &,
                     SendOptions Options, Millis) {
    return open(std::move(Server), std::move(Options));
  };
  port.Call = [this](UpstreamRegistration Server, const http::Request &,
                     SendOptions Options, Millis) {
    return call(std::move(Server), std::move(Options));
  };
  port.Probe = [this](UpstreamRegistration Server, Millis) {
    return probe(std::move(Server));
  };
  return port;
}

asio::awaitable<Outcome<ServerProbeResult>>
FakeEngines::probe(UpstreamRegistration Server) {
  co_await pauseFor(Context.get_executor(), Millis(1));
  co_return Servers[Server.Id].Crashed ? ServerProbeResult::RefusesConnections
                                       : ServerProbeResult::Listens;
}

asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
FakeEngines::open(UpstreamRegistration Server, SendOptions Options) {
  co_await pauseFor(Context.get_executor(), Millis(1));
  FakeServer &server = Servers[Server.Id];
  server.Runs.push_back(Options.RequestId);
  if (server.RefusesConnections || server.Crashed)
    co_return Failure{Verdict::NotRun, FailureCode::Unreachable, Server.Id.Text,
                      "refused", Millis(0)};
  std::uint64_t after = Options.ResumeAfter.value_or(0);
  Customers.insert(Options.Customer.Text);
  constexpr std::uint8_t NoPriority = 255;
  Priorities[Options.RequestId] = Options.Priority.value_or(NoPriority);
  if (after > 0)
    ResumedAfter.push_back(after);
  StreamHead head;
  head.Proof = AnswerProof::Ran;
  head.Response.Status = server.Status;
  // A server that has no events to add reports no version.
  if (after < EventsPerText)
    head.Version = server.Version;
  std::unique_ptr<EngineStream> stream = std::make_unique<FakeStream>(
      *this, Server.Id, Options.RequestId, after, std::move(head));
  co_return stream;
}

asio::awaitable<Outcome<UpstreamResponse>>
FakeEngines::call(UpstreamRegistration Server, SendOptions Options) {
  co_await pauseFor(Context.get_executor(), Millis(1));
  ScoreDeadlines.push_back(Options.Deadline.value_or(Millis(0)));
  if (Options.Priority)
    ScorePriorities.push_back(*Options.Priority);
  if (Servers[Server.Id].Unresponsive)
    co_return makeFailure(FailureCode::TimedOut);
  UpstreamResponse answer;
  answer.Proof = AnswerProof::Ran;
  answer.Response.Status = Ok;
  if (!ScoreStatuses.empty()) {
    answer.Response.Status = ScoreStatuses.front();
    ScoreStatuses.erase(ScoreStatuses.begin());
  }
  answer.Signature = "sig-" + Options.RequestId;
  ScoredItems.push_back(Options.RequestId);
  co_return answer;
}

} // namespace wasabi::batchtest
