/// \file
/// The answering side of the request frames: a daemon's front.
#ifndef WASABI_ADAPTERS_FRAMES_REQUESTSERVER_H
#define WASABI_ADAPTERS_FRAMES_REQUESTSERVER_H

#include "Wasabi/Adapters/Frames/RequestClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace wasabi {

/// Where a daemon's handler puts its answer. One of `refuse` or `begin` is
/// called, once; after `begin`, `write` any number of times, then `end` or
/// `fail`. Used on the server's thread.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;
  virtual void begin(http::Response Head, ServerName Server) = 0;
  /// Sends body bytes; returns once the asker has credit for them.
  /// Failures: `Cancelled` or `ConnectionLost` when nobody wants them.
  virtual boost::asio::awaitable<Outcome<Done>> write(std::string Bytes) = 0;
  virtual void end() = 0;
  /// Refuses or breaks off, with the verdict.
  virtual void fail(Failure Why) = 0;
  /// Whether the asker cancelled or is gone.
  virtual bool gone() const = 0;
  /// Called once when `gone` becomes true.
  virtual void onGone(std::function<void()> Callback) = 0;
};

/// Accepts connections and runs a handler per request. Malformed frames end
/// their connection with a logged reason; the server goes on.
/// Not thread-safe: use on the context's thread.
class RequestServer {
public:
  struct Settings {
    Address Listen{"127.0.0.1", 0};
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// Most requests open on one connection; further ones are refused `NotRun`.
    std::size_t MaxRequestsPerConnection = 8192;
    std::size_t MaxConnections = 4096;
    /// Time between two load reports on a connection that is not answered on:
    /// with hundreds of daemons these are most of what goes on the wire at
    /// rest. A server that begins or ceases to take work is told of at once.
    Millis LoadReportInterval{1000};
    /// A connection that is answered on gets one with the answer, if the last
    /// one went this long ago.
    Millis MinLoadReportInterval{5};
    /// An asker that sends nothing for this long is taken for gone: its work is
    /// cancelled and its connection closed.
    Millis SilenceLimit{10000};
  };

  using Handler = std::function<boost::asio::awaitable<void>(
      RequestAttempt, std::shared_ptr<ResponseSink>)>;

  /// Errors: `Unavailable` when the port cannot be bound.
  static Result<std::shared_ptr<RequestServer>>
  create(boost::asio::io_context &Context, Settings Setup, Handler Handle);
  virtual ~RequestServer() = default;

  virtual Address address() const = 0;
  /// What the next load reports say; set by the daemon.
  virtual void setLoads(std::vector<ReportedLoad> Loads, bool Leaving) = 0;
  /// Where the reports that go with answers come from; without it there are
  /// only the periodical ones. Called on the context's thread.
  virtual void
  setLoadSource(std::function<std::vector<ReportedLoad>()> Source) = 0;
  virtual std::size_t inFlight() const = 0;
  /// Bytes queued on all connections and not yet taken by the kernel.
  virtual std::size_t unsentBytes() const = 0;
  /// From now on every new request is refused with `Leaving`, `NotRun`.
  virtual void drain() = 0;
  virtual void stop() = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_FRAMES_REQUESTSERVER_H
