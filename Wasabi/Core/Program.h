/// \file
/// The common start of every program: settings into gflags, help, version, exit
/// codes and the signals for a graceful stop.
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

/// How every program ends. An outcome that was asked for and not met differs
/// from a program that could not try.
enum class ExitCode : std::uint8_t {
  /// It did what was asked.
  Success = 0,
  /// It ran, and the outcome asked for was not met.
  OutcomeNotMet = 1,
  /// A flag, an environment variable or an input file is wrong.
  Usage = 2,
  /// Something that it needs can't be reached, or an address can't be bound.
  Unavailable = 3,
  /// A fault of the program.
  Internal = 4,
};

/// What `--help` says of a program beside its flags. An immutable value.
struct ProgramDescription {
  /// As on the command line: `wasabi-entry`.
  std::string Name;
  /// What follows the flags: `COMMAND [FOLDER]`; empty for none, in which case
  /// any argument is refused.
  std::string Arguments;
  /// What it does, one or more sentences; lines at most 80 columns.
  std::string Summary;
};

/// What to do after the start: go on with the arguments, or leave at once.
struct ProgramStart {
  std::vector<std::string> Arguments;
  /// Set after `--help`, `--version` and for a wrong setting.
  std::optional<ExitCode> Exit;
};

/// Sets the gflags variables from the environment (`WASABI_<FLAG>`) and the
/// command line, which wins; answers `--help` and `--version` on stdout; names
/// a wrong setting on stderr; ignores SIGPIPE. Call it first in `main`, before
/// any thread is started; not thread-safe.
ProgramStart startProgram(const ProgramDescription &About, int Count,
                          const char *const *Values);

/// The exit code that a failure ends a program with. Thread-safe.
ExitCode exitCodeFor(const Failure &Why);

/// Runs a program's body; a failure is printed on stderr as one line that names
/// its place. The value is for `main` to return.
int runProgram(const ProgramDescription &About,
               const std::function<Result<ExitCode>()> &Body);

/// Calls `Stop` once, on the context's thread, at the first SIGTERM or SIGINT;
/// later ones are ignored, since a graceful stop is under way. Destroying what
/// it returns ends the watch, so that the context can run out of work.
/// Precondition: called on the context's thread or before it runs.
std::shared_ptr<void> onStopSignal(boost::asio::io_context &Context,
                                   std::function<void()> Stop);

} // namespace wasabi

#endif // WASABI_CORE_PROGRAM_H
