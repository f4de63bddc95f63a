#include "Wasabi/Core/CommandLine.h"

#include <catch2/catch.hpp>

using wasabi::CommandLine;
using wasabi::EnvironmentVariable;
using wasabi::FlagDeclaration;
using wasabi::FlagKind;
using wasabi::Outcome;

namespace {

const std::vector<FlagDeclaration> Flags = {
    {"listen", FlagKind::Text, "127.0.0.1:0", "Where to listen."},
    {"limit", FlagKind::Int32, "4", "How many."},
    {"size", FlagKind::UInt64, "1", "How large."},
    {"share", FlagKind::Double, "0.5", "Which part."},
    {"strict", FlagKind::Bool, "false", "Whether to be strict."},
};

Outcome<CommandLine> parse(const std::vector<std::string> &Arguments,
                           const std::vector<EnvironmentVariable> &Variables) {
  return wasabi::toOutcome<CommandLine>(
      [&] { return wasabi::parseCommandLine(Arguments, Variables, Flags); });
}

std::string valueOf(const CommandLine &Line, const std::string &Name) {
  for (const wasabi::FlagValue &it : Line.Values) {
    if (it.Name == Name)
      return it.Value;
  }
  return "(unset)";
}

struct BadLine {
  std::vector<std::string> Arguments;
  std::vector<EnvironmentVariable> Variables;
  std::string Place;
  std::string Reason;
};

} // namespace

TEST_CASE("The command line accepts every spelling of a flag") {
  Outcome<CommandLine> line =
      parse({"--listen=1.2.3.4:5", "-limit", "7", "--strict", "apply",
             "--share=0.25", "--", "--not-a-flag"},
            {});
  REQUIRE(line);
  CHECK(valueOf(*line, "listen") == "1.2.3.4:5");
  CHECK(valueOf(*line, "limit") == "7");
  CHECK(valueOf(*line, "strict") == "true");
  CHECK(valueOf(*line, "share") == "0.25");
  CHECK(line->Arguments == std::vector<std::string>{"apply", "--not-a-flag"});
}

TEST_CASE("A flag overrides its environment variable, and the last flag wins") {
  Outcome<CommandLine> line =
      parse({"--limit=2", "--limit=3", "--nostrict"},
            {{"WASABI_LIMIT", "9"}, {"WASABI_SIZE", "8"}, {"HOME", "/"}});
  REQUIRE(line);
  CHECK(valueOf(*line, "limit") == "3");
  CHECK(valueOf(*line, "size") == "8");
  CHECK(valueOf(*line, "strict") == "false");
}

TEST_CASE(
    "The error of an invalid setting has its value and the allowed values") {
  const BadLine bad = GENERATE(
      BadLine{{"--limit=x"}, {}, "--limit", "'x' is not a whole number"},
      BadLine{{"--limit=3000000000"}, {}, "--limit", "of 32 bits"},
      BadLine{{"--size=-1"}, {}, "--size", "not negative"},
      BadLine{{"--share=nan"}, {}, "--share", "'nan' is not a number"},
      BadLine{{"--strict=maybe"}, {}, "--strict", "true or false"},
      BadLine{{"--listen"}, {}, "--listen", "needs a value"},
      BadLine{{"--listne=a"}, {}, "--listne", "did you mean --listen?"},
      BadLine{{"--zzzzzz"}, {}, "--zzzzzz", "no such flag"},
      BadLine{{"--nolimit"}, {}, "--nolimit", "no such flag"},
      BadLine{{}, {{"WASABI_SIZE", "big"}}, "WASABI_SIZE", "'big' is not"});
  Outcome<CommandLine> line = parse(bad.Arguments, bad.Variables);
  REQUIRE_FALSE(line);
  CHECK(line.failure().Code == wasabi::FailureCode::BadInput);
  CHECK(line.failure().Place == bad.Place);
  CHECK_THAT(line.failure().Reason, Catch::Contains(bad.Reason));
}

TEST_CASE("Only a mistyped environment variable causes a warning") {
  Outcome<CommandLine> line =
      parse({}, {{"WASABI_LIMT", "9"}, {"WASABI_UNRELATED_THING", "1"}});
  REQUIRE(line);
  REQUIRE(line->Warnings.size() == 1);
  CHECK_THAT(line->Warnings[0],
             Catch::Contains("WASABI_LIMT") && Catch::Contains("WASABI_LIMIT"));
}

TEST_CASE("Help and version are recognized and are not values") {
  Outcome<CommandLine> line = parse({"--help", "--version"}, {});
  REQUIRE(line);
  CHECK(line->Help);
  CHECK(line->Version);
  CHECK(line->Values.empty());
}

TEST_CASE("The edit distance counts single-character edits") {
  CHECK(wasabi::editDistance("", "") == 0);
  CHECK(wasabi::editDistance("abc", "") == 3);
  CHECK(wasabi::editDistance("kitten", "sitting") == 3);
}
