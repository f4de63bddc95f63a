/// \file
/// What the product needs from the platform's store: ordered topics of records
/// and tables of the newest record of each key.
#ifndef WASABI_PORTS_RECORDSTORE_H
#define WASABI_PORTS_RECORDSTORE_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/LogPort.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// One record of a keyed topic. An immutable value.
struct KeyedRecord {
  Offset At = 0;
  std::string Key;
  /// Empty when the key was deleted.
  std::optional<std::string> Value;
  bool operator==(const KeyedRecord &) const = default;
};

/// A stretch of a keyed topic.
struct KeyedRange {
  /// The oldest offset still kept; above the asked one when that has expired.
  Offset First = 0;
  /// One past the newest.
  Offset End = 0;
  std::vector<KeyedRecord> Records;
};

/// The store, as plain functions; each is used on the thread that built it.
/// Each failure says in its verdict whether an append may have happened or may
/// still happen later.
struct RecordStore {
  /// Appends all records or none and gives the offset of the first. With `At`,
  /// only if the topic ends there: else `Conflict`, `NotRun`.
  std::function<boost::asio::awaitable<Outcome<Offset>>(
      std::string Topic, std::vector<std::string> Records,
      std::optional<Offset> At, Millis Timeout)>
      Append;
  /// Makes `Value` the newest record of `Key` in a keyed topic; an empty one
  /// deletes the key.
  std::function<boost::asio::awaitable<Outcome<Offset>>(
      std::string Topic, std::string Key, std::string Value, Millis Timeout)>
      AppendKeyed;
  /// Reads from `From`, at most about `MaxBytes`, waiting up to `Wait` for a
  /// record. When `From` has expired, `First` is above it and there are no
  /// entries.
  std::function<boost::asio::awaitable<Outcome<LogRange>>(
      std::string Topic, Offset From, Millis Wait, std::size_t MaxBytes)>
      Read;
  /// As `Read`, of a keyed topic.
  std::function<boost::asio::awaitable<Outcome<KeyedRange>>(
      std::string Topic, Offset From, Millis Wait)>
      ReadKeyed;
  /// The newest record of each key. `End` is where to go on reading; a record
  /// may come again there, so the greater offset of a key counts.
  std::function<boost::asio::awaitable<Outcome<KeyedRange>>(std::string Topic)>
      Newest;
};

} // namespace wasabi

#endif // WASABI_PORTS_RECORDSTORE_H
