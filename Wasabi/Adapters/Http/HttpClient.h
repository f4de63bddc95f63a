/// \file
/// An HTTP/1.1 client on Boost.Beast with persistent connections, whole and
/// streamed responses, and a verdict for each failure.
#ifndef WASABI_ADAPTERS_HTTP_HTTPCLIENT_H
#define WASABI_ADAPTERS_HTTP_HTTPCLIENT_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Http/ResponseMemory.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace wasabi::http {

/// A response that arrives in pieces. Destroying it before its end closes the
/// connection, which cancels the work at the upstream. Use on the thread of the
/// client only.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;
  /// Status and headers; the body is empty.
  virtual const Response &head() const = 0;
  /// Returns the next piece of the body as soon as it arrives, or an empty
  /// optional after the last one. A connection that closes before the end of
  /// the body is a failure (`ConnectionLost`, `MayHaveRun`).
  virtual boost::asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) = 0;
  /// Closes the connection immediately; a pending `next` fails with
  /// `Cancelled`.
  virtual void cancel() = 0;
};

/// Keeps idle connections per address and reuses them. If a reused connection
/// fails before any byte of the request is written, the request is sent again
/// on another connection, as it cannot have run; otherwise requests are never
/// repeated. Failures carry `NotRun` if no byte of the request was sent,
/// otherwise `MayHaveRun`. A response that exceeds a limit of its size, or more
/// interim responses than a server has reason to send, fail with `BadInput`:
/// the server works, but does not answer. Not thread-safe: use on the thread of
/// the executor.
class Client {
public:
  struct Settings {
    /// Maximum number of idle connections per address.
    std::size_t MaxIdlePerAddress = 64;
    Millis ConnectTimeout{2000};
    /// Connections that have been idle for longer are not reused.
    Millis MaxIdleTime{15000};
    /// Maximum size of the body of a whole response, in bytes.
    std::uint64_t MaxBody = 64u << 20;
    /// Bounds what all whole responses hold together; null for no bound.
    std::shared_ptr<ResponseMemory> Memory = nullptr;
    /// Name of a request header that responses repeat; empty for none. A
    /// response with another value belongs to an earlier request on the
    /// connection: it is read and discarded. A request whose value was sent on
    /// a connection before goes to another one, where a late second response to
    /// the earlier request can't be taken for its own.
    std::string EchoHeader;
    /// An idle connection is not reused during this last part of the time that
    /// the peer has announced in `Keep-Alive: timeout`.
    Millis KeepAliveMargin{300};
  };

  static std::shared_ptr<Client> create(boost::asio::any_io_executor Executor,
                                        Settings Limits);
  virtual ~Client() = default;
  /// Connects and closes the connection. Returns true if the connection was
  /// accepted and false if it was refused; fails if neither happened within
  /// `Timeout`.
  virtual boost::asio::awaitable<Outcome<bool>> probe(Address Peer,
                                                      Millis Timeout) = 0;
  /// Sends one request and returns the whole response; `Timeout` bounds both.
  virtual boost::asio::awaitable<Outcome<Response>>
  call(Address Peer, Request Req, Millis Timeout) = 0;
  /// Sends one request and returns the response as a stream. `Timeout` bounds
  /// the time until the head has arrived.
  virtual boost::asio::awaitable<Outcome<std::unique_ptr<ResponseStream>>>
  open(Address Peer, Request Req, Millis Timeout) = 0;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPCLIENT_H
