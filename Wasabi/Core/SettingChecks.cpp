#include "Wasabi/Core/SettingChecks.h"

#include <algorithm>

namespace wasabi {

namespace {

std::string flagPlace(std::string_view Flag) {
  return "--" + std::string(Flag);
}

bool isLetterOrDigit(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9');
}

bool isNameCharacter(char Character) {
  return isLetterOrDigit(Character) || Character == '-' || Character == '_' ||
         Character == '.';
}

} // namespace

Result<std::int64_t> checkRange(std::string_view Flag, std::int64_t Value,
                                std::int64_t Min, std::int64_t Max) {
  if (Value < Min || Value > Max)
    return badInput(flagPlace(Flag), std::to_string(Value) + " is not within " +
                                         std::to_string(Min) + " to " +
                                         std::to_string(Max));
  return Value;
}

Result<std::string> checkName(std::string_view Flag, std::string_view Value) {
  bool isValid = !Value.empty() && Value.size() <= MaxNameLength &&
                 isLetterOrDigit(Value.front()) &&
                 std::all_of(Value.begin(), Value.end(), isNameCharacter);
  if (!isValid)
    return badInput(flagPlace(Flag),
                    "'" + std::string(Value) +
                        "' is not a name: 1 to 63 of a-z, 0-9, -, _ and ., "
                        "the first one a letter or digit");
  return std::string(Value);
}

Result<Address> checkAddress(std::string_view Flag, std::string_view Value) {
  return parseAddress(Value, flagPlace(Flag));
}

Result<std::vector<Address>> checkAddresses(std::string_view Flag,
                                            std::string_view Value) {
  std::vector<Address> addresses;
  for (const std::string &it : splitList(Value)) {
    BOOST_LEAF_AUTO(address, checkAddress(Flag, it));
    addresses.push_back(std::move(address));
  }
  return addresses;
}

std::vector<std::string> splitList(std::string_view Value) {
  std::vector<std::string> parts;
  while (!Value.empty()) {
    std::size_t comma = Value.find(',');
    parts.emplace_back(Value.substr(0, comma));
    if (comma == std::string_view::npos)
      break;
    Value.remove_prefix(comma + 1);
  }
  return parts;
}

} // namespace wasabi
