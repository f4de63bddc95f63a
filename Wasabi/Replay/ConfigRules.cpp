#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"

#include <unordered_map>

namespace wasabi::replay {

namespace {

/// The last change in force by instance, and the first by offset.
struct ConfigSeen {
  std::unordered_map<std::string, std::size_t> Last;
  std::unordered_map<std::uint64_t, std::size_t> ByOffset;
};

std::optional<RuleViolation> checkInForce(const Trace &from, ConfigSeen &seen,
                                          std::size_t at) {
  const TimelineEvent &what = from.Events[at];
  const std::optional<std::uint64_t> offset = readNumber(what.field("offset"));
  if (!offset)
    return RuleViolation{"a change in force names no offset", {at}};
  // One process only moves forward.
  const auto last = seen.Last.find(what.Instance);
  if (last != seen.Last.end() &&
      *offset < readNumber(from.Events[last->second].field("offset")))
    return RuleViolation{what.Instance + " went back to offset " +
                             std::to_string(*offset),
                         {last->second, at}};
  seen.Last[what.Instance] = at;
  // One offset is one configuration, in whichever process.
  const auto [first, isFirst] = seen.ByOffset.emplace(*offset, at);
  if (!isFirst &&
      from.Events[first->second].field("preset") != what.field("preset"))
    return RuleViolation{"offset " + std::to_string(*offset) +
                             " put two presets in force",
                         {first->second, at}};
  return std::nullopt;
}

} // namespace

std::optional<RuleViolation> checkConfigNeverReverts(const Trace &From,
                                                     const Bounds &) {
  ConfigSeen seen;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind == "fold.diverged")
      return RuleViolation{what.Instance + " holds another state than the log",
                           {at}};
    // A new process catches up from the beginning.
    if (what.Kind == "process.start")
      seen.Last.erase(what.Instance);
    if (what.Kind != "config.in_force")
      continue;
    std::optional<RuleViolation> found = checkInForce(From, seen, at);
    if (found)
      return found;
  }
  return std::nullopt;
}

} // namespace wasabi::replay
