#include "Wasabi/Core/Program.h"

#include "Wasabi/Core/CommandLine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string_view>

#include <unistd.h>

namespace wasabi {

namespace {

constexpr std::string_view ExitCodeHelp =
    "  0  it did what was asked\n"
    "  1  it ran, and the outcome asked for was not met\n"
    "  2  a flag, an environment variable or an input is wrong\n"
    "  3  something that it needs is unavailable\n"
    "  4  a fault of the program\n";

FlagKind kindOf(std::string_view GflagsType) {
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

/// gflags brings flags of its own (flagfile, tab completion …) that would be
/// a second way to set everything.
bool isLibraryFlag(const gflags::CommandLineFlagInfo &Info) {
  std::string_view file = Info.filename;
  std::size_t slash = file.rfind('/');
  if (slash != std::string_view::npos)
    file.remove_prefix(slash + 1);
  return file.starts_with("gflags");
}

std::vector<FlagDeclaration> declaredFlags() {
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::vector<FlagDeclaration> declared;
  for (const gflags::CommandLineFlagInfo &it : all) {
    if (!isLibraryFlag(it))
      declared.push_back(
          {it.name, kindOf(it.type), it.default_value, it.description});
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

void printHelp(const ProgramDescription &About) {
  std::cout << "usage: " << About.Name << " [FLAGS]";
  if (!About.Arguments.empty())
    std::cout << " " << About.Arguments;
  std::cout << "\n\n" << About.Summary << "\n";
  std::vector<FlagDeclaration> flags = declaredFlags();
  if (!flags.empty())
    std::cout << "\nFlags. Each is also an environment variable, "
              << environmentName(flags.front().Name) << " for --"
              << flags.front().Name << "; the flag wins.\n"
              << describeFlags(flags);
  std::cout << "\nExit codes:\n" << ExitCodeHelp;
}

void printFailure(const ProgramDescription &About, const Failure &Why) {
  std::cerr << About.Name << ": " << Why.Place << ": " << Why.Reason << "\n";
}

Result<CommandLine> readSettings(const ProgramDescription &About, int Count,
                                 const char *const *Values) {
  std::vector<std::string> arguments(Values + std::min(1, Count),
                                     Values + Count);
  BOOST_LEAF_AUTO(line,
                  parseCommandLine(arguments, environment(), declaredFlags()));
  if (About.Arguments.empty() && !line.Arguments.empty())
    return badInput("'" + line.Arguments.front() + "'",
                    "no argument is taken, only flags; see --help");
  for (const FlagValue &it : line.Values) {
    if (gflags::SetCommandLineOption(it.Name.c_str(), it.Value.c_str()).empty())
      return badInput(it.Origin, "'" + it.Value + "' is not allowed");
  }
  return line;
}

ProgramStart act(const ProgramDescription &About, const CommandLine &Line) {
  for (const std::string &it : Line.Warnings)
    std::cerr << About.Name << ": warning: " << it << "\n";
  if (Line.Help) {
    printHelp(About);
    return {{}, ExitCode::Success};
  }
  if (Line.Version) {
    std::cout << About.Name << " " << WASABI_VERSION << "\n";
    return {{}, ExitCode::Success};
  }
  return {Line.Arguments, std::nullopt};
}

/// The watch for stop signals. It lives on the context's thread.
struct StopWatch {
  explicit StopWatch(boost::asio::io_context &Context)
      : Signals(Context, SIGTERM, SIGINT) {}

  boost::asio::signal_set Signals;
  std::function<void()> Stop;
};

/// Waits for the next signal; only the first one calls `Stop`.
void watch(const std::shared_ptr<StopWatch> &Watch) {
  std::weak_ptr<StopWatch> weak = Watch;
  Watch->Signals.async_wait([weak](boost::system::error_code Error, int) {
    std::shared_ptr<StopWatch> held = weak.lock();
    if (Error || !held)
      return;
    std::function<void()> stop = std::move(held->Stop);
    held->Stop = nullptr;
    watch(held);
    if (stop)
      stop();
  });
}

} // namespace

ProgramStart startProgram(const ProgramDescription &About, int Count,
                          const char *const *Values) {
  // A peer that closes early is an error of the write, not the program's end.
  std::signal(SIGPIPE, SIG_IGN);
  return boost::leaf::try_handle_all(
      [&]() -> Result<ProgramStart> {
        BOOST_LEAF_AUTO(line, readSettings(About, Count, Values));
        return act(About, line);
      },
      [&](const Failure &Why) {
        printFailure(About, Why);
        return ProgramStart{{}, ExitCode::Usage};
      },
      [&](const boost::leaf::error_info &) {
        return ProgramStart{{}, ExitCode::Internal};
      });
}

ExitCode exitCodeFor(const Failure &Why) {
  switch (Why.Code) {
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

int runProgram(const ProgramDescription &About,
               const std::function<Result<ExitCode>()> &Body) {
  ExitCode code = boost::leaf::try_handle_all(
      [&]() -> Result<ExitCode> { return Body(); },
      [&](const Failure &Why) {
        printFailure(About, Why);
        return exitCodeFor(Why);
      },
      [&](boost::leaf::catch_<std::exception> Of) {
        std::cerr << About.Name << ": " << Of.matched.what() << '\n';
        return ExitCode::Internal;
      },
      [&](const boost::leaf::error_info &) {
        std::cerr << About.Name << ": an error without a cause\n";
        return ExitCode::Internal;
      });
  return static_cast<int>(code);
}

std::shared_ptr<void> onStopSignal(boost::asio::io_context &Context,
                                   std::function<void()> Stop) {
  std::shared_ptr<StopWatch> held = std::make_shared<StopWatch>(Context);
  held->Stop = std::move(Stop);
  watch(held);
  return held;
}

} // namespace wasabi
