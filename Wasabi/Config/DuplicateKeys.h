/// \file
/// Detects duplicate keys in JSON objects, which Boost.JSON accepts silently.
#ifndef WASABI_CONFIG_DUPLICATEKEYS_H
#define WASABI_CONFIG_DUPLICATEKEYS_H

#include "Wasabi/Core/Verdict.h"

#include <string>
#include <string_view>

namespace wasabi {

/// Checks that no JSON object has duplicate keys. Errors: `BadInput`, place
/// `Place: /path/of/member`, for the first duplicate. Text that is not valid
/// JSON is left to the parser of its content. Thread-safe.
Result<void> checkDuplicateKeys(std::string_view Text,
                                const std::string &Place);

} // namespace wasabi

#endif // WASABI_CONFIG_DUPLICATEKEYS_H
