#include "StandIns/TrainerSimulator.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace wasabi::standins {

namespace {

/// Number of the first step.
constexpr std::uint64_t FirstStep = 1;

/// Returns the step number in "S/G/I", or nothing if the text has none.
std::optional<std::uint64_t> stepOf(std::string_view Slot) {
  std::uint64_t step = 0;
  const char *end = Slot.data() + Slot.size();
  std::from_chars_result read = std::from_chars(Slot.data(), end, step);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != '/')
    return std::nullopt;
  return step;
}

/// Groups of one step share a prompt prefix, as with few-shot examples.
std::string promptOf(const TrainerSimulator::Settings &Config,
                     std::uint64_t Step, std::uint64_t Group) {
  std::string prompt = "You are " + Config.Name + ", trained as " +
                       Config.Model +
                       ". Answer briefly, say what you do not know, and keep "
                       "to the facts that the remarks below give you. ";
  prompt += "Remark " + std::to_string(Step) + "-" + std::to_string(Group) +
            " of series " + std::to_string(Config.Seed) + ":";
  return prompt;
}

/// Keeps the seed in the integer range of any JSON reader.
std::uint64_t seedOf(const TrainerSimulator::Settings &Config,
                     std::uint64_t Step, std::uint64_t Group) {
  constexpr std::uint64_t Mask = 0x7fffffff;
  std::string key = std::to_string(Config.Seed) + "/" + std::to_string(Step) +
                    "/" + std::to_string(Group);
  return XXH64(key.data(), key.size(), 0) & Mask;
}

} // namespace

std::string_view toText(RejectReason Why) {
  switch (Why) {
  case RejectReason::None:
    return "";
  case RejectReason::Stale:
    return "stale";
  case RejectReason::Duplicate:
    return "duplicate";
  case RejectReason::Unknown:
    return "unknown";
  }
  return "";
}

std::string slotName(std::uint64_t Step, std::uint64_t Group,
                     std::uint64_t Index) {
  return std::to_string(Step) + "/" + std::to_string(Group) + "/" +
         std::to_string(Index);
}

void TrainerSimulator::openStep(std::uint64_t NowUs) {
  std::uint64_t step = Steps.empty() ? FirstStep : Steps.back().Step + 1;
  Steps.push_back(TrainerStep{step, NowUs, 0, 0});
  RequestedGroups.clear();
  Slots.clear();
  Held.clear();
  for (std::uint64_t group = 0; group < Config.Groups; ++group) {
    RequestedGroups.push_back(TrainerGroup{group, promptOf(Config, step, group),
                                           Config.GroupSize, Config.MaxTokens,
                                           seedOf(Config, step, group)});
    for (std::uint64_t i = 0; i < Config.GroupSize; ++i)
      Slots[slotName(step, group, i)] = group;
  }
}

bool TrainerSimulator::rejectsFencingToken(std::uint64_t Token) {
  if (Config.ChecksFences && Token < Fence)
    return true;
  Fence = std::max(Fence, Token);
  return false;
}

DeliveredSample TrainerSimulator::deliver(std::string_view Delivery,
                                          std::uint64_t Fence,
                                          const TrainerSample &Sample,
                                          std::uint64_t NowUs) {
  DeliveredSample record;
  record.Delivery = std::string(Delivery);
  record.Fence = Fence;
  record.Slot = Sample.Slot;
  record.Spans = Sample.Spans;
  record.NewestAtArrival = Newest;
  record.Tokens = Sample.Tokens;
  record.TextMatches = matchesGeneratedText(Sample);
  record.Fault = findRejectReason(Sample);
  record.IsAccepted =
      record.Fault == RejectReason::None || !Config.ChecksFences;
  if (!record.IsAccepted) {
    ++Refused[record.Fault];
    return record;
  }

  Counts.Duplicates += record.Fault == RejectReason::Duplicate ? 1 : 0;
  Counts.Stale += record.Fault == RejectReason::Stale ? 1 : 0;
  Counts.Unknown += record.Fault == RejectReason::Unknown ? 1 : 0;
  Counts.Mislabelled += record.TextMatches ? 0 : 1;
  if (Slots.contains(Sample.Slot))
    Held.insert(Sample.Slot);
  if (isStepComplete() && Steps.back().CompletedUs == 0)
    Steps.back().CompletedUs = NowUs;
  return record;
}

RejectReason
TrainerSimulator::findRejectReason(const TrainerSample &Sample) const {
  if (!Slots.contains(Sample.Slot)) {
    // All slots of earlier steps have been filled.
    std::optional<std::uint64_t> at = stepOf(Sample.Slot);
    return at && *at >= FirstStep && *at < step() ? RejectReason::Duplicate
                                                  : RejectReason::Unknown;
  }
  if (Held.contains(Sample.Slot))
    return RejectReason::Duplicate;
  for (const VersionSpan &it : Sample.Spans) {
    if (it.Version + Config.StalenessBound < Newest)
      return RejectReason::Stale;
  }
  return RejectReason::None;
}

bool TrainerSimulator::matchesGeneratedText(const TrainerSample &Sample) const {
  const TrainerGroup *group = findGroup(Sample.Slot);
  // The prompts of earlier steps are not kept.
  if (group == nullptr)
    return false;
  std::uint64_t length =
      sampleLength(group->Prompt, Sample.Seed, group->MaxTokens);
  // Checks the limit first, since spans may name any number of tokens.
  return Sample.Tokens == length && areContiguous(Sample.Spans, length) &&
         Sample.Text == spansText(group->Prompt, Sample.Seed, Sample.Spans);
}

const TrainerGroup *TrainerSimulator::findGroup(std::string_view Slot) const {
  const std::map<std::string, std::size_t, std::less<>>::const_iterator it =
      Slots.find(Slot);
  return it == Slots.end() ? nullptr : &RequestedGroups[it->second];
}

void TrainerSimulator::publish(std::uint64_t NowUs) {
  ++Newest;
  if (!Steps.empty())
    Steps.back().TrainedUs = NowUs;
}

bool TrainerSimulator::isStepComplete() const {
  return !Slots.empty() && Held.size() == Slots.size();
}

std::uint64_t TrainerSimulator::idleUs(std::uint64_t NowUs) const {
  std::uint64_t total = 0;
  for (const TrainerStep &it : Steps)
    total += (it.CompletedUs == 0 ? NowUs : it.CompletedUs) - it.OpenedUs;
  return total;
}

std::uint64_t TrainerSimulator::trainingUs(std::uint64_t NowUs) const {
  std::uint64_t total = 0;
  for (const TrainerStep &it : Steps) {
    if (it.CompletedUs > 0)
      total += (it.TrainedUs == 0 ? NowUs : it.TrainedUs) - it.CompletedUs;
  }
  return total;
}

} // namespace wasabi::standins
