/// \file
/// wasabi-demo: runs one example as real processes through the paths of a
/// caller, a trainer, an operator and planned stops.
#include "IntegrationTests/Demo/Demo.h"
#include "Wasabi/Core/Program.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(example, "lindqvist", "lindqvist or balikbayan");
DEFINE_uint64(steps, 4, "training steps");
DEFINE_uint32(callers, 12, "callers at once");
DEFINE_uint64(seed, 1, "what the callers' requests are drawn from");

namespace {

using wasabi::ExitCode;
using wasabi::Result;
using wasabi::demo::Demo;
using wasabi::demo::DemoReport;

const wasabi::ProgramDescription About{
    "wasabi-demo", "",
    "Runs an example on loopback and drives it as a caller, a trainer and an\n"
    "operator do, with a planned stop of each process. Exits with 0 only if\n"
    "every promise held by the stand-ins' own records."};

Result<ExitCode> run() {
  Demo::Settings setup;
  setup.Example = FLAGS_example;
  setup.Steps = FLAGS_steps;
  setup.Callers = FLAGS_callers;
  setup.Seed = FLAGS_seed;
  BOOST_LEAF_AUTO(demo, Demo::start(std::move(setup)));
  DemoReport report = demo->run();
  // Print the last line only after all child processes have exited.
  demo.reset();
  std::cout << wasabi::demo::describe(report) << std::endl;
  return wasabi::demo::holds(report) ? ExitCode::Success
                                     : ExitCode::OutcomeNotMet;
}

} // namespace

int main(int argc, char **argv) {
  wasabi::ProgramStart start = wasabi::startProgram(About, argc, argv);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(About, run);
}
