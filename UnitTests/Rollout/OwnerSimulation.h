/// \file
/// A trainer, a log, engines and a row of owners in one thread, with faults at
/// every step between them: what the properties of delivery are checked on.
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

/// A trainer's memory, with what it saw go wrong.
struct FakeTrainer {
  bool Checks = true;
  std::uint32_t Bound = 1;
  WeightVersion Newest = 1;
  FencingToken Fence = 0;
  WantedStep Wanted;
  std::map<Slot, Sample> Have;
  std::uint32_t Duplicates = 0;
  std::uint32_t Stale = 0;
  std::uint32_t Mislabelled = 0;
  std::uint32_t StepsDone = 0;

  void openStep(std::uint64_t Step);
  WantedStep wanted() const;
  /// Takes a delivery; empty when its token is too old.
  std::optional<DeliveryResponse> take(const Delivery &What);
};

/// The text of one token, so that labels can be checked against texts.
std::string tokenText(std::uint64_t Seed, std::uint32_t At,
                      WeightVersion Version);
/// The text that a label claims.
std::string textOf(std::uint64_t Seed, const Label &Spans);

/// One owner with the effects it has asked for and that did not happen yet.
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

/// How often things go wrong, in percent of the steps.
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

struct World {
  World(std::uint64_t Seed, bool Checks, VersionChange Policy, Faults Rates);

  /// One random step of somebody.
  void step();
  /// Steps without faults until the open step is whole; false when it does not
  /// become so within `Most` steps.
  bool finish(std::uint32_t Most);
  /// A new owner takes over; the old one lives on paused if the trainer checks
  /// tokens, and may wake at any time.
  void takeOver();
  /// Performs the next effect of the owner, of any kind.
  void perform(FakeOwner &Who);
  void advanceStream(FakeOwner &Who);
  void append(FakeOwner &Who);
  void feed(FakeOwner &Who, const StepEvent &Event);

  std::mt19937_64 Random;
  Faults Rates;
  VersionChange Policy;
  FakeTrainer Trainer;
  std::vector<std::string> Log;
  std::map<ServerName, WeightVersion> EngineVersions;
  std::vector<std::unique_ptr<FakeOwner>> Owners;
  FencingToken NextFence = 1;
  TimePoint Now{Micros(1000000)};
  std::uint32_t Deaths = 0;

private:
  bool chance(std::uint32_t Percent);
  void readLog(FakeOwner &Who);
  void showEngines(FakeOwner &Who);
  void deliver(FakeOwner &Who, const Delivery &What);
};

} // namespace wasabi::test

#endif // WASABI_UNITTESTS_ROLLOUT_OWNERSIMULATION_H
