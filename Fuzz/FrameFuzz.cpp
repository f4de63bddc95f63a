/// \file
/// libFuzzer target: the request frame server on a socket. The input is sent as
/// one frame's bytes after a correct length prefix.
#include "Fuzz/SocketFuzz.h"
#include "Wasabi/Adapters/Frames/RequestServer.h"

#include <boost/asio/awaitable.hpp>
#include <spdlog/spdlog.h>

#include <vector>

using namespace wasabi;

namespace {

constexpr std::size_t PrefixBytes = 4;

boost::asio::awaitable<void> answer(RequestAttempt,
                                    std::shared_ptr<ResponseSink> to) {
  to->begin(http::jsonResponse(200, ""), ServerName("one"));
  to->end();
  co_return;
}

/// The server under test. Lives until the process exits.
struct Subject {
  Subject() { spdlog::set_level(spdlog::level::off); }
  boost::asio::io_context Context{1};
  std::shared_ptr<RequestServer> Server =
      *toOutcome<std::shared_ptr<RequestServer>>(
          [this] { return RequestServer::create(Context, {}, answer); });
};

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static Subject subject;
  std::vector<std::uint8_t> bytes;
  for (std::size_t n = 0; n < PrefixBytes; ++n)
    bytes.push_back(static_cast<std::uint8_t>(Size >> (8 * n)));
  bytes.insert(bytes.end(), Data, Data + Size);
  fuzz::sendInput(subject.Context, subject.Server->address(), bytes.data(),
                  bytes.size());
  return 0;
}
