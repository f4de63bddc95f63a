/// \file
/// Proxy of a daemon to the servers behind it: admits and forwards attempts,
/// relays responses, remembers idempotency keys and executes orders.
#ifndef WASABI_ADAPTERS_PROXY_DAEMONPROXY_H
#define WASABI_ADAPTERS_PROXY_DAEMONPROXY_H

#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Adapters/Proxy/EntryProxy.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Routing/Admission.h"
#include "Wasabi/Routing/IdempotencyKeys.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// Configuration of one server behind a daemon. An immutable value.
struct ProxiedServer {
  ServerName Server;
  ServiceName Service;
  Address Where;
  bool operator==(const ProxiedServer &) const = default;
};

/// Parses `server=service@IP:PORT,…`. Errors: `BadInput` naming `Place` and the
/// item, also for a duplicate server. Pure.
Result<std::vector<ProxiedServer>> parseUpstreams(std::string_view Text,
                                                  std::string_view Place);

/// Not thread-safe unless stated otherwise: use on the context's thread.
class DaemonProxy : public std::enable_shared_from_this<DaemonProxy> {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    std::vector<ProxiedServer> Upstreams;
    /// Interval between polls of an engine's state, and timeout of one poll.
    Millis StatePollInterval{250};
    Millis StateTimeout{1000};
    /// Number of consecutive failed polls after which a server is out of
    /// service.
    std::uint32_t UnhealthyThreshold = 3;
    /// Interval between checks of the deadlines of queued requests.
    Millis TickInterval{20};
    /// Maximum time to wait for the response of a witness of a key.
    Millis WitnessTimeout{500};
    /// Maximum duration of the handover of all keys.
    Millis HandOverTimeout{5000};
    /// Maximum time that an order waits for running samples, and timeout of the
    /// request to the engine that follows.
    Millis SampleDrainTimeout{60000};
    Millis OrderTimeout{60000};
    std::uint64_t Seed = 1;
  };

  /// Receives the status of all servers when it changes.
  using ServerStatusCallback = std::function<void(std::vector<ServerStatus>)>;
  using OrderCallback = std::function<void(Outcome<OrderAnswer>)>;

  /// `Events` and `Counts` must outlive the proxy.
  static std::shared_ptr<DaemonProxy> create(boost::asio::io_context &Context,
                                             Settings Setup, Timeline &Events,
                                             Metrics &Counts);
  virtual ~DaemonProxy() = default;

  /// Starts to accept attempts and to report server status. Before this call,
  /// every attempt is refused with `NotRun`.
  virtual void attach(ControlPlaneReader Reader,
                      ServerStatusCallback Callback) = 0;
  /// Runs one attempt. Request handler for `RequestServer`.
  virtual boost::asio::awaitable<void>
  handle(RequestAttempt Attempt, std::shared_ptr<ResponseSink> Sink) = 0;
  /// Executes an order; calls back once, on the context's thread.
  virtual void executeOrder(Order Command, OrderCallback Callback) = 0;
  /// Returns the current load of each server, for load reports.
  virtual std::vector<ReportedLoad> loads() const = 0;
  /// Refuses new attempts with `NotRun`; running attempts continue to their
  /// end.
  virtual void startDraining() = 0;
  /// Sends all remembered keys to those of their witnesses that take work.
  /// Starts no request after `HandOverTimeout`, and calls back when all
  /// requests have ended. Precondition: `startDraining` was called.
  virtual void handOver(std::function<void()> Callback) = 0;
  /// Returns the number of attempts in flight. Thread-safe.
  virtual std::size_t inFlight() const = 0;
  /// Stops polling and closes the connections to other daemons.
  virtual void stop() = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_DAEMONPROXY_H
