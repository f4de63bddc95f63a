#include "Wasabi/Replay/Forwards.h"

namespace wasabi::replay {

namespace {

/// Notes the end of the forward that it belongs to: same attempt and daemon.
void noteEnd(const Trace &from, std::vector<Forward> &forwards,
             std::size_t at) {
  const TimelineEvent &end = from.Events[at];
  for (Forward &it : forwards) {
    const TimelineEvent &begun = from.Events[it.At];
    if (begun.Instance != end.Instance ||
        begun.field("attempt") != end.field("attempt"))
      continue;
    it.End = at;
    it.ProvedNotRun = end.field("verdict") == "not-run";
  }
}

} // namespace

ForwardsByRequest findForwards(const Trace &From) {
  ForwardsByRequest found;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind == "attempt.forward")
      found[std::string(what.field("request"))].push_back(
          Forward{at, std::nullopt, false});
    else if (what.Kind == "attempt.end")
      noteEnd(From, found[std::string(what.field("request"))], at);
  }
  return found;
}

} // namespace wasabi::replay
