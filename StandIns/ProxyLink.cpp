#include "StandIns/ProxyLink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace wasabi::standins {

namespace {

using ErrorCode = boost::system::error_code;

constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<>>
    Awaited(boost::asio::use_awaitable);

constexpr std::size_t ReadBytes = 16384;
/// Maximum number of bytes queued in one direction before the sender blocks.
constexpr std::size_t MaxQueued = 4u << 20;
/// Number of portions per second when the rate is limited.
constexpr std::uint64_t PortionsPerSecond = 50;

void resetSocket(ProxyLink::Socket &Target) {
  ErrorCode ec;
  Target.set_option(boost::asio::socket_base::linger(true, 0), ec);
  Target.close(ec);
}

} // namespace

ProxyLink::ProxyLink(Socket Client, const ProxyFaults &Faults)
    : Faults(Faults), Client(std::move(Client)),
      Upstream(this->Client.get_executor()), Up(this->Client, Upstream),
      Down(Upstream, this->Client) {}

boost::asio::awaitable<void> ProxyLink::run(Address Where) {
  std::shared_ptr<ProxyLink> self = shared_from_this();
  ErrorCode ec;
  boost::asio::ip::tcp::endpoint peer(
      boost::asio::ip::make_address(Where.Host, ec), Where.Port);
  auto [failed] = co_await Upstream.async_connect(peer, Awaited);
  if (failed || Closed) {
    cut();
    co_return;
  }
  boost::asio::ip::tcp::no_delay prompt(true);
  Client.set_option(prompt, ec);
  Upstream.set_option(prompt, ec);
  spawn(&ProxyLink::readFrom, Up);
  spawn(&ProxyLink::readFrom, Down);
  spawn(&ProxyLink::writeTo, Up);
  co_await writeTo(Down);
}

void ProxyLink::spawn(boost::asio::awaitable<void> (ProxyLink::*Body)(Flow &),
                      Flow &Direction) {
  std::shared_ptr<ProxyLink> self = shared_from_this();
  boost::asio::co_spawn(
      Client.get_executor(),
      [self, Body, &Direction]() -> boost::asio::awaitable<void> {
        co_await ((*self).*Body)(Direction);
      },
      boost::asio::detached);
}

void ProxyLink::cut() {
  if (Closed)
    return;
  Closed = true;
  resetSocket(Client);
  resetSocket(Upstream);
  Up.Changed.notify();
  Down.Changed.notify();
}

boost::asio::awaitable<void> ProxyLink::readFrom(Flow &Direction) {
  std::array<char, ReadBytes> buf{};
  bool fromUpstream = &Direction == &Down;
  while (!Closed) {
    co_await waitForQueueSpace(Direction);
    auto [ec, n] = co_await Direction.From.async_read_some(
        boost::asio::buffer(buf), Awaited);
    if (Closed)
      co_return;
    if (dropsBytes(Direction)) {
      HasDroppedBytes = true;
      if (ec)
        co_return;
      continue;
    }
    if (ec == boost::asio::error::eof) {
      push(Direction, {}, true);
      co_return;
    }
    if (ec || (fromUpstream && Faults.DropResponse())) {
      cut();
      co_return;
    }
    push(Direction, std::string(buf.data(), n), false);
  }
}

bool ProxyLink::dropsBytes(const Flow &Direction) const {
  return Faults.HalfOpen() || (&Direction == &Down && Faults.OneWay());
}

boost::asio::awaitable<void> ProxyLink::waitForQueueSpace(Flow &Direction) {
  while (Direction.Queued > MaxQueued && !Closed)
    co_await Direction.Changed.wait();
}

void ProxyLink::push(Flow &Direction, std::string Bytes, bool Last) {
  // Jitter must not reorder bytes.
  Direction.LastDue =
      std::max(Direction.LastDue, monotonicNow() + Faults.Delay());
  Direction.Queued += Bytes.size();
  Direction.Queue.push_back(
      QueuedChunk{Direction.LastDue, std::move(Bytes), Last});
  Direction.Changed.notify();
}

boost::asio::awaitable<void> ProxyLink::writeTo(Flow &Direction) {
  while (!Closed) {
    if (Direction.Queue.empty()) {
      co_await Direction.Changed.wait();
      continue;
    }
    TimePoint due = Direction.Queue.front().DueAt;
    if (monotonicNow() < due) {
      co_await sleepFor(due - monotonicNow());
      continue;
    }
    QueuedChunk chunk = std::move(Direction.Queue.front());
    Direction.Queue.pop_front();
    Direction.Queued -= chunk.Bytes.size();
    Direction.Changed.notify();
    if (dropsBytes(Direction)) {
      HasDroppedBytes = true;
      continue;
    }
    if (!chunk.Last) {
      if (!co_await deliver(Direction, std::move(chunk.Bytes)))
        co_return;
      continue;
    }

    ErrorCode ec;
    Direction.To.shutdown(Socket::shutdown_send, ec);
    Direction.Ended = true;
    // Both directions have ended.
    if (Up.Ended && Down.Ended) {
      Closed = true;
      Client.close(ec);
      Upstream.close(ec);
    }
    co_return;
  }
}

boost::asio::awaitable<bool> ProxyLink::deliver(Flow &Direction,
                                                std::string Bytes) {
  constexpr std::uint64_t MicrosPerSecond = 1000000;
  std::size_t done = 0;
  while (done < Bytes.size()) {
    std::uint64_t portion = Bytes.size() - done;
    std::uint64_t rate = Faults.Rate();
    if (rate > 0) {
      std::uint64_t most = std::max<std::uint64_t>(1, rate / PortionsPerSecond);
      portion = std::min(portion, most);
      co_await sleepFor(Micros(portion * MicrosPerSecond / rate));
    }
    std::uint64_t last = Faults.CutAfterBytes();
    if (last > 0)
      portion = std::min(portion, last - std::min(last, BytesSinceReset));
    auto [ec, n] = co_await boost::asio::async_write(
        Direction.To, boost::asio::buffer(Bytes.data() + done, portion),
        Awaited);
    done += n;
    BytesSinceReset += n;
    Direction.BytesForwarded += n;
    if (Closed)
      co_return false;
    if (ec || (last > 0 && BytesSinceReset >= last)) {
      cut();
      co_return false;
    }
  }
  co_return true;
}

} // namespace wasabi::standins
