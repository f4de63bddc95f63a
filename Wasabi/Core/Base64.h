/// \file
/// Base64 of RFC 4648 with padding.
#ifndef WASABI_CORE_BASE64_H
#define WASABI_CORE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace wasabi {

/// The text of some bytes. Pure, thread-safe.
std::string encodeBase64(std::string_view Bytes);

/// The bytes of a text; empty when it is not base64. Pure, thread-safe.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace wasabi

#endif // WASABI_CORE_BASE64_H
