/// \file
/// The demo: an example under load, its planned stops, and the verdict from the
/// stand-ins' own records.
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

/// What the demo found. An immutable value.
struct DemoReport {
  /// What the stand-ins' records say of the callers' sends.
  chaos::Tally Callers;
  /// Requests, each sent until it was whole; and refusals on the way.
  std::uint64_t Requests = 0;
  std::uint64_t Whole = 0;
  std::uint64_t Refused = 0;
  chaos::TrainerTruth Trainer;
  /// Samples that the whole steps have by the trainer's settings.
  std::uint64_t Samples = 0;
  /// Longest time that a change took until in force everywhere.
  Millis InForce{0};
  /// What did not go as it must, one line each.
  std::vector<std::string> Faults;
};

/// Whether everything that the demo shows holds. Pure.
bool holds(const DemoReport &Report);

/// The demo's last line. Pure.
std::string describe(const DemoReport &Report);

/// Runs one example through the four paths. Not thread-safe.
class Demo {
public:
  struct Settings {
    std::string Example = "lindqvist";
    /// Training steps, and their samples.
    std::uint64_t Steps = 4;
    std::uint64_t Groups = 4;
    std::uint64_t GroupSize = 4;
    std::uint32_t Callers = 12;
    /// Whole answers to wait for before the first stop.
    std::uint64_t FirstAnswers = 200;
    std::uint64_t Seed = 1;
  };

  /// Starts the processes. Errors as of `Deployment::start`.
  static Result<std::unique_ptr<Demo>> start(Settings Setup);

  /// Runs all paths, with progress on stdout.
  DemoReport run();

private:
  Demo(Settings Setup, std::unique_ptr<harness::Deployment> Running);

  void publish();
  void startCallerLoad();
  void waitForFirstStep();
  void runOperatorCommands();
  void restartEachProcess();
  void restartOne(harness::WasabiProcess &Node);
  void waitForAllSteps();
  void enterMaintenance();
  void judge();
  void checkRequests();
  void showTimeline();

  /// Waits, and sends callers to the entries that are ready meanwhile.
  bool await(const std::function<bool()> &Condition, Millis Limit);
  harness::CtlResult control(const std::vector<std::string> &Arguments);
  chaos::TrainerTruth trainerTruth() const;
  void expect(bool Holds, const std::string &What);

  const Settings Setup;
  const std::unique_ptr<harness::Deployment> Running;
  std::unique_ptr<chaos::CallerLoad> Load;
  std::vector<chaos::PlannedStop> Stops;
  std::vector<chaos::CallerRecord> Records;
  DemoReport Report;
};

} // namespace wasabi::demo

#endif // WASABI_INTEGRATIONTESTS_DEMO_DEMO_H
