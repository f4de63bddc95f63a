/// \file
/// What a step's decisions are told, and what they ask to be done.
#ifndef WASABI_ROLLOUT_STEPEVENT_H
#define WASABI_ROLLOUT_STEPEVENT_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/TrainerPort.h"
#include "Wasabi/Rollout/Engines.h"
#include "Wasabi/Rollout/Sample.h"
#include "Wasabi/Rollout/TrainerFold.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wasabi {

/// Numbers the attempts of one owner, over all slots.
using AttemptId = std::uint64_t;

/// What the configuration in force says of one trainer. An immutable value.
struct RolloutPolicy {
  std::uint32_t StalenessBound = 1;
  /// Whether the trainer refuses old tokens: deliveries then go first and the
  /// log follows.
  bool ChecksFences = true;
  bool AdmitRollouts = true;
  VersionChange OnVersionChange = VersionChange::Resume;
  bool HedgeTail = true;
  EngineShare Part;
  bool operator==(const RolloutPolicy &) const = default;
};

/// \name Events
/// @{
struct PolicyChanged {
  RolloutPolicy Policy;
};
/// The fold of the trainer's stream when this owner's start was read back.
struct LogRecovered {
  TrainerState State;
};
/// The trainer's word. `Asked` when it answers an `QueryTrainer`.
struct StepReceived {
  WantedStep Wanted;
  bool Asked = false;
};
struct EnginesUpdated {
  std::vector<ReportedEngine> All;
};
struct ChunkReceived {
  AttemptId Attempt = 0;
  Chunk What;
};
/// The engine said that it is done, after `Tokens` in all.
struct AttemptEnded {
  AttemptId Attempt = 0;
  std::uint32_t Tokens = 0;
};
struct AttemptFailed {
  AttemptId Attempt = 0;
  Failure Why;
};
struct SampleScored {
  Slot Place;
  double Score = 0;
};
struct ScoreFailed {
  Slot Place;
  Failure Why;
};
/// A commit record of this owner was folded.
struct CommitConfirmed {
  Offset At = 0;
  std::vector<Slot> Filled;
  std::vector<Slot> Dropped;
};
struct DeliveryAnswered {
  std::string Id;
  DeliveryResponse Answer;
};
struct DeliveryFailed {
  std::string Id;
  Failure Why;
};
/// Time passed.
struct Tick {};
/// @}

using StepEvent =
    std::variant<PolicyChanged, LogRecovered, StepReceived, EnginesUpdated,
                 ChunkReceived, AttemptEnded, AttemptFailed, SampleScored,
                 ScoreFailed, CommitConfirmed, DeliveryAnswered, DeliveryFailed,
                 Tick>;

/// \name Effects
/// @{
/// Generate a sample, from the draft on if it is not empty.
struct DispatchAttempt {
  AttemptId Attempt = 0;
  Slot Place;
  /// From 1, of this slot and owner.
  std::uint32_t Number = 1;
  ReportedEngine On;
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  std::uint64_t Seed = 0;
  Draft From;
  bool Hedge = false;
};
struct CancelAttempt {
  AttemptId Attempt = 0;
  Slot Place;
  ServerName On;
  std::string Reason;
};
struct ScoreSample {
  Slot Place;
  std::string Text;
};
/// Append to the trainer's stream, in the order of the effects.
struct AppendRecord {
  TrainerBody Body;
};
struct DeliverSamples {
  Delivery What;
};
/// Ask the trainer afresh which slots it holds.
struct QueryTrainer {};
/// A newer owner's token was seen: this owner must stop.
struct StopOwning {
  std::string Reason;
};
/// For the time line.
struct Note {
  std::string Kind;
  std::vector<EventField> Fields;
};
/// @}

using StepEffect =
    std::variant<DispatchAttempt, CancelAttempt, ScoreSample, AppendRecord,
                 DeliverSamples, QueryTrainer, StopOwning, Note>;

} // namespace wasabi

#endif // WASABI_ROLLOUT_STEPEVENT_H
