/// \file
/// Simulates a trainer, a log, engines and successive owners in one thread,
/// with random faults at every step. The delivery tests run on it.
#ifndef WASABI_UNITTESTS_ROLLOUT_OWNERSIMULATION_H
#define WASABI_UNITTESTS_ROLLOUT_OWNERSIMULATION_H

#include "Wasabi/Rollout/StepState.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wasabi::test {

/// A trainer that counts the duplicate, stale and mislabelled samples that it
/// accepts.
struct FakeTrainer {
  bool Checks = true;
  std::uint32_t Bound = 1;
  WeightVersion Newest = 1;
  FencingToken Fence = 0;
  WantedStep Wanted;
  std::map<Slot, Sample> HeldSamples;
  std::uint32_t Duplicates = 0;
  std::uint32_t Stale = 0;
  std::uint32_t Mislabelled = 0;
  std::uint32_t StepsDone = 0;

  void openStep(std::uint64_t Step);
  WantedStep wanted() const;
  /// Handles a delivery. Returns nothing if its fencing token is too old.
  std::optional<DeliveryResponse> acceptDelivery(const Delivery &Batch);
};

/// Returns the text of one token. It contains the version, so that labels can
/// be verified.
std::string tokenText(std::uint64_t Seed, std::uint32_t At,
                      WeightVersion Version);
/// Returns the text that matches a label.
std::string textForLabel(std::uint64_t Seed, const Label &Spans);

/// An owner with its pending effects and records.
struct FakeOwner {
  struct Stream {
    Slot Place;
    ServerName On;
    std::uint64_t Seed = 0;
    std::uint32_t At = 0;
    std::uint32_t Length = 0;
  };
  StepState State;
  TrainerState Fold;
  std::string Name;
  std::uint64_t Sequence = 0;
  std::deque<std::string> Appends;
  std::deque<StepEffect> Effects;
  std::map<AttemptId, Stream> Streams;
  bool Stopped = false;
};

/// Fault rates in percent.
struct Faults {
  std::uint32_t OwnerCrash = 2;
  std::uint32_t LostAnswer = 10;
  std::uint32_t LostRequest = 5;
  std::uint32_t RepeatedAppend = 10;
  std::uint32_t StreamFailure = 5;
  std::uint32_t UnversionedChunk = 2;
  std::uint32_t Publication = 1;
  std::uint32_t ScoreFailure = 5;
};

struct OwnerSimulation {
  OwnerSimulation(std::uint64_t Seed, bool Checks, VersionChange Policy,
                  Faults Rates);

  /// Performs one random action of a random owner.
  void step();
  /// Runs without faults until the open step is complete. Returns false if it
  /// is not complete within `Most` steps.
  bool finish(std::uint32_t Most);
  /// Starts a new owner. If the trainer checks tokens, the previous owner stays
  /// paused and may resume at any time.
  void takeOver();
  /// Performs a random pending effect of the owner.
  void perform(FakeOwner &Owner);
  void advanceStream(FakeOwner &Owner);
  void append(FakeOwner &Owner);
  void handleEvent(FakeOwner &Owner, const StepEvent &Event);

  std::mt19937_64 Random;
  Faults Rates;
  VersionChange Policy;
  FakeTrainer Trainer;
  std::vector<std::string> Log;
  std::map<ServerName, WeightVersion> EngineVersions;
  std::vector<std::unique_ptr<FakeOwner>> Owners;
  FencingToken NextFence = 1;
  TimePoint Now{Micros(1000000)};
  std::uint32_t OwnerCrashes = 0;

private:
  bool chance(std::uint32_t Percent);
  void readLog(FakeOwner &Owner);
  void reportEngines(FakeOwner &Owner);
  void deliver(FakeOwner &Owner, const Delivery &Batch);
};

} // namespace wasabi::test

#endif // WASABI_UNITTESTS_ROLLOUT_OWNERSIMULATION_H
