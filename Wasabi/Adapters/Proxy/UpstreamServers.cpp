#include "Wasabi/Adapters/Proxy/DaemonProxy.h"

#include <algorithm>

namespace wasabi {
namespace {

Result<ProxiedServer> parseOne(std::string_view Item, std::string_view Place) {
  std::string_view expected = " is not server=service@IP:PORT";
  std::size_t equalsSign = Item.find('=');
  std::size_t atSign = Item.find('@');
  bool wellFormed = equalsSign != std::string_view::npos &&
                    atSign != std::string_view::npos && equalsSign > 0 &&
                    atSign > equalsSign + 1;
  if (!wellFormed)
    return badInput(std::string(Place),
                    "'" + std::string(Item) + "'" + std::string(expected));
  BOOST_LEAF_AUTO(Where, parseAddress(Item.substr(atSign + 1), Place));
  return ProxiedServer{ServerName(std::string(Item.substr(0, equalsSign))),
                       ServiceName(std::string(Item.substr(
                           equalsSign + 1, atSign - equalsSign - 1))),
                       Where};
}

} // namespace

Result<std::vector<ProxiedServer>> parseUpstreams(std::string_view Text,
                                                  std::string_view Place) {
  std::vector<ProxiedServer> servers;
  while (!Text.empty()) {
    std::size_t comma = std::min(Text.find(','), Text.size());
    BOOST_LEAF_AUTO(Parsed, parseOne(Text.substr(0, comma), Place));
    bool isDuplicate = std::any_of(
        servers.begin(), servers.end(),
        [&](const ProxiedServer &it) { return it.Server == Parsed.Server; });
    if (isDuplicate)
      return badInput(std::string(Place), "server '" + Parsed.Server.Text +
                                              "' is listed more than once");
    servers.push_back(std::move(Parsed));
    Text.remove_prefix(std::min(comma + 1, Text.size()));
  }
  return servers;
}

} // namespace wasabi
