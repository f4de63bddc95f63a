/// \file
/// Strict reading of one JSON object: each member is asked for once with its
/// type and range, and what was not asked for is an error.
#ifndef WASABI_CONFIG_JSONREADER_H
#define WASABI_CONFIG_JSONREADER_H

#include "Wasabi/Core/Verdict.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Keeps the first fault and goes on with harmless values, so that a reader is
/// a plain list of members followed by one `finish`. The value read must
/// outlive it. Not thread-safe.
class JsonReader {
public:
  /// \param Place the file or object that errors name.
  /// \param Path JSON pointer of `Value` in it; empty for the root.
  JsonReader(const boost::json::value &Value, std::string Place,
             std::string Path = "");

  /// Lets other members be there, here and in the parts read from now on: for
  /// answers of services that may say more than was asked.
  void allowUnknown() { Open = true; }
  /// Whether the member is there.
  bool has(std::string_view Key) const;
  /// A required string.
  std::string text(std::string_view Key);
  /// An optional string.
  std::string text(std::string_view Key, std::string_view Default);
  /// One of `Words`, as its index; the first one if absent and not required.
  std::size_t enumIndex(std::string_view Key,
                        std::initializer_list<std::string_view> Words,
                        bool Required);
  /// A required whole number of `Min` to `Max`.
  std::uint64_t
  number(std::string_view Key, std::uint64_t Min = 0,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());
  /// An optional whole number of `Min` to `Max`.
  std::int64_t integer(std::string_view Key, std::int64_t Min, std::int64_t Max,
                       std::int64_t Default);
  /// An optional boolean.
  bool boolean(std::string_view Key, bool Default);
  /// A required member of any type; null if absent.
  const boost::json::value *requiredValue(std::string_view Key);
  /// Readers for the objects of an array; none if absent and not required.
  std::vector<JsonReader> objects(std::string_view Key, bool Required);
  /// The strings of an array; none if absent and not required.
  std::vector<std::string> texts(std::string_view Key, bool Required);
  /// A reader for a required object.
  JsonReader object(std::string_view Key);

  /// Notes a fault of this reader's object, or of one of its members.
  void fail(std::string_view Key, std::string Reason);
  /// Takes over the first fault of a reader of a part.
  void mergeError(JsonReader &Part);
  /// The first fault, or one for a member that was never asked for.
  /// Errors: `BadInput`, place `Place: /path`.
  Result<void> finish();

private:
  const boost::json::value *find(std::string_view Key, bool Required);
  std::string pathOf(std::string_view Key) const;
  void checkUnknown();

  const boost::json::value *Value;
  std::string Place;
  std::string Path;
  std::set<std::string, std::less<>> Known;
  std::optional<Failure> Fault;
  bool Open = false;
};

/// Parses a JSON text. Errors: `BadInput` at `Place`. Thread-safe.
Result<boost::json::value> parseJson(std::string_view Text,
                                     const std::string &Place);

/// The canonical text: members sorted by name, no blanks. Numbers must be
/// whole, as a fraction has no one text. Errors: `BadInput`, place
/// `Place: /path`. Thread-safe.
Result<std::string> canonicalText(const boost::json::value &Value,
                                  const std::string &Place,
                                  const std::string &Path = "");

/// A JSON string literal of `Text`. Thread-safe.
std::string quoted(std::string_view Text);

} // namespace wasabi

#endif // WASABI_CONFIG_JSONREADER_H
