/// \file
/// Finds a member that a JSON object gives twice: a person meant one of them,
/// and nobody knows which.
#ifndef WASABI_CONFIG_DUPLICATEKEYS_H
#define WASABI_CONFIG_DUPLICATEKEYS_H

#include "Wasabi/Core/Verdict.h"

#include <string>
#include <string_view>

namespace wasabi {

/// Errors: `BadInput`, place `Place: /path/of/member`, for the first member
/// given twice. A text that is no JSON passes: its reader says so better.
/// Thread-safe.
Result<void> checkDuplicateKeys(std::string_view Text,
                                const std::string &Place);

} // namespace wasabi

#endif // WASABI_CONFIG_DUPLICATEKEYS_H
