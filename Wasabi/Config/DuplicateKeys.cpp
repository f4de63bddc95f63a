#include "Wasabi/Config/DuplicateKeys.h"

#include <boost/json/basic_parser_impl.hpp>

#include <set>
#include <vector>

namespace wasabi {

namespace {

namespace json = boost::json;

/// An object or array that the parser is inside of.
struct Level {
  bool IsArray = false;
  /// Of an object: the members so far, and the one that is being read.
  std::set<std::string, std::less<>> Seen;
  std::string Key;
  /// Of an array: the index that is being read.
  std::size_t Index = 0;
};

/// Follows the parser; what it is not asked about it lets pass.
class Watch {
public:
  static constexpr std::size_t max_object_size = -1; // NOLINT
  static constexpr std::size_t max_array_size = -1;  // NOLINT
  static constexpr std::size_t max_key_size = -1;    // NOLINT
  static constexpr std::size_t max_string_size = -1; // NOLINT

  /// Path of the first member given twice; empty for none.
  std::string Repeated;

  // The names of a handler are Boost.JSON's.
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }
  bool on_object_begin(json::error_code &) { return enter(false); }
  bool on_object_end(std::size_t, json::error_code &) { return leave(); }
  bool on_array_begin(json::error_code &) { return enter(true); }
  bool on_array_end(std::size_t, json::error_code &) { return leave(); }
  bool on_key_part(json::string_view Part, std::size_t, json::error_code &) {
    Partial.append(Part.data(), Part.size());
    return true;
  }
  bool on_key(json::string_view Part, std::size_t, json::error_code &) {
    Partial.append(Part.data(), Part.size());
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
  std::string Partial;

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
    level.Key = std::move(Partial);
    Partial.clear();
    if (!level.Seen.insert(level.Key).second && Repeated.empty())
      Repeated = path();
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
  json::basic_parser<Watch> parser{json::parse_options()};
  json::error_code ec;
  parser.write_some(false, Text.data(), Text.size(), ec);
  const std::string &repeated = parser.handler().Repeated;
  if (!repeated.empty())
    return badInput(Place + ": " + repeated, "is given twice");
  return {};
}

} // namespace wasabi
