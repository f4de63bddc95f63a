#include "IntegrationTests/Harness/FreePort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>

#include <unistd.h>

namespace wasabi::harness {

namespace {

/// Start of a range below the kernel's ephemeral ports, so that no outgoing
/// connection or listener without a fixed port takes the port before it is
/// used.
constexpr unsigned FirstPort = 12000;
constexpr unsigned LastPort = 32000;
/// Number of consecutive ports of one process. Separate ranges keep concurrent
/// processes from choosing the same port.
constexpr unsigned PortsPerProcess = 16;
constexpr unsigned MaxAttempts = 400;

unsigned firstPortOfProcess() {
  unsigned blocks = (LastPort - FirstPort) / PortsPerProcess;
  return static_cast<unsigned>(getpid()) % blocks * PortsPerProcess;
}

boost::system::error_code tryPort(std::uint16_t Port) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context);
  boost::system::error_code ec;
  boost::asio::ip::tcp::endpoint loopback(
      boost::asio::ip::address_v4::loopback(), Port);
  acceptor.open(loopback.protocol(), ec);
  if (!ec)
    acceptor.bind(loopback, ec);
  return ec;
}

} // namespace

Result<Address> freePort() {
  static std::atomic<unsigned> next{firstPortOfProcess()};
  boost::system::error_code ec;
  for (unsigned i = 0; i < MaxAttempts; ++i) {
    auto port =
        static_cast<std::uint16_t>(FirstPort + next++ % (LastPort - FirstPort));
    ec = tryPort(port);
    if (!ec)
      return Address{"127.0.0.1", port};
  }
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::Unavailable,
                                        "free port",
                                        ec.message(),
                                        {}});
}

} // namespace wasabi::harness
