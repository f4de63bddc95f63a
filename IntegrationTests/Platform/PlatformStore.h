/// \file
/// A stand-in of the store of the users' platform, which the real processes
/// access over HTTP.
#ifndef WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSTORE_H
#define WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSTORE_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi::test {

/// How the store answers.
enum class StoreBehavior : std::uint8_t {
  Normal,
  /// Answers 503 and does nothing.
  Busy,
  /// Neither answers nor does anything.
  Unresponsive,
  /// Resets the connection and does nothing.
  Reset,
  /// Executes requests, but does not answer appends.
  LosesAnswers,
  /// Does not answer appends, and executes them after `LateAppendDelay`.
  Late,
  /// Delays every answer by `SlowResponseDelay`.
  Slow,
};

/// The store. Used on the context's thread only.
class PlatformStore {
public:
  explicit PlatformStore(boost::asio::io_context &Context);

  Address address() const { return HttpServer->address(); }
  void setBehavior(StoreBehavior NewBehavior) { Behavior = NewBehavior; }
  /// Writes a record of the operator or a server: the newest record of a key,
  /// or its deletion.
  void write(const std::string &TopicName, const std::string &Key,
             const std::optional<std::string> &Value);
  /// Drops the records of a topic; of a keyed topic the newest record of each
  /// key stays readable.
  void compact(const std::string &TopicName);

  /// Leaves the next read of a topic that waits for records without an answer,
  /// as on a connection that has gone silent.
  void loseNextWaitingRead(const std::string &TopicName) {
    LosesReadOf = TopicName;
  }

  /// Returns all records that the system has written, concatenated.
  std::string content() const;

  /// Delay after which a late store executes an append.
  Millis LateAppendDelay{1500};
  /// Delay of each answer of a slow store.
  Millis SlowResponseDelay{240};

private:
  /// Offset at which the records of each topic begin, as in a deployment that
  /// is older than the retention of its store.
  static constexpr std::size_t FirstOffset = 1000;

  /// Expired records are empty.
  struct Topic {
    std::vector<std::string> Records = std::vector<std::string>(FirstOffset);
    std::size_t First = FirstOffset;
  };

  boost::asio::awaitable<void>
  handle(http::Request Request, std::shared_ptr<http::Responder> Responder);
  boost::asio::awaitable<void>
  append(http::Request Request, std::shared_ptr<http::Responder> Responder);
  boost::asio::awaitable<void> read(http::Request Request,
                                    std::shared_ptr<http::Responder> Responder);
  std::optional<std::size_t> appendRecords(const http::Request &Request);
  http::Response newestRecords(const Topic &Source) const;

  boost::asio::io_context &Context;
  std::map<std::string, Topic> Topics;
  StoreBehavior Behavior = StoreBehavior::Normal;
  /// See `loseNextWaitingRead`; empty for none.
  std::string LosesReadOf;
  AsyncSignal Appended;
  std::shared_ptr<http::Server> HttpServer;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSTORE_H
