#include "StandIns/FaultProxy.h"

#include "StandIns/ProxyLink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>
#include <set>

namespace wasabi::standins {

namespace {

using ErrorCode = boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<>>
    Awaited(boost::asio::use_awaitable);

/// Delay after a failed accept.
constexpr Millis AcceptPause{50};
constexpr double Percent = 100;

class FaultProxyImpl final
    : public FaultProxy,
      public std::enable_shared_from_this<FaultProxyImpl> {
public:
  FaultProxyImpl(boost::asio::io_context &Context, Settings Config)
      : FaultProxy({{"delay_ms", 0.0},
                    {"jitter_ms", 0.0},
                    {"refuse", false},
                    {"cut_now", false},
                    {"half_open", false},
                    {"one_way", false},
                    {"answer_loss", 0},
                    {"bytes_per_s", 0},
                    {"cut_after_bytes", 0},
                    {"loss_percent", 0.0},
                    {"upstream", wasabi::toText(Config.Upstream)},
                    {"seed", Config.Seed}}),
        Context(Context), Config(std::move(Config)),
        Upstream(this->Config.Upstream), Placeholder(Context),
        Acceptor(Context), Seed(this->Config.Seed), Random(Seed) {
    prepareFaults();
  }

  ErrorCode bind();
  ErrorCode listen();

  Address address() const override { return Bound; }
  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;
  void onFaultsChanged() override;

private:
  void prepareFaults();
  void pointUpstream();
  Micros delay();
  bool losesConnection();
  boost::asio::awaitable<void> acceptLoop(std::uint64_t Turn);
  boost::asio::awaitable<void> carry(std::shared_ptr<ProxyLink> Link);
  void cutAll(bool BrokenOnly);

  boost::asio::io_context &Context;
  const Settings Config;
  /// Upstream of new connections. It changes when a replaced process listens on
  /// another port.
  Address Upstream;
  /// Keeps the port bound, but not listening, while connections are refused.
  Tcp::socket Placeholder;
  Tcp::acceptor Acceptor;
  /// Number of times that the proxy has started to listen.
  std::uint64_t Turns = 0;
  Tcp::endpoint Endpoint;
  Address Bound;
  std::uint64_t Seed;
  std::minstd_rand Random;
  ProxyFaults LinkFaults;
  std::set<std::shared_ptr<ProxyLink>> Links;
  std::uint64_t CutAfterBytes = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Lost = 0;
  std::uint64_t EndedUp = 0;
  std::uint64_t EndedDown = 0;
};

void FaultProxyImpl::prepareFaults() {
  LinkFaults.Delay = [this] { return delay(); };
  LinkFaults.Rate = [this] { return InjectedFaults.number("bytes_per_s"); };
  LinkFaults.CutAfterBytes = [this] {
    return InjectedFaults.number("cut_after_bytes");
  };
  LinkFaults.HalfOpen = [this] { return InjectedFaults.isOn("half_open"); };
  LinkFaults.OneWay = [this] { return InjectedFaults.isOn("one_way"); };
  LinkFaults.DropResponse = [this] {
    bool lost = InjectedFaults.consumeOne("answer_loss");
    Lost += lost ? 1 : 0;
    return lost;
  };
}

Micros FaultProxyImpl::delay() {
  constexpr double MicrosPerMilli = 1000;
  double jitter = InjectedFaults.real("jitter_ms");
  std::uniform_real_distribution<double> share(0, 1);
  double millis = InjectedFaults.real("delay_ms");
  if (jitter > 0)
    millis += jitter * share(Random);
  return Micros(static_cast<std::int64_t>(millis * MicrosPerMilli));
}

bool FaultProxyImpl::losesConnection() {
  double percent = InjectedFaults.real("loss_percent");
  std::uniform_real_distribution<double> share(0, Percent);
  return percent > 0 && share(Random) < percent;
}

ErrorCode FaultProxyImpl::bind() {
  ErrorCode ec;
  boost::asio::ip::address host =
      boost::asio::ip::make_address(Config.Listen.Host, ec);
  if (ec)
    return ec;
  Tcp::endpoint wanted(host, Config.Listen.Port);
  Placeholder.open(wanted.protocol(), ec);
  if (ec)
    return ec;
  // With address sharing enabled, the kernel could assign the same free port to
  // another proxy before either of them listens.
  bool chosen = Config.Listen.Port != 0;
  Placeholder.set_option(Tcp::socket::reuse_address(chosen), ec);
  Placeholder.bind(wanted, ec);
  if (ec)
    return ec;
  Placeholder.set_option(Tcp::socket::reuse_address(true), ec);
  Endpoint = Placeholder.local_endpoint(ec);
  Bound = Address{Config.Listen.Host, Endpoint.port()};
  return ec;
}

ErrorCode FaultProxyImpl::listen() {
  ErrorCode ec;
  Acceptor.open(Endpoint.protocol(), ec);
  if (ec)
    return ec;
  Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  Acceptor.bind(Endpoint, ec);
  if (ec)
    return ec;
  Acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec)
    return ec;
  boost::asio::co_spawn(
      Context,
      [self = shared_from_this(), turn = ++Turns] {
        return self->acceptLoop(turn);
      },
      boost::asio::detached);
  return ec;
}

boost::asio::awaitable<void> FaultProxyImpl::acceptLoop(std::uint64_t Turn) {
  while (Acceptor.is_open() && Turn == Turns) {
    auto [ec, socket] = co_await Acceptor.async_accept(Awaited);
    if (ec) {
      if (Acceptor.is_open() && Turn == Turns)
        co_await sleepFor(AcceptPause);
      continue;
    }
    ++Accepted;
    std::shared_ptr<ProxyLink> link =
        std::make_shared<ProxyLink>(std::move(socket), LinkFaults);
    if (losesConnection()) {
      link->cut();
      continue;
    }
    Links.insert(link);
    boost::asio::co_spawn(
        Context,
        [self = shared_from_this(), link] { return self->carry(link); },
        boost::asio::detached);
  }
}

boost::asio::awaitable<void>
FaultProxyImpl::carry(std::shared_ptr<ProxyLink> Link) {
  co_await Link->run(Upstream);
  // One direction may continue after the other has ended. Its coroutines keep
  // the link alive, and the link can be cut while it is listed.
  while (!Link->closed())
    co_await sleepFor(AcceptPause);
  Links.erase(Link);
  EndedUp += Link->bytesUp();
  EndedDown += Link->bytesDown();
}

void FaultProxyImpl::cutAll(bool BrokenOnly) {
  std::set<std::shared_ptr<ProxyLink>> all = Links;
  for (const std::shared_ptr<ProxyLink> &it : all) {
    if (!BrokenOnly || it->hasDroppedBytes())
      it->cut();
  }
}

void FaultProxyImpl::pointUpstream() {
  const Outcome<Address> told = toOutcome<Address>([this] {
    return parseAddress(InjectedFaults.text("upstream"), "upstream");
  });
  if (!told)
    throw InvalidBody(describe(told.failure()));
  Upstream = *told;
}

void FaultProxyImpl::onFaultsChanged() {
  pointUpstream();
  if (InjectedFaults.number("seed") != Seed) {
    Seed = InjectedFaults.number("seed");
    Random.seed(static_cast<std::minstd_rand::result_type>(Seed));
  }
  if (InjectedFaults.number("cut_after_bytes") != CutAfterBytes) {
    CutAfterBytes = InjectedFaults.number("cut_after_bytes");
    for (const std::shared_ptr<ProxyLink> &it : Links)
      it->resetByteCount();
  }
  if (InjectedFaults.isOn("cut_now")) {
    cutAll(false);
    InjectedFaults.turnOff("cut_now");
  }
  // Dropped bytes cannot be recovered.
  if (!InjectedFaults.isOn("half_open") && !InjectedFaults.isOn("one_way"))
    cutAll(true);

  ErrorCode ec;
  if (InjectedFaults.isOn("refuse")) {
    ++Turns;
    Acceptor.close(ec);
  } else if (!Acceptor.is_open()) {
    ec = listen();
  }
  if (ec)
    throw InvalidBody("cannot listen again: " + ec.message());
}

boost::json::value FaultProxyImpl::truth() const {
  std::uint64_t up = EndedUp;
  std::uint64_t down = EndedDown;
  for (const std::shared_ptr<ProxyLink> &it : Links) {
    up += it->bytesUp();
    down += it->bytesDown();
  }
  boost::json::object all;
  all["connections"] = Accepted;
  all["open"] = Links.size();
  all["answers_lost"] = Lost;
  all["bytes_up"] = up;
  all["bytes_down"] = down;
  return all;
}

boost::asio::awaitable<void> FaultProxyImpl::answer(const http::Request &,
                                                    const ResponderPtr &To) {
  co_await sendError(To, NotFound, "no such path");
}

} // namespace

Result<std::shared_ptr<FaultProxy>>
FaultProxy::create(boost::asio::io_context &Context, Settings Config) {
  std::string place = "listen " + wasabi::toText(Config.Listen);
  std::shared_ptr<FaultProxyImpl> proxy =
      std::make_shared<FaultProxyImpl>(Context, std::move(Config));
  ErrorCode ec = proxy->bind();
  if (!ec)
    ec = proxy->listen();
  if (ec) {
    return boost::leaf::new_error(Failure{
        Verdict::NotRun, FailureCode::Unavailable, place, ec.message(), {}});
  }
  return std::shared_ptr<FaultProxy>(proxy);
}

} // namespace wasabi::standins
