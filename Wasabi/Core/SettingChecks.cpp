#include "Wasabi/Core/SettingChecks.h"

#include <algorithm>

namespace wasabi {

namespace {

std::string place(std::string_view Flag) { return "--" + std::string(Flag); }

bool isLetterOrDigit(char Sign) {
  return (Sign >= 'a' && Sign <= 'z') || (Sign >= '0' && Sign <= '9');
}

bool isNameSign(char Sign) {
  return isLetterOrDigit(Sign) || Sign == '-' || Sign == '_' || Sign == '.';
}

} // namespace

Result<std::int64_t> checkRange(std::string_view Flag, std::int64_t Value,
                                std::int64_t Least, std::int64_t Most) {
  if (Value < Least || Value > Most)
    return badInput(place(Flag), std::to_string(Value) + " is not within " +
                                     std::to_string(Least) + " to " +
                                     std::to_string(Most));
  return Value;
}

Result<std::string> checkName(std::string_view Flag, std::string_view Value) {
  bool good = !Value.empty() && Value.size() <= MaxNameLength &&
              isLetterOrDigit(Value.front()) &&
              std::all_of(Value.begin(), Value.end(), isNameSign);
  if (!good)
    return badInput(place(Flag),
                    "'" + std::string(Value) +
                        "' is not a name: 1 to 63 of a-z, 0-9, -, _ and ., "
                        "the first one a letter or digit");
  return std::string(Value);
}

Result<Address> checkAddress(std::string_view Flag, std::string_view Value) {
  return parseAddress(Value, place(Flag));
}

Result<std::vector<Address>> checkAddresses(std::string_view Flag,
                                            std::string_view Value) {
  std::vector<Address> found;
  for (const std::string &it : splitList(Value)) {
    BOOST_LEAF_AUTO(where, checkAddress(Flag, it));
    found.push_back(std::move(where));
  }
  return found;
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
