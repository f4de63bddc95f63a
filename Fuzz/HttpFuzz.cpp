/// \file
/// libFuzzer target: the HTTP server on a socket.
#include "Fuzz/SocketFuzz.h"
#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/awaitable.hpp>

using namespace wasabi;

namespace {

boost::asio::awaitable<void> answer(http::Request ask,
                                    std::shared_ptr<http::Responder> to) {
  const std::string body = ask.query("a") + std::string(ask.path());
  co_await to->send(http::jsonResponse(200, body));
}

/// The server under test. Lives until the process exits.
struct Subject {
  boost::asio::io_context Context{1};
  std::shared_ptr<http::Server> Server =
      *toOutcome<std::shared_ptr<http::Server>>(
          [this] { return http::Server::create(Context, {}, answer); });
};

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static Subject subject;
  fuzz::sendInput(subject.Context, subject.Server->address(), Data, Size);
  return 0;
}
