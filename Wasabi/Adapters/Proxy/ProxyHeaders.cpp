#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"

#include <algorithm>
#include <array>

namespace wasabi {
namespace {

constexpr std::array<std::string_view, 10> HopByHopHeaders = {
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te",
    "trailer",    "upgrade",    "expect",           "content-length",    "host",
};

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool isSameHeaderName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

} // namespace

void removeHeader(std::vector<http::Header> &Headers, std::string_view Name) {
  std::erase_if(Headers, [&](const http::Header &it) {
    return isSameHeaderName(it.Name, Name);
  });
}

void removeHopByHopHeaders(std::vector<http::Header> &Headers) {
  std::erase_if(Headers, [](const http::Header &Field) {
    return std::any_of(
        HopByHopHeaders.begin(), HopByHopHeaders.end(),
        [&](std::string_view it) { return isSameHeaderName(Field.Name, it); });
  });
}

} // namespace wasabi
