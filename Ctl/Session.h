/// \file
/// What every command of wasabictl works with: settings, a context and the
/// ports. One thread; a command asks and waits.
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

/// Exit codes beyond the common ones.
inline constexpr ExitCode NotAllInstances = static_cast<ExitCode>(5);
inline constexpr ExitCode UnknownOutcome = static_cast<ExitCode>(6);

/// The flags of all commands. An immutable value.
struct Settings {
  Address Log;
  /// Of the users' platform.
  Address Store;
  Address Instances;
  /// Admin addresses of processes, besides the platform's list.
  std::vector<Address> Peers;
  std::string Operator;
  std::string Message;
  bool Prune = false;
  /// Id of a change whose fate is unknown.
  std::string Resume;
  /// How long to try to commit, and to wait until in force.
  Millis Wait{10000};
  /// Of the time line.
  std::string Format;
  std::string Request;
  std::string Trainer;
  std::string Slot;
  std::string Instance;
  std::string Offset;
};

/// Not thread-safe.
class Session {
public:
  explicit Session(Settings Given);

  const Settings Given;

  /// The client of all calls.
  http::Client &client() { return *Client; }
  /// The log. Errors: `BadInput` when `--log` is missing.
  Result<LogPort> log();
  /// The store of the users' platform. Errors: `BadInput` when `--store` is
  /// missing.
  Result<RecordStore> store();

  /// Runs a coroutine to its end.
  template <typename T> T run(boost::asio::awaitable<T> Body) {
    std::optional<T> out;
    Context.restart();
    boost::asio::co_spawn(Context, keep(out, std::move(Body)),
                          [this](const std::exception_ptr &Problem) {
                            Context.stop();
                            if (Problem)
                              std::rethrow_exception(Problem);
                          });
    Context.run();
    return std::move(*out);
  }

  /// Runs `Body` for 0 to below `Count`, a bounded number at once.
  void runConcurrently(
      std::size_t Count,
      const std::function<boost::asio::awaitable<void>(std::size_t)> &Body);

private:
  boost::asio::io_context Context;
  std::shared_ptr<http::Client> Client;

  template <typename T>
  static boost::asio::awaitable<void> keep(std::optional<T> &Out,
                                           boost::asio::awaitable<T> Body) {
    Out = co_await std::move(Body);
  }
};

/// The value, or the failure as a LEAF error.
template <typename T> Result<T> toResult(Outcome<T> What) {
  if (!What)
    return boost::leaf::new_error(What.failure());
  return std::move(*What);
}

} // namespace wasabi::ctl

#endif // WASABI_CTL_SESSION_H
