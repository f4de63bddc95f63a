#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/Rules.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace wasabi::replay {

namespace {

/// Returns the instance whose leaving an event reports; empty for other events.
std::string leavingInstance(const TimelineEvent &event) {
  if (event.Kind == "process.leaving")
    return event.Instance;
  if (event.Kind == "member.leaving")
    return std::string(event.field("member"));
  return {};
}

/// Returns true if an event gives new work to an upstream: an admission, or a
/// forward without an earlier admission.
bool takesNewWork(const TimelineEvent &event,
                  const std::unordered_set<std::string> &admitted) {
  if (event.Kind == "attempt.admit")
    return true;
  return event.Kind == "attempt.forward" &&
         admitted.count(event.Instance + makeAttemptKey(event)) == 0;
}

/// Positions of the start events of unfinished work, by identity.
using OpenWork = std::unordered_map<std::string, std::size_t>;

/// Updates the unfinished work of a process with one event.
void trackWork(OpenWork &open, const TimelineEvent &event, std::size_t index) {
  if (event.Kind == "attempt.admit" || event.Kind == "attempt.forward")
    open.emplace("attempt\n" + makeAttemptKey(event), index);
  else if (event.Kind == "attempt.end" || event.Kind == "attempt.refuse")
    open.erase("attempt\n" + makeAttemptKey(event));
  else if (event.Kind == "request.received")
    open.emplace("request\n" + joinFieldValues(event, {"request"}), index);
  else if (event.Kind == "request.done")
    open.erase("request\n" + joinFieldValues(event, {"request"}));
  else if (event.Kind == "process.start")
    open.clear();
}

} // namespace

std::optional<RuleViolation> checkLeavingGetsNoNewWork(const Trace &Input,
                                                       const Bounds &Limits) {
  const std::uint64_t grace =
      static_cast<std::uint64_t>(Micros(Limits.LeavingGracePeriod).count());
  std::unordered_map<std::string, std::size_t> leaving;
  std::unordered_set<std::string> admitted;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    const std::string instance = leavingInstance(event);
    if (!instance.empty())
      leaving.emplace(instance, index);
    // A restarted instance is not leaving.
    if (event.Kind == "process.start")
      leaving.erase(event.Instance);
    if (!takesNewWork(event, admitted))
      continue;
    admitted.insert(event.Instance + makeAttemptKey(event));
    const auto found = leaving.find(event.Instance);
    if (found != leaving.end() &&
        event.At.Wall > Input.Events[found->second].At.Wall + grace)
      return RuleViolation{
          event.Instance + " accepted new work after its leaving was announced",
          {found->second, index}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkPlannedStopCutsNothing(const Trace &Input,
                                                         const Bounds &) {
  std::unordered_map<std::string, OpenWork> open;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    OpenWork &openWork = open[event.Instance];
    trackWork(openWork, event, index);
    if (event.Kind != "process.stop" || openWork.empty())
      continue;
    std::size_t first = index;
    for (const auto &[key, startIndex] : openWork)
      first = std::min(first, startIndex);
    return RuleViolation{event.Instance + " stopped with " +
                             std::to_string(openWork.size()) +
                             " unfinished requests or attempts",
                         {first, index}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
