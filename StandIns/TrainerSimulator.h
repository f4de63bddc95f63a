/// \file
/// Simulates a trainer as a function of the deliveries and times passed in: the
/// groups that it requests, the samples that it accepts and those that it
/// rejects.
#ifndef WASABI_STANDINS_TRAINERSIMULATOR_H
#define WASABI_STANDINS_TRAINERSIMULATOR_H

#include "StandIns/TokenText.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::standins {

/// A request for samples of one prompt.
struct TrainerGroup {
  std::uint64_t Group = 0;
  std::string Prompt;
  std::uint64_t Samples = 0;
  std::uint64_t MaxTokens = 0;
  std::uint64_t Seed = 0;
  bool operator==(const TrainerGroup &) const = default;
};

/// A sample as delivered.
struct TrainerSample {
  std::string Slot;
  std::string Text;
  std::uint64_t Tokens = 0;
  std::vector<VersionSpan> Spans;
  std::uint64_t Seed = 0;
};

/// Reason for rejecting a sample.
enum class RejectReason : std::uint8_t { None, Stale, Duplicate, Unknown };

/// Returns the name of the reason on the wire; empty for `None`. Thread-safe.
std::string_view toText(RejectReason Why);

/// The record of one delivered sample.
struct DeliveredSample {
  std::string Delivery;
  std::uint64_t Fence = 0;
  std::string Slot;
  std::vector<VersionSpan> Spans;
  std::uint64_t NewestAtArrival = 0;
  std::uint64_t Tokens = 0;
  /// True if the text is the one that engines generate for the spans.
  bool TextMatches = false;
  /// The fault of the sample, also if it was accepted.
  RejectReason Fault = RejectReason::None;
  bool IsAccepted = false;
};

/// Times of one step in wall-clock microseconds; 0 if not reached yet.
struct TrainerStep {
  std::uint64_t Step = 0;
  std::uint64_t OpenedUs = 0;
  std::uint64_t CompletedUs = 0;
  std::uint64_t TrainedUs = 0;
};

/// Accepted samples that violate a guarantee.
struct TrainerCounts {
  std::uint64_t Duplicates = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  /// Accepted for slots that were never requested.
  std::uint64_t Unknown = 0;
  bool operator==(const TrainerCounts &) const = default;
};

/// State of a simulated trainer. Not thread-safe.
class TrainerSimulator {
public:
  struct Settings {
    std::string Name = "trainer";
    std::string Model = "m";
    std::uint64_t Groups = 4;
    std::uint64_t GroupSize = 4;
    std::uint64_t MaxTokens = 64;
    /// Maximum number of versions that a sample may lag the newest published
    /// one.
    std::uint64_t StalenessBound = 2;
    /// True if the trainer rejects stale, duplicate and unknown samples and old
    /// fencing tokens. Otherwise it accepts every sample.
    bool ChecksFences = true;
    /// Newest version at start.
    std::uint64_t Version = 1;
    std::uint64_t Seed = 1;
  };

  explicit TrainerSimulator(Settings Config)
      : Config(std::move(Config)), Newest(this->Config.Version) {}

  /// Opens the next step. Precondition: no step is open.
  void openStep(std::uint64_t NowUs);
  /// Returns true if the fencing token is too old. Records a newer one.
  bool rejectsFencingToken(std::uint64_t Token);
  /// Checks one sample and accepts it unless it is rejected.
  DeliveredSample deliver(std::string_view Delivery, std::uint64_t Fence,
                          const TrainerSample &Sample, std::uint64_t NowUs);
  /// Ends the training of the step and publishes the next version.
  void publish(std::uint64_t NowUs);

  const std::vector<TrainerGroup> &groups() const { return RequestedGroups; }
  std::uint64_t step() const { return Steps.empty() ? 0 : Steps.back().Step; }
  const std::deque<TrainerStep> &steps() const { return Steps; }
  /// Returns true if all slots of the open step are filled.
  bool isStepComplete() const;
  /// Returns the filled slots of the newest step.
  const std::set<std::string> &held() const { return Held; }
  std::uint64_t newest() const { return Newest; }
  std::uint64_t fence() const { return Fence; }
  const TrainerCounts &counts() const { return Counts; }
  const std::map<RejectReason, std::uint64_t> &refused() const {
    return Refused;
  }
  /// Returns the time during which a step was open and incomplete.
  std::uint64_t idleUs(std::uint64_t NowUs) const;
  /// Returns the time from the completion of steps to the next version.
  std::uint64_t trainingUs(std::uint64_t NowUs) const;
  const Settings &settings() const { return Config; }

private:
  RejectReason findRejectReason(const TrainerSample &Sample) const;
  bool matchesGeneratedText(const TrainerSample &Sample) const;
  const TrainerGroup *findGroup(std::string_view Slot) const;

  const Settings Config;
  std::uint64_t Newest;
  std::uint64_t Fence = 0;
  std::vector<TrainerGroup> RequestedGroups;
  /// Slots of the newest step, with the index of their group.
  std::map<std::string, std::size_t, std::less<>> Slots;
  std::set<std::string> Held;
  std::deque<TrainerStep> Steps;
  TrainerCounts Counts;
  std::map<RejectReason, std::uint64_t> Refused;
};

/// Returns the slot name "S/G/I".
std::string slotName(std::uint64_t Step, std::uint64_t Group,
                     std::uint64_t Index);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_TRAINERSIMULATOR_H
