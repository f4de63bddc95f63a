/// \file
/// Parses settings from flags and environment variables. Pure: the declared
/// flags, the arguments and the environment are passed in.
#ifndef WASABI_CORE_COMMANDLINE_H
#define WASABI_CORE_COMMANDLINE_H

#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Type of a flag's value.
enum class FlagKind : std::uint8_t {
  Bool,
  Int32,
  UInt32,
  Int64,
  UInt64,
  Double,
  Text,
};

/// Declaration of one flag. An immutable value.
struct FlagDeclaration {
  /// Name on the command line, without dashes.
  std::string Name;
  FlagKind Kind = FlagKind::Text;
  /// Default value as text.
  std::string Default;
  /// Help text, one sentence.
  std::string Help;

  bool operator==(const FlagDeclaration &) const = default;
};

/// One environment variable.
struct EnvironmentVariable {
  std::string Name;
  std::string Value;
  bool operator==(const EnvironmentVariable &) const = default;
};

/// The value of a flag and its source.
struct FlagValue {
  std::string Name;
  std::string Value;
  /// The flag or variable that set the value: `--listen` or `WASABI_LISTEN`.
  std::string Origin;
  bool operator==(const FlagValue &) const = default;
};

/// A parsed command line. An immutable value.
struct CommandLine {
  /// At most one value per flag; the command line takes precedence over the
  /// environment.
  std::vector<FlagValue> Values;
  /// Positional arguments, in order.
  std::vector<std::string> Arguments;
  /// One sentence for each environment variable that looks like a mistyped
  /// setting.
  std::vector<std::string> Warnings;
  bool Help = false;
  bool Version = false;

  bool operator==(const CommandLine &) const = default;
};

/// Returns the name of a flag's environment variable: `WASABI_` and the flag's
/// name in upper case.
std::string environmentName(std::string_view Flag);

/// Parses `--flag=value`, `--flag value`, `--bool` and `--nobool`; all
/// arguments after `--` are positional. Flags that are not given are read from
/// the environment. Errors: `BadInput` with the flag or variable, its value and
/// the allowed values. Thread-safe.
Result<CommandLine>
parseCommandLine(const std::vector<std::string> &Arguments,
                 const std::vector<EnvironmentVariable> &Environment,
                 const std::vector<FlagDeclaration> &Flags);

/// Formats the flags with their defaults and help texts for `--help`.
/// Thread-safe.
std::string describeFlags(const std::vector<FlagDeclaration> &Flags);

/// Returns the Levenshtein distance between two texts. Thread-safe.
std::size_t editDistance(std::string_view Left, std::string_view Right);

} // namespace wasabi

#endif // WASABI_CORE_COMMANDLINE_H
