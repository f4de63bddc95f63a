/// \file
/// Sends damaged HTTP requests and frames over real sockets. The server must
/// reject or drop them and serve the next valid one.
#include "UnitTests/Fuzz/Mutation.h"
#include "Wasabi/Adapters/Frames/RequestFrames.h"
#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace wasabi;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int Rounds = 300;
constexpr std::uint64_t Seed = 77;

/// Runs a context on its own thread until destroyed.
class Runner {
public:
  Runner() : Work(Context.get_executor()) {}
  ~Runner() {
    Context.stop();
    Thread.join();
  }
  asio::io_context &context() { return Context; }
  void start() {
    Thread = std::thread([this] { Context.run(); });
  }

private:
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::thread Thread;
};

tcp::socket connectTo(asio::io_context &context, const Address &where) {
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address(where.Host), where.Port});
  return socket;
}

/// Sends bytes, half-closes, and reads until the peer closes.
std::string exchange(const Address &where, const std::string &bytes) {
  asio::io_context context;
  tcp::socket socket = connectTo(context, where);
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  return answer;
}

/// Sends bytes and reads until `mark` arrives or the stream ends.
std::string answerWith(const Address &where, const std::string &bytes,
                       const std::string &mark) {
  asio::io_context context;
  tcp::socket socket = connectTo(context, where);
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), mark, ec);
  return answer;
}

std::string prefixed(const FrameBytes &frame) {
  std::string bytes;
  for (std::size_t n = 0; n < 4; ++n)
    bytes += static_cast<char>(frame.size() >> (8 * n));
  return bytes + std::string(frame.begin(), frame.end());
}

RequestAttempt goodAttempt() {
  RequestAttempt attempt;
  attempt.Request = "entry-1/7/1";
  attempt.Service = ServiceName("lease-desk");
  attempt.Http = {"POST", "/lease?site=3", {{"X-Caller", "crew"}}, "body"};
  attempt.Key = "bid-7";
  return attempt;
}

} // namespace

TEST_CASE("Damaged HTTP requests leave the server serving") {
  Runner runner;
  const http::Handler answer =
      [](http::Request ask,
         std::shared_ptr<http::Responder> to) -> asio::awaitable<void> {
    co_await to->send(http::jsonResponse(
        200, "{\"path\":\"" + std::string(ask.path()) + "\"}"));
  };
  const Outcome<std::shared_ptr<http::Server>> server =
      toOutcome<std::shared_ptr<http::Server>>(
          [&] { return http::Server::create(runner.context(), {}, answer); });
  REQUIRE(server);
  runner.start();
  const std::string good = "POST /lease?site=3 HTTP/1.1\r\nHost: x\r\n"
                           "Content-Length: 4\r\nX-Caller: crew\r\n\r\nbody";
  const std::string chunked =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n";
  std::mt19937_64 engine(Seed);
  for (int n = 0; n < Rounds; ++n)
    exchange((*server)->address(),
             fuzz::mutate(n % 2 == 0 ? good : chunked, engine));
  CHECK(exchange((*server)->address(), good).find("200 OK") !=
        std::string::npos);
}

TEST_CASE("Damaged frames leave the server serving") {
  Runner runner;
  const RequestServer::Handler answer =
      [](RequestAttempt,
         std::shared_ptr<ResponseSink> to) -> asio::awaitable<void> {
    to->begin(http::jsonResponse(200, ""), ServerName("server-one"));
    to->end();
    co_return;
  };
  const Outcome<std::shared_ptr<RequestServer>> server =
      toOutcome<std::shared_ptr<RequestServer>>(
          [&] { return RequestServer::create(runner.context(), {}, answer); });
  REQUIRE(server);
  runner.start();
  const std::string good =
      prefixed(frames::hello(InstanceName("e"), DomainName("d"), 1)) +
      prefixed(frames::request(1, goodAttempt(), 1000)) +
      prefixed(frames::cancel(1)) + prefixed(frames::credit(1, 10));
  std::mt19937_64 engine(Seed);
  for (int n = 0; n < Rounds; ++n)
    exchange((*server)->address(), fuzz::mutate(good, engine));
  // A valid connection gets a response to its request after the greeting.
  const std::string request =
      prefixed(frames::hello(InstanceName("e"), DomainName("d"), 1)) +
      prefixed(frames::request(1, goodAttempt(), 1000));
  const std::string whole =
      answerWith((*server)->address(), request, "server-one");
  CHECK(whole.find("server-one") != std::string::npos);
}
