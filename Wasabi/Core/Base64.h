/// \file
/// Base64 encoding (RFC 4648) with padding.
#ifndef WASABI_CORE_BASE64_H
#define WASABI_CORE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace wasabi {

/// Encodes bytes as base64. Pure, thread-safe.
std::string encodeBase64(std::string_view Bytes);

/// Decodes base64; returns empty if `Text` is not valid base64. Pure,
/// thread-safe.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace wasabi

#endif // WASABI_CORE_BASE64_H
