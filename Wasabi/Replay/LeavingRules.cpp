#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/Rules.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace wasabi::replay {

namespace {

/// Whose leaving an event tells of; empty for other events.
std::string leavingInstance(const TimelineEvent &what) {
  if (what.Kind == "process.leaving")
    return what.Instance;
  if (what.Kind == "member.leaving")
    return std::string(what.field("member"));
  return {};
}

/// Whether an event hands new work to an upstream: admission is where work
/// enters; a forward without one enters there.
bool takesNewWork(const TimelineEvent &what,
                  const std::unordered_set<std::string> &admitted) {
  if (what.Kind == "attempt.admit")
    return true;
  return what.Kind == "attempt.forward" &&
         admitted.count(what.Instance + makeAttemptKey(what)) == 0;
}

/// What a process has begun and not ended: position by identity.
using OpenWork = std::unordered_map<std::string, std::size_t>;

/// Follows one event of a process' work.
void follow(OpenWork &open, const TimelineEvent &what, std::size_t at) {
  if (what.Kind == "attempt.admit" || what.Kind == "attempt.forward")
    open.emplace("attempt\n" + makeAttemptKey(what), at);
  else if (what.Kind == "attempt.end" || what.Kind == "attempt.refuse")
    open.erase("attempt\n" + makeAttemptKey(what));
  else if (what.Kind == "request.received")
    open.emplace("request\n" + joinFieldValues(what, {"request"}), at);
  else if (what.Kind == "request.done")
    open.erase("request\n" + joinFieldValues(what, {"request"}));
  else if (what.Kind == "process.start")
    open.clear();
}

} // namespace

std::optional<RuleViolation> checkLeavingGetsNoNewWork(const Trace &From,
                                                       const Bounds &Limits) {
  const std::uint64_t grace =
      static_cast<std::uint64_t>(Micros(Limits.LeavingGracePeriod).count());
  std::unordered_map<std::string, std::size_t> leaving;
  std::unordered_set<std::string> admitted;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    const std::string who = leavingInstance(what);
    if (!who.empty())
      leaving.emplace(who, at);
    // A new process in the same slot is not leaving.
    if (what.Kind == "process.start")
      leaving.erase(what.Instance);
    if (!takesNewWork(what, admitted))
      continue;
    admitted.insert(what.Instance + makeAttemptKey(what));
    const auto found = leaving.find(what.Instance);
    if (found != leaving.end() &&
        what.At.Wall > From.Events[found->second].At.Wall + grace)
      return RuleViolation{what.Instance +
                               " took new work after it was leaving",
                           {found->second, at}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkPlannedStopCutsNothing(const Trace &From,
                                                         const Bounds &) {
  std::unordered_map<std::string, OpenWork> open;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    OpenWork &mine = open[what.Instance];
    follow(mine, what, at);
    if (what.Kind != "process.stop" || mine.empty())
      continue;
    std::size_t first = at;
    for (const auto &[key, begun] : mine)
      first = std::min(first, begun);
    return RuleViolation{what.Instance + " stopped with " +
                             std::to_string(mine.size()) +
                             " of its work not ended",
                         {first, at}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
