/// \file
/// The demo: runs an example under load, performs planned stops, and checks the
/// outcome against the records of the stand-ins.
#ifndef WASABI_INTEGRATIONTESTS_DEMO_DEMO_H
#define WASABI_INTEGRATIONTESTS_DEMO_DEMO_H

#include "IntegrationTests/Chaos/CallerLoad.h"
#include "IntegrationTests/Chaos/Tally.h"
#include "IntegrationTests/Chaos/Truth.h"
#include "IntegrationTests/Harness/Deployment.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabi::demo {

/// Results of a demo run. An immutable value.
struct DemoReport {
  /// The callers' sends as the records of the stand-ins show them.
  chaos::Tally Callers;
  /// Requests, each repeated until its answer was whole, and the refusals
  /// received.
  std::uint64_t Requests = 0;
  std::uint64_t Whole = 0;
  std::uint64_t Refused = 0;
  chaos::TrainerTruth Trainer;
  /// Number of samples in the completed steps according to the trainer's
  /// settings.
  std::uint64_t Samples = 0;
  /// Longest time from a change until it was in force on all processes.
  Millis MaxInForceTime{0};
  /// Violated expectations, one line each.
  std::vector<std::string> Faults;
};

/// Returns true if all expectations of the demo hold. Pure.
bool holds(const DemoReport &Report);

/// Returns the last line of the demo's output. Pure.
std::string describe(const DemoReport &Report);

/// Runs one example through the paths of a caller, a trainer, an operator and
/// planned stops. Not thread-safe.
class Demo {
public:
  struct Settings {
    std::string Example = "lindqvist";
    /// Number of training steps, and of samples in each.
    std::uint64_t Steps = 4;
    std::uint64_t Groups = 4;
    std::uint64_t GroupSize = 4;
    std::uint32_t Callers = 12;
    /// Number of whole answers to wait for before the first stop.
    std::uint64_t FirstAnswers = 200;
    std::uint64_t Seed = 1;
  };

  /// Starts the processes. Errors are those of `Deployment::start`.
  static Result<std::unique_ptr<Demo>> start(Settings Setup);

  /// Runs all paths and prints progress to stdout.
  DemoReport run();

private:
  Demo(Settings Setup, std::unique_ptr<harness::Deployment> System);

  void publish();
  void startCallerLoad();
  void waitForFirstStep();
  void runOperatorCommands();
  void restartEachProcess();
  void restartOne(harness::WasabiProcess &Node);
  void waitForAllSteps();
  void enterMaintenance();
  void checkOutcome();
  void checkRequests();
  void showTimeline();

  /// Waits for a condition, and directs callers to the entries that are ready
  /// meanwhile.
  bool waitWithCallers(const std::function<bool()> &Condition, Millis Timeout);
  harness::CtlResult control(const std::vector<std::string> &Arguments);
  chaos::TrainerTruth trainerTruth() const;
  void expect(bool Condition, const std::string &Description);

  const Settings Setup;
  const std::unique_ptr<harness::Deployment> System;
  std::unique_ptr<chaos::CallerLoad> Load;
  std::vector<chaos::PlannedStop> Stops;
  std::vector<chaos::CallerRecord> Records;
  DemoReport Report;
};

} // namespace wasabi::demo

#endif // WASABI_INTEGRATIONTESTS_DEMO_DEMO_H
