/// \file
/// Forwards requests to the upstream servers of a route: selects a server,
/// retries as far as the route allows, and reports whether a request that
/// failed may have run.
#ifndef WASABI_UPSTREAM_FORWARDER_H
#define WASABI_UPSTREAM_FORWARDER_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Customers/Access.h"
#include "Wasabi/Customers/ServedShares.h"
#include "Wasabi/LoadExchange/LoadExchange.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/Quarantine.h"
#include "Wasabi/Routing/AdmissionGate.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Upstream/Hedging.h"
#include "Wasabi/Upstream/ServerSelection.h"
#include "Wasabi/Usage/UsageMeter.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>

namespace wasabi {

/// One request to forward.
struct ForwardRequest {
  /// Id used in logs and passed to the engine port.
  std::string Id;
  /// The request without the caller's API key.
  http::Request HttpRequest;
  /// The customer that sent the request; empty if it is anonymous.
  std::optional<Customer> Caller;
  /// Maximum time that the caller waits; empty if it states none.
  std::optional<Millis> CallerTimeout;
  TimePoint ArrivedAt;
  /// True if the request belongs to work that was handed in for later. Such
  /// requests do not crash servers by themselves: they are not quarantined, and
  /// they share no crash with other requests.
  bool IsDeferredWork = false;
};

/// Sends requests to upstream servers and returns or streams their responses.
/// Must be used on the executor's thread only.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
  struct Settings {
    /// Fraction of the remaining time that one attempt may take while further
    /// attempts are allowed, so that an unresponsive server leaves time for
    /// another one.
    double AttemptTimeoutShare = 0.5;
    /// Minimum timeout of an attempt that is not the last one, if the request
    /// has that much time left.
    Millis MinAttemptTimeout{350};
    /// Minimum `Retry-After` value of a refusal.
    Millis RetryAfter{100};
    /// A request waits for a server that doesn't respond while its outage is
    /// shorter than this. Covers the restart of a server.
    Millis MaxOutageWait{3000};
    /// Interval at which a waiting request looks for a server that has
    /// registered meanwhile.
    Millis OutagePollInterval{20};
    /// Maximum number of attempts that no server ran.
    std::uint32_t MaxNotRunAttempts = 6;
    /// Limit of the requests of this process that are in flight at one service.
    /// It starts too high to have an effect. A refusal by the servers lowers it
    /// below the number of running requests, answers raise it again, and
    /// waiting requests are admitted by priority and customer.
    ConcurrencyLimit::Settings Concurrency{.InitialLimit = 4096,
                                           .MinLimit = 1,
                                           .MaxLimit = 4096,
                                           .AdaptToLatency = false,
                                           .DecreaseFromRunning = true,
                                           .MinWindowSamples = 1};
    /// Fraction of a request's time in which it may wait while all servers are
    /// full; the rest lets the caller retry at another process.
    double AdmissionWaitShare = 0.5;
    /// Retry delay of the most urgent request when all servers are full, as a
    /// fraction of the service's average latency. It scales with the latency
    /// because slots of a fast service become free more often.
    double OverloadRetryShare = 0.8;
    /// Maximum of that delay; also used while the latency is unknown.
    Millis MaxOverloadRetryDelay{20};
    /// When requests in flight are sent to a second server as well.
    Hedging::Settings Hedges;
  };

  /// Dependencies of a forwarder.
  struct Parts {
    boost::asio::any_io_executor Executor;
    /// Must outlive the forwarder.
    FleetView &View;
    EnginePort Engines;
    std::shared_ptr<Quarantine> CrashQuarantine;
    std::shared_ptr<DecisionLog> Decisions;
    /// Must outlive the forwarder.
    Metrics &Counts;
    /// Counts the requests that servers begin to run; null if usage is not
    /// metered.
    std::shared_ptr<UsageMeter> Usage = nullptr;
    /// Exchanges the load of the services with other processes; null if this
    /// process knows only its own requests.
    std::shared_ptr<LoadExchange> Loads = nullptr;
  };

  static std::shared_ptr<Forwarder> create(Parts Dependencies, Settings Limits);

  /// Answers a caller's request of an idempotent or non-idempotent route
  /// through `Out`. Cancels the request at the server if the caller
  /// disconnects.
  boost::asio::awaitable<void> forward(ForwardRequest Request,
                                       UpstreamRoute Route,
                                       std::shared_ptr<http::Responder> Out);

  /// Answers a caller's request of a streaming route through `Out`, event by
  /// event. If the stream breaks and the route is resumable, continues after
  /// the last event at another server.
  boost::asio::awaitable<void>
  forwardStream(ForwardRequest Request, UpstreamRoute Route,
                std::shared_ptr<http::Responder> Out);

  /// Returns the complete response to a request. Fails with `NotRun` if no
  /// server ran it, and with `Cancelled` after `Stop` is emitted.
  boost::asio::awaitable<Outcome<UpstreamResponse>>
  answer(ForwardRequest Request, UpstreamRoute Route,
         boost::asio::cancellation_signal &Stop);

private:
  /// State of one request; defined in ForwardProgress.h.
  struct Progress;
  /// One attempt to send a request; defined in ForwardProgress.h.
  struct Attempt;
  /// The concurrent attempts of one request; defined in ForwarderHedging.cpp.
  struct AttemptRace;
  /// Admission of requests to one service.
  struct ServiceAdmission {
    std::shared_ptr<AdmissionGate> Gate;
    ServedShares Shares;
    /// Earliest times of the next attempt, by priority, after all servers were
    /// full; see `awaitTurn`.
    std::map<std::uint32_t, TimePoint> NextAttempts;
  };
  /// Result of the attempts to send one request.
  struct AttemptResult {
    /// The last response, which may be a server error; empty if there is none.
    std::optional<UpstreamResponse> Answer;
    bool CallerLeft = false;
    /// Reason for the missing response.
    Failure Error;
  };

  Forwarder(Parts Dependencies, Settings Limits);

  std::shared_ptr<UpstreamServer> selectNextServer(Progress &State,
                                                   bool AvoidSuspects);
  boost::asio::awaitable<std::optional<Failure>>
  chooseServerFor(Progress &State, boost::asio::cancellation_signal &Stop);
  void recordNoResponse(const Progress &State, UpstreamServer &Server,
                        const Failure &Error, TimePoint Began);
  std::optional<TimePoint> findNextRetry(const Progress &State,
                                         TimePoint Now) const;
  boost::asio::awaitable<std::optional<bool>>
  awaitServer(Progress &State, boost::asio::cancellation_signal &Stop);
  bool mayTrial(const Progress &State) const;
  void recordSelection(Progress &State, const ServerChoice &Choice);
  void recordSlowServers(const ServiceName &Service, const ServiceLoad *Others,
                         TimePoint Now);
  Millis attemptTimeout(const Progress &State) const;
  std::optional<Failure> findQuarantineFailure(const Progress &State) const;
  std::shared_ptr<Attempt> beginAttempt(Progress &State,
                                        std::shared_ptr<UpstreamServer> Server);
  boost::asio::awaitable<Outcome<UpstreamResponse>>
  callServer(const Progress &State, const Attempt &Sent, Millis Timeout) const;
  void recordAttempt(Progress &State, Attempt &Ended, bool IsLastInFlight);
  bool mergeAttempt(Progress &State, const Attempt &Ended,
                    AttemptResult &Result) const;
  boost::asio::awaitable<bool> tryOnce(Progress &State, AttemptResult &Result,
                                       boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<bool>
  tryHedged(Progress &State, AttemptResult &Result,
            boost::asio::cancellation_signal &Stop);
  std::shared_ptr<UpstreamServer>
  selectHedgeServer(const Progress &State, const Attempt &First, TimePoint Now);
  void startHedge(Progress &State, const std::shared_ptr<AttemptRace> &Race);
  void startCall(const Progress &State,
                 const std::shared_ptr<AttemptRace> &Race,
                 const std::shared_ptr<Attempt> &Started, Millis Timeout) const;
  bool collectEnded(Progress &State, const std::shared_ptr<AttemptRace> &Race,
                    AttemptResult &Result);
  void cancelAttempts(Progress &State, AttemptRace &Race);
  void recordHedgeEnd(const Progress &State, const AttemptRace &Race);
  void recordLoad(const Progress &State, const UpstreamServer &Server,
                  const Outcome<UpstreamResponse> &Got, double LatencyMs) const;
  boost::asio::awaitable<bool>
  checkServerCrash(Progress &State, const Failure &Error, TimePoint Began,
                   boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<std::unique_ptr<EngineStream>>
  openStream(Progress &State, std::optional<std::uint64_t> After,
             boost::asio::cancellation_signal &Stop);
  Failure makeNoStreamFailure(const Progress &State) const;
  boost::asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
  openAdmittedStream(Progress &State, std::optional<AdmissionPermit> &Permit,
                     boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<bool> forwardStreamEvents(Progress &State,
                                                   EngineStream &Stream,
                                                   std::uint64_t &LastEventId,
                                                   http::Responder &Out);
  ServiceAdmission &findOrCreateAdmission(const ServiceName &Service);
  AdmissionRequest makeAdmissionRequest(const Progress &State,
                                        std::uint64_t Id);
  Millis overloadRetryDelay(const Progress &State) const;
  bool canRetryOverloaded(const Progress &State);
  void recordServedShare(const Progress &State, bool Served);
  boost::asio::awaitable<Done> pause(Millis Delay) const;
  boost::asio::awaitable<std::optional<Outcome<Done>>>
  awaitAdmission(const Progress &State, AdmissionPermit &Permit,
                 boost::asio::cancellation_signal &Stop);
  void paceAttempts(const Progress &State);
  TimePoint nextAttempt(const Progress &State);
  boost::asio::awaitable<std::optional<Outcome<Done>>>
  awaitTurn(const Progress &State, std::optional<AdmissionPermit> &Permit,
            boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<AttemptResult>
  tryServers(Progress &State, boost::asio::cancellation_signal &Stop);
  Failure finishFailed(const Progress &State, Failure Error);
  void meterUsage(Progress &State) const;
  void withdrawUsage(Progress &State) const;
  void recordRequestOutcome(const Progress &State, std::string_view Outcome,
                            unsigned Status);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  FleetView &View;
  const EnginePort Engines;
  const std::shared_ptr<Quarantine> CrashQuarantine;
  const std::shared_ptr<DecisionLog> Decisions;
  Metrics &Counts;
  const std::shared_ptr<UsageMeter> Usage;
  const std::shared_ptr<LoadExchange> Loads;
  std::mt19937_64 Random;
  Hedging Hedges;
  /// Trial requests that may be sent to servers that look slow; empty at the
  /// start.
  RetryBudget Trials{TrialBudget, 0};
  std::map<ServiceName, ServiceAdmission> Admissions;
  /// Id of the most recent admission request.
  std::uint64_t LastAdmissionId = 0;
};

/// Returns the 503 response to a request that has not run and will not run,
/// with a `Retry-After` header.
http::Response makeRefusalResponse(std::string_view Reason, Millis RetryAfter);

/// Returns the response to a request that may have run or whose deadline has
/// passed.
http::Response makeFailureResponse(unsigned Status, std::string_view Reason);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FORWARDER_H
