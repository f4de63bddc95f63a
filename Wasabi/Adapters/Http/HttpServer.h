/// \file
/// An HTTP/1.1 server on Boost.Beast, and the values that it hands out.
#ifndef WASABI_ADAPTERS_HTTP_HTTPSERVER_H
#define WASABI_ADAPTERS_HTTP_HTTPSERVER_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::http {

/// Where a handler writes its answer. One of `send` or `begin` is called, once;
/// after `begin`, `write` any number of times, then `end` or `abort`.
/// Used on the server's thread only.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a whole response with its length.
  virtual boost::asio::awaitable<Outcome<Done>> send(Response Answer) = 0;
  /// Begins a chunked response; `Head.Body` is ignored.
  virtual boost::asio::awaitable<Outcome<Done>> begin(Response Head) = 0;
  /// Sends one chunk at once; returns when the socket took it, so that a slow
  /// reader slows its own stream only.
  virtual boost::asio::awaitable<Outcome<Done>> write(std::string Chunk) = 0;
  /// Ends the chunked response normally.
  virtual boost::asio::awaitable<Outcome<Done>> end() = 0;
  /// Resets the connection: the peer must not take what it has for whole.
  virtual void abort() = 0;
  /// Whether the peer has closed or reset its side; noticed while the handler
  /// runs, without a write.
  virtual bool gone() const = 0;
  /// Calls `Callback` once, on the server's thread, when `gone` becomes true.
  virtual void onGone(std::function<void()> Callback) = 0;
};

using Handler = std::function<boost::asio::awaitable<void>(
    Request, std::shared_ptr<Responder>)>;

/// Accepts connections on an `io_context` and runs a handler per request.
/// Malformed requests get 400 and a JSON `{"error":…}`; too large ones 413.
/// Not thread-safe: construct, use and stop on the context's thread.
class Server : public std::enable_shared_from_this<Server> {
public:
  struct Settings {
    /// Port 0 takes an ephemeral one.
    Address Listen{"127.0.0.1", 0};
    /// Most connections at once; further ones wait in the kernel's queue.
    std::size_t MaxConnections = 20000;
    /// Largest request body, in bytes.
    std::uint64_t MaxBody = 8u << 20;
    /// A connection that sends nothing for this long is closed.
    Millis IdleTimeout{60000};
    /// A connection must send its whole request head within this.
    Millis HeadTimeout{10000};
    /// How long a draining server waits for a request that may be on its way
    /// over an idle connection, before it closes that.
    Millis DrainGracePeriod{200};
  };

  /// Binds and starts to accept. Errors: `Unavailable` naming the address.
  static Result<std::shared_ptr<Server>>
  create(boost::asio::io_context &Context, Settings Limits, Handler Handle);

  virtual ~Server() = default;
  /// The address bound.
  virtual Address address() const = 0;
  /// Requests being handled now.
  virtual std::size_t inFlight() const = 0;
  /// Connections open now.
  virtual std::size_t connections() const = 0;
  /// Announces a stop: each answer from now on closes its connection, and new
  /// connections are still taken, for callers who do not know yet.
  virtual void closeAfterResponses() = 0;
  /// Graceful shutdown, step one: stops accepting, closes idle connections
  /// after `DrainGracePeriod`, and answers with `Connection: close` from now
  /// on. It is complete once `connections` is 0.
  virtual void drain() = 0;
  /// Closes everything at once.
  virtual void stop() = 0;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPSERVER_H
