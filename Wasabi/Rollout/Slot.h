/// \file
/// Identifies a sample of a trainer's step.
#ifndef WASABI_ROLLOUT_SLOT_H
#define WASABI_ROLLOUT_SLOT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabi {

/// Step, group and index within the group. A slot may have several attempts,
/// but is filled by one sample.
struct Slot {
  std::uint64_t Step = 0;
  std::uint32_t Group = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const Slot &) const = default;
};

/// Formats a slot as "STEP/GROUP/INDEX". Thread-safe.
std::string toText(const Slot &Value);

/// Parses "STEP/GROUP/INDEX"; empty if the text is malformed. Thread-safe.
std::optional<Slot> slotFromText(std::string_view Text);

} // namespace wasabi

#endif // WASABI_ROLLOUT_SLOT_H
