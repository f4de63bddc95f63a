#include "IntegrationTests/Harness/FreePort.h"

#include <unistd.h>

namespace wasabi::harness {

namespace {

using boost::asio::ip::tcp;

/// Start of a range below the kernel's ephemeral ports, so that no outgoing
/// connection or listener without a fixed port takes the port before it is
/// used.
constexpr unsigned FirstPort = 12000;
constexpr unsigned LastPort = 32000;
constexpr unsigned PortsPerBlock = 16;
constexpr unsigned Blocks = (LastPort - FirstPort) / PortsPerBlock;
constexpr unsigned MaxAttempts = 400;

boost::system::error_code bindPort(tcp::acceptor &Acceptor, unsigned Port) {
  boost::system::error_code ec;
  tcp::endpoint loopback(boost::asio::ip::address_v4::loopback(),
                         static_cast<std::uint16_t>(Port));
  Acceptor.open(loopback.protocol(), ec);
  if (!ec)
    Acceptor.bind(loopback, ec);
  return ec;
}

} // namespace

/// Reserves the next free block by binding its first port.
boost::system::error_code PortAllocator::reserveBlock() {
  boost::system::error_code ec;
  for (unsigned i = 0; i < Blocks; ++i) {
    unsigned first = FirstPort + NextBlock++ % Blocks * PortsPerBlock;
    tcp::acceptor reservation(Context);
    ec = bindPort(reservation, first);
    if (ec)
      continue;
    Reserved.push_back(std::move(reservation));
    NextPort = first + 1;
    EndPort = first + PortsPerBlock;
    break;
  }
  return ec;
}

Result<Address> PortAllocator::draw() {
  std::lock_guard lock(Mutex);
  boost::system::error_code ec;
  for (unsigned i = 0; i < MaxAttempts; ++i) {
    if (NextPort == EndPort)
      ec = reserveBlock();
    if (ec)
      break;
    unsigned port = NextPort++;
    tcp::acceptor trial(Context);
    ec = bindPort(trial, port);
    if (!ec)
      return Address{"127.0.0.1", static_cast<std::uint16_t>(port)};
    ec.clear();
  }
  return boost::leaf::new_error(
      Failure{Verdict::NotRun,
              FailureCode::Unavailable,
              "free port",
              ec ? ec.message() : "all ports that were tried are in use",
              {}});
}

Result<Address> freePort() {
  static PortAllocator allocator(static_cast<unsigned>(getpid()));
  return allocator.draw();
}

} // namespace wasabi::harness
