/// \file
/// An HTTP/1.1 client on Boost.Beast with kept-alive connections, whole answers
/// and streams, and a verdict for each failure.
#ifndef WASABI_ADAPTERS_HTTP_HTTPCLIENT_H
#define WASABI_ADAPTERS_HTTP_HTTPCLIENT_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace wasabi::http {

/// An answer that arrives in pieces. Destroying it closes the connection, which
/// cancels the work at the upstream unless it was read to its end.
/// Used on the client's thread only.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;
  /// Status and headers; the body is empty.
  virtual const Response &head() const = 0;
  /// The next piece of the body as soon as it is there; empty optional after
  /// the last. A connection that ends before the body is whole is a failure
  /// (`ConnectionLost`, `MayHaveRun`), never an end.
  virtual boost::asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) = 0;
  /// Closes now; a pending `next` fails with `Cancelled`.
  virtual void cancel() = 0;
};

/// Keeps idle connections per address and reuses them. A request on a reused
/// connection that the peer closed before a byte was sent is sent again on a
/// fresh one (it did not run); after the first byte sent nothing is repeated.
/// Verdicts: could not connect: `NotRun`; anything later: `MayHaveRun`.
/// Not thread-safe: use on the executor's thread.
class Client {
public:
  struct Settings {
    /// Idle connections kept per address.
    std::size_t MaxIdlePerAddress = 64;
    /// How long a connect may take.
    Millis ConnectTimeout{2000};
    /// An idle connection older than this is not reused.
    Millis MaxIdle{15000};
    /// Largest whole answer, in bytes.
    std::uint64_t MaxBody = 64u << 20;
    /// A header that answers repeat from their request. An answer that bears
    /// another value belongs to an earlier request of the connection: it is
    /// read and passed over. Empty for none.
    std::string EchoHeader;
    /// An idle connection is not reused in this last part of the time for which
    /// its peer has promised to keep it (`Keep-Alive: timeout`).
    Millis KeepAliveMargin{300};
  };

  static std::shared_ptr<Client> create(boost::asio::any_io_executor Executor,
                                        Settings Limits);
  virtual ~Client() = default;
  /// Connects and closes again. A value says whether the connection was taken;
  /// a failure that neither that nor a refusal came within `Timeout`.
  virtual boost::asio::awaitable<Outcome<bool>> probe(Address Where,
                                                      Millis Timeout) = 0;
  /// One request, one whole answer, within `Timeout`.
  virtual boost::asio::awaitable<Outcome<Response>>
  call(Address Where, Request Ask, Millis Timeout) = 0;
  /// One request, its answer in pieces. `Timeout` bounds the head only.
  virtual boost::asio::awaitable<Outcome<std::unique_ptr<ResponseStream>>>
  open(Address Where, Request Ask, Millis Timeout) = 0;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPCLIENT_H
