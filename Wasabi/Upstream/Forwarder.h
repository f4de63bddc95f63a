/// \file
/// Has a request answered by a server of its route: choice, retries within what
/// the route allows, and an answer that tells the truth.
#ifndef WASABI_UPSTREAM_FORWARDER_H
#define WASABI_UPSTREAM_FORWARDER_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/Quarantine.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Usage/UsageMeter.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <memory>
#include <random>
#include <string>

namespace wasabi {

/// One request to forward.
struct ForwardRequest {
  /// For logs.
  std::string Id;
  /// Without the caller's key.
  http::Request Ask;
  /// Whose request it is; empty for nobody's.
  std::optional<Customer> By;
  /// What the caller will wait at most; empty if it does not say.
  std::optional<Millis> Patience;
  TimePoint Arrived;
};

/// Used on one thread, that of its executor.
class Forwarder : public std::enable_shared_from_this<Forwarder> {
public:
  struct Settings {
    /// One try may take this share of what is left while there is another
    /// server to ask: a server that is silent must not use up the request.
    double TryShare = 0.5;
    /// Shortest time for one try: the longest ordinary work takes 190 ms.
    Millis LeastTry{350};
    /// Pause that a refused caller is told: after it a slot has come free.
    Millis RetryAfter{100};
    /// Most tries that no server ran.
    std::uint32_t MaxUnrun = 6;
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
  boost::asio::awaitable<void> relay(ForwardRequest What, UpstreamRoute Route,
                                     std::shared_ptr<http::Responder> Out);

  /// One whole answer for a request of the system's own. `NotRun` failures when
  /// no server took it.
  boost::asio::awaitable<Outcome<UpstreamAnswer>>
  answer(ForwardRequest What, UpstreamRoute Route,
         boost::asio::cancellation_signal &Stop);

private:
  /// How far a request has come.
  struct Progress;

  Forwarder(Parts With, Settings Limits);

  std::shared_ptr<UpstreamServer> nextServer(Progress &Of);
  Millis tryTime(const Progress &Of) const;
  std::optional<Failure> quarantined(const Progress &Of) const;
  boost::asio::awaitable<std::optional<Outcome<UpstreamAnswer>>>
  tryOnce(Progress &Of, boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<bool>
  lookAtEnd(Progress &Of, const Failure &Why,
            boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<std::unique_ptr<EngineStream>>
  openStream(Progress &Of, std::optional<std::uint64_t> After,
             boost::asio::cancellation_signal &Stop);
  boost::asio::awaitable<bool> passEvents(Progress &Of, EngineStream &From,
                                          std::uint64_t &Last,
                                          http::Responder &Out);
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
};

/// The answer to a request that no server has run and none will run.
http::Response refusal(std::string_view Reason, Millis RetryAfter);

/// The answer to a request of which nobody can say whether it ran, or whose
/// time is up.
http::Response failureAnswer(unsigned Status, std::string_view Reason);

} // namespace wasabi

#endif // WASABI_UPSTREAM_FORWARDER_H
