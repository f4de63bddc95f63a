/// \file
/// An in-memory store with injectable faults.
#ifndef WASABI_UNITTESTS_BATCH_FAKESTORE_H
#define WASABI_UNITTESTS_BATCH_FAKESTORE_H

#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/RecordStore.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace wasabi::batchtest {

/// Fault injected into an append.
enum class AppendFault : std::uint8_t {
  None,
  /// The append is refused and has no effect.
  Refused,
  /// The records are appended, but the response is lost.
  AnswerLost,
  /// The records are not appended and there is no response.
  Lost,
};

/// What all processes together have read of a topic.
struct ReadTotals {
  std::size_t Calls = 0;
  std::size_t Bytes = 0;
};

/// The topics of one store and its faults. Not thread-safe.
struct FakeStore {
  explicit FakeStore(boost::asio::io_context &Context)
      : Context(Context), Appended(Context.get_executor()) {}
  FakeStore(const FakeStore &) = delete;
  FakeStore &operator=(const FakeStore &) = delete;

  /// Returns the port of a process that is always connected.
  RecordStore port();
  /// Returns the port of a process that cannot reach the store while
  /// `*Disconnected`.
  RecordStore port(const std::shared_ptr<bool> &Disconnected);
  void append(const std::string &Topic, std::string Record);
  /// Drops all records of a topic before `First`, which may be beyond its end:
  /// then the topic ends there.
  void expire(const std::string &Topic, Offset NewFirst);

  boost::asio::io_context &Context;
  AsyncSignal Appended;
  std::map<std::string, std::vector<std::string>> Topics;
  /// Number of executed appends by topic.
  std::map<std::string, std::size_t> Appends;
  /// Answered reads by topic.
  std::map<std::string, ReadTotals> Reads;
  /// The oldest offset that each topic still has.
  std::map<std::string, Offset> First;
  /// Faults of the next appends, in order; `None` if empty.
  std::deque<AppendFault> AppendFaults;
  /// Faults of the next appends to the payload topic.
  std::deque<AppendFault> PayloadAppendFaults;
  bool Down = false;
  /// True if the store accepts connections but does not respond: appends never
  /// return, reads fail after `SilentReadTimeout`.
  bool Unresponsive = false;
  Millis SilentReadTimeout{30};
  /// Maximum number of records in one read.
  std::size_t MaxEntries = 1000;

private:
  boost::asio::awaitable<Outcome<Offset>>
  appendRecords(std::shared_ptr<bool> Disconnected, std::string Topic,
                std::vector<std::string> Records, std::optional<Offset> At);
  boost::asio::awaitable<Outcome<LogRead>>
  read(std::shared_ptr<bool> Disconnected, std::string Topic, Offset From,
       Millis PollTimeout);
  boost::asio::awaitable<Outcome<KeyedRead>>
  readKeyed(std::shared_ptr<bool> Disconnected, std::string Topic, Offset From,
            Millis PollTimeout);
  boost::asio::awaitable<void> hang();
  boost::asio::awaitable<Outcome<KeyedRange>>
  newest(std::shared_ptr<bool> Disconnected, std::string Topic);
};

} // namespace wasabi::batchtest

#endif // WASABI_UNITTESTS_BATCH_FAKESTORE_H
