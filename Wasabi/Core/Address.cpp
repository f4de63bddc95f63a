#include "Wasabi/Core/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace wasabi {

std::string toText(const Address &Value) {
  bool isV6 = Value.Host.find(':') != std::string::npos;
  std::string host = isV6 ? "[" + Value.Host + "]" : Value.Host;
  return host + ":" + std::to_string(Value.Port);
}

Result<Address> parseAddress(std::string_view Text, std::string_view Place) {
  std::size_t colon = Text.rfind(':');
  if (colon == std::string_view::npos)
    return badInput(std::string(Place),
                    "'" + std::string(Text) + "' is not IP:PORT");
  std::string_view host = Text.substr(0, colon);
  std::string_view port = Text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);

  std::uint16_t number = 0;
  std::from_chars_result read =
      std::from_chars(port.data(), port.data() + port.size(), number);
  if (read.ec != std::errc() || read.ptr != port.data() + port.size())
    return badInput(std::string(Place),
                    "'" + std::string(port) +
                        "' is not a port between 0 and 65535");

  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(host), ec);
  if (ec)
    return badInput(std::string(Place),
                    "'" + std::string(host) + "' is not an IP number");
  return Address{std::string(host), number};
}

} // namespace wasabi
