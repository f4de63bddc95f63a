/// \file
/// Orders the waiting items of all steps: predicts when each group of a step is
/// complete, determines the groups that the trainer can do without, and ranks
/// the items. A plan is recomputed at each use and keeps no state.
#ifndef WASABI_DISPATCH_STEPPLANNER_H
#define WASABI_DISPATCH_STEPPLANNER_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

namespace wasabi {

/// Parameters of the predictions and of the order.
struct StepPlannerSettings {
  /// Time that an engine takes to read one token of a prompt, in milliseconds.
  /// Reading 1,000 tokens was measured at 2.5 ms.
  double PromptMsPerToken = 0.0025;
  /// Further growth of a text that has exceeded its expected length, relative
  /// to its present length.
  double OverrunGrowth = 0.5;
  /// Event interval that is assumed if the pace of no engine is known, in
  /// milliseconds.
  double DefaultPaceMs = 40;
  /// Relative increase of the event interval from an idle engine to one whose
  /// slots are all in use. Less than the ratio between two pace tiers.
  double FullLoadSlowdown = 0.15;
  /// Fraction of the predicted remaining length that a text has at least. A
  /// step counts as unable to meet its due time only if it would miss it even
  /// with texts this short, because expected lengths are medians.
  double MinLengthFraction = 0.5;
  /// Texts whose remaining lengths differ by less than this factor rank equal
  /// by length, because expected lengths are estimates. Items of groups that
  /// are closer to completion then come first.
  double LengthClassFactor = 1.1;
  bool operator==(const StepPlannerSettings &) const = default;
};

/// Ratio between tokens, in which lengths are expected, and events, in which
/// they are observed. Adapts to the texts that have ended.
struct TextScale {
  /// Decayed sums over the texts that have ended. The initial values assume 8
  /// tokens per event and weigh as much as ten texts.
  double Tokens = 8000;
  double Events = 1000;

  double tokensPerEvent() const { return Tokens / Events; }
  bool operator==(const TextScale &) const = default;
};

/// Records a text that has ended after `Events` events. Texts without an
/// expected length or without an event are ignored.
void recordTextLength(TextScale &Scale, double ExpectedTokens,
                      std::uint64_t Events);

/// Returns the predicted final length of a text in events. Pure.
/// \param ExpectedEvents length that the caller expects.
/// \param Events length of the text so far.
double predictFinalEvents(double ExpectedEvents, double Events,
                          const StepPlannerSettings &Limits);

/// Returns the number of tokens of the prompt and the output of an item at its
/// predicted end. Pure.
/// \param FinalEvents predicted final length of the text in events.
/// \param MaxOutputTokens upper bound of the output; 0 for none.
double predictFinalTokens(double PromptTokens, double FinalEvents,
                          double MaxOutputTokens, const TextScale &Scale);

/// State of an item that is not complete.
enum class PlanStage : std::uint8_t {
  /// May be started now.
  Waiting,
  /// Is still to be started, but not now.
  Delayed,
  Running,
  /// The text is complete; the score or the commit is missing.
  Generated,
  /// Will not be started until its route is known.
  Blocked,
};

/// An item that has no result yet. An immutable value.
struct PlanItem {
  /// Index into `PlanInput::Steps`.
  std::uint32_t Step = 0;
  /// Index of its group within the step.
  std::uint32_t Group = 0;
  /// True if the item was part of an earlier step.
  bool IsCarriedOver = false;
  PlanStage Stage = PlanStage::Waiting;
  /// Index into `PlanInput::Engines`; used while `Stage` is `Running`.
  std::uint32_t Engine = 0;
  /// Priority of the customer or route; 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Expected length of the text, and its length so far, in events.
  double ExpectedEvents = 0;
  double Events = 0;
  /// Tokens of the prompt that the engine still has to read.
  double UnreadPromptTokens = 0;
  /// True if the text is long, so that its step is likely to wait for it.
  bool IsLong = false;
  bool operator==(const PlanItem &) const = default;
};

/// A step whose trainer waits for results. An immutable value.
struct PlanStep {
  TimePoint Due;
  /// Position among all steps in order of submission.
  Offset Submitted = 0;
  /// Index of the model, the same for steps and engines.
  std::uint32_t Model = 0;
  /// Oldest version of the weights that may run its items.
  WeightVersion MinVersion = 0;
  /// Number of groups. Those without an item in the plan are complete.
  std::uint32_t Groups = 0;
  /// Number of complete groups that the trainer waits for; 0 for all.
  std::uint64_t TargetGroups = 0;
  bool operator==(const PlanStep &) const = default;
};

/// An engine that runs items of a model. An engine that serves several models
/// has an entry for each of them. An immutable value.
struct PlanEngine {
  /// Index of the model.
  std::uint32_t Model = 0;
  /// Version of the weights that it holds.
  WeightVersion Version = 0;
  /// Event interval of its runs at its present load, in milliseconds; 0 if
  /// unknown, in which case the median of all engines is assumed.
  double PaceMs = 0;
  std::uint32_t Slots = 1;
  /// Number of its runs.
  std::uint32_t Running = 0;
  /// Number of runs that its memory holds, as far as known.
  std::uint32_t MaxRuns = std::numeric_limits<std::uint32_t>::max();
  /// Part of its slots that the model can expect; less than 1 if the engine
  /// serves several models.
  double Share = 1;
  bool operator==(const PlanEngine &) const = default;
};

/// Everything that a plan depends on.
struct PlanInput {
  std::vector<PlanStep> Steps;
  std::vector<PlanItem> Items;
  std::vector<PlanEngine> Engines;
};

/// How much the trainer needs an item.
enum class ItemUrgency : std::uint8_t {
  /// The step can meet its due time, and needs the item's group.
  Needed,
  /// The step can meet its due time without the item's group.
  Optional,
  /// The step can no longer meet its due time.
  Overdue,
};

/// Returns the priority that an engine is told, from 0 (most urgent) to 9. An
/// engine assumes 5 for requests without one. Thread-safe.
std::uint8_t enginePriority(ItemUrgency Urgency);

/// Returns the name of an urgency in lower case. Thread-safe.
const char *toText(ItemUrgency Urgency);

/// The plan for one item. An immutable value.
struct PlannedItem {
  ItemUrgency Urgency = ItemUrgency::Needed;
  /// True if the trainer waits for the item's group, in time or not.
  bool IsNeeded = true;
  /// True if a long item that is needed in time follows in the order with the
  /// same model and priority. Set for waiting items only.
  bool IsFollowedByLong = false;
  /// Predicted time until the text is complete, in milliseconds. Infinite for a
  /// blocked item.
  double EndMs = 0;
  bool operator==(const PlannedItem &) const = default;
};

/// A plan.
struct StepPlan {
  /// Indices of the items whose stage is `Waiting`, in the order in which they
  /// should start.
  std::vector<std::uint32_t> Order;
  /// By item.
  std::vector<PlannedItem> Items;
};

/// Computes the plan. The order is: steps that can meet their due time before
/// overdue ones; then by priority; then needed groups before others; then the
/// earliest due step first; then long items before short ones, and among
/// similar ones those of groups with fewer items to start first. Preconditions:
/// indices are in range. Pure, thread-safe; takes O(n log n) in the number of
/// items, plus the number of steps times the number of engines.
StepPlan planSteps(const PlanInput &Input, TimePoint Now,
                   const StepPlannerSettings &Limits);

/// Offers a place to the waiting items in their order. Calls `Place` with the
/// index of the item and whether the item should leave the last slot of a fast
/// engine to a long item that follows. If `Place` does not place such an item,
/// it is offered a place again without this restriction after all others.
/// `Place` returns true if it has placed the item.
void placeItems(const StepPlan &Plan, const std::vector<PlanItem> &Items,
                const std::function<bool(std::uint32_t, bool)> &Place);

} // namespace wasabi

#endif // WASABI_DISPATCH_STEPPLANNER_H
