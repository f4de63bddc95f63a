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

/// Completion token that returns errors as values, since lost connections are
/// ordinary events.
constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

/// Delay after a failed accept, for example when file descriptors run out.
constexpr Millis AcceptRetryDelay{50};
/// Bounds of the interval at which deadlines of connections are checked.
constexpr Millis MinSweepInterval{5};
constexpr Millis MaxSweepInterval{500};
/// Minimum time between two reports on slow readers, which bounds the log lines
/// that they cause.
constexpr Millis ReportInterval{1000};

class ServerImpl final : public Server {
public:
  ServerImpl(asio::io_context &Context, Settings Limits, Handler Handle)
      : Shared(std::make_shared<ServerState>(Context, std::move(Limits),
                                             std::move(Handle))),
        Context(Context), Acceptor(Context), SweepTimer(Context) {}

  ErrorCode listen();
  void start();

  Address address() const override { return BoundAddress; }
  std::size_t inFlight() const override { return Shared->InFlight; }
  std::size_t connections() const override { return Shared->Open.size(); }
  HeldCounts held() const override { return Shared->Held; }
  void setLimits(const ClientLimits &Limits) override;
  void closeAfterResponses() override { Shared->CloseAfterResponse = true; }
  void drain() override;
  void stop() override;

private:
  std::shared_ptr<ServerImpl> self() {
    return std::static_pointer_cast<ServerImpl>(shared_from_this());
  }
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> sweepLoop();
  void reportSlowReaders(TimePoint Now);
  void adopt(Tcp::socket Socket);
  void acceptQueued();

  const std::shared_ptr<ServerState> Shared;
  asio::io_context &Context;
  Tcp::acceptor Acceptor;
  BootTimer SweepTimer;
  Address BoundAddress;
  /// The earliest time of the next report on slow readers.
  TimePoint NextReport;
  bool Stopped = false;
};

ErrorCode ServerImpl::listen() {
  ErrorCode ec;
  asio::ip::address host =
      asio::ip::make_address(Shared->Limits.Listen.Host, ec);
  if (ec)
    return ec;
  Tcp::endpoint endpoint(host, Shared->Limits.Listen.Port);
  Acceptor.open(endpoint.protocol(), ec);
  if (ec)
    return ec;
  // An ephemeral port is bound without address reuse: otherwise a second
  // process could get the same port before either one listens.
  bool fixedPort = Shared->Limits.Listen.Port != 0;
  Acceptor.set_option(Tcp::acceptor::reuse_address(fixedPort), ec);
  if (ec)
    return ec;
  Acceptor.bind(endpoint, ec);
  if (ec)
    return ec;
  // Lets a later process bind the port while connections of this listener
  // remain.
  Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (ec)
    return ec;
  Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return ec;
  Acceptor.non_blocking(true, ec);
  Tcp::endpoint bound = Acceptor.local_endpoint(ec);
  BoundAddress = Address{bound.address().to_string(), bound.port()};
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
    // A closed connection ends the wait.
    if (!Shared->hasRoomForConnection(monotonicNow())) {
      Shared->CapacityTimer.expires_after(AcceptRetryDelay);
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
    Shared->yieldConnections(monotonicNow());
    Shared->CapacityTimer.expires_after(AcceptRetryDelay);
    co_await Shared->CapacityTimer.async_wait(Awaited);
  }
}

asio::awaitable<void> ServerImpl::sweepLoop() {
  Millis shortest = std::min(
      {Shared->Client.IdleTimeout, Shared->Client.HeadTimeout,
       Shared->Limits.DrainGracePeriod, Shared->Limits.ReadStallTimeout});
  Millis interval =
      std::clamp(shortest / 4, MinSweepInterval, MaxSweepInterval);
  while (!Stopped && !(Shared->Draining && Shared->Open.empty())) {
    SweepTimer.expires_after(interval);
    co_await SweepTimer.async_wait(Awaited);
    TimePoint now = monotonicNow();
    // Closing may run callbacks of handlers that change the set.
    std::vector<std::shared_ptr<Connection>> open;
    open.reserve(Shared->Open.size());
    for (Connection *it : Shared->Open)
      open.push_back(it->shared_from_this());
    for (const std::shared_ptr<Connection> &it : open)
      it->enforceDeadline(now);
    Shared->endLongOverload(now);
    if (Shared->Limits.Memory)
      Shared->Limits.Memory->releaseFreed(now);
    reportSlowReaders(now);
  }
}

void ServerImpl::reportSlowReaders(TimePoint Now) {
  if (Shared->Report == SlowReaderReport() || Now < NextReport)
    return;
  NextReport = Now + ReportInterval;
  SlowReaderReport report = std::move(Shared->Report);
  Shared->Report = SlowReaderReport();
  if (Shared->Limits.OnSlowReaders)
    Shared->Limits.OnSlowReaders(report);
}

void ServerImpl::adopt(Tcp::socket Socket) {
  ErrorCode ec;
  Socket.set_option(Tcp::no_delay(true), ec);
  // Concerns calls that are not asynchronous only.
  Socket.non_blocking(true, ec);
  std::shared_ptr<Connection> connection =
      std::make_shared<Connection>(std::move(Socket), Shared);
  Shared->Open.insert(connection.get());
  connection->updateHeld();
  asio::co_spawn(
      Context, [connection] { return connection->serve(); }, asio::detached);
}

void ServerImpl::setLimits(const ClientLimits &Limits) {
  Millis more = Limits.IdleTimeout - Shared->Client.IdleTimeout;
  Shared->Client = Limits;
  if (more <= Millis(0) || Shared->Draining)
    return;
  for (Connection *it : Shared->Open)
    it->extendIdleTime(more);
}

void ServerImpl::acceptQueued() {
  // A client with an established connection may have sent its request; closing
  // the listener would reset connections that are still queued.
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
  std::vector<std::shared_ptr<Connection>> open;
  open.reserve(Shared->Open.size());
  for (Connection *it : Shared->Open)
    open.push_back(it->shared_from_this());
  for (const std::shared_ptr<Connection> &it : open)
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
