#include "Wasabi/Rollout/Slot.h"

#include <charconv>

namespace wasabi {

std::string toText(const Slot &What) {
  return std::to_string(What.Step) + "/" + std::to_string(What.Group) + "/" +
         std::to_string(What.Index);
}

namespace {

/// Reads digits up to `Stop` (or the end when `Stop` is 0) and drops them.
template <typename T> bool takeNumber(std::string_view &Rest, char Stop, T &N) {
  const char *end = Rest.data() + Rest.size();
  std::from_chars_result got = std::from_chars(Rest.data(), end, N);
  if (got.ec != std::errc() || got.ptr == Rest.data())
    return false;
  Rest.remove_prefix(static_cast<std::size_t>(got.ptr - Rest.data()));
  if (Stop == 0)
    return Rest.empty();
  if (Rest.empty() || Rest.front() != Stop)
    return false;
  Rest.remove_prefix(1);
  return true;
}

} // namespace

std::optional<Slot> slotFromText(std::string_view Text) {
  Slot found;
  if (!takeNumber(Text, '/', found.Step) ||
      !takeNumber(Text, '/', found.Group) || !takeNumber(Text, 0, found.Index))
    return std::nullopt;
  return found;
}

} // namespace wasabi
