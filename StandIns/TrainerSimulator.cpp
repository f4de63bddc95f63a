#include "StandIns/TrainerSimulator.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace wasabi::standins {

namespace {

/// Steps are numbered from 1.
constexpr std::uint64_t FirstStep = 1;

/// The step in "S/G/I"; empty when there is none.
std::optional<std::uint64_t> stepOf(std::string_view Slot) {
  std::uint64_t step = 0;
  const char *end = Slot.data() + Slot.size();
  std::from_chars_result read = std::from_chars(Slot.data(), end, step);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != '/')
    return std::nullopt;
  return step;
}

/// Groups of one step share the first part of their prompts, as those of a few
/// examples before the question do.
std::string promptOf(const TrainerSimulator::Settings &What, std::uint64_t Step,
                     std::uint64_t Group) {
  std::string prompt = "You are " + What.Name + ", trained as " + What.Model +
                       ". Answer briefly, say what you do not know, and keep "
                       "to the facts that the remarks below give you. ";
  prompt += "Remark " + std::to_string(Step) + "-" + std::to_string(Group) +
            " of series " + std::to_string(What.Seed) + ":";
  return prompt;
}

/// Fits any JSON reader's integers.
std::uint64_t seedOf(const TrainerSimulator::Settings &What, std::uint64_t Step,
                     std::uint64_t Group) {
  constexpr std::uint64_t Mask = 0x7fffffff;
  std::string key = std::to_string(What.Seed) + "/" + std::to_string(Step) +
                    "/" + std::to_string(Group);
  return XXH64(key.data(), key.size(), 0) & Mask;
}

} // namespace

std::string_view toText(Refusal Why) {
  switch (Why) {
  case Refusal::None:
    return "";
  case Refusal::Stale:
    return "stale";
  case Refusal::Duplicate:
    return "duplicate";
  case Refusal::Unknown:
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
  Wanted.clear();
  Slots.clear();
  Held.clear();
  for (std::uint64_t group = 0; group < What.Groups; ++group) {
    Wanted.push_back(TrainerGroup{group, promptOf(What, step, group),
                                  What.GroupSize, What.MaxTokens,
                                  seedOf(What, step, group)});
    for (std::uint64_t i = 0; i < What.GroupSize; ++i)
      Slots[slotName(step, group, i)] = group;
  }
}

bool TrainerSimulator::rejectsFencingToken(std::uint64_t Token) {
  if (What.ChecksFences && Token < Fence)
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
  record.Fault = judge(Sample);
  record.Taken = record.Fault == Refusal::None || !What.ChecksFences;
  if (!record.Taken) {
    ++Refused[record.Fault];
    return record;
  }

  Counts.Duplicates += record.Fault == Refusal::Duplicate ? 1 : 0;
  Counts.Stale += record.Fault == Refusal::Stale ? 1 : 0;
  Counts.Unknown += record.Fault == Refusal::Unknown ? 1 : 0;
  Counts.Mislabelled += record.TextMatches ? 0 : 1;
  if (Slots.contains(Sample.Slot))
    Held.insert(Sample.Slot);
  if (whole() && Steps.back().CompletedUs == 0)
    Steps.back().CompletedUs = NowUs;
  return record;
}

Refusal TrainerSimulator::judge(const TrainerSample &Sample) const {
  if (!Slots.contains(Sample.Slot)) {
    // An earlier step was trained on whole, so each of its slots was held.
    std::optional<std::uint64_t> at = stepOf(Sample.Slot);
    return at && *at >= FirstStep && *at < step() ? Refusal::Duplicate
                                                  : Refusal::Unknown;
  }
  if (Held.contains(Sample.Slot))
    return Refusal::Duplicate;
  for (const VersionSpan &it : Sample.Spans) {
    if (it.Version + What.StalenessBound < Newest)
      return Refusal::Stale;
  }
  return Refusal::None;
}

bool TrainerSimulator::matchesGeneratedText(const TrainerSample &Sample) const {
  const TrainerGroup *group = findGroup(Sample.Slot);
  // The prompts of earlier steps are not kept.
  if (group == nullptr)
    return false;
  std::uint64_t length =
      sampleLength(group->Prompt, Sample.Seed, group->MaxTokens);
  // The bound comes first: spans may name any number of tokens.
  return Sample.Tokens == length && areContiguous(Sample.Spans, length) &&
         Sample.Text == spansText(group->Prompt, Sample.Seed, Sample.Spans);
}

const TrainerGroup *TrainerSimulator::findGroup(std::string_view Slot) const {
  const std::map<std::string, std::size_t, std::less<>>::const_iterator it =
      Slots.find(Slot);
  return it == Slots.end() ? nullptr : &Wanted[it->second];
}

void TrainerSimulator::publish(std::uint64_t NowUs) {
  ++Newest;
  if (!Steps.empty())
    Steps.back().TrainedUs = NowUs;
}

bool TrainerSimulator::whole() const {
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
