/// \file
/// Interface to the platform's store: ordered topics of records, and keyed
/// topics with the latest record of each key.
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
#include <variant>
#include <vector>

namespace wasabi {

/// One record of a keyed topic. An immutable value.
struct KeyedRecord {
  Offset At = 0;
  std::string Key;
  /// Empty if the key was deleted.
  std::optional<std::string> Value;
  bool operator==(const KeyedRecord &) const = default;
};

/// A key and its new value; an empty value deletes the key. A value.
struct KeyedValue {
  std::string Key;
  std::string Value;
  bool operator==(const KeyedValue &) const = default;
};

/// A contiguous range of a keyed topic, from the requested offset on.
struct KeyedRange {
  /// Oldest retained offset.
  Offset First = 0;
  /// One past the newest offset.
  Offset End = 0;
  std::vector<KeyedRecord> Records;
};

/// The answer to a read from an offset whose records have expired. Tells
/// nothing about the records that are retained: a reader has to go on at
/// `First`, and has missed what was before it.
struct ExpiredOffset {
  /// Oldest retained offset; greater than the requested one.
  Offset First = 0;
  bool operator==(const ExpiredOffset &) const = default;
};

using LogRead = std::variant<LogRange, ExpiredOffset>;
using KeyedRead = std::variant<KeyedRange, ExpiredOffset>;

/// Calls to the store as function objects. Use a store on the thread that
/// created it. The verdict of a failure says whether an append may have taken
/// effect or may still do so.
struct RecordStore {
  /// Appends all records or none and returns the offset of the first. With
  /// `ExpectedEnd`, appends only if the topic ends at that offset, else fails
  /// with `Conflict` and `NotRun`.
  std::function<boost::asio::awaitable<Outcome<Offset>>(
      std::string Topic, std::vector<std::string> Records,
      std::optional<Offset> ExpectedEnd, Millis Timeout)>
      Append;
  /// Appends all values or none as the latest records of their keys in a keyed
  /// topic, and returns the offset of the first.
  std::function<boost::asio::awaitable<Outcome<Offset>>(
      std::string Topic, std::vector<KeyedValue> Values, Millis Timeout)>
      AppendKeyed;
  /// Reads about `MaxBytes` at most from `FirstOffset` on; waits up to
  /// `PollTimeout` for the first record.
  std::function<boost::asio::awaitable<Outcome<LogRead>>(
      std::string Topic, Offset FirstOffset, Millis PollTimeout,
      std::size_t MaxBytes)>
      Read;
  /// Reads a keyed topic; otherwise like `Read`.
  std::function<boost::asio::awaitable<Outcome<KeyedRead>>(
      std::string Topic, Offset FirstOffset, Millis PollTimeout)>
      ReadKeyed;
  /// Reads the latest record of each key. `Timeout` bounds the time without
  /// progress, not the whole read.
  /// Continue reading at `End`; a record may be returned again from there, so
  /// the record with the greater offset wins.
  std::function<boost::asio::awaitable<Outcome<KeyedRange>>(std::string Topic,
                                                            Millis Timeout)>
      Newest;
};

} // namespace wasabi

#endif // WASABI_PORTS_RECORDSTORE_H
