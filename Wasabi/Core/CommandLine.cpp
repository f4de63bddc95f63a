#include "Wasabi/Core/CommandLine.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>

namespace wasabi {

namespace {

constexpr std::string_view EnvironmentPrefix = "WASABI_";
/// Maximum edit distance at which a flag is suggested for an unknown name.
constexpr std::size_t MaxSuggestionDistance = 2;

const FlagDeclaration *findFlag(const std::vector<FlagDeclaration> &Flags,
                                std::string_view Name) {
  for (const FlagDeclaration &it : Flags) {
    if (it.Name == Name)
      return &it;
  }
  return nullptr;
}

/// Returns the declared flag with the closest name; null if none is within
/// `MaxSuggestionDistance`.
const FlagDeclaration *closestFlag(const std::vector<FlagDeclaration> &Flags,
                                   std::string_view Name) {
  const FlagDeclaration *best = nullptr;
  std::size_t bestDistance = MaxSuggestionDistance + 1;
  for (const FlagDeclaration &it : Flags) {
    std::size_t distance = editDistance(it.Name, Name);
    if (distance < bestDistance && distance < it.Name.size()) {
      best = &it;
      bestDistance = distance;
    }
  }
  return best;
}

std::string allowedValues(FlagKind Kind) {
  switch (Kind) {
  case FlagKind::Bool:
    return "true or false";
  case FlagKind::Int32:
    return "a whole number of 32 bits";
  case FlagKind::UInt32:
    return "a whole number of 32 bits, not negative";
  case FlagKind::Int64:
    return "a whole number";
  case FlagKind::UInt64:
    return "a whole number, not negative";
  case FlagKind::Double:
    return "a number";
  case FlagKind::Text:
    return "any text";
  }
  return "any text";
}

template <typename T> bool parsesAs(std::string_view Value) {
  T number{};
  const char *end = Value.data() + Value.size();
  std::from_chars_result result = std::from_chars(Value.data(), end, number);
  return result.ec == std::errc() && result.ptr == end;
}

bool parsesAsFinite(std::string_view Value) {
  double number = 0;
  const char *end = Value.data() + Value.size();
  std::from_chars_result result = std::from_chars(Value.data(), end, number);
  return result.ec == std::errc() && result.ptr == end && std::isfinite(number);
}

bool isAllowed(FlagKind Kind, std::string_view Value) {
  switch (Kind) {
  case FlagKind::Bool:
    return Value == "true" || Value == "false";
  case FlagKind::Int32:
    return parsesAs<std::int32_t>(Value);
  case FlagKind::UInt32:
    return parsesAs<std::uint32_t>(Value);
  case FlagKind::Int64:
    return parsesAs<std::int64_t>(Value);
  case FlagKind::UInt64:
    return parsesAs<std::uint64_t>(Value);
  case FlagKind::Double:
    return parsesAsFinite(Value);
  case FlagKind::Text:
    return true;
  }
  return false;
}

Result<FlagValue> checkValue(const FlagDeclaration &Flag, std::string Value,
                             std::string Origin) {
  // Accept 1 and 0 for true and false, as is common in shells.
  if (Flag.Kind == FlagKind::Bool && (Value == "1" || Value == "0"))
    Value = Value == "1" ? "true" : "false";
  if (!isAllowed(Flag.Kind, Value))
    return badInput(std::move(Origin),
                    "'" + Value + "' is not " + allowedValues(Flag.Kind));
  return FlagValue{Flag.Name, std::move(Value), std::move(Origin)};
}

boost::leaf::error_id unknownFlag(const std::vector<FlagDeclaration> &Flags,
                                  std::string_view Name) {
  std::string reason = "there is no such flag";
  if (const FlagDeclaration *suggestion = closestFlag(Flags, Name))
    reason += "; did you mean --" + suggestion->Name + "?";
  else
    reason += "; --help lists them";
  return badInput("--" + std::string(Name), std::move(reason));
}

void setValue(std::vector<FlagValue> &Values, FlagValue Value) {
  std::erase_if(Values,
                [&](const FlagValue &it) { return it.Name == Value.Name; });
  Values.push_back(std::move(Value));
}

/// Parses the command line arguments in order.
class ArgumentParser {
public:
  ArgumentParser(const std::vector<std::string> &Arguments,
                 const std::vector<FlagDeclaration> &Flags)
      : Arguments(Arguments), Flags(Flags) {}

  Result<CommandLine> parse() {
    while (Next < Arguments.size()) {
      const std::string &text = Arguments[Next++];
      if (text == "--")
        break;
      BOOST_LEAF_CHECK(readOne(text));
    }
    Parsed.Arguments.insert(
        Parsed.Arguments.end(),
        Arguments.begin() + static_cast<std::ptrdiff_t>(Next), Arguments.end());
    return std::move(Parsed);
  }

private:
  Result<void> readOne(const std::string &Text) {
    if (Text.size() < 2 || Text.front() != '-') {
      Parsed.Arguments.push_back(Text);
      return {};
    }
    std::string_view body = Text;
    body.remove_prefix(body.starts_with("--") ? 2 : 1);
    std::size_t equals = body.find('=');
    std::string_view name = body.substr(0, equals);
    if (equals != std::string_view::npos)
      return readNamed(name, std::string(body.substr(equals + 1)));
    return readNamed(name, std::nullopt);
  }

  Result<void> readNamed(std::string_view Name,
                         std::optional<std::string> Value) {
    if (!Value && (Name == "help" || Name == "h")) {
      Parsed.Help = true;
      return {};
    }
    if (!Value && Name == "version") {
      Parsed.Version = true;
      return {};
    }
    if (const FlagDeclaration *flag = findFlag(Flags, Name))
      return readDeclared(*flag, std::move(Value));
    return readNegated(Name, Value.has_value());
  }

  Result<void> readDeclared(const FlagDeclaration &Flag,
                            std::optional<std::string> Value) {
    std::string origin = "--" + Flag.Name;
    if (!Value && Flag.Kind == FlagKind::Bool)
      Value = "true";
    if (!Value && Next < Arguments.size())
      Value = Arguments[Next++];
    if (!Value)
      return badInput(origin, "needs a value: " + allowedValues(Flag.Kind));
    BOOST_LEAF_AUTO(checked, checkValue(Flag, std::move(*Value), origin));
    setValue(Parsed.Values, std::move(checked));
    return {};
  }

  Result<void> readNegated(std::string_view Name, bool HasValue) {
    const FlagDeclaration *flag =
        Name.starts_with("no") ? findFlag(Flags, Name.substr(2)) : nullptr;
    if (flag == nullptr || flag->Kind != FlagKind::Bool || HasValue)
      return unknownFlag(Flags, Name);
    setValue(Parsed.Values,
             FlagValue{flag->Name, "false", "--" + std::string(Name)});
    return {};
  }

  const std::vector<std::string> &Arguments;
  const std::vector<FlagDeclaration> &Flags;
  std::size_t Next = 0;
  CommandLine Parsed;
};

bool isGiven(const CommandLine &Line, const std::string &Flag) {
  return std::any_of(Line.Values.begin(), Line.Values.end(),
                     [&](const FlagValue &it) { return it.Name == Flag; });
}

std::string lowerCase(std::string_view Text) {
  std::string lower(Text);
  for (char &it : lower) {
    if (it >= 'A' && it <= 'Z')
      it = static_cast<char>(it - 'A' + 'a');
  }
  return lower;
}

Result<void> readVariable(const EnvironmentVariable &Variable,
                          const std::vector<FlagDeclaration> &Flags,
                          CommandLine &Line) {
  if (!Variable.Name.starts_with(EnvironmentPrefix))
    return {};
  std::string name = lowerCase(
      std::string_view(Variable.Name).substr(EnvironmentPrefix.size()));
  const FlagDeclaration *flag = findFlag(Flags, name);
  if (flag == nullptr) {
    if (const FlagDeclaration *suggestion = closestFlag(Flags, name))
      Line.Warnings.push_back(Variable.Name +
                              " is not a setting; did you mean " +
                              environmentName(suggestion->Name) + "?");
    return {};
  }
  if (isGiven(Line, flag->Name))
    return {};
  BOOST_LEAF_AUTO(value, checkValue(*flag, Variable.Value, Variable.Name));
  setValue(Line.Values, std::move(value));
  return {};
}

} // namespace

std::string environmentName(std::string_view Flag) {
  std::string name(EnvironmentPrefix);
  for (char it : Flag)
    name += it >= 'a' && it <= 'z' ? static_cast<char>(it - 'a' + 'A') : it;
  return name;
}

Result<CommandLine>
parseCommandLine(const std::vector<std::string> &Arguments,
                 const std::vector<EnvironmentVariable> &Environment,
                 const std::vector<FlagDeclaration> &Flags) {
  BOOST_LEAF_AUTO(line, ArgumentParser(Arguments, Flags).parse());
  // Flags override environment variables, so the environment is read last.
  for (const EnvironmentVariable &it : Environment)
    BOOST_LEAF_CHECK(readVariable(it, Flags, line));
  return line;
}

std::string describeFlags(const std::vector<FlagDeclaration> &Flags) {
  std::string text;
  for (const FlagDeclaration &it : Flags) {
    text += "  --" + it.Name;
    if (!it.Default.empty())
      text += " (default " + it.Default + ")";
    text += "\n      " + it.Help + "\n";
  }
  return text;
}

std::size_t editDistance(std::string_view Left, std::string_view Right) {
  // Only one row of the distance table is kept: row[j] is the distance between
  // the prefixes of lengths i and j.
  std::vector<std::size_t> row(Right.size() + 1);
  for (std::size_t j = 0; j <= Right.size(); ++j)
    row[j] = j;
  for (std::size_t i = 1; i <= Left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= Right.size(); ++j) {
      std::size_t substitution =
          diagonal + (Left[i - 1] == Right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[Right.size()];
}

} // namespace wasabi
