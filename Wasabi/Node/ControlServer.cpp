#include "Wasabi/Node/ControlServer.h"

#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <chrono>
#include <tuple>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
constexpr std::size_t PrefixBytes = 4;
/// Delay after a failed accept, for example if the process is out of file
/// descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay(100);

} // namespace

Result<std::shared_ptr<ControlServer>>
ControlServer::create(asio::io_context &Context, const Settings &Limits,
                      ControlCounters &Counters) {
  std::shared_ptr<ControlServer> made(
      new ControlServer(Context, Limits, Counters));
  boost::system::error_code ec;
  asio::ip::address host = asio::ip::make_address(Limits.Listen.Host, ec);
  if (ec)
    return badInput("control address",
                    "'" + Limits.Listen.Host + "' is not an IP address");
  tcp::endpoint end(host, Limits.Listen.Port);
  made->Acceptor.open(end.protocol(), ec);
  if (!ec)
    made->Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    made->Acceptor.bind(end, ec);
  if (!ec)
    made->Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return boost::leaf::new_error(Failure{
        Verdict::NotRun, FailureCode::Unavailable,
        "control address " + toText(Limits.Listen), ec.message(), Millis(0)});
  tcp::endpoint bound = made->Acceptor.local_endpoint(ec);
  made->Bound = Address{bound.address().to_string(), bound.port()};
  return made;
}

ControlServer::ControlServer(asio::io_context &Context, Settings Limits,
                             ControlCounters &Counters)
    : Context(Context), Limits(std::move(Limits)), Counters(Counters),
      Acceptor(Context) {}

void ControlServer::start(Handler NewHandler) {
  Handle = std::move(NewHandler);
  std::shared_ptr<ControlServer> self = shared_from_this();
  asio::co_spawn(
      Context, [self]() -> asio::awaitable<void> { return self->acceptLoop(); },
      asio::detached);
}

void ControlServer::stop() {
  Stopped = true;
  boost::system::error_code ec;
  Acceptor.close(ec);
  std::set<std::shared_ptr<FrameSocket>> all = std::exchange(OpenSockets, {});
  for (const std::shared_ptr<FrameSocket> &it : all)
    it->close();
}

asio::awaitable<void> ControlServer::acceptLoop() {
  std::shared_ptr<ControlServer> self = shared_from_this();
  BootTimer pause(Context);
  while (!Stopped) {
    std::tuple<boost::system::error_code, tcp::socket> accepted =
        co_await Acceptor.async_accept(Awaited);
    if (Stopped)
      co_return;
    if (std::get<0>(accepted)) {
      pause.expires_after(AcceptRetryDelay);
      co_await pause.async_wait(Awaited);
      continue;
    }
    bool hasRoom = !Limits.Memory ||
                   Limits.Memory->hasRoomForConnection(0, monotonicNow());
    if (!hasRoom || OpenSockets.size() >= Limits.MaxConnections)
      continue;
    FrameSocket::Settings limits;
    limits.Memory = Limits.Memory;
    std::shared_ptr<FrameSocket> socket =
        FrameSocket::adopt(std::move(std::get<1>(accepted)), limits);
    OpenSockets.insert(socket);
    asio::co_spawn(
        Context,
        [self, socket]() -> asio::awaitable<void> {
          return self->serve(socket);
        },
        asio::detached);
  }
}

asio::awaitable<void>
ControlServer::serve(std::shared_ptr<FrameSocket> Socket) {
  std::shared_ptr<ControlServer> self = shared_from_this();
  while (!Stopped) {
    Outcome<FrameBytes> frame = co_await Socket->receive();
    if (!frame) {
      if (frame.failure().Code == FailureCode::BadInput)
        spdlog::warn("control: {}", describe(frame.failure()));
      break;
    }
    Counters.FramesIn.fetch_add(1);
    Counters.BytesIn.fetch_add(frame->size() + PrefixBytes);
    Outcome<ControlMessage> message = decodeControl(*frame);
    if (!message) {
      spdlog::warn("control: {} from {}", describe(message.failure()),
                   Socket->peer());
      break;
    }
    Handle(std::move(*message), makeReply(Socket));
  }
  Socket->close();
  OpenSockets.erase(Socket);
}

ControlServer::Reply
ControlServer::makeReply(const std::shared_ptr<FrameSocket> &Socket) {
  std::shared_ptr<ControlServer> self = shared_from_this();
  std::weak_ptr<FrameSocket> weak = Socket;
  return [self, weak](const ControlMessage &Answer) {
    std::shared_ptr<FrameSocket> socket = weak.lock();
    if (!socket || !socket->isOpen())
      return;
    FrameBytes frame = encodeControl(Answer);
    self->Counters.FramesOut.fetch_add(1);
    self->Counters.BytesOut.fetch_add(frame.size() + PrefixBytes);
    socket->send(std::move(frame));
  };
}

} // namespace wasabi
