#include "Wasabi/Replay/Forwards.h"

namespace wasabi::replay {

namespace {

/// Records the end of the forwarded attempt with the same attempt number and
/// daemon.
void recordEnd(const Trace &trace, std::vector<ForwardedAttempt> &forwards,
               std::size_t index) {
  const TimelineEvent &end = trace.Events[index];
  for (ForwardedAttempt &it : forwards) {
    const TimelineEvent &start = trace.Events[it.At];
    if (start.Instance != end.Instance ||
        start.field("attempt") != end.field("attempt"))
      continue;
    it.End = index;
    it.ProvedNotRun = end.field("verdict") == "not-run";
  }
}

} // namespace

ForwardsByRequest findForwards(const Trace &Input) {
  ForwardsByRequest found;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind == "attempt.forward")
      found[std::string(event.field("request"))].push_back(
          ForwardedAttempt{index, std::nullopt, false});
    else if (event.Kind == "attempt.end")
      recordEnd(Input, found[std::string(event.field("request"))], index);
  }
  return found;
}

} // namespace wasabi::replay
