/// \file
/// The settings, the executor and the ports that the commands of wasabictl
/// share. Single-threaded: a command blocks until its calls have completed.
#ifndef WASABI_CTL_SESSION_H
#define WASABI_CTL_SESSION_H

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Core/Program.h"
#include "Wasabi/Ports/LogPort.h"
#include "Wasabi/Ports/RecordStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wasabi::ctl {

/// Exit codes that only wasabictl uses.
inline constexpr ExitCode NotAllInstances = static_cast<ExitCode>(5);
inline constexpr ExitCode UnknownOutcome = static_cast<ExitCode>(6);

/// The flags of all commands. An immutable value.
struct Settings {
  Address Log;
  /// Address of the store of the users' platform.
  Address Store;
  Address Instances;
  /// Admin addresses of processes, in addition to the platform's list.
  std::vector<Address> Peers;
  std::string Operator;
  std::string Message;
  bool Prune = false;
  /// Id of a change whose outcome is unknown.
  std::string ResumeId;
  /// Time limit for committing a change, and for waiting until it is in force.
  Millis Timeout{10000};
  /// Format of the timeline; the fields below filter its events.
  std::string Format;
  std::string Request;
  std::string Trainer;
  std::string Slot;
  std::string Instance;
  std::string Offset;
};

/// Runs the calls of one command. Not thread-safe.
class Session {
public:
  explicit Session(Settings Flags);

  const Settings Flags;

  /// Returns the HTTP client of all calls.
  http::Client &client() { return *Client; }
  /// Returns a port to the log. Errors: `BadInput` when `--log` is missing.
  Result<LogPort> log();
  /// Returns a port to the store of the users' platform. Errors: `BadInput`
  /// when `--store` is missing.
  Result<RecordStore> store();

  /// Runs a coroutine to completion and returns its value.
  template <typename T> T run(boost::asio::awaitable<T> Body) {
    std::optional<T> out;
    Context.restart();
    boost::asio::co_spawn(Context, storeResult(out, std::move(Body)),
                          [this](const std::exception_ptr &Problem) {
                            Context.stop();
                            if (Problem)
                              std::rethrow_exception(Problem);
                          });
    Context.run();
    return std::move(*out);
  }

  /// Runs `Body` for each index below `Count`, with a bounded number at once.
  void runConcurrently(
      std::size_t Count,
      const std::function<boost::asio::awaitable<void>(std::size_t)> &Body);

private:
  boost::asio::io_context Context;
  std::shared_ptr<http::Client> Client;

  template <typename T>
  static boost::asio::awaitable<void>
  storeResult(std::optional<T> &Out, boost::asio::awaitable<T> Body) {
    Out = co_await std::move(Body);
  }
};

/// Returns the value, or the failure as a LEAF error.
template <typename T> Result<T> toResult(Outcome<T> Value) {
  if (!Value)
    return boost::leaf::new_error(Value.failure());
  return std::move(*Value);
}

} // namespace wasabi::ctl

#endif // WASABI_CTL_SESSION_H
