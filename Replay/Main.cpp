/// \file
/// wasabi-replay TRACE OUTCOMES: checks a recorded timeline against expected
/// outcomes. Exit codes: 0 all hold, 1 one is violated, 2 bad input.
#include "Wasabi/Core/Program.h"
#include "Wasabi/Replay/Check.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using wasabi::ExitCode;
using wasabi::Result;
using wasabi::replay::TraceViolation;

const wasabi::ProgramDescription About{
    "wasabi-replay", "TRACE OUTCOMES",
    "Checks a recorded timeline (JSON lines, from wasabictl timeline) against\n"
    "expected outcomes (a JSON file of rules, bounds and expected events).\n"
    "Exit codes: 0 all hold, 1 one is violated, 2 bad input."};

Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return wasabi::badInput(path, "cannot be read");
  return std::move(text).str();
}

Result<ExitCode> replay(const std::vector<std::string> &arguments) {
  if (arguments.size() != 2)
    return wasabi::badInput("arguments", "expected TRACE and OUTCOMES");
  BOOST_LEAF_AUTO(expectationsText, readFile(arguments[1]));
  BOOST_LEAF_AUTO(expectations, wasabi::replay::readExpectations(
                                    arguments[1], expectationsText));
  BOOST_LEAF_AUTO(traceText, readFile(arguments[0]));
  BOOST_LEAF_AUTO(trace, wasabi::replay::readTrace(arguments[0], traceText));
  const std::optional<TraceViolation> violation =
      wasabi::replay::check(trace, expectations);
  if (violation) {
    std::cout << wasabi::replay::describeViolation(trace, *violation);
    return ExitCode::OutcomeNotMet;
  }
  std::cout << "replay: events=" << trace.Events.size()
            << " rules=" << expectations.Rules.size()
            << " expected=" << expectations.Events.size() << " broken=0\n";
  return ExitCode::Success;
}

} // namespace

int main(int argc, char **argv) {
  const wasabi::ProgramStart start = wasabi::startProgram(About, argc, argv);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(About, [&] { return replay(start.Arguments); });
}
