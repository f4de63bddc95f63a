#include "Wasabi/Replay/Rules.h"

#include <map>

namespace wasabi::replay {

namespace {

/// Accumulated waiting time of one trainer. Times are wall times in
/// microseconds.
struct TrainerWaits {
  std::uint64_t FirstOpenedAt = 0;
  std::uint64_t LastCompletedAt = 0;
  std::uint64_t IdleMicros = 0;
  /// Position of the `step.open` of the open step.
  std::optional<std::size_t> OpenStep;
  std::size_t LastCompleted = 0;
};

void applyStepEvent(TrainerWaits &trainer, const Trace &trace,
                    std::size_t index) {
  const TimelineEvent &event = trace.Events[index];
  if (event.Kind == "step.open") {
    if (trainer.FirstOpenedAt == 0)
      trainer.FirstOpenedAt = event.At.Wall;
    // A new owner may open the same step again; the wait began with the first
    // event.
    if (!trainer.OpenStep)
      trainer.OpenStep = index;
    return;
  }
  if (!trainer.OpenStep)
    return;
  trainer.IdleMicros += event.At.Wall - trace.Events[*trainer.OpenStep].At.Wall;
  trainer.LastCompletedAt = event.At.Wall;
  trainer.LastCompleted = index;
  trainer.OpenStep.reset();
}

} // namespace

std::optional<RuleViolation> checkIdleShare(const Trace &Input,
                                            const Bounds &Limits) {
  if (!Limits.IdleShare)
    return std::nullopt;
  std::map<std::string, TrainerWaits> trainers;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind == "step.open" || event.Kind == "step.whole")
      applyStepEvent(trainers[std::string(event.field("trainer"))], Input,
                     index);
  }
  for (const auto &[name, it] : trainers) {
    if (it.LastCompletedAt <= it.FirstOpenedAt)
      continue;
    const double share =
        static_cast<double>(it.IdleMicros) /
        static_cast<double>(it.LastCompletedAt - it.FirstOpenedAt);
    if (share > *Limits.IdleShare)
      return RuleViolation{"trainer " + name + " waited for samples " +
                               std::to_string(share) + " of its time",
                           {it.LastCompleted}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
