/// \file
/// Has a request answered by a server of its route: choice, retries within what
/// the route allows, and an answer that tells the truth.
#ifndef WASABI_UPSTREAM_FORWARDER_H
#define WASABI_UPSTREAM_FORWARDER_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Customers/Access.h"
#include "Wasabi/Customers/ServedShares.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/Quarantine.h"
#include "Wasabi/Routing/AdmissionGate.h"
#include "Wasabi/Upstream/FleetView.h"
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
  /// For logs.
  std::string Id;
  /// Without the caller's key.
  http::Request HttpRequest;
  /// Whose request it is; empty for nobody's.
  std::optional<Customer> Caller;
  /// What the caller will wait at most; empty if it does not say.
  std::optional<Millis> CallerTimeout;
  TimePoint ArrivedAt;
};

/// Used on one thread, that of its executor.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
  struct Settings {
    /// One try may take this share of what is left while there is another
    /// server to ask: a server that is silent must not use up the request.
    double AttemptTimeoutShare = 0.5;
    /// Shortest time for one try: the longest ordinary work takes 190 ms.
    Millis MinAttemptTimeout{350};
    /// Pause that a refused caller is told: after it a slot has come free.
    Millis RetryAfter{100};
    /// Most tries that no server ran.
    std::uint32_t MaxNotRunAttempts = 6;
    /// How many requests of this process are at a service at once. It bounds
    /// nothing until the servers refuse some; then it falls below what runs,
    /// rises again by one each 100 ms in which a request was answered, and
    /// those that wait go by priority and customer.
    ConcurrencyLimit::Settings Concurrency{.InitialLimit = 4096,
                                           .MinLimit = 4,
                                           .MaxLimit = 4096,
                                           .AdaptToLatency = false,
                                           .DecreaseFromRunning = true,
                                           .MinWindowSamples = 1};
    /// Part of a request's time in which it may wait for servers that are all
    /// full: half is left to come back to another process.
    double AdmissionWaitShare = 0.5;
    /// Pause of the most urgent of these before they ask again: this part of
    /// the time that an answer of the service takes, in which a place comes
    /// free somewhere. A fixed pause lets those of a service with short answers
    /// ask so rarely that others find the places.
    double OverloadRetryShare = 0.8;
    /// Longest such pause, and the one while no answer has come yet.
    Millis MaxOverloadRetryDelay{20};
  };

  /// What a forwarder works with.
  struct Parts {
    boost::asio::any_io_executor Executor;
    /// Outlives the forwarder.
    FleetView &View;
    EnginePort Engines;
    std::shared_ptr<Quarantine> Crashes;
    std::shared_ptr<DecisionLog> Decisions;
    /// Outlives the forwarder.
    Metrics &Counts;
    /// Counts what servers begin to run; null where nobody wants to know.
    std::shared_ptr<UsageMeter> Usage = nullptr;
  };

  static std::shared_ptr<Forwarder> create(Parts With, Settings Limits);

  /// Answers a caller's request of an idempotent or non-idempotent route. When
  /// the caller leaves, the work at the server is stopped.
  boost::asio::awaitable<void> forward(ForwardRequest What, UpstreamRoute Route,
                                       std::shared_ptr<http::Responder> Out);

  /// Answers a caller's request of a streaming route: events as they arrive, at
  /// another server further on where the route allows it.
  boost::asio::awaitable<void>
  forwardStream(ForwardRequest What, UpstreamRoute Route,
                std::shared_ptr<http::Responder> Out);

  /// One whole answer for a request of the system's own. `NotRun` failures when
  /// no server took it.
  boost::asio::awaitable<Outcome<UpstreamResponse>>
  answer(ForwardRequest What, UpstreamRoute Route,
         boost::asio::cancellation_signal &Stop);

private:
  /// How far a request has come.
  struct Progress;
  /// Who is next at a service whose servers are full.
  struct ServiceAdmission {
    std::shared_ptr<AdmissionGate> Gate;
    ServedShares Shares;
  };
  /// What the tries of a request came to.
  struct Round {
    /// The last answer; one of a server that failed is better than none.
    std::optional<UpstreamResponse> Answer;
    bool CallerLeft = false;
    /// Why there is no answer.
    Failure Why;
  };

  Forwarder(Parts With, Settings Limits);

  std::shared_ptr<UpstreamServer> nextServer(Progress &Of);
  Millis attemptTimeout(const Progress &Of) const;
  std::optional<Failure> quarantined(const Progress &Of) const;
  boost::asio::awaitable<std::optional<Outcome<UpstreamResponse>>>
  tryOnce(Progress &Of, boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<bool>
  checkServerCrash(Progress &Of, const Failure &Why,
                   boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<std::unique_ptr<EngineStream>>
  openStream(Progress &Of, std::optional<std::uint64_t> After,
             boost::asio::cancellation_signal &Stop);
  Failure makeNoStreamFailure(const Progress &Of) const;
  boost::asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
  openAdmittedStream(Progress &Of, std::optional<AdmissionPermit> &Pass,
                     boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<bool> forwardStreamEvents(Progress &Of,
                                                   EngineStream &From,
                                                   std::uint64_t &Last,
                                                   http::Responder &Out);
  ServiceAdmission &findOrCreateAdmission(const ServiceName &Of);
  AdmissionRequest makeAdmissionRequest(const Progress &Of, std::uint64_t Id);
  Millis overloadRetryDelay(const Progress &Of) const;
  bool canRetryOverloaded(const Progress &Of);
  void recordServedShare(const Progress &Of, bool Served);
  boost::asio::awaitable<Done> pause(Millis For) const;
  boost::asio::awaitable<std::optional<Outcome<Done>>>
  enter(const Progress &Of, AdmissionPermit &With,
        boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<Round>
  tryServers(Progress &Of, boost::asio::cancellation_signal &Stop);
  Failure failed(const Progress &Of, Failure Why);
  void count(Progress &Of) const;
  void withdraw(Progress &Of) const;
  void note(const Progress &Of, std::string_view Outcome, unsigned Status);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  FleetView &View;
  const EnginePort Engines;
  const std::shared_ptr<Quarantine> Crashes;
  const std::shared_ptr<DecisionLog> Decisions;
  Metrics &Counts;
  const std::shared_ptr<UsageMeter> Usage;
  std::mt19937_64 Random;
  std::map<ServiceName, ServiceAdmission> Admissions;
  /// Counts the requests that asked for admission.
  std::uint64_t Asks = 0;
};

/// The answer to a request that no server has run and none will run.
http::Response makeRefusalResponse(std::string_view Reason, Millis RetryAfter);

/// The answer to a request of which nobody can say whether it ran, or whose
/// time is up.
http::Response makeFailureResponse(unsigned Status, std::string_view Reason);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FORWARDER_H
