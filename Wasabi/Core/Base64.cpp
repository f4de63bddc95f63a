#include "Wasabi/Core/Base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace wasabi {

namespace base64 = boost::beast::detail::base64;

std::string encodeBase64(std::string_view Bytes) {
  std::string text(base64::encoded_size(Bytes.size()), '\0');
  text.resize(base64::encode(text.data(), Bytes.data(), Bytes.size()));
  return text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  std::size_t padding = 0;
  while (padding < 2 && padding < Text.size() &&
         Text[Text.size() - 1 - padding] == '=')
    ++padding;
  std::string_view digits = Text.substr(0, Text.size() - padding);
  std::string bytes(base64::decoded_size(Text.size()) + 3, '\0');
  auto [written, read] =
      base64::decode(bytes.data(), digits.data(), digits.size());
  // The decoder stops at the first invalid character.
  if (read != digits.size())
    return std::nullopt;
  bytes.resize(written);
  return bytes;
}

} // namespace wasabi
