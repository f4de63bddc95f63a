#include "Wasabi/Config/DuplicateKeys.h"

#include <boost/json/basic_parser_impl.hpp>

#include <set>
#include <vector>

namespace wasabi {

namespace {

namespace json = boost::json;

/// An object or array that is being parsed.
struct Level {
  bool IsArray = false;
  /// For an object: the keys so far and the current key.
  std::set<std::string, std::less<>> Keys;
  std::string Key;
  /// For an array: the current index.
  std::size_t Index = 0;
};

/// Parser handler that tracks the path and detects duplicate keys.
class DuplicateKeyHandler {
public:
  static constexpr std::size_t max_object_size = -1; // NOLINT
  static constexpr std::size_t max_array_size = -1;  // NOLINT
  static constexpr std::size_t max_key_size = -1;    // NOLINT
  static constexpr std::size_t max_string_size = -1; // NOLINT

  /// Path of the first duplicate member; empty if there is none.
  std::string DuplicatePath;

  // Boost.JSON requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }
  bool on_object_begin(json::error_code &) { return enter(false); }
  bool on_object_end(std::size_t, json::error_code &) { return leave(); }
  bool on_array_begin(json::error_code &) { return enter(true); }
  bool on_array_end(std::size_t, json::error_code &) { return leave(); }
  bool on_key_part(json::string_view Part, std::size_t, json::error_code &) {
    PartialKey.append(Part.data(), Part.size());
    return true;
  }
  bool on_key(json::string_view Part, std::size_t, json::error_code &) {
    PartialKey.append(Part.data(), Part.size());
    return endKey();
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code &) {
    return true;
  }
  bool on_string(json::string_view, std::size_t, json::error_code &) {
    return endValue();
  }
  bool on_number_part(json::string_view, json::error_code &) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code &) {
    return endValue();
  }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code &) {
    return endValue();
  }
  bool on_double(double, json::string_view, json::error_code &) {
    return endValue();
  }
  bool on_bool(bool, json::error_code &) { return endValue(); }
  bool on_null(json::error_code &) { return endValue(); }
  bool on_comment_part(json::string_view, json::error_code &) { return true; }
  bool on_comment(json::string_view, json::error_code &) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  std::vector<Level> Levels;
  std::string PartialKey;

  bool enter(bool IsArray) {
    Level level;
    level.IsArray = IsArray;
    Levels.push_back(std::move(level));
    return true;
  }

  bool leave() {
    Levels.pop_back();
    return endValue();
  }

  bool endValue() {
    if (!Levels.empty() && Levels.back().IsArray)
      ++Levels.back().Index;
    return true;
  }

  bool endKey() {
    Level &level = Levels.back();
    level.Key = std::move(PartialKey);
    PartialKey.clear();
    if (!level.Keys.insert(level.Key).second && DuplicatePath.empty())
      DuplicatePath = path();
    return true;
  }

  std::string path() const {
    std::string out;
    for (const Level &it : Levels)
      out += "/" + (it.IsArray ? std::to_string(it.Index) : it.Key);
    return out;
  }
};

} // namespace

Result<void> checkDuplicateKeys(std::string_view Text,
                                const std::string &Place) {
  json::basic_parser<DuplicateKeyHandler> parser{json::parse_options()};
  json::error_code ec;
  parser.write_some(false, Text.data(), Text.size(), ec);
  const std::string &duplicate = parser.handler().DuplicatePath;
  if (!duplicate.empty())
    return badInput(Place + ": " + duplicate, "is given twice");
  return {};
}

} // namespace wasabi
