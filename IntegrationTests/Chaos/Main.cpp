/// \file
/// wasabi-chaos: runs the whole product as real processes under faults drawn
/// from a seed, and checks it against the stand-ins' records.
#include "IntegrationTests/Chaos/Run.h"
#include "IntegrationTests/Chaos/Schedule.h"
#include "Wasabi/Core/Program.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_uint32(seconds, 20, "duration of the faults in seconds");
DEFINE_string(deployment, "lindqvist", "lindqvist or balikbayan");
DEFINE_bool(schedule_only, false, "print the schedule of the seed and exit");

DEFINE_bool(keep, false, "keep the time line and the logs also of a good run");

namespace {

using wasabi::ExitCode;
using wasabi::Result;

const wasabi::ProgramDescription About{
    "wasabi-chaos", "",
    "Runs the whole product behind fault proxies, injects the faults that\n"
    "--seed gives, and judges by the stand-ins' own records. The last line\n"
    "begins with \"chaos:\"; exit code 0 only if every promise held."};

Result<ExitCode> run() {
  BOOST_LEAF_AUTO(plan, wasabi::chaos::findClusterPlan(FLAGS_deployment));
  const std::vector<wasabi::chaos::Fault> schedule =
      wasabi::chaos::makeSchedule(FLAGS_seed,
                                  std::chrono::seconds(FLAGS_seconds));
  std::cout << wasabi::chaos::describe(schedule) << std::flush;
  if (FLAGS_schedule_only)
    return ExitCode::Success;
  return wasabi::chaos::runChaosTest(std::move(plan), FLAGS_seed, schedule,
                                     FLAGS_keep);
}

} // namespace

int main(int argc, char **argv) {
  const wasabi::ProgramStart start = wasabi::startProgram(About, argc, argv);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(About, run);
}
