/// \file
/// wasabi-soak: runs the real processes of the users' platform under faults
/// drawn from a seed, and checks the observations of callers, trainers and
/// servers.
#include "IntegrationTests/Soak/SoakCustomers.h"
#include "IntegrationTests/Soak/SoakRun.h"
#include "Wasabi/Core/Program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>
#include <iterator>
#include <string>

DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_uint32(seeds, 1, "number of consecutive seeds, starting with --seed");
DEFINE_uint32(seconds, 15, "duration of the faults in seconds");
DEFINE_uint32(edges, 3, "edge processes");
DEFINE_uint32(engines, 3, "engines, each with a sidecar");
DEFINE_uint32(callers, 6, "callers at once");
DEFINE_uint32(trainers, 2, "trainers at once");
DEFINE_uint32(crashing, 0, "callers whose request crashes servers");
DEFINE_uint32(customers, 0, "customers, whose usage is reported");
DEFINE_uint32(models, 1, "models, trained in turn by the trainers");
DEFINE_bool(states, false, "add faults that may leave a lasting state");
DEFINE_bool(plan_only, false, "print the plan of the seed and exit");
DEFINE_bool(keep, false, "keep the logs of a good run too");

namespace {

using wasabi::ExitCode;
using wasabi::Result;

const wasabi::ProgramDescription About{
    "wasabi-soak", "",
    "Runs wasabi-edge and wasabi-side on stand-ins of the users' platform\n"
    "behind fault proxies, injects the faults that --seed gives, and judges\n"
    "what was seen. A line a seed begins with \"soak:\"; exit code 0 only if\n"
    "every promise held. The logs of a failed run are kept in soak-SEED.log."};

/// Returns the counts of failed requests as "KIND/STATUS:COUNT", separated by
/// commas.
std::string describeFailures(const wasabi::soak::SoakResult &Got) {
  std::string text;
  for (const auto &[what, count] : Got.InnocentFailures)
    fmt::format_to(std::back_inserter(text), "{}{}/{}:{}",
                   text.empty() ? "" : ",", wasabi::soak::toText(what.first),
                   what.second, count);
  return text.empty() ? "none" : text;
}

bool runSeed(std::uint64_t Seed) {
  constexpr std::size_t MaxPrinted = 20;
  std::vector<wasabi::soak::ScheduledFault> plan =
      wasabi::soak::makeSoakPlan(Seed, std::chrono::seconds(FLAGS_seconds));
  if (FLAGS_customers > 0)
    wasabi::soak::addCustomerFaults(plan, Seed,
                                    std::chrono::seconds(FLAGS_seconds));
  if (FLAGS_states)
    wasabi::soak::addStateFaults(plan, Seed,
                                 std::chrono::seconds(FLAGS_seconds));
  if (FLAGS_plan_only) {
    std::cout << wasabi::soak::describe(plan);
    return true;
  }
  wasabi::soak::SoakSize size;
  size.Edges = FLAGS_edges;
  size.Engines = FLAGS_engines;
  size.Callers = FLAGS_callers;
  size.Trainers = FLAGS_trainers;
  size.CrashingCallers = FLAGS_crashing;
  size.Customers = FLAGS_customers;
  size.Models = FLAGS_models;
  wasabi::soak::SoakResult got =
      wasabi::soak::runSoakTest(size, Seed, plan, FLAGS_keep);
  if (!got.Violations.empty())
    std::cout << wasabi::soak::describe(plan);
  for (std::size_t i = 0; i < got.Violations.size() && i < MaxPrinted; ++i)
    std::cout << "broken: " << got.Violations[i] << '\n';
  std::cout << fmt::format("soak: seed={} broken={} asks={} served={} "
                           "innocent={} innocent_served={} "
                           "innocent_failed={} jobs={} "
                           "whole_jobs={} recovered_ms={}\n",
                           Seed, got.Violations.size(), got.Requests,
                           got.Served, got.InnocentRequests, got.InnocentServed,
                           describeFailures(got), got.Jobs, got.CompleteJobs,
                           got.RecoveryTime.count())
            << std::flush;
  return got.Violations.empty();
}

Result<ExitCode> run() {
  bool good = true;
  for (std::uint32_t i = 0; i < FLAGS_seeds; ++i)
    good = runSeed(FLAGS_seed + i) && good;
  return good ? ExitCode::Success : ExitCode::OutcomeNotMet;
}

} // namespace

int main(int Count, char **Values) {
  wasabi::ProgramStart start = wasabi::startProgram(About, Count, Values);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(About, run);
}
