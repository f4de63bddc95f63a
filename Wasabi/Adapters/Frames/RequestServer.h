/// \file
/// The server side of the request frames, used by daemons.
#ifndef WASABI_ADAPTERS_FRAMES_REQUESTSERVER_H
#define WASABI_ADAPTERS_FRAMES_REQUESTSERVER_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Adapters/Peers/PeerMemory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace wasabi {

/// Writes the response to one request. The handler calls either `fail`, or
/// `begin` once, then `write` any number of times, then `end` or `fail`. Use on
/// the thread of the server.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;
  virtual void begin(http::Response Head, ServerName Server) = 0;
  /// Sends body bytes; returns once the client has granted credit for all of
  /// them. Fails with `Cancelled` if the client has cancelled or disconnected.
  virtual boost::asio::awaitable<Outcome<Done>> write(std::string Bytes) = 0;
  virtual void end() = 0;
  /// Refuses the request, or ends the response early, with the given failure.
  virtual void fail(Failure Error) = 0;
  /// True if the client has cancelled or disconnected.
  virtual bool gone() const = 0;
  /// Sets a callback that is called once when `gone` becomes true; immediately
  /// if it is true already.
  virtual void onGone(std::function<void()> Callback) = 0;
};

/// Accepts connections and runs a handler per request. A malformed frame closes
/// its connection and is logged. Not thread-safe: use on the thread of the
/// context.
class RequestServer {
public:
  struct Settings {
    Address Listen{"127.0.0.1", 0};
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// Maximum number of open requests per connection; further ones are refused
    /// with `NotRun`.
    std::size_t MaxRequestsPerConnection = 8192;
    std::size_t MaxConnections = 4096;
    /// Time between two load reports on a connection without responses. These
    /// reports are most of the idle traffic of a large system. Changes of the
    /// serving state or the weights of a server are reported immediately.
    Millis LoadReportInterval{1000};
    /// Minimum time between a load report and the next one that is sent along
    /// with a response.
    Millis MinLoadReportInterval{5};
    /// A connection is closed and its requests are cancelled if the client
    /// sends no frame for this long.
    Millis HeartbeatTimeout{10000};
    /// Counts what connections hold; null for no count. A request for which it
    /// has no room is refused with `NotRun`.
    std::shared_ptr<PeerMemory> Memory = nullptr;
  };

  using Handler = std::function<boost::asio::awaitable<void>(
      RequestAttempt, std::shared_ptr<ResponseSink>)>;

  /// Binds the port and starts accepting. Errors: `Unavailable` if the port
  /// cannot be bound.
  static Result<std::shared_ptr<RequestServer>>
  create(boost::asio::io_context &Context, Settings Setup, Handler Handle);
  virtual ~RequestServer() = default;

  virtual Address address() const = 0;
  /// Sets the contents of the next load reports.
  virtual void setLoads(std::vector<ReportedLoad> Loads, bool Leaving) = 0;
  /// Sets the source of the load reports that are sent along with responses.
  /// Without a source, only periodic reports are sent. The source is called on
  /// the thread of the context.
  virtual void
  setLoadSource(std::function<std::vector<ReportedLoad>()> Source) = 0;
  virtual std::size_t inFlight() const = 0;
  /// Number of bytes queued on all connections and not yet written to the
  /// sockets.
  virtual std::size_t unsentBytes() const = 0;
  /// Refuses all further requests with `Leaving`, `NotRun`.
  virtual void drain() = 0;
  virtual void stop() = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_FRAMES_REQUESTSERVER_H
