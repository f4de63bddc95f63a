/// \file
/// A child process of a test: starts it, reads its output, sends signals and
/// always ends it.
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

/// Time limit for a process to print its addresses.
constexpr Millis ProcessStartTimeout{20000};

/// Exit of a process. An immutable value.
struct ProcessExit {
  /// The exit code, or 128 plus the number of the signal that ended the
  /// process.
  int Code = 0;
  bool operator==(const ProcessExit &) const = default;
};

/// One child process. It is killed by the kernel when the harness dies, and by
/// the destructor. Thread-safe.
class Process {
public:
  struct Settings {
    /// Name of a program of the build, for example `wasabi-daemon`.
    std::string Program;
    std::vector<std::string> Arguments;
    /// Variables added to the environment of the harness, from which `WASABI_*`
    /// is removed.
    std::vector<EnvironmentVariable> Environment;
    /// File that receives stderr; if empty, stderr is discarded.
    std::string ErrorFile;
    /// Maximum number of open descriptors; 0 for that of the harness.
    std::size_t MaxDescriptors = 0;
  };

  /// Starts the program. Errors: `Unavailable` if it does not exist or cannot
  /// be started.
  static Result<std::unique_ptr<Process>> start(Settings Setup);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Waits for the address that the process prints as `KEY IP:PORT`. Errors:
  /// `Unavailable` with the end of its stderr if the process exits or does not
  /// print the address in time.
  Result<Address> waitForAddress(std::string_view Key,
                                 Millis Timeout = ProcessStartTimeout);
  /// Returns the stdout read so far.
  std::string output() const;
  /// Sends a signal; has no effect after the process has exited.
  void signal(int Number);
  /// Waits for the exit; empty if the process still runs after `Timeout`.
  std::optional<ProcessExit> wait(Millis Timeout);
  /// Waits for the exit and until all of stdout has been read.
  std::optional<ProcessExit> waitAndRead(Millis Timeout);
  bool running();
  pid_t pid() const { return Pid; }
  /// Returns the most memory that the process has used so far, in KiB; 0 if it
  /// no longer runs.
  std::size_t peakMemoryKib() const;
  /// Returns the memory that the process uses now, in KiB; 0 if it no longer
  /// runs.
  std::size_t memoryKib() const;
  /// Returns the number of open descriptors; 0 if the process no longer runs.
  std::size_t openDescriptors() const;

private:
  Process(Settings Setup, pid_t Pid, int Descriptor);
  void readOutput(int Descriptor);
  std::size_t readStatusKib(std::string_view Field) const;
  std::string lastErrors() const;

  const Settings Setup;
  const pid_t Pid;
  mutable std::mutex Guard;
  std::condition_variable Changed;
  std::string OutputText;
  bool OutputClosed = false;
  std::optional<ProcessExit> Exit;
  std::thread Reader;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_PROCESS_H
