#include "IntegrationTests/Harness/Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>

using wasabi::Millis;
using wasabi::Outcome;
using wasabi::harness::CtlResult;
using wasabi::harness::Deployment;
using wasabi::harness::ProcessExit;
using wasabi::harness::WasabiProcess;

namespace {

constexpr Millis StopTimeout{20000};

std::unique_ptr<Deployment> startDeployment(const std::string &Example) {
  Outcome<std::unique_ptr<Deployment>> made =
      wasabi::toOutcome<std::unique_ptr<Deployment>>([&] {
        return Deployment::start({Example, 1, false, {}});
      });
  if (!made)
    FAIL(wasabi::describe(made.failure()));
  return std::move(*made);
}

} // namespace

TEST_CASE("An example starts, applies its declarations and stops cleanly") {
  std::string example = GENERATE("lindqvist", "balikbayan");
  std::unique_ptr<Deployment> running = startDeployment(example);
  CtlResult applied = running->control({"apply", running->declarations()});
  INFO(applied.Output << applied.Errors);
  REQUIRE(applied.Code == 0);
  CHECK(running->readyEntries().size() >= 3);

  // Stop all at once: each must exit although its peers are leaving.
  for (WasabiProcess &it : running->nodes())
    it.Child->signal(SIGTERM);
  for (WasabiProcess &it : running->nodes()) {
    INFO(it.Name);
    std::optional<ProcessExit> end = it.Child->wait(StopTimeout);
    REQUIRE(end);
    CHECK(end->Code == 0);
  }
}
