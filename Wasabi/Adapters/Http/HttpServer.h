/// \file
/// An HTTP/1.1 server on Boost.Beast.
#ifndef WASABI_ADAPTERS_HTTP_HTTPSERVER_H
#define WASABI_ADAPTERS_HTTP_HTTPSERVER_H

#include "Wasabi/Adapters/Peers/PeerMemory.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::http {

/// Writes the response to one request. The handler calls either `send`, or
/// `begin` once, then `write` any number of times, then `end` or `abort`. Use
/// on the thread of the server only.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a whole response with `Content-Length`.
  virtual boost::asio::awaitable<Outcome<Done>> send(Response Reply) = 0;
  /// Begins a chunked response; `Head.Body` is ignored.
  virtual boost::asio::awaitable<Outcome<Done>> begin(Response Head) = 0;
  /// Sends one chunk immediately. Returns once the socket has accepted it, so
  /// that a slow reader delays only its own stream.
  virtual boost::asio::awaitable<Outcome<Done>> write(std::string Chunk) = 0;
  /// Ends the chunked response.
  virtual boost::asio::awaitable<Outcome<Done>> end() = 0;
  /// Resets the connection, so that the peer cannot mistake a partial response
  /// for a whole one.
  virtual void abort() = 0;
  /// True if the peer has closed or reset the connection. Detected while the
  /// handler runs, also without a write.
  virtual bool gone() const = 0;
  /// Sets a callback that is called once, on the thread of the server, when
  /// `gone` becomes true; immediately if it is true already.
  virtual void onGone(std::function<void()> Callback) = 0;
};

/// What a server holds for its peers, and what it has done to bound that since
/// its start. An immutable value.
struct HeldCounts {
  /// Bytes of responses that clients have not taken, and the most so far. A
  /// response counts whole until its last byte is accepted by the kernel.
  std::uint64_t ResponseBytes = 0;
  std::uint64_t MaxResponseBytes = 0;
  /// Bytes of bodies above `SmallBodyBytes` of requests that are being received
  /// or handled; an announced body counts whole from its head on.
  std::uint64_t RequestBytes = 0;
  /// Those of bodies that are large, see `isLargeBody`.
  std::uint64_t LargeRequestBytes = 0;
  /// Connections reset because their client took no byte of a response.
  std::uint64_t StalledResets = 0;
  /// Connections reset because responses held too many bytes.
  std::uint64_t MemoryResets = 0;
  /// Requests answered with 503 without running them.
  std::uint64_t ShedRequests = 0;
  /// Requests whose body lagged and was given up in favor of another one.
  std::uint64_t GivenUpBodies = 0;
  /// Connections closed in favor of others.
  std::uint64_t YieldedConnections = 0;
  bool operator==(const HeldCounts &) const = default;
};

/// Resets and shed requests since the previous report. An immutable value.
struct SlowReaderReport {
  std::uint64_t StalledResets = 0;
  std::uint64_t MemoryResets = 0;
  std::uint64_t ShedRequests = 0;
  std::uint64_t GivenUpBodies = 0;
  std::uint64_t YieldedConnections = 0;
  /// Response bytes that the reset connections held.
  std::uint64_t ResetBytes = 0;
  /// The longest time that one of them had taken no byte.
  Millis LongestStall{0};
  /// Peer of the last reset; empty if there was none.
  std::string LastPeer;
  bool operator==(const SlowReaderReport &) const = default;
};

using Handler = std::function<boost::asio::awaitable<void>(
    Request, std::shared_ptr<Responder>)>;

/// Decides on a request from its head, before a body that is not small is
/// received: returns the response that refuses the request, or nothing. The
/// request is alive until the end of the call.
using HeadCheck = std::function<boost::asio::awaitable<std::optional<Response>>(
    const Request &)>;

/// Bounds of what a client may send, and of the time that it may take. An
/// immutable value. The members are those of `Server::Settings`.
struct ClientLimits {
  std::uint32_t MaxHead = 0;
  std::uint64_t MaxBody = 0;
  Millis HeadTimeout{0};
  Millis IdleTimeout{0};
  bool operator==(const ClientLimits &) const = default;
};

/// Accepts connections and runs a handler per request. Responds to malformed
/// requests with 400 and to oversized ones with 413, both with a JSON body
/// `{"error":…}`. Resets clients that do not read. Not thread-safe: construct,
/// use and stop on the thread of the context.
class Server : public std::enable_shared_from_this<Server> {
public:
  struct Settings {
    /// Address to listen on; port 0 selects an ephemeral port.
    Address Listen{"127.0.0.1", 0};
    /// Maximum number of open connections. Beyond it, connections whose peers
    /// lag are closed; while there are none, further ones wait in the queue of
    /// the kernel.
    std::size_t MaxConnections = 20000;
    /// Maximum size of a request head, in bytes.
    std::uint32_t MaxHead = 65536;
    /// Maximum size of a request body, in bytes.
    std::uint64_t MaxBody = 8u << 20;
    /// Time limit for receiving a request head after its first bytes.
    Millis HeadTimeout{10000};
    /// Connections that are idle for this time, and bodies that lag by it
    /// behind `MinBytesPerSecond`, are closed.
    Millis IdleTimeout{60000};
    /// Counts what connections hold, together with other listeners; null for
    /// no count.
    std::shared_ptr<PeerMemory> Memory;
    /// Number of connections of `Memory` that are left to other listeners.
    std::size_t ReservedConnections = 0;
    /// Decides on requests with large bodies; null to accept all of them.
    HeadCheck CheckHead;
    /// A connection whose client takes no byte of a pending response for this
    /// time is reset; the idle timeout applies if it is shorter. Bytes count as
    /// taken once acknowledged, so the granularity is a TCP segment.
    Millis ReadStallTimeout{5000};
    /// Maximum number of response bytes that are held for all clients; 0 for
    /// unlimited. Above it, the connection that has gone longest without
    /// progress is reset first, and new requests are answered with 503 and
    /// `Retry-After`. A response that alone exceeds it may be sent for
    /// `ReadStallTimeout`. Bodies of requests that are received or handled are
    /// bounded by the same number: bodies that lag are given up for one that
    /// does not fit; if that is not enough, it is refused with 503, unless it
    /// is small or the only one.
    std::uint64_t MaxHeldBytes = 0;
    /// Receives resets and shed requests, at most once per second and only if
    /// there are any. Must not stop the server.
    std::function<void(const SlowReaderReport &)> OnSlowReaders;
    /// How long a draining server keeps an idle connection open for a request
    /// that may be in transit.
    Millis DrainGracePeriod{200};
  };

  /// Binds the address and starts accepting. Errors: `Unavailable` naming the
  /// address.
  static Result<std::shared_ptr<Server>>
  create(boost::asio::io_context &Context, Settings Limits, Handler Handle);

  virtual ~Server() = default;
  /// The bound address.
  virtual Address address() const = 0;
  /// Number of requests whose handler is running.
  virtual std::size_t inFlight() const = 0;
  /// Number of open connections.
  virtual std::size_t connections() const = 0;
  /// Bytes that are held for peers, and the actions that bound them.
  virtual HeldCounts held() const = 0;
  /// Sets the bounds for clients from now on. Connections that are idle keep
  /// the longer one of both idle timeouts.
  virtual void setLimits(const ClientLimits &Limits) = 0;
  /// Closes each connection after its next response, but still accepts
  /// connections, for callers that have not yet noticed the shutdown.
  virtual void closeAfterResponses() = 0;
  /// Starts a graceful shutdown: stops accepting, closes idle connections after
  /// `DrainGracePeriod`, and sends further responses with `Connection: close`.
  /// Complete once `connections` is 0.
  virtual void drain() = 0;
  /// Stops accepting and closes all connections immediately.
  virtual void stop() = 0;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPSERVER_H
