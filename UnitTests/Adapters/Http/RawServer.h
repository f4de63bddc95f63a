/// \file
/// A server on raw sockets, for tests of what a client sends on which
/// connection.
#ifndef WASABI_UNITTESTS_ADAPTERS_HTTP_RAWSERVER_H
#define WASABI_UNITTESTS_ADAPTERS_HTTP_RAWSERVER_H

#include "UnitTests/Adapters/Http/HttpFixture.h"

#include <boost/asio/detached.hpp>

#include <array>

namespace wasabi::http {

/// A server on raw sockets.
struct RawServer {
  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor{
      Context, boost::asio::ip::tcp::endpoint(boost::asio::ip::tcp::v4(), 0)};
  std::size_t Connections = 0;

  Address address() const {
    return Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  /// Calls `Serve` for each connection.
  void start(std::function<boost::asio::awaitable<void>(RawSocket)> Serve) {
    boost::asio::co_spawn(Context, acceptAll(std::move(Serve)),
                          boost::asio::detached);
  }

  boost::asio::awaitable<void>
  acceptAll(std::function<boost::asio::awaitable<void>(RawSocket)> Serve) {
    for (;;) {
      auto [ec, socket] = co_await Acceptor.async_accept(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      if (ec)
        co_return;
      ++Connections;
      boost::asio::co_spawn(Context, Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  /// Reads a request without a body; returns false at the end of the
  /// connection.
  static boost::asio::awaitable<bool>
  readRequest(RawSocket &Socket, boost::system::error_code &Ended) {
    std::string text;
    while (text.find("\r\n\r\n") == std::string::npos) {
      std::array<char, 4096> buf{};
      auto [ec, n] = co_await Socket.async_read_some(
          boost::asio::buffer(buf),
          boost::asio::as_tuple(boost::asio::use_awaitable));
      Ended = ec;
      if (ec)
        co_return false;
      text.append(buf.data(), n);
    }
    co_return true;
  }
};

inline Request makeRequest(const std::string &Id) {
  Request request;
  request.Method = "GET";
  request.Target = "/";
  request.Headers.push_back({"Request-Id", Id});
  return request;
}

} // namespace wasabi::http

#endif // WASABI_UNITTESTS_ADAPTERS_HTTP_RAWSERVER_H
