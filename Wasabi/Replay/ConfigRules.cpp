#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"

#include <unordered_map>

namespace wasabi::replay {

namespace {

/// Positions of the last change in force by instance, and of the first by
/// offset.
struct ConfigHistory {
  std::unordered_map<std::string, std::size_t> Last;
  std::unordered_map<std::uint64_t, std::size_t> ByOffset;
};

std::optional<RuleViolation> checkConfigEvent(const Trace &trace,
                                              ConfigHistory &history,
                                              std::size_t index) {
  const TimelineEvent &event = trace.Events[index];
  const std::optional<std::uint64_t> offset =
      parseDecimal(event.field("offset"));
  if (!offset)
    return RuleViolation{"config.in_force has no valid offset", {index}};
  // Within one process, offsets only grow.
  const auto last = history.Last.find(event.Instance);
  if (last != history.Last.end() &&
      *offset < parseDecimal(trace.Events[last->second].field("offset")))
    return RuleViolation{event.Instance + " reverted to offset " +
                             std::to_string(*offset),
                         {last->second, index}};
  history.Last[event.Instance] = index;
  // An offset has the same preset in all processes.
  const auto [first, isFirst] = history.ByOffset.emplace(*offset, index);
  if (!isFirst &&
      trace.Events[first->second].field("preset") != event.field("preset"))
    return RuleViolation{"offset " + std::to_string(*offset) +
                             " put two different presets in force",
                         {first->second, index}};
  return std::nullopt;
}

} // namespace

std::optional<RuleViolation> checkConfigNeverReverts(const Trace &Input,
                                                     const Bounds &) {
  ConfigHistory history;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind == "fold.diverged")
      return RuleViolation{
          event.Instance + " holds a state that differs from the log", {index}};
    // A restarted process catches up from the start.
    if (event.Kind == "process.start")
      history.Last.erase(event.Instance);
    if (event.Kind != "config.in_force")
      continue;
    std::optional<RuleViolation> found =
        checkConfigEvent(Input, history, index);
    if (found)
      return found;
  }
  return std::nullopt;
}

} // namespace wasabi::replay
