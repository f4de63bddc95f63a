/// \file
/// wasabi-replay TRACE OUTCOMES: holds a recorded time line against stated
/// outcomes. Exit codes: 0 all hold, 1 one is broken, 2 bad input.
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
    "Holds a recorded time line (JSON lines, from wasabictl timeline) against\n"
    "stated outcomes (a JSON file of rules, bounds and expected events).\n"
    "Exit codes: 0 all hold, 1 one is broken, 2 bad input."};

Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return wasabi::badInput(path, "cannot be read");
  return std::move(text).str();
}

Result<ExitCode> replay(const std::vector<std::string> &arguments) {
  if (arguments.size() != 2)
    return wasabi::badInput("arguments", "TRACE and OUTCOMES are needed");
  BOOST_LEAF_AUTO(rules, readFile(arguments[1]));
  BOOST_LEAF_AUTO(against,
                  wasabi::replay::readExpectations(arguments[1], rules));
  BOOST_LEAF_AUTO(lines, readFile(arguments[0]));
  BOOST_LEAF_AUTO(trace, wasabi::replay::readTrace(arguments[0], lines));
  const std::optional<TraceViolation> broken =
      wasabi::replay::check(trace, against);
  if (broken) {
    std::cout << wasabi::replay::describeViolation(trace, *broken);
    return ExitCode::OutcomeNotMet;
  }
  std::cout << "replay: events=" << trace.Events.size()
            << " rules=" << against.Rules.size()
            << " expected=" << against.Expect.size() << " broken=0\n";
  return ExitCode::Success;
}

} // namespace

int main(int argc, char **argv) {
  const wasabi::ProgramStart start = wasabi::startProgram(About, argc, argv);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(About, [&] { return replay(start.Arguments); });
}
