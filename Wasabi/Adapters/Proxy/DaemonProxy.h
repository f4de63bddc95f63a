/// \file
/// A daemon's work: the only road to the servers behind it. Admits, forwards
/// once, relays the answer, remembers keys, and carries out orders.
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

/// One server behind a daemon, from its settings. An immutable value.
struct ProxiedServer {
  ServerName Server;
  ServiceName Service;
  Address Where;
  bool operator==(const ProxiedServer &) const = default;
};

/// Reads `server=service@IP:PORT,…`. Errors: `BadInput` naming `Place` and the
/// item; also for a server named twice. Pure.
Result<std::vector<ProxiedServer>> parseUpstreams(std::string_view Text,
                                                  std::string_view Place);

/// Not thread-safe, but for what says so: use on the context's thread.
class DaemonProxy : public std::enable_shared_from_this<DaemonProxy> {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    std::vector<ProxiedServer> Upstreams;
    /// Time between two looks at an engine's state, and how long one may take.
    Millis StatePollInterval{250};
    Millis StateTimeout{1000};
    /// Looks in a row that must fail before a server is out of service.
    std::uint32_t UnhealthyThreshold = 3;
    /// Time between two looks at the waiting requests' deadlines.
    Millis TickInterval{20};
    /// How long a witness of a key may take to answer.
    Millis WitnessTimeout{500};
    /// How long handing all keys over may take.
    Millis HandOverTimeout{5000};
    /// Longest that an order waits for running samples, and takes after it.
    Millis SampleDrainTimeout{60000};
    Millis OrderTimeout{60000};
    std::uint64_t Seed = 1;
  };

  /// What the proxy tells the control plane.
  using ServerStatusCallback = std::function<void(std::vector<ServerStatus>)>;
  using OrderCallback = std::function<void(Outcome<OrderAnswer>)>;

  /// `Events` and `Counts` must outlive the proxy.
  static std::shared_ptr<DaemonProxy> create(boost::asio::io_context &Context,
                                             Settings Setup, Timeline &Events,
                                             Metrics &Counts);
  virtual ~DaemonProxy() = default;

  /// Begins to take requests and to tell of the servers; before it every
  /// request is refused `NotRun`.
  virtual void attach(ControlPlaneReader Source, ServerStatusCallback Tell) = 0;
  /// Runs one attempt. For `RequestServer`.
  virtual boost::asio::awaitable<void>
  handle(RequestAttempt Attempt, std::shared_ptr<ResponseSink> Sink) = 0;
  /// Carries an order out; calls back once, on the context's thread.
  virtual void order(Order What, OrderCallback Callback) = 0;
  /// What load reports say.
  virtual std::vector<ReportedLoad> loads() const = 0;
  /// From now on new work is refused `NotRun`; what runs goes on to its end.
  virtual void leave() = 0;
  /// Tells the keys' witnesses among those that stay what is remembered here,
  /// and calls back when they know or after a bounded time. After `leave`.
  virtual void handOver(std::function<void()> Callback) = 0;
  /// Attempts at hand. Thread-safe.
  virtual std::size_t inFlight() const = 0;
  /// Ends the polling.
  virtual void stop() = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_DAEMONPROXY_H
