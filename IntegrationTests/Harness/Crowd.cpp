#include "IntegrationTests/Harness/Crowd.h"

#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace wasabi::harness {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

/// How long nothing is sent by a crowd that has settled, and the maximum wait
/// for that.
constexpr Millis SettledTime{1000};
constexpr Millis SettleTimeout{20000};
constexpr std::size_t ReadBytes = 16384;

} // namespace

Crowd::Crowd(Settings Setup) : Setup(std::move(Setup)) {
  for (std::size_t i = 0; i < this->Setup.Clients; ++i)
    asio::co_spawn(
        Context, [this] { return runClient(); }, asio::detached);
  Worker = std::thread([this] { Context.run(); });
}

Crowd::~Crowd() {
  Context.stop();
  Worker.join();
}

asio::awaitable<ErrorCode> Crowd::sendAll(Tcp::socket &Socket,
                                          const std::string &Bytes) {
  ErrorCode failed;
  std::size_t done = 0;
  while (!failed && done < Bytes.size()) {
    auto [ec, n] = co_await Socket.async_write_some(
        asio::buffer(Bytes.data() + done, Bytes.size() - done), Awaited);
    failed = ec;
    done += n;
    SentBytes += n;
  }
  co_return failed;
}

asio::awaitable<void> Crowd::runClient() {
  Tcp::endpoint target(asio::ip::make_address(Setup.Target.Host),
                       Setup.Target.Port);
  BootTimer timer(Context);
  std::array<char, ReadBytes> buf{};
  for (bool more = true; more; more = Setup.Reconnects) {
    Tcp::socket socket(Context);
    auto [failed] = co_await socket.async_connect(target, Awaited);
    ErrorCode ec = failed;
    if (!ec)
      ec = co_await sendAll(socket, Setup.Bytes);
    while (!ec && !Setup.Drip.empty()) {
      timer.expires_after(Setup.DripInterval);
      co_await timer.async_wait(Awaited);
      ec = co_await sendAll(socket, Setup.Drip);
    }
    while (!ec && Setup.Reads) {
      auto [ended, n] =
          co_await socket.async_read_some(asio::buffer(buf), Awaited);
      ec = ended;
    }
    if (!ec)
      co_await socket.async_wait(Tcp::socket::wait_error, Awaited);
    timer.expires_after(Setup.ReconnectDelay);
    co_await timer.async_wait(Awaited);
  }
}

void Crowd::waitUntilSettled() const {
  TimePoint deadline = monotonicNow() + SettleTimeout;
  std::uint64_t sent = 0;
  do {
    sent = SentBytes;
    std::this_thread::sleep_for(SettledTime);
  } while (sent != SentBytes && monotonicNow() < deadline);
}

} // namespace wasabi::harness
