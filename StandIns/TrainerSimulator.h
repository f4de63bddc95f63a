/// \file
/// What a trainer wants, holds and refuses, and how it judges what it is given:
/// a function of the deliveries and the times passed in.
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

/// Samples of one prompt.
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

/// Why a sample is not wanted.
enum class Refusal : std::uint8_t { None, Stale, Duplicate, Unknown };

/// The word for it on the wire; empty for `None`. Thread-safe.
std::string_view toText(Refusal Why);

/// The record of one delivered sample.
struct DeliveredSample {
  std::string Delivery;
  std::uint64_t Fence = 0;
  std::string Slot;
  std::vector<VersionSpan> Spans;
  std::uint64_t NewestAtArrival = 0;
  std::uint64_t Tokens = 0;
  /// Whether the text is what the engines generate for the spans.
  bool TextMatches = false;
  /// What is wrong with the sample, whether or not it was taken.
  Refusal Fault = Refusal::None;
  bool Taken = false;
};

/// The times of one step, in wall microseconds; 0 while not yet.
struct TrainerStep {
  std::uint64_t Step = 0;
  std::uint64_t OpenedUs = 0;
  std::uint64_t CompletedUs = 0;
  std::uint64_t TrainedUs = 0;
};

/// Samples taken that break a promise.
struct TrainerCounts {
  std::uint64_t Duplicates = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  /// Taken for slots that were never asked for.
  std::uint64_t Unknown = 0;
  bool operator==(const TrainerCounts &) const = default;
};

/// Not thread-safe.
class TrainerSimulator {
public:
  struct Settings {
    std::string Name = "trainer";
    std::string Model = "m";
    std::uint64_t Groups = 4;
    std::uint64_t GroupSize = 4;
    std::uint64_t MaxTokens = 64;
    /// Versions that a sample may be behind the newest published one.
    std::uint64_t StalenessBound = 2;
    /// Whether it refuses what is stale, duplicate or unknown, and old fences;
    /// one that does not takes whatever it is given.
    bool ChecksFences = true;
    /// The newest version at start.
    std::uint64_t Version = 1;
    std::uint64_t Seed = 1;
  };

  explicit TrainerSimulator(Settings What)
      : What(std::move(What)), Newest(this->What.Version) {}

  /// Opens the next step. Precondition: none is open.
  void openStep(std::uint64_t NowUs);
  /// Whether the authority is too old; notes a newer one.
  bool rejectsFencingToken(std::uint64_t Token);
  /// Judges one sample, and takes it unless it is refused.
  DeliveredSample deliver(std::string_view Delivery, std::uint64_t Fence,
                          const TrainerSample &Sample, std::uint64_t NowUs);
  /// The step has been trained on, and the next version is there.
  void publish(std::uint64_t NowUs);

  const std::vector<TrainerGroup> &groups() const { return Wanted; }
  std::uint64_t step() const { return Steps.empty() ? 0 : Steps.back().Step; }
  const std::deque<TrainerStep> &steps() const { return Steps; }
  /// Whether all slots of the open step are held.
  bool whole() const;
  /// The held slots of the newest step.
  const std::set<std::string> &held() const { return Held; }
  std::uint64_t newest() const { return Newest; }
  std::uint64_t fence() const { return Fence; }
  const TrainerCounts &counts() const { return Counts; }
  const std::map<Refusal, std::uint64_t> &refused() const { return Refused; }
  /// Time that a step was open and not whole.
  std::uint64_t idleUs(std::uint64_t NowUs) const;
  /// Time from a step being whole to the next version.
  std::uint64_t trainingUs(std::uint64_t NowUs) const;
  const Settings &settings() const { return What; }

private:
  Refusal judge(const TrainerSample &Sample) const;
  bool matchesGeneratedText(const TrainerSample &Sample) const;
  const TrainerGroup *findGroup(std::string_view Slot) const;

  const Settings What;
  std::uint64_t Newest;
  std::uint64_t Fence = 0;
  std::vector<TrainerGroup> Wanted;
  /// Slots of the newest step, and which group each is in.
  std::map<std::string, std::size_t, std::less<>> Slots;
  std::set<std::string> Held;
  std::deque<TrainerStep> Steps;
  TrainerCounts Counts;
  std::map<Refusal, std::uint64_t> Refused;
};

/// "S/G/I".
std::string slotName(std::uint64_t Step, std::uint64_t Group,
                     std::uint64_t Index);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_TRAINERSIMULATOR_H
