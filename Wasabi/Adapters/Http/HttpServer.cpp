#include "Wasabi/Adapters/Http/HttpServer.h"

#include "Wasabi/Adapters/Http/HttpConnection.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <vector>

namespace wasabi::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Errors come back as values: a lost connection is an ordinary event here.
constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

/// Pause after the system has refused to accept, for want of descriptors say.
constexpr Millis AcceptPause{50};
/// Bounds of the pause between two looks for connections that are too late.
constexpr Millis MinSweep{5};
constexpr Millis MaxSweep{500};

class ServerImpl final : public Server {
public:
  ServerImpl(asio::io_context &Context, Settings Limits, Handler Handle)
      : Shared(std::make_shared<ServerState>(Context, std::move(Limits),
                                             std::move(Handle))),
        Context(Context), Acceptor(Context), SweepTimer(Context) {}

  ErrorCode listen();
  void start();

  Address address() const override { return Bound; }
  std::size_t inFlight() const override { return Shared->InFlight; }
  std::size_t connections() const override { return Shared->Open.size(); }
  void closeAfterResponses() override { Shared->Closing = true; }
  void drain() override;
  void stop() override;

private:
  std::shared_ptr<ServerImpl> self() {
    return std::static_pointer_cast<ServerImpl>(shared_from_this());
  }
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> sweepLoop();
  void adopt(Tcp::socket Socket);
  void acceptQueued();

  const std::shared_ptr<ServerState> Shared;
  asio::io_context &Context;
  Tcp::acceptor Acceptor;
  BootTimer SweepTimer;
  Address Bound;
  bool Stopped = false;
};

ErrorCode ServerImpl::listen() {
  ErrorCode ec;
  asio::ip::address host =
      asio::ip::make_address(Shared->Limits.Listen.Host, ec);
  if (ec)
    return ec;
  Tcp::endpoint where(host, Shared->Limits.Listen.Port);
  Acceptor.open(where.protocol(), ec);
  if (ec)
    return ec;
  // A port that the kernel chooses must be ours alone: shared, it could be
  // given to a second process before either listens.
  bool chosen = Shared->Limits.Listen.Port != 0;
  Acceptor.set_option(Tcp::acceptor::reuse_address(chosen), ec);
  if (ec)
    return ec;
  Acceptor.bind(where, ec);
  if (ec)
    return ec;
  // Connections that outlive this listener must not keep its successor out.
  Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (ec)
    return ec;
  Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return ec;
  Acceptor.non_blocking(true, ec);
  Tcp::endpoint bound = Acceptor.local_endpoint(ec);
  Bound = Address{bound.address().to_string(), bound.port()};
  return ec;
}

void ServerImpl::start() {
  asio::co_spawn(
      Context, [self = self()] { return self->acceptLoop(); }, asio::detached);
  asio::co_spawn(
      Context, [self = self()] { return self->sweepLoop(); }, asio::detached);
}

asio::awaitable<void> ServerImpl::acceptLoop() {
  while (Acceptor.is_open()) {
    if (Shared->Open.size() >= Shared->Limits.MaxConnections) {
      Shared->CapacityTimer.expires_at(BootTimer::time_point::max());
      co_await Shared->CapacityTimer.async_wait(Awaited);
      continue;
    }
    auto [ec, socket] = co_await Acceptor.async_accept(Awaited);
    if (!ec) {
      adopt(std::move(socket));
      continue;
    }
    if (!Acceptor.is_open())
      break;
    Shared->CapacityTimer.expires_after(AcceptPause);
    co_await Shared->CapacityTimer.async_wait(Awaited);
  }
}

asio::awaitable<void> ServerImpl::sweepLoop() {
  Millis shortest =
      std::min({Shared->Limits.IdleTimeout, Shared->Limits.HeadTimeout,
                Shared->Limits.DrainGracePeriod});
  Millis pause = std::clamp(shortest / 4, MinSweep, MaxSweep);
  while (!Stopped && !(Shared->Draining && Shared->Open.empty())) {
    SweepTimer.expires_after(pause);
    co_await SweepTimer.async_wait(Awaited);
    TimePoint now = monotonicNow();
    // Closing may call handlers back, which may change the set.
    std::vector<std::shared_ptr<Connection>> all;
    all.reserve(Shared->Open.size());
    for (Connection *it : Shared->Open)
      all.push_back(it->shared_from_this());
    for (const std::shared_ptr<Connection> &it : all)
      it->enforceDeadline(now);
  }
}

void ServerImpl::adopt(Tcp::socket Socket) {
  ErrorCode ec;
  Socket.set_option(Tcp::no_delay(true), ec);
  std::shared_ptr<Connection> link =
      std::make_shared<Connection>(std::move(Socket), Shared);
  Shared->Open.insert(link.get());
  asio::co_spawn(
      Context, [link] { return link->serve(); }, asio::detached);
}

void ServerImpl::acceptQueued() {
  // A client whose connect has succeeded may have sent its request: closing the
  // queue would reset it.
  for (;;) {
    ErrorCode ec;
    Tcp::socket socket = Acceptor.accept(ec);
    if (ec)
      return;
    adopt(std::move(socket));
  }
}

void ServerImpl::drain() {
  if (Shared->Draining || Stopped)
    return;
  Shared->Draining = true;
  acceptQueued();
  ErrorCode ec;
  Acceptor.close(ec);
  Shared->CapacityTimer.cancel();
  for (Connection *it : Shared->Open)
    it->drain();
  if (Shared->Open.empty())
    SweepTimer.cancel();
}

void ServerImpl::stop() {
  Stopped = true;
  ErrorCode ec;
  Acceptor.close(ec);
  Shared->CapacityTimer.cancel();
  SweepTimer.cancel();
  std::vector<std::shared_ptr<Connection>> all;
  all.reserve(Shared->Open.size());
  for (Connection *it : Shared->Open)
    all.push_back(it->shared_from_this());
  for (const std::shared_ptr<Connection> &it : all)
    it->close();
}

} // namespace

Result<std::shared_ptr<Server>> Server::create(boost::asio::io_context &Context,
                                               Settings Limits,
                                               Handler Handle) {
  std::string place = "listen " + toText(Limits.Listen);
  std::shared_ptr<ServerImpl> server = std::make_shared<ServerImpl>(
      Context, std::move(Limits), std::move(Handle));
  ErrorCode ec = server->listen();
  if (ec)
    return boost::leaf::new_error(Failure{
        Verdict::NotRun, FailureCode::Unavailable, place, ec.message(), {}});
  server->start();
  return std::shared_ptr<Server>(server);
}

} // namespace wasabi::http
