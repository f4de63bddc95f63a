#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"
#include "Wasabi/Rollout/Staleness.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace wasabi::replay {

namespace {

/// Larger bounds have no effect.
constexpr std::uint64_t MaxStalenessBound =
    std::numeric_limits<std::uint32_t>::max();

std::string describeSlot(const TimelineEvent &event) {
  return "slot " + std::string(event.field("slot")) + " of trainer " +
         std::string(event.field("trainer"));
}

bool carriesLabel(const TimelineEvent &event) {
  return event.Kind == "sample.done" || event.Kind == "sample.commit" ||
         event.Kind == "sample.deliver";
}

/// Returns why a label is invalid by itself; empty if it is valid.
std::string findLabelError(const TimelineEvent &event) {
  const std::optional<Label> label = readLabel(event.field("spans"));
  if (!label)
    return "has a label with a gap or overlap";
  const std::string_view tokens = event.field("tokens");
  if (!tokens.empty() && parseDecimal(tokens) != label->back().To)
    return "has a label that does not cover its tokens";
  return {};
}

/// Positions of events with which later labels are compared.
struct LabelSources {
  /// Position of the first commit, by slot.
  std::unordered_map<std::string, std::size_t> Commits;
  /// Positions of generated samples, by slot and instance.
  std::unordered_map<std::string, std::vector<std::size_t>> Generated;
};

/// Returns the event that the label of `event` contradicts, if any.
std::optional<std::size_t> findContradiction(const Trace &trace,
                                             const LabelSources &sources,
                                             const TimelineEvent &event) {
  const std::string slot = makeSlotKey(event);
  const auto commit = sources.Commits.find(slot);
  if (commit != sources.Commits.end() &&
      trace.Events[commit->second].field("spans") != event.field("spans"))
    return commit->second;
  const auto generated = sources.Generated.find(slot + event.Instance);
  if (generated == sources.Generated.end())
    return std::nullopt;
  // Several attempts may have generated the sample: the label must match one of
  // them.
  for (const std::size_t it : generated->second) {
    if (trace.Events[it].field("spans") == event.field("spans"))
      return std::nullopt;
  }
  return generated->second.back();
}

} // namespace

std::optional<RuleViolation> checkSampleOnce(const Trace &Input,
                                             const Bounds &) {
  std::unordered_map<std::string, std::size_t> delivered;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind != "sample.deliver")
      continue;
    const auto [first, isFirst] = delivered.emplace(makeSlotKey(event), index);
    if (!isFirst)
      return RuleViolation{describeSlot(event) + " was delivered twice",
                           {first->second, index}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkLabelTrue(const Trace &Input,
                                            const Bounds &) {
  LabelSources sources;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (!carriesLabel(event))
      continue;
    const std::string labelError = findLabelError(event);
    if (!labelError.empty())
      return RuleViolation{describeSlot(event) + " " + labelError, {index}};
    if (event.Kind == "sample.done") {
      sources.Generated[makeSlotKey(event) + event.Instance].push_back(index);
      continue;
    }
    const std::optional<std::size_t> other =
        findContradiction(Input, sources, event);
    if (other)
      return RuleViolation{describeSlot(event) +
                               " has a label that differs from an earlier one",
                           {*other, index}};
    if (event.Kind == "sample.commit")
      sources.Commits.emplace(makeSlotKey(event), index);
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkFresh(const Trace &Input,
                                        const Bounds &Limits) {
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind != "sample.commit" && event.Kind != "sample.deliver")
      continue;
    const std::optional<Label> label = readLabel(event.field("spans"));
    const std::optional<std::uint64_t> newest =
        parseDecimal(event.field("newest"));
    const std::optional<std::uint64_t> bound =
        Limits.MaxStaleness ? Limits.MaxStaleness
                            : parseDecimal(event.field("bound"));
    if (!label || !newest || !bound)
      return RuleViolation{
          describeSlot(event) +
              " lacks a valid label, newest version or staleness bound",
          {index}};
    const Freshness freshness{*newest, static_cast<std::uint32_t>(std::min(
                                           *bound, MaxStalenessBound))};
    // Repeats the freshness decision of the service from the recorded values.
    if (!isFresh(freshness, *label))
      return RuleViolation{
          describeSlot(event) + " holds version " +
              std::to_string(oldestVersion(*label).value_or(0)) +
              ", the newest is " + std::to_string(*newest) + " and the bound " +
              std::to_string(*bound),
          {index}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
