/// \file
/// Reads a program's settings from flags and environment variables. Pure: the
/// declared flags, the arguments and the environment are passed in.
#ifndef WASABI_CORE_COMMANDLINE_H
#define WASABI_CORE_COMMANDLINE_H

#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// What values a flag takes.
enum class FlagKind : std::uint8_t {
  Bool,
  Int32,
  UInt32,
  Int64,
  UInt64,
  Double,
  Text,
};

/// One setting as the program declares it. An immutable value.
struct FlagDeclaration {
  /// Name as on the command line, without dashes.
  std::string Name;
  FlagKind Kind = FlagKind::Text;
  /// The default, as text.
  std::string Default;
  /// One sentence for a person.
  std::string Help;

  bool operator==(const FlagDeclaration &) const = default;
};

/// One variable of the environment.
struct EnvironmentVariable {
  std::string Name;
  std::string Value;
  bool operator==(const EnvironmentVariable &) const = default;
};

/// A value for a flag, and which source gave it.
struct FlagValue {
  std::string Name;
  std::string Value;
  /// `--listen` or `WASABI_LISTEN`.
  std::string Origin;
  bool operator==(const FlagValue &) const = default;
};

/// A command line read whole. An immutable value.
struct CommandLine {
  /// At most one value a flag: the command line's, else the environment's.
  std::vector<FlagValue> Values;
  /// What was not a flag, in order.
  std::vector<std::string> Arguments;
  /// Variables that look like a mistyped setting, one sentence each.
  std::vector<std::string> Warnings;
  bool Help = false;
  bool Version = false;

  bool operator==(const CommandLine &) const = default;
};

/// The environment variable of a flag: `WASABI_` and the name in capitals.
std::string environmentName(std::string_view Flag);

/// Reads `--flag=value`, `--flag value`, `--bool`, `--nobool` and, after `--`,
/// arguments only; then the environment for the flags not given. Errors:
/// `BadInput` naming the flag or variable, its value and what is allowed.
/// Thread-safe.
Result<CommandLine>
parseCommandLine(const std::vector<std::string> &Arguments,
                 const std::vector<EnvironmentVariable> &Environment,
                 const std::vector<FlagDeclaration> &Flags);

/// The list of flags with defaults and help, for `--help`. Thread-safe.
std::string describeFlags(const std::vector<FlagDeclaration> &Flags);

/// How many single-character edits turn `Left` into `Right`. Thread-safe.
std::size_t editDistance(std::string_view Left, std::string_view Right);

} // namespace wasabi

#endif // WASABI_CORE_COMMANDLINE_H
