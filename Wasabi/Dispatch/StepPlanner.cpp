#include "Wasabi/Dispatch/StepPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace wasabi {

namespace {

constexpr double Never = std::numeric_limits<double>::infinity();

/// Returns the lower median of `Values`; `Default` if there are none.
double lowerMedian(std::vector<double> Values, double Default) {
  if (Values.empty())
    return Default;
  auto middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), middle, Values.end());
  return *middle;
}

/// Returns by how much `Running` of `Slots` runs slow each of them down.
double loadFactor(double Running, double Slots,
                  const StepPlannerSettings &Limits) {
  double load = std::min(Running / std::max(Slots, 1.0), 1.0);
  return 1 + Limits.FullLoadSlowdown * load;
}

/// Event intervals on the engines that can run a step, in milliseconds.
struct StepPaces {
  /// Of an idle engine of the fastest ones.
  double BestMs = 0;
  /// Of a full engine among the fastest quarter, for long items.
  double FastMs = 0;
  /// Of a full engine of median speed, for all others.
  double MedianMs = 0;
};

/// Computes the predictions and the order of one plan.
class Planner {
public:
  Planner(const PlanInput &Input, TimePoint Now,
          const StepPlannerSettings &Limits)
      : Input(Input), Now(Now), Limits(Limits) {}

  StepPlan compute() {
    Plan.Items.resize(Input.Items.size());
    computePaces();
    indexGroups();
    predictEnds();
    chooseNeededGroups();
    findOverdueSteps();
    assignUrgencies();
    sortWaiting();
    markFollowedByLong();
    return std::move(Plan);
  }

private:
  /// Predictions for one group of a step.
  struct Group {
    std::uint32_t Index = 0;
    /// Number of items without a result.
    std::uint32_t Pending = 0;
    /// Number of items that are still to be started.
    std::uint32_t Unstarted = 0;
    /// Latest predicted end of its items, in milliseconds from now.
    double EndMs = 0;
    /// Earliest possible end, in milliseconds from now.
    double EarliestEndMs = 0;
    bool IsCarriedOver = false;
    bool IsNeeded = true;
  };

  /// The items of a model that are still to be started, and its engines.
  struct Backlog {
    double Slots = 0;
    double FreeSlots = 0;
    double Items = 0;
    /// Sum of the predicted durations of the items, in milliseconds.
    double RunMs = 0;
    bool exceedsSlots() const { return Items > FreeSlots; }
  };

  /// Computes the engines' paces when idle and, for each step, those of the
  /// engines that hold its weights. Without such an engine, all engines of its
  /// model count, which then have to load the weights first.
  void computePaces() {
    std::vector<double> known;
    for (const PlanEngine &it : Input.Engines) {
      if (it.PaceMs > 0)
        known.push_back(it.PaceMs / loadFactor(it.Running, it.Slots, Limits));
    }
    double unknownMs = lowerMedian(std::move(known), Limits.DefaultPaceMs);
    for (const PlanEngine &it : Input.Engines)
      IdlePaces.push_back(
          it.PaceMs > 0 ? it.PaceMs / loadFactor(it.Running, it.Slots, Limits)
                        : unknownMs);
    std::vector<double> suitable;
    for (const PlanStep &step : Input.Steps) {
      suitable.clear();
      for (bool anyVersion : {false, true}) {
        for (std::size_t i = 0; i < Input.Engines.size(); ++i) {
          const PlanEngine &engine = Input.Engines[i];
          if (engine.Model == step.Model &&
              (anyVersion || engine.Version >= step.MinVersion))
            suitable.push_back(IdlePaces[i]);
        }
        if (!suitable.empty())
          break;
      }
      if (suitable.empty())
        suitable.push_back(unknownMs);
      std::sort(suitable.begin(), suitable.end());
      double full = loadFactor(1, 1, Limits);
      constexpr std::size_t QuarterDivisor = 4;
      Paces.push_back({suitable.front(),
                       suitable[(suitable.size() - 1) / QuarterDivisor] * full,
                       suitable[(suitable.size() - 1) / 2] * full});
    }
  }

  /// Numbers the groups of all steps consecutively.
  void indexGroups() {
    FirstGroups.push_back(0);
    for (const PlanStep &it : Input.Steps)
      FirstGroups.push_back(FirstGroups.back() + it.Groups);
    Groups.resize(FirstGroups.back());
    for (std::size_t i = 0; i < Groups.size(); ++i)
      Groups[i].Index = static_cast<std::uint32_t>(i);
  }

  Group &groupOf(const PlanItem &Item) {
    return Groups[FirstGroups[Item.Step] + Item.Group];
  }

  static bool isUnstarted(const PlanItem &Item) {
    return Item.Stage == PlanStage::Waiting || Item.Stage == PlanStage::Delayed;
  }

  double remainingEvents(const PlanItem &Item) const {
    return predictFinalEvents(Item.ExpectedEvents, Item.Events, Limits) -
           Item.Events;
  }

  /// Predicts the time that an item takes once it runs, in milliseconds.
  double predictRunMs(const PlanItem &Item) const {
    if (Item.Stage == PlanStage::Generated)
      return 0;
    if (Item.Stage == PlanStage::Blocked)
      return Never;
    const StepPaces &paces = Paces[Item.Step];
    double paceMs = Item.IsLong ? paces.FastMs : paces.MedianMs;
    if (Item.Stage == PlanStage::Running) {
      const PlanEngine &engine = Input.Engines[Item.Engine];
      paceMs = IdlePaces[Item.Engine] *
               loadFactor(engine.Running, engine.Slots, Limits);
    }
    return remainingEvents(Item) * paceMs +
           Item.UnreadPromptTokens * Limits.PromptMsPerToken;
  }

  /// Predicts the ends of all items and groups. Items that wait because all
  /// slots are in use are assumed to wait for half of the work that waits.
  void predictEnds() {
    std::uint32_t models = 0;
    for (const PlanStep &it : Input.Steps)
      models = std::max(models, it.Model + 1);
    for (const PlanEngine &it : Input.Engines)
      models = std::max(models, it.Model + 1);
    Backlogs.resize(models);
    for (const PlanEngine &it : Input.Engines) {
      std::uint32_t slots = std::min(it.Slots, it.MaxRuns);
      Backlogs[it.Model].Slots += it.Share * slots;
      Backlogs[it.Model].FreeSlots +=
          it.Share * (slots - std::min(slots, it.Running));
    }
    for (std::size_t i = 0; i < Input.Items.size(); ++i) {
      const PlanItem &item = Input.Items[i];
      Plan.Items[i].EndMs = predictRunMs(item);
      if (!isUnstarted(item))
        continue;
      Backlog &backlog = Backlogs[Input.Steps[item.Step].Model];
      backlog.Items += 1;
      backlog.RunMs += Plan.Items[i].EndMs;
    }
    for (std::size_t i = 0; i < Input.Items.size(); ++i) {
      const PlanItem &item = Input.Items[i];
      const PlanStep &step = Input.Steps[item.Step];
      const Backlog &backlog = Backlogs[step.Model];
      double &endMs = Plan.Items[i].EndMs;
      Group &group = groupOf(item);
      ++group.Pending;
      group.IsCarriedOver = group.IsCarriedOver || item.IsCarriedOver;
      if (isUnstarted(item)) {
        ++group.Unstarted;
        if (backlog.exceedsSlots())
          endMs += backlog.RunMs / std::max(backlog.Slots, 1.0) / 2;
      }
      group.EndMs = std::max(group.EndMs, endMs);
      bool mayRun = isUnstarted(item) || item.Stage == PlanStage::Running;
      if (mayRun)
        group.EarliestEndMs =
            std::max(group.EarliestEndMs, remainingEvents(item) *
                                              Limits.MinLengthFraction *
                                              Paces[item.Step].BestMs);
    }
  }

  /// Marks the groups that the trainer can do without: those with the latest
  /// predicted end, except for carried-over ones.
  void chooseNeededGroups() {
    std::vector<Group *> open;
    for (std::size_t i = 0; i < Input.Steps.size(); ++i) {
      const PlanStep &step = Input.Steps[i];
      if (step.TargetGroups == 0)
        continue;
      open.clear();
      // Complete and carried-over groups count toward the target.
      std::uint64_t counted = 0;
      for (std::uint32_t j = FirstGroups[i]; j < FirstGroups[i + 1]; ++j) {
        if (Groups[j].Pending == 0 || Groups[j].IsCarriedOver)
          ++counted;
        else
          open.push_back(&Groups[j]);
      }
      std::uint64_t missing =
          step.TargetGroups - std::min(step.TargetGroups, counted);
      if (missing >= open.size())
        continue;
      std::sort(open.begin(), open.end(), [](const Group *L, const Group *R) {
        return std::tie(L->EndMs, L->Unstarted, L->Index) <
               std::tie(R->EndMs, R->Unstarted, R->Index);
      });
      for (std::size_t j = missing; j < open.size(); ++j)
        open[j]->IsNeeded = false;
    }
  }

  /// Determines the steps that cannot meet their due time.
  void findOverdueSteps() {
    for (std::size_t i = 0; i < Input.Steps.size(); ++i) {
      double earliestMs = 0;
      for (std::uint32_t j = FirstGroups[i]; j < FirstGroups[i + 1]; ++j) {
        if (Groups[j].IsNeeded)
          earliestMs = std::max(earliestMs, Groups[j].EarliestEndMs);
      }
      double leftMs =
          std::chrono::duration<double, std::milli>(Input.Steps[i].Due - Now)
              .count();
      Overdue.push_back(leftMs < 0 || earliestMs > leftMs);
    }
  }

  void assignUrgencies() {
    for (std::size_t i = 0; i < Input.Items.size(); ++i) {
      const PlanItem &item = Input.Items[i];
      PlannedItem &planned = Plan.Items[i];
      planned.IsNeeded = groupOf(item).IsNeeded;
      planned.Urgency = Overdue[item.Step] ? ItemUrgency::Overdue
                        : planned.IsNeeded ? ItemUrgency::Needed
                                           : ItemUrgency::Optional;
    }
  }

  /// Position of a waiting item in the order; the least comes first.
  struct Rank {
    bool IsOverdue = false;
    std::uint32_t Priority = 0;
    bool IsDeferred = false;
    TimePoint Due;
    Offset Submitted = 0;
    /// Negated, so that longer texts come first.
    int LengthClass = 0;
    std::uint32_t GroupUnstarted = 0;
    double Length = 0;
    std::uint32_t Item = 0;
    auto key() const {
      return std::tie(IsOverdue, Priority, IsDeferred, Due, Submitted,
                      LengthClass, GroupUnstarted, Length, Item);
    }
  };

  void sortWaiting() {
    std::vector<Rank> ranks;
    double classWidth = std::log(Limits.LengthClassFactor);
    for (std::size_t i = 0; i < Input.Items.size(); ++i) {
      const PlanItem &item = Input.Items[i];
      if (item.Stage != PlanStage::Waiting)
        continue;
      const PlanStep &step = Input.Steps[item.Step];
      double length = remainingEvents(item);
      int lengthClass = static_cast<int>(
          std::lround(std::log(std::max(length, 1.0)) / classWidth));
      // While there is a slot for each item, no item waits for another, and
      // the order only determines which items get the fast engines. All long
      // items then come first, because any group may still be needed if
      // another one is delayed.
      bool isDeferred =
          !Plan.Items[i].IsNeeded && Backlogs[step.Model].exceedsSlots();
      ranks.push_back({Overdue[item.Step], item.Priority, isDeferred, step.Due,
                       step.Submitted, -lengthClass, groupOf(item).Unstarted,
                       -length, static_cast<std::uint32_t>(i)});
    }
    std::sort(ranks.begin(), ranks.end(),
              [](const Rank &L, const Rank &R) { return L.key() < R.key(); });
    Plan.Order.reserve(ranks.size());
    for (const Rank &it : ranks)
      Plan.Order.push_back(it.Item);
  }

  void markFollowedByLong() {
    // Models of the long items that follow, all of the same priority.
    std::vector<std::uint32_t> models;
    std::uint32_t priority = 0;
    for (auto it = Plan.Order.rbegin(); it != Plan.Order.rend(); ++it) {
      const PlanItem &item = Input.Items[*it];
      PlannedItem &planned = Plan.Items[*it];
      if (planned.Urgency == ItemUrgency::Overdue)
        continue;
      if (item.Priority != priority)
        models.clear();
      priority = item.Priority;
      std::uint32_t model = Input.Steps[item.Step].Model;
      bool follows =
          std::find(models.begin(), models.end(), model) != models.end();
      planned.IsFollowedByLong = follows;
      if (!follows && item.IsLong && planned.Urgency == ItemUrgency::Needed)
        models.push_back(model);
    }
  }

  const PlanInput &Input;
  const TimePoint Now;
  const StepPlannerSettings &Limits;
  StepPlan Plan;
  /// By engine: its event interval if it had no other run, in milliseconds.
  std::vector<double> IdlePaces;
  /// By step.
  std::vector<StepPaces> Paces;
  /// By model.
  std::vector<Backlog> Backlogs;
  std::vector<bool> Overdue;
  /// By step: index of its first group in `Groups`, and the total at the end.
  std::vector<std::uint32_t> FirstGroups;
  std::vector<Group> Groups;
};

} // namespace

void recordTextLength(TextScale &Scale, double ExpectedTokens,
                      std::uint64_t Events) {
  // About the last hundred texts count.
  constexpr double Decay = 0.99;
  if (ExpectedTokens <= 0 || Events == 0)
    return;
  Scale.Tokens = Scale.Tokens * Decay + ExpectedTokens;
  Scale.Events = Scale.Events * Decay + static_cast<double>(Events);
}

double predictFinalEvents(double ExpectedEvents, double Events,
                          const StepPlannerSettings &Limits) {
  return Events < ExpectedEvents ? ExpectedEvents
                                 : Events * (1 + Limits.OverrunGrowth);
}

double predictFinalTokens(double PromptTokens, double FinalEvents,
                          double MaxOutputTokens, const TextScale &Scale) {
  double output = FinalEvents * Scale.tokensPerEvent();
  if (MaxOutputTokens > 0)
    output = std::min(output, MaxOutputTokens);
  return PromptTokens + output;
}

std::uint8_t enginePriority(ItemUrgency Urgency) {
  constexpr std::uint8_t NeededPriority = 3;
  constexpr std::uint8_t OptionalPriority = 6;
  constexpr std::uint8_t OverduePriority = 8;
  switch (Urgency) {
  case ItemUrgency::Needed:
    return NeededPriority;
  case ItemUrgency::Optional:
    return OptionalPriority;
  case ItemUrgency::Overdue:
    return OverduePriority;
  }
  return OverduePriority;
}

const char *toText(ItemUrgency Urgency) {
  switch (Urgency) {
  case ItemUrgency::Needed:
    return "needed";
  case ItemUrgency::Optional:
    return "optional";
  case ItemUrgency::Overdue:
    return "overdue";
  }
  return "unknown";
}

StepPlan planSteps(const PlanInput &Input, TimePoint Now,
                   const StepPlannerSettings &Limits) {
  return Planner(Input, Now, Limits).compute();
}

void placeItems(const StepPlan &Plan, const std::vector<PlanItem> &Items,
                const std::function<bool(std::uint32_t, bool)> &Place) {
  std::vector<std::uint32_t> restricted;
  for (std::uint32_t it : Plan.Order) {
    bool leaves = Plan.Items[it].IsFollowedByLong && !Items[it].IsLong;
    if (!Place(it, leaves) && leaves)
      restricted.push_back(it);
  }
  for (std::uint32_t it : restricted)
    Place(it, false);
}

} // namespace wasabi
