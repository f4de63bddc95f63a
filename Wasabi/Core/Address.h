/// \file
/// An IP number and a port.
#ifndef WASABI_CORE_ADDRESS_H
#define WASABI_CORE_ADDRESS_H

#include "Wasabi/Core/Verdict.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi {

/// The listening address of a process: an IP number (never a host name) and a
/// port.
struct Address {
  /// The IP number as text, v4 or v6 without brackets.
  std::string Host;
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  bool empty() const { return Host.empty(); }
};

/// Formats an address as "IP:PORT", with brackets around a v6 number.
/// Thread-safe.
std::string toText(const Address &Value);

/// Parses "IP:PORT". Errors: `BadInput` at `Place` if the IP number or the port
/// is missing or invalid, also for a host name. Thread-safe.
Result<Address> parseAddress(std::string_view Text, std::string_view Place);

} // namespace wasabi

#endif // WASABI_CORE_ADDRESS_H
