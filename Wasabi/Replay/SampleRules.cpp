#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"
#include "Wasabi/Rollout/Staleness.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace wasabi::replay {

namespace {

/// A bound beyond it bounds nothing.
constexpr std::uint64_t MaxBound = std::numeric_limits<std::uint32_t>::max();

std::string nameSlot(const TimelineEvent &what) {
  return "slot " + std::string(what.field("slot")) + " of trainer " +
         std::string(what.field("trainer"));
}

bool carriesLabel(const TimelineEvent &what) {
  return what.Kind == "sample.done" || what.Kind == "sample.commit" ||
         what.Kind == "sample.deliver";
}

/// Why a label cannot be true by itself; empty when it can.
std::string malformedLabel(const TimelineEvent &what) {
  const std::optional<Label> label = readLabel(what.field("spans"));
  if (!label)
    return "has a label with a gap or overlap";
  const std::string_view tokens = what.field("tokens");
  if (!tokens.empty() && readNumber(tokens) != label->back().To)
    return "has a label that does not cover its tokens";
  return {};
}

/// The events that a later label is compared with.
struct LabelSources {
  /// Position of the first commit, by slot.
  std::unordered_map<std::string, std::size_t> Commits;
  /// Positions of what an instance generated, by slot and instance.
  std::unordered_map<std::string, std::vector<std::size_t>> Generated;
};

/// The event that a label contradicts, if any.
std::optional<std::size_t> contradicted(const Trace &from,
                                        const LabelSources &sources,
                                        const TimelineEvent &what) {
  const std::string slot = makeSlotKey(what);
  const auto commit = sources.Commits.find(slot);
  if (commit != sources.Commits.end() &&
      from.Events[commit->second].field("spans") != what.field("spans"))
    return commit->second;
  const auto generated = sources.Generated.find(slot + what.Instance);
  if (generated == sources.Generated.end())
    return std::nullopt;
  // Several attempts may have run: the label is true if it is one of theirs.
  for (const std::size_t it : generated->second) {
    if (from.Events[it].field("spans") == what.field("spans"))
      return std::nullopt;
  }
  return generated->second.back();
}

} // namespace

std::optional<RuleViolation> checkSampleOnce(const Trace &From,
                                             const Bounds &) {
  std::unordered_map<std::string, std::size_t> delivered;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind != "sample.deliver")
      continue;
    const auto [first, isFirst] = delivered.emplace(makeSlotKey(what), at);
    if (!isFirst)
      return RuleViolation{nameSlot(what) + " was delivered twice",
                           {first->second, at}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkLabelTrue(const Trace &From, const Bounds &) {
  LabelSources sources;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (!carriesLabel(what))
      continue;
    const std::string malformed = malformedLabel(what);
    if (!malformed.empty())
      return RuleViolation{nameSlot(what) + " " + malformed, {at}};
    if (what.Kind == "sample.done") {
      sources.Generated[makeSlotKey(what) + what.Instance].push_back(at);
      continue;
    }
    const std::optional<std::size_t> other = contradicted(From, sources, what);
    if (other)
      return RuleViolation{nameSlot(what) + " has another label than before",
                           {*other, at}};
    if (what.Kind == "sample.commit")
      sources.Commits.emplace(makeSlotKey(what), at);
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkFresh(const Trace &From,
                                        const Bounds &Limits) {
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind != "sample.commit" && what.Kind != "sample.deliver")
      continue;
    const std::optional<Label> label = readLabel(what.field("spans"));
    const std::optional<std::uint64_t> newest =
        readNumber(what.field("newest"));
    const std::optional<std::uint64_t> bound =
        Limits.StalenessMax ? Limits.StalenessMax
                            : readNumber(what.field("bound"));
    if (!label || !newest || !bound)
      return RuleViolation{nameSlot(what) + " does not show its freshness",
                           {at}};
    const Freshness by{*newest,
                       static_cast<std::uint32_t>(std::min(*bound, MaxBound))};
    // The decision that the product made, made again from what it recorded.
    if (!isFresh(by, *label))
      return RuleViolation{
          nameSlot(what) + " holds version " +
              std::to_string(oldestVersion(*label).value_or(0)) +
              ", the newest is " + std::to_string(*newest) + " and the bound " +
              std::to_string(*bound),
          {at}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
