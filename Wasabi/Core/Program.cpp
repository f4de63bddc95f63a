#include "Wasabi/Core/Program.h"

#include "Wasabi/Core/CommandLine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string_view>

#include <malloc.h>
#include <unistd.h>

namespace wasabi {

namespace {

constexpr std::string_view ExitCodeHelp =
    "  0  the operation succeeded\n"
    "  1  the program ran, but the requested outcome was not reached\n"
    "  2  a flag, an environment variable or an input is invalid\n"
    "  3  a required service is unavailable\n"
    "  4  internal error\n";

FlagKind flagKind(std::string_view GflagsType) {
  if (GflagsType == "bool")
    return FlagKind::Bool;
  if (GflagsType == "int32")
    return FlagKind::Int32;
  if (GflagsType == "uint32")
    return FlagKind::UInt32;
  if (GflagsType == "int64")
    return FlagKind::Int64;
  if (GflagsType == "uint64")
    return FlagKind::UInt64;
  if (GflagsType == "double")
    return FlagKind::Double;
  return FlagKind::Text;
}

/// True for the built-in flags of gflags (flagfile, tab completion), which are
/// not offered as settings.
bool isLibraryFlag(const gflags::CommandLineFlagInfo &Info) {
  std::string_view file = Info.filename;
  std::size_t slash = file.rfind('/');
  if (slash != std::string_view::npos)
    file.remove_prefix(slash + 1);
  return file.starts_with("gflags");
}

std::vector<FlagDeclaration> declaredFlags() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::vector<FlagDeclaration> declared;
  for (const gflags::CommandLineFlagInfo &it : flags) {
    if (!isLibraryFlag(it))
      declared.push_back(
          {it.name, flagKind(it.type), it.default_value, it.description});
  }
  std::sort(declared.begin(), declared.end(),
            [](const FlagDeclaration &Left, const FlagDeclaration &Right) {
              return Left.Name < Right.Name;
            });
  return declared;
}

std::vector<EnvironmentVariable> environment() {
  std::vector<EnvironmentVariable> variables;
  for (char **it = environ; it != nullptr && *it != nullptr; ++it) {
    std::string_view text = *it;
    std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      variables.push_back({std::string(text.substr(0, equals)),
                           std::string(text.substr(equals + 1))});
  }
  return variables;
}

void printHelp(const ProgramDescription &Description) {
  std::cout << "usage: " << Description.Name << " [FLAGS]";
  if (!Description.Arguments.empty())
    std::cout << " " << Description.Arguments;
  std::cout << "\n\n" << Description.Summary << "\n";
  std::vector<FlagDeclaration> flags = declaredFlags();
  if (!flags.empty())
    std::cout << "\nFlags. Each is also an environment variable, "
              << environmentName(flags.front().Name) << " for --"
              << flags.front().Name << "; the flag takes precedence.\n"
              << describeFlags(flags);
  std::cout << "\nExit codes:\n" << ExitCodeHelp;
}

void printFailure(const ProgramDescription &Description, const Failure &Error) {
  std::cerr << Description.Name << ": " << Error.Place << ": " << Error.Reason
            << "\n";
}

Result<CommandLine> readSettings(const ProgramDescription &Description,
                                 int Count, const char *const *Values) {
  std::vector<std::string> arguments(Values + std::min(1, Count),
                                     Values + Count);
  BOOST_LEAF_AUTO(line,
                  parseCommandLine(arguments, environment(), declaredFlags()));
  if (Description.Arguments.empty() && !line.Arguments.empty())
    return badInput("'" + line.Arguments.front() + "'",
                    "unexpected argument: only flags are accepted; see --help");
  for (const FlagValue &it : line.Values) {
    if (gflags::SetCommandLineOption(it.Name.c_str(), it.Value.c_str()).empty())
      return badInput(it.Origin, "'" + it.Value + "' is not allowed");
  }
  return line;
}

ProgramStart handleCommandLine(const ProgramDescription &Description,
                               const CommandLine &Line) {
  for (const std::string &it : Line.Warnings)
    std::cerr << Description.Name << ": warning: " << it << "\n";
  if (Line.Help) {
    printHelp(Description);
    return {{}, ExitCode::Success};
  }
  if (Line.Version) {
    std::cout << Description.Name << " " << WASABI_VERSION << "\n";
    return {{}, ExitCode::Success};
  }
  return {Line.Arguments, std::nullopt};
}

void changeSignalMask(int How, int Number) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, Number);
  pthread_sigmask(How, &signals, nullptr);
}

/// Signal set and callback of `onStopSignal`. Accessed on the context's thread
/// only.
struct StopSignalWatch {
  explicit StopSignalWatch(boost::asio::io_context &Context)
      : Signals(Context, SIGTERM, SIGINT) {}

  boost::asio::signal_set Signals;
  std::function<void()> Stop;
};

/// Waits for the next signal; only the first one calls `Stop`.
void waitForSignal(const std::shared_ptr<StopSignalWatch> &Watch) {
  std::weak_ptr<StopSignalWatch> weak = Watch;
  Watch->Signals.async_wait([weak](boost::system::error_code Error, int) {
    std::shared_ptr<StopSignalWatch> held = weak.lock();
    if (Error || !held)
      return;
    std::function<void()> stop = std::move(held->Stop);
    held->Stop = nullptr;
    waitForSignal(held);
    if (stop)
      stop();
  });
}

/// Makes the allocator return large blocks to the kernel when they are freed.
/// By default it keeps blocks of the size of the largest one freed so far.
void limitKeptMemory() {
  constexpr int MinMappedBytes = 256 << 10;
  constexpr int MaxKeptBytes = 4 << 20;
  ::mallopt(M_MMAP_THRESHOLD, MinMappedBytes);
  ::mallopt(M_TRIM_THRESHOLD, MaxKeptBytes);
}

} // namespace

void holdHangups() { changeSignalMask(SIG_BLOCK, SIGHUP); }

void releaseHangups() { changeSignalMask(SIG_UNBLOCK, SIGHUP); }

ProgramStart startProgram(const ProgramDescription &Description, int Count,
                          const char *const *Values) {
  // Report a closed connection as a write error; SIGPIPE would end the process.
  std::signal(SIGPIPE, SIG_IGN);
  limitKeptMemory();
  return boost::leaf::try_handle_all(
      [&]() -> Result<ProgramStart> {
        BOOST_LEAF_AUTO(line, readSettings(Description, Count, Values));
        return handleCommandLine(Description, line);
      },
      [&](const Failure &Error) {
        printFailure(Description, Error);
        return ProgramStart{{}, ExitCode::Usage};
      },
      [&](const boost::leaf::error_info &) {
        return ProgramStart{{}, ExitCode::Internal};
      });
}

ExitCode exitCodeFor(const Failure &Error) {
  switch (Error.Code) {
  case FailureCode::BadInput:
    return ExitCode::Usage;
  case FailureCode::Internal:
    return ExitCode::Internal;
  case FailureCode::Conflict:
  case FailureCode::StaleFence:
  case FailureCode::NewerSchema:
    return ExitCode::OutcomeNotMet;
  default:
    return ExitCode::Unavailable;
  }
}

int runProgram(const ProgramDescription &Description,
               const std::function<Result<ExitCode>()> &Body) {
  ExitCode code = boost::leaf::try_handle_all(
      [&]() -> Result<ExitCode> { return Body(); },
      [&](const Failure &Error) {
        printFailure(Description, Error);
        return exitCodeFor(Error);
      },
      [&](boost::leaf::catch_<std::exception> Caught) {
        std::cerr << Description.Name << ": " << Caught.matched.what() << '\n';
        return ExitCode::Internal;
      },
      [&](const boost::leaf::error_info &) {
        std::cerr << Description.Name << ": internal error without a cause\n";
        return ExitCode::Internal;
      });
  return static_cast<int>(code);
}

std::shared_ptr<void> onStopSignal(boost::asio::io_context &Context,
                                   std::function<void()> Stop) {
  std::shared_ptr<StopSignalWatch> held =
      std::make_shared<StopSignalWatch>(Context);
  held->Stop = std::move(Stop);
  waitForSignal(held);
  return held;
}

} // namespace wasabi
