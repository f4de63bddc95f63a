#include "Wasabi/Adapters/Proxy/DaemonProxy.h"

#include <algorithm>

namespace wasabi {
namespace {

Result<ProxiedServer> parseOne(std::string_view Item, std::string_view Place) {
  std::string_view form = " is not server=service@IP:PORT";
  std::size_t equals = Item.find('=');
  std::size_t at = Item.find('@');
  bool shaped = equals != std::string_view::npos &&
                at != std::string_view::npos && equals > 0 && at > equals + 1;
  if (!shaped)
    return badInput(std::string(Place),
                    "'" + std::string(Item) + "'" + std::string(form));
  BOOST_LEAF_AUTO(Where, parseAddress(Item.substr(at + 1), Place));
  return ProxiedServer{
      ServerName(std::string(Item.substr(0, equals))),
      ServiceName(std::string(Item.substr(equals + 1, at - equals - 1))),
      Where};
}

} // namespace

Result<std::vector<ProxiedServer>> parseUpstreams(std::string_view Text,
                                                  std::string_view Place) {
  std::vector<ProxiedServer> found;
  while (!Text.empty()) {
    std::size_t comma = std::min(Text.find(','), Text.size());
    BOOST_LEAF_AUTO(One, parseOne(Text.substr(0, comma), Place));
    bool twice =
        std::any_of(found.begin(), found.end(), [&](const ProxiedServer &it) {
          return it.Server == One.Server;
        });
    if (twice)
      return badInput(std::string(Place),
                      "server '" + One.Server.Text + "' is named twice");
    found.push_back(std::move(One));
    Text.remove_prefix(std::min(comma + 1, Text.size()));
  }
  return found;
}

} // namespace wasabi
