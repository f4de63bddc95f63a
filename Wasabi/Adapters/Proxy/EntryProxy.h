/// \file
/// An entry's work: takes callers' requests, has them answered by a daemon, and
/// gives each caller its whole answer or a refusal with a verdict.
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

/// What the proxy reads of the control plane; each function is thread-safe.
struct ControlPlaneReader {
  std::function<std::shared_ptr<const FoldState>()> State;
  std::function<std::shared_ptr<const View>()> Members;
  /// Told when a daemon could not be reached. May be empty.
  std::function<void(InstanceName)> Unreachable;
};

/// The source that reads a control plane, which must outlive it.
ControlPlaneReader sourceOf(ControlPlane &Control);

/// Not thread-safe, but for what says so: use on the context's thread.
class EntryProxy : public std::enable_shared_from_this<EntryProxy> {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// A whole answer up to this many bytes is put together before its head is
    /// sent, so that a break can still be retried or told.
    std::size_t MaxBufferedBytes = 1u << 20;
    /// Most attempts of one request.
    std::uint32_t MaxAttempts = 4;
    RetryBudget::Settings Retries;
    BalancerSettings Choice;
    /// Time between two looks at the view, for connecting ahead.
    Millis RefreshInterval{100};
    std::uint64_t Seed = 1;
  };

  /// `Events` and `Counts` must outlive the proxy.
  static std::shared_ptr<EntryProxy> create(boost::asio::io_context &Context,
                                            Settings Setup,
                                            ControlPlaneReader Source,
                                            Timeline &Events, Metrics &Counts);
  virtual ~EntryProxy() = default;

  /// Answers one caller's request. For `http::Server`.
  virtual boost::asio::awaitable<void>
  handle(http::Request Ask, std::shared_ptr<http::Responder> Out) = 0;
  /// Requests at hand. Thread-safe.
  virtual std::size_t inFlight() const = 0;
  /// Ends the connections to daemons and the refreshing.
  virtual void stop() = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_ENTRYPROXY_H
