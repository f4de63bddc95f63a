#include "Fuzz/SocketFuzz.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstdlib>
#include <string>

namespace wasabi::fuzz {

namespace asio = boost::asio;
using asio::ip::tcp;

void sendInput(asio::io_context &Context, const Address &Where,
               const std::uint8_t *Data, std::size_t Size) {
  constexpr std::chrono::seconds Patience{20};
  tcp::socket socket(Context);
  boost::system::error_code ec;
  socket.connect({asio::ip::make_address(Where.Host), Where.Port}, ec);
  asio::write(socket, asio::buffer(Data, Size), ec);
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string answer;
  bool closed = false;
  asio::async_read(
      socket, asio::dynamic_buffer(answer),
      [&closed](boost::system::error_code, std::size_t) { closed = true; });
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + Patience;
  while (!closed) {
    Context.run_one_until(end);
    if (std::chrono::steady_clock::now() > end)
      std::abort();
  }
}

} // namespace wasabi::fuzz
