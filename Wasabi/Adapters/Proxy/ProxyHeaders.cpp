#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"

#include <algorithm>
#include <array>

namespace wasabi {
namespace {

constexpr std::array<std::string_view, 10> HopHeaders = {
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te",
    "trailer",    "upgrade",    "expect",           "content-length",    "host",
};

char lower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

bool isSameHeaderName(std::string_view One, std::string_view Other) {
  return One.size() == Other.size() &&
         std::equal(One.begin(), One.end(), Other.begin(),
                    [](char A, char B) { return lower(A) == lower(B); });
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
        HopHeaders.begin(), HopHeaders.end(),
        [&](std::string_view it) { return isSameHeaderName(Field.Name, it); });
  });
}

} // namespace wasabi
