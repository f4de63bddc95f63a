/// \file
/// A server and a client on one context, and raw connections for protocol
/// violations.
#ifndef WASABI_UNITTESTS_ADAPTERS_HTTP_HTTPFIXTURE_H
#define WASABI_UNITTESTS_ADAPTERS_HTTP_HTTPFIXTURE_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <string>

namespace wasabi::http {

using RawSocket = boost::asio::ip::tcp::socket;

/// An event that is set once; waiting after it is set returns immediately.
class OneShotEvent {
public:
  explicit OneShotEvent(boost::asio::io_context &Context) : Timer(Context) {
    Timer.expires_at(BootTimer::time_point::max());
  }
  void set() { Timer.expires_at(BootTimer::time_point::min()); }
  boost::asio::awaitable<void> wait() {
    co_await Timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

private:
  BootTimer Timer;
};

/// Runs one coroutine and a server on the same context.
struct HttpFixture {
  boost::asio::io_context Context;
  std::shared_ptr<Server> Serving;
  std::shared_ptr<Client> TestClient =
      Client::create(Context.get_executor(), Client::Settings{});

  void serve(Handler Handle, Server::Settings Limits = {}) {
    Result<std::shared_ptr<Server>> server =
        Server::create(Context, std::move(Limits), std::move(Handle));
    REQUIRE(server);
    Serving = *server;
  }

  /// Runs `Body` to its end. Fails the test if it does not end in time.
  void run(std::function<boost::asio::awaitable<void>()> Body) {
    std::exception_ptr failed;
    bool ended = false;
    boost::asio::co_spawn(Context, std::move(Body),
                          [&](std::exception_ptr Error) {
                            failed = std::move(Error);
                            ended = true;
                            Context.stop();
                          });
    Context.run_for(std::chrono::seconds(20));
    REQUIRE(ended);
    if (failed)
      std::rethrow_exception(failed);
  }

  boost::asio::awaitable<RawSocket> connect() {
    RawSocket raw(Context);
    Address address = Serving->address();
    boost::asio::ip::tcp::endpoint peer(
        boost::asio::ip::make_address(address.Host), address.Port);
    co_await raw.async_connect(peer, boost::asio::use_awaitable);
    co_return std::move(raw);
  }

  /// Waits until the server has no open connection.
  boost::asio::awaitable<void> waitUntilAllClosed() {
    BootTimer timer(Context);
    while (Serving->connections() > 0) {
      timer.expires_after(Millis(1));
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  static boost::asio::awaitable<void> sendText(RawSocket &Raw,
                                               std::string Text) {
    co_await boost::asio::async_write(Raw, boost::asio::buffer(Text),
                                      boost::asio::use_awaitable);
  }

  /// Returns the text received until the connection ends, and sets `Ended` to
  /// the error that ended it.
  static boost::asio::awaitable<std::string>
  readAll(RawSocket &Raw, boost::system::error_code &Ended) {
    std::string text;
    auto [ec, n] = co_await boost::asio::async_read(
        Raw, boost::asio::dynamic_buffer(text),
        boost::asio::as_tuple(boost::asio::use_awaitable));
    Ended = ec;
    text.resize(n);
    co_return text;
  }
};

/// A handler that responds with the body of the request.
inline boost::asio::awaitable<void> echo(Request Req,
                                         std::shared_ptr<Responder> Reply) {
  Response response = jsonResponse(200, std::move(Req.Body));
  co_await Reply->send(std::move(response));
}

} // namespace wasabi::http

#endif // WASABI_UNITTESTS_ADAPTERS_HTTP_HTTPFIXTURE_H
