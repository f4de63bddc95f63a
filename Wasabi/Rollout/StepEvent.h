/// \file
/// Events and effects of the decisions about a step.
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

/// Numbers the attempts of one owner across all slots.
using AttemptId = std::uint64_t;

/// Configuration of a trainer. An immutable value.
struct RolloutPolicy {
  std::uint32_t StalenessBound = 1;
  /// True if the trainer refuses old fencing tokens. Samples are then delivered
  /// before they are committed.
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
/// The fold of the trainer's stream up to this owner's start record.
struct LogRecovered {
  TrainerState State;
};
/// The step that the trainer requests. `Asked` is true for the response to a
/// `QueryTrainer`.
struct StepReceived {
  WantedStep Wanted;
  bool Asked = false;
};
struct EnginesUpdated {
  std::vector<ReportedEngine> All;
};
struct ChunkReceived {
  AttemptId Attempt = 0;
  Chunk Received;
};
/// The engine finished, after `Tokens` tokens in total.
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
/// A commit record of this owner was applied.
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
/// Sent periodically.
struct Tick {};
/// @}

using StepEvent =
    std::variant<PolicyChanged, LogRecovered, StepReceived, EnginesUpdated,
                 ChunkReceived, AttemptEnded, AttemptFailed, SampleScored,
                 ScoreFailed, CommitConfirmed, DeliveryAnswered, DeliveryFailed,
                 Tick>;

/// \name Effects
/// @{
/// Generate a sample, resuming from the draft if it is not empty.
struct DispatchAttempt {
  AttemptId Attempt = 0;
  Slot Place;
  /// Counts the attempts of this owner for the slot, from 1.
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
/// Append a record to the trainer's stream, in the order of the effects.
struct AppendRecord {
  TrainerBody Body;
};
struct DeliverSamples {
  Delivery Batch;
};
/// Query which slots the trainer holds.
struct QueryTrainer {};
/// Stop this owner, because a newer one was seen.
struct StopOwning {
  std::string Reason;
};
/// Record an event on the timeline.
struct TimelineNote {
  std::string Kind;
  std::vector<EventField> Fields;
};
/// @}

using StepEffect =
    std::variant<DispatchAttempt, CancelAttempt, ScoreSample, AppendRecord,
                 DeliverSamples, QueryTrainer, StopOwning, TimelineNote>;

} // namespace wasabi

#endif // WASABI_ROLLOUT_STEPEVENT_H
