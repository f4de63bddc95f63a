/// \file
/// A stand-in of the users' platform: its store and its servers, spoken to over
/// HTTP by the real processes.
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
  /// 503, and nothing is done.
  Busy,
  /// No answer, and nothing is done.
  Unresponsive,
  /// The connection is reset, and nothing is done.
  Reset,
  /// Done, but appends are not answered.
  LosesAnswers,
  /// Appends are not answered, and done after `LateAppendDelay`.
  Late,
  /// Every answer takes `SlowResponseDelay`.
  Slow,
};

/// The store. Everything happens on the context's thread.
class PlatformStore {
public:
  explicit PlatformStore(boost::asio::io_context &Context);

  Address address() const { return Serving->address(); }
  void setBehavior(StoreBehavior Now) { Behavior = Now; }
  /// What the operator and the servers write: the newest record of a key, or
  /// its deletion.
  void write(const std::string &Topic, const std::string &Key,
             const std::optional<std::string> &Value);
  /// Drops the records of a topic; of keyed ones the newest of each key stay
  /// readable as such.
  void compact(const std::string &Topic);

  /// All records that the system has written, one after the other.
  std::string content() const;

  /// How much later a late store does what it was asked.
  Millis LateAppendDelay{1500};
  /// How long a slow store takes.
  Millis SlowResponseDelay{240};

private:
  struct Topic {
    std::vector<std::string> Records;
    std::size_t First = 0;
  };

  boost::asio::awaitable<void> handle(http::Request Ask,
                                      std::shared_ptr<http::Responder> Out);
  boost::asio::awaitable<void> append(http::Request Ask,
                                      std::shared_ptr<http::Responder> Out);
  boost::asio::awaitable<void> read(http::Request Ask,
                                    std::shared_ptr<http::Responder> Out);
  std::optional<std::size_t> take(const http::Request &Ask);
  http::Response newest(const Topic &Of) const;

  boost::asio::io_context &Context;
  std::map<std::string, Topic> Topics;
  StoreBehavior Behavior = StoreBehavior::Normal;
  AsyncSignal Grown;
  std::shared_ptr<http::Server> Serving;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSTORE_H
