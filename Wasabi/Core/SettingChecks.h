/// \file
/// Checks of settings that a flag's type cannot express. Each error names the
/// setting, its value and what is allowed.
#ifndef WASABI_CORE_SETTINGCHECKS_H
#define WASABI_CORE_SETTINGCHECKS_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Most characters of a name.
constexpr std::size_t MaxNameLength = 63;

/// `Value` if it lies within `Least` and `Most`, both included. Thread-safe.
Result<std::int64_t> checkRange(std::string_view Flag, std::int64_t Value,
                                std::int64_t Least, std::int64_t Most);

/// `Value` if it is a name: 1 to 63 of `a-z`, `0-9`, `-`, `_` and `.`, the
/// first one a letter or digit. Thread-safe.
Result<std::string> checkName(std::string_view Flag, std::string_view Value);

/// Reads IP:PORT. Empty text is an error. Thread-safe.
Result<Address> checkAddress(std::string_view Flag, std::string_view Value);

/// Reads IP:PORT,IP:PORT,...; empty text is an empty list. Thread-safe.
Result<std::vector<Address>> checkAddresses(std::string_view Flag,
                                            std::string_view Value);

/// The parts between commas; none for empty text. Thread-safe.
std::vector<std::string> splitList(std::string_view Value);

} // namespace wasabi

#endif // WASABI_CORE_SETTINGCHECKS_H
