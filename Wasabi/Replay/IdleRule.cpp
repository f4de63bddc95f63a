#include "Wasabi/Replay/Rules.h"

#include <map>

namespace wasabi::replay {

namespace {

/// One trainer's steps so far.
struct Waiting {
  std::uint64_t Begun = 0;
  std::uint64_t Last = 0;
  std::uint64_t Idle = 0;
  /// Position of the open step's `step.open`.
  std::optional<std::size_t> Open;
  std::size_t LastWhole = 0;
};

void follow(Waiting &trainer, const Trace &from, std::size_t at) {
  const TimelineEvent &what = from.Events[at];
  if (what.Kind == "step.open") {
    if (trainer.Begun == 0)
      trainer.Begun = what.At.Wall;
    // A successor opens the same step again: the wait began with the first.
    if (!trainer.Open)
      trainer.Open = at;
    return;
  }
  if (!trainer.Open)
    return;
  trainer.Idle += what.At.Wall - from.Events[*trainer.Open].At.Wall;
  trainer.Last = what.At.Wall;
  trainer.LastWhole = at;
  trainer.Open.reset();
}

} // namespace

std::optional<RuleViolation> checkIdleShare(const Trace &From,
                                            const Bounds &Limits) {
  if (!Limits.IdleShare)
    return std::nullopt;
  std::map<std::string, Waiting> trainers;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind == "step.open" || what.Kind == "step.whole")
      follow(trainers[std::string(what.field("trainer"))], From, at);
  }
  for (const auto &[name, it] : trainers) {
    if (it.Last <= it.Begun)
      continue;
    const double share =
        static_cast<double>(it.Idle) / static_cast<double>(it.Last - it.Begun);
    if (share > *Limits.IdleShare)
      return RuleViolation{"trainer " + name + " waited for samples " +
                               std::to_string(share) + " of its time",
                           {it.LastWhole}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
