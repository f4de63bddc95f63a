#include "IntegrationTests/Harness/FreePort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wasabi::harness {

Result<Address> freePort() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context);
  boost::system::error_code ec;
  boost::asio::ip::tcp::endpoint loopback(
      boost::asio::ip::address_v4::loopback(), 0);
  acceptor.open(loopback.protocol(), ec);
  if (!ec)
    acceptor.bind(loopback, ec);
  if (ec)
    return boost::leaf::new_error(Failure{Verdict::NotRun,
                                          FailureCode::Unavailable,
                                          "free port",
                                          ec.message(),
                                          {}});
  return Address{"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace wasabi::harness
