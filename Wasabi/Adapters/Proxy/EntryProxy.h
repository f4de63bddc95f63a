/// \file
/// Proxy of an entry: accepts callers' requests, forwards them to daemons and
/// returns a complete response or a refusal with a verdict.
#ifndef WASABI_ADAPTERS_PROXY_ENTRYPROXY_H
#define WASABI_ADAPTERS_PROXY_ENTRYPROXY_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Routing/LoadBalancing.h"
#include "Wasabi/Routing/RetryBudget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace wasabi {

/// Read access to the control plane; each function is thread-safe.
struct ControlPlaneReader {
  std::function<std::shared_ptr<const FoldState>()> State;
  std::function<std::shared_ptr<const View>()> Members;
  /// Reports a daemon that could not be reached. May be empty.
  std::function<void(InstanceName)> Unreachable;
};

/// Returns a reader of `Control`, which must outlive it.
ControlPlaneReader makeControlPlaneReader(ControlPlane &Control);

/// Not thread-safe unless stated otherwise: use on the context's thread.
class EntryProxy : public std::enable_shared_from_this<EntryProxy> {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// Maximum number of response bytes that are buffered before the head is
    /// sent. Until then, a failed attempt can be retried or reported to the
    /// caller.
    std::size_t MaxBufferedBytes = 1u << 20;
    /// Maximum number of attempts of one request.
    std::uint32_t MaxAttempts = 4;
    RetryBudget::Settings Retries;
    BalancerSettings Balancing;
    /// Interval between refreshes of the candidates, which also connect to
    /// their daemons.
    Millis RefreshInterval{100};
    std::uint64_t Seed = 1;
  };

  /// `Events` and `Counts` must outlive the proxy.
  static std::shared_ptr<EntryProxy> create(boost::asio::io_context &Context,
                                            Settings Setup,
                                            ControlPlaneReader Reader,
                                            Timeline &Events, Metrics &Counts);
  virtual ~EntryProxy() = default;

  /// Handles one caller's request. Request handler for `http::Server`.
  virtual boost::asio::awaitable<void>
  handle(http::Request Request, std::shared_ptr<http::Responder> Out) = 0;
  /// Returns the number of requests in flight. Thread-safe.
  virtual std::size_t inFlight() const = 0;
  /// Closes the connections to daemons and stops refreshing.
  virtual void stop() = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_ENTRYPROXY_H
