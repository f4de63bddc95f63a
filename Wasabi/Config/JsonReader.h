/// \file
/// Strict reading of JSON objects: each member is read with its type and range,
/// and unknown members are errors.
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

/// Reads the members of one JSON object. After an error, the reader keeps the
/// first one and returns default values, so that the caller checks once, with
/// `finish`. The value must outlive the reader. Not thread-safe.
class JsonReader {
public:
  /// \param Place file or object that errors name.
  /// \param Path JSON pointer of `Value` in it; empty for the root.
  JsonReader(const boost::json::value &Value, std::string Place,
             std::string Path = "");

  /// Accepts unknown members in this object and in all parts that are read
  /// afterwards; for responses of services that may have additional members.
  void allowUnknown() { AllowsUnknown = true; }
  /// Returns whether the member is present.
  bool has(std::string_view Key) const;
  /// Reads a required string.
  std::string text(std::string_view Key);
  /// Reads an optional string.
  std::string text(std::string_view Key, std::string_view Default);
  /// Reads a string that must be one of `Words` and returns its index; 0 if it
  /// is absent and not required.
  std::size_t enumIndex(std::string_view Key,
                        std::initializer_list<std::string_view> Words,
                        bool Required);
  /// Reads a required integer between `Min` and `Max`.
  std::uint64_t
  number(std::string_view Key, std::uint64_t Min = 0,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());
  /// Reads an optional integer between `Min` and `Max`.
  std::int64_t integer(std::string_view Key, std::int64_t Min, std::int64_t Max,
                       std::int64_t Default);
  /// Reads an optional boolean.
  bool boolean(std::string_view Key, bool Default);
  /// Returns a required member of any type; null if absent.
  const boost::json::value *requiredValue(std::string_view Key);
  /// Returns readers for the objects of an array; none if it is absent and not
  /// required.
  std::vector<JsonReader> objects(std::string_view Key, bool Required);
  /// Reads the strings of an array; none if it is absent and not required.
  std::vector<std::string> texts(std::string_view Key, bool Required);
  /// Returns a reader for a required object.
  JsonReader object(std::string_view Key);

  /// Reports an error of this object, or of one of its members.
  void fail(std::string_view Key, std::string Reason);
  /// Adds the first error of a part's reader to this one.
  void mergeError(JsonReader &Part);
  /// Returns the first error, or an error for an unknown member. Errors:
  /// `BadInput`, place `Place: /path`.
  Result<void> finish();

private:
  const boost::json::value *find(std::string_view Key, bool Required);
  std::string memberPath(std::string_view Key) const;
  void checkUnknown();

  const boost::json::value *Value;
  std::string Place;
  std::string Path;
  std::set<std::string, std::less<>> ReadMembers;
  std::optional<Failure> FirstError;
  bool AllowsUnknown = false;
};

/// Parses a JSON text. Errors: `BadInput` at `Place`. Thread-safe.
Result<boost::json::value> parseJson(std::string_view Text,
                                     const std::string &Place);

/// Returns the canonical text: members sorted by name, no whitespace. Numbers
/// must be integers, as a fraction has no unique text. Errors: `BadInput`,
/// place `Place: /path`. Thread-safe.
Result<std::string> canonicalText(const boost::json::value &Value,
                                  const std::string &Place,
                                  const std::string &Path = "");

/// Returns `Text` as a JSON string literal. Thread-safe.
std::string quoted(std::string_view Text);

} // namespace wasabi

#endif // WASABI_CONFIG_JSONREADER_H
