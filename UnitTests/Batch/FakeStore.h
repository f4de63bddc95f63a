/// \file
/// A store in memory that fails as it is told to.
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

/// What happens to an append.
enum class AppendFault : std::uint8_t {
  Taken,
  /// Refused, with nothing done.
  Refused,
  /// Done, but the answer is lost.
  AnswerLost,
  /// Neither done nor answered.
  Lost,
};

/// All topics of one store, and its faults. Used on one thread.
struct FakeStore {
  explicit FakeStore(boost::asio::io_context &Context)
      : Context(Context), Grown(Context.get_executor()) {}
  FakeStore(const FakeStore &) = delete;
  FakeStore &operator=(const FakeStore &) = delete;

  /// The port of one process; `Disconnected` of it is the process's own.
  RecordStore port();
  /// The port of a process that is out of reach of the store while
  /// `*Disconnected`.
  RecordStore port(const std::shared_ptr<bool> &Disconnected);
  void append(const std::string &Topic, std::string Record);

  boost::asio::io_context &Context;
  AsyncSignal Grown;
  std::map<std::string, std::vector<std::string>> Topics;
  /// The oldest offset kept of each topic.
  std::map<std::string, Offset> First;
  /// Faults of the next appends; `Taken` when there are none.
  std::deque<AppendFault> AppendFaults;
  /// The same for the topic of payloads.
  std::deque<AppendFault> PayloadAppendFaults;
  bool Down = false;
  /// Connections are taken and nothing is answered: appends hang for good,
  /// reads until their time limit, `SilentReadTimeout`.
  bool Unresponsive = false;
  Millis SilentReadTimeout{30};
  /// Most records of one read.
  std::size_t MaxEntries = 1000;

private:
  boost::asio::awaitable<Outcome<Offset>>
  take(std::shared_ptr<bool> Disconnected, std::string Topic,
       std::vector<std::string> Records, std::optional<Offset> At);
  boost::asio::awaitable<Outcome<LogRange>>
  read(std::shared_ptr<bool> Disconnected, std::string Topic, Offset From,
       Millis Wait);
  boost::asio::awaitable<Outcome<KeyedRange>>
  readKeyed(std::shared_ptr<bool> Disconnected, std::string Topic, Offset From,
            Millis Wait);
  boost::asio::awaitable<void> hang();
  boost::asio::awaitable<Outcome<KeyedRange>>
  newest(std::shared_ptr<bool> Disconnected, std::string Topic);
};

} // namespace wasabi::batchtest

#endif // WASABI_UNITTESTS_BATCH_FAKESTORE_H
