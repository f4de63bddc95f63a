#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Http/HttpWire.h"

#include <charconv>

namespace wasabi::http {

namespace {

std::string_view findHeader(const std::vector<Header> &Headers,
                            std::string_view Name) {
  for (const Header &it : Headers) {
    if (isSameHeaderName(it.Name, Name))
      return it.Value;
  }
  return {};
}

/// Decodes percent escapes and "+". A malformed escape is copied unchanged.
std::string percentDecoded(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::string decoded;
  for (std::size_t i = 0; i < Text.size(); ++i) {
    unsigned char byte = 0;
    if (Text[i] == '%' && i + 2 < Text.size()) {
      const char *end = Text.data() + i + 3;
      std::from_chars_result parsed =
          std::from_chars(Text.data() + i + 1, end, byte, Hexadecimal);
      if (parsed.ptr == end) {
        decoded += static_cast<char>(byte);
        i += 2;
        continue;
      }
    }
    decoded += Text[i] == '+' ? ' ' : Text[i];
  }
  return decoded;
}

} // namespace

void Request::shareBody() {
  // A small body is cheaper to copy.
  constexpr std::size_t MinSharedBytes = 16384;
  if (Body.size() < MinSharedBytes)
    return;
  SharedBody = std::make_shared<const std::string>(std::move(Body));
  Body.clear();
}

std::string_view Request::header(std::string_view Name) const {
  return findHeader(Headers, Name);
}

std::string_view Request::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

std::string Request::query(std::string_view Name) const {
  std::size_t mark = Target.find('?');
  if (mark == std::string::npos)
    return {};
  std::string_view rest = std::string_view(Target).substr(mark + 1);
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != Name)
      continue;
    return equals == std::string_view::npos
               ? std::string()
               : percentDecoded(pair.substr(equals + 1));
  }
  return {};
}

std::string_view Response::header(std::string_view Name) const {
  return findHeader(Headers, Name);
}

Response jsonResponse(unsigned Status, std::string Body) {
  return Response{
      Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace wasabi::http
