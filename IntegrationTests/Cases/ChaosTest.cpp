/// \file
/// Checks that a chaos schedule depends on its seed only, and that short runs
/// with fixed seeds find no violation. Longer ones run by `./run chaos`.
#include "IntegrationTests/Harness/Process.h"

#include <catch2/catch.hpp>

using namespace wasabi;
using wasabi::harness::Process;
using wasabi::harness::ProcessExit;

namespace {

constexpr Millis RunLimit{150000};

struct ChaosEnd {
  int Code = -1;
  std::string Output;
};

ChaosEnd runChaos(std::vector<std::string> arguments) {
  Process::Settings setup;
  setup.Program = "wasabi-chaos";
  setup.Arguments = std::move(arguments);
  const Outcome<std::unique_ptr<Process>> started =
      toOutcome<std::unique_ptr<Process>>(
          [&] { return Process::start(std::move(setup)); });
  REQUIRE(started);
  const std::optional<ProcessExit> end = (*started)->waitAndRead(RunLimit);
  return {end ? end->Code : -1, (*started)->output()};
}

std::string lastLine(const std::string &text) {
  const std::size_t at = text.rfind("chaos: ");
  return at == std::string::npos ? std::string() : text.substr(at);
}

} // namespace

TEST_CASE("A chaos schedule depends on its seed only", "[chaos]") {
  const std::vector<std::string> seven = {"--seed=7", "--seconds=60",
                                          "--schedule_only"};
  const ChaosEnd first = runChaos(seven);
  const ChaosEnd second = runChaos(seven);
  const ChaosEnd other =
      runChaos({"--seed=8", "--seconds=60", "--schedule_only"});
  CHECK(first.Code == 0);
  CHECK(first.Output.find("fault: at_ms=") != std::string::npos);
  CHECK(first.Output == second.Output);
  CHECK(first.Output != other.Output);
}

TEST_CASE("Short chaos runs have no violations", "[chaos]") {
  const std::string deployment = GENERATE("lindqvist", "balikbayan");
  const std::string seed = deployment == "lindqvist" ? "73" : "64";
  const ChaosEnd end =
      runChaos({"--seed=" + seed, "--seconds=8", "--deployment=" + deployment});
  INFO(end.Output);
  CHECK(end.Code == 0);
  const std::string line = lastLine(end.Output);
  for (const std::string zero :
       {"false_not_run=0", "double_runs=0", "wrong_answers=0",
        "cut_by_planned_stop=0", "duplicates=0", "missing=0", "mislabelled=0",
        "stale=0", "config_reverts=0", "late_to_leaving=0"}) {
    INFO(zero);
    CHECK(line.find(zero) != std::string::npos);
  }
  // Callers and the trainer were served during the run.
  CHECK(line.find(" whole=0 ") == std::string::npos);
  CHECK(line.find(" samples=0 ") == std::string::npos);
}

TEST_CASE("An invalid chaos setting is named", "[chaos]") {
  CHECK(runChaos({"--deployment=lund", "--schedule_only"}).Code == 2);
}
