#include "Wasabi/Rollout/Slot.h"

#include <charconv>

namespace wasabi {

std::string toText(const Slot &Value) {
  return std::to_string(Value.Step) + "/" + std::to_string(Value.Group) + "/" +
         std::to_string(Value.Index);
}

namespace {

/// Parses a number that ends at `Stop`, or at the end of the text if `Stop` is
/// 0, and removes both from the text.
template <typename T> bool takeNumber(std::string_view &Rest, char Stop, T &N) {
  const char *end = Rest.data() + Rest.size();
  std::from_chars_result parsed = std::from_chars(Rest.data(), end, N);
  if (parsed.ec != std::errc() || parsed.ptr == Rest.data())
    return false;
  Rest.remove_prefix(static_cast<std::size_t>(parsed.ptr - Rest.data()));
  if (Stop == 0)
    return Rest.empty();
  if (Rest.empty() || Rest.front() != Stop)
    return false;
  Rest.remove_prefix(1);
  return true;
}

} // namespace

std::optional<Slot> slotFromText(std::string_view Text) {
  Slot slot;
  if (!takeNumber(Text, '/', slot.Step) || !takeNumber(Text, '/', slot.Group) ||
      !takeNumber(Text, 0, slot.Index))
    return std::nullopt;
  return slot;
}

} // namespace wasabi
