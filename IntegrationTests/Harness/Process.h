/// \file
/// A real child process of a test: started, read, signalled and always ended.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_PROCESS_H
#define WASABI_INTEGRATIONTESTS_HARNESS_PROCESS_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/CommandLine.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace wasabi::harness {

/// How long a process may take until it has announced its addresses.
constexpr Millis ProcessStartTimeout{20000};

/// How a process ended. An immutable value.
struct ProcessExit {
  /// The exit code; 128 plus the signal for one that a signal ended.
  int Code = 0;
  bool operator==(const ProcessExit &) const = default;
};

/// One child. The kernel kills it when the harness dies, and destroying this
/// kills it too. Thread-safe.
class Process {
public:
  struct Settings {
    /// A program of the build, as `wasabi-daemon`.
    std::string Program;
    std::vector<std::string> Arguments;
    /// Set in addition to the harness' own, from which `WASABI_*` is taken out.
    std::vector<EnvironmentVariable> Environment;
    /// File that takes stderr; empty throws it away.
    std::string ErrorFile;
  };

  /// Errors: `Unavailable` when the program is not there or cannot be started.
  static Result<std::unique_ptr<Process>> start(Settings Setup);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// The address that the process printed as `KEY IP:PORT`, waited for. Errors:
  /// `Unavailable` with the end of its stderr when it ends or stays silent.
  Result<Address> waitForAddress(std::string_view Key,
                                 Millis Limit = ProcessStartTimeout);
  /// All that it printed on stdout up to now.
  std::string output() const;
  /// Sends a signal; nothing happens once it has ended.
  void signal(int Number);
  /// Waits for the end; empty when it still runs after `Limit`.
  std::optional<ProcessExit> wait(Millis Limit);
  /// Waits for the end and for all of stdout to be read.
  std::optional<ProcessExit> waitAndRead(Millis Limit);
  bool running();
  pid_t pid() const { return Pid; }

private:
  Process(Settings Setup, pid_t Pid, int Output);
  void readOutput(int Output);
  std::string lastErrors() const;

  const Settings Setup;
  const pid_t Pid;
  mutable std::mutex Guard;
  std::condition_variable Changed;
  std::string Read;
  bool Closed = false;
  std::optional<ProcessExit> End;
  std::thread Reader;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_PROCESS_H
