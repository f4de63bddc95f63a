/// \file
/// The identity of one sample of a trainer's step.
#ifndef WASABI_ROLLOUT_SLOT_H
#define WASABI_ROLLOUT_SLOT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabi {

/// Place of a sample: step, group, index in the group. However many attempts
/// run for a slot, one sample fills it.
struct Slot {
  std::uint64_t Step = 0;
  std::uint32_t Group = 0;
  std::uint32_t Index = 0;
  auto operator<=>(const Slot &) const = default;
};

/// "S/G/I", as trainers write it. Thread-safe.
std::string toText(const Slot &What);

/// The reverse; empty for anything else. Thread-safe.
std::optional<Slot> slotFromText(std::string_view Text);

} // namespace wasabi

#endif // WASABI_ROLLOUT_SLOT_H
