/// \file
/// Common startup of all programs: settings, `--help`, `--version`, exit codes
/// and the signals for a graceful stop.
#ifndef WASABI_CORE_PROGRAM_H
#define WASABI_CORE_PROGRAM_H

#include "Wasabi/Core/Verdict.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace wasabi {

/// Exit codes of all programs. `OutcomeNotMet` is distinct from failures that
/// prevented the attempt.
enum class ExitCode : std::uint8_t {
  /// The operation succeeded.
  Success = 0,
  /// The program ran, but the requested outcome was not reached.
  OutcomeNotMet = 1,
  /// A flag, an environment variable or an input file is invalid.
  Usage = 2,
  /// A required service is unreachable, or an address can't be bound.
  Unavailable = 3,
  /// Internal error of the program.
  Internal = 4,
};

/// Description of a program for `--help`. An immutable value.
struct ProgramDescription {
  /// Name on the command line, such as `wasabi-entry`.
  std::string Name;
  /// Usage of the positional arguments, such as `COMMAND [FOLDER]`. If empty,
  /// positional arguments are rejected.
  std::string Arguments;
  /// Summary of one or more sentences, in lines of at most 80 columns.
  std::string Summary;
};

/// Result of `startProgram`: continue with the arguments or exit.
struct ProgramStart {
  std::vector<std::string> Arguments;
  /// Exit code, set after `--help`, `--version` and an invalid setting.
  std::optional<ExitCode> Exit;
};

/// Sets the gflags variables from the command line and the environment
/// (`WASABI_<FLAG>`); the command line takes precedence. Prints `--help` and
/// `--version` on stdout and an invalid setting on stderr, and ignores SIGPIPE.
/// Call it first in `main`, before any thread starts. Not thread-safe.
ProgramStart startProgram(const ProgramDescription &Description, int Count,
                          const char *const *Values);

/// Holds back SIGHUP until `releaseHangups`: before there is a handler it would
/// end the process. Call it before `startProgram` in a program that reloads its
/// settings. Not thread-safe.
void holdHangups();

/// Delivers a SIGHUP that was held back, and later ones at once. Call it on the
/// main thread, once there is a handler.
void releaseHangups();

/// Returns the exit code for a failure. Thread-safe.
ExitCode exitCodeFor(const Failure &Error);

/// Runs the program's body and returns the exit code for `main`. A failure is
/// printed on stderr as one line with its place.
int runProgram(const ProgramDescription &Description,
               const std::function<Result<ExitCode>()> &Body);

/// Calls `Stop` once, on the context's thread, at the first SIGTERM or SIGINT;
/// later signals are ignored. Destroying the returned object ends the watch, so
/// that the context can run out of work. Precondition: called on the context's
/// thread or before it runs.
std::shared_ptr<void> onStopSignal(boost::asio::io_context &Context,
                                   std::function<void()> Stop);

} // namespace wasabi

#endif // WASABI_CORE_PROGRAM_H
