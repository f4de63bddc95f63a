/// \file
/// Validation of settings beyond a flag's type. Each error names the setting,
/// its value and the allowed values.
#ifndef WASABI_CORE_SETTINGCHECKS_H
#define WASABI_CORE_SETTINGCHECKS_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Maximum length of a name in bytes.
constexpr std::size_t MaxNameLength = 63;

/// Returns `Value` if it is between `Min` and `Max`, inclusive. Errors:
/// `BadInput`. Thread-safe.
Result<std::int64_t> checkRange(std::string_view Flag, std::int64_t Value,
                                std::int64_t Min, std::int64_t Max);

/// Returns `Value` if it is a valid name: 1 to 63 characters of `a-z`, `0-9`,
/// `-`, `_` and `.`, starting with a letter or digit. Errors: `BadInput`.
/// Thread-safe.
Result<std::string> checkName(std::string_view Flag, std::string_view Value);

/// Parses IP:PORT. Errors: `BadInput`, also for empty text. Thread-safe.
Result<Address> checkAddress(std::string_view Flag, std::string_view Value);

/// Parses a comma-separated list of IP:PORT; empty text is an empty list.
/// Errors: `BadInput`. Thread-safe.
Result<std::vector<Address>> checkAddresses(std::string_view Flag,
                                            std::string_view Value);

/// Splits a text at its commas; empty text has no parts. Thread-safe.
std::vector<std::string> splitList(std::string_view Value);

} // namespace wasabi

#endif // WASABI_CORE_SETTINGCHECKS_H
