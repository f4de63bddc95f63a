#include "Wasabi/Usage/UsageFold.h"

#include <algorithm>

namespace wasabi {

namespace {

Millis middleOf(std::vector<Millis> Values) {
  auto middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), middle, Values.end());
  return *middle;
}

/// The window of an entry by the middle clock.
UsageWindow trueWindow(const UsageFold &Fold, const CountedEntry &Of,
                       const UsageSettings &Limits) {
  return windowOf(Of.What.At - clockError(Fold, Of.From, Limits),
                  Limits.Window);
}

void applyKind(UsageFold &Fold, const UsageBatch &What,
               const UsageReading &When, const UsageSettings &Limits) {
  UsageSourceState &source = Fold.Sources[What.From];
  source.Heard = When.Now;
  Millis ahead = What.Through - When.Wall;
  if (When.Age <= Limits.FreshAge)
    source.Ahead = std::max(source.Ahead.value_or(ahead), ahead);
  if (What.Sequence <= source.Sequence)
    return;
  if (!Fold.Undecided)
    Fold.Undecided = windowOf(What.Through, Limits.Window);
  source.Sequence = What.Sequence;
  source.Through = What.Through;
  for (const UsageEntry &it : What.Entries) {
    CountedEntry entry{What.From, it};
    bool late = trueWindow(Fold, entry, Limits) < *Fold.Undecided;
    if (late && it.Count > 0)
      Fold.Late += static_cast<std::uint64_t>(it.Count);
    if (!late)
      Fold.Entries.push_back(std::move(entry));
  }
}

void applyKind(UsageFold &Fold, const UsageLeave &What, const UsageReading &,
               const UsageSettings &) {
  Fold.Sources[What.From].Left = true;
}

void applyKind(UsageFold &Fold, const UsageDecision &What, const UsageReading &,
               const UsageSettings &Limits) {
  if (Fold.Undecided && What.Window < *Fold.Undecided)
    return;
  std::erase_if(Fold.Entries, [&](const CountedEntry &It) {
    return trueWindow(Fold, It, Limits) <= What.Window;
  });
  Fold.Undecided = What.Window + 1;
  Fold.Untold[What.Window] = What.Counts;
}

void applyKind(UsageFold &Fold, const UsageTold &What, const UsageReading &,
               const UsageSettings &) {
  Fold.Untold.erase(What.Window);
}

/// Whether a process counts still, as far as is known. A later process of its
/// instance shows that it has ended.
bool counts(const UsageFold &Fold, const UsageSource &Source,
            const UsageSourceState &State, TimePoint Now,
            const UsageSettings &Limits) {
  if (State.Left || Now - State.Heard > Limits.SilentAfter)
    return false;
  auto next = std::next(Fold.Sources.find(Source));
  return next == Fold.Sources.end() || next->first.Instance != Source.Instance;
}

/// Whether so many processes of those that count make no difference.
bool isFew(const UsageFold &Fold, std::size_t Missing, TimePoint Now,
           const UsageSettings &Limits) {
  std::size_t all = 0;
  for (const auto &[source, state] : Fold.Sources)
    all += counts(Fold, source, state, Now, Limits) ? 1 : 0;
  constexpr double Margin = 2;
  return static_cast<double>(Missing) * Margin <=
         static_cast<double>(all) * Limits.Tolerance;
}

} // namespace

void apply(UsageFold &Fold, Offset At, const UsageRecord &What,
           const UsageReading &When, const UsageSettings &Limits) {
  if (At < Fold.Next)
    return;
  Fold.Next = At + 1;
  std::visit(
      [&](const auto &Kind) { return applyKind(Fold, Kind, When, Limits); },
      What);
}

void expire(UsageFold &Fold, TimePoint Now, const UsageSettings &Limits) {
  std::erase_if(Fold.Sources, [&](const auto &It) {
    return Now - It.second.Heard > Limits.KeepEnded;
  });
}

Millis clockError(const UsageFold &Fold, const UsageSource &Of,
                  const UsageSettings &Limits) {
  // Of two clocks that differ nobody can say which is right.
  constexpr std::size_t LeastClocks = 3;
  std::vector<Millis> known;
  for (const auto &[source, state] : Fold.Sources) {
    if (state.Ahead)
      known.push_back(*state.Ahead);
  }
  auto found = Fold.Sources.find(Of);
  if (found == Fold.Sources.end() || !found->second.Ahead ||
      known.size() < LeastClocks)
    return Millis(0);
  Millis error = *found->second.Ahead - middleOf(std::move(known));
  return std::chrono::abs(error) > Limits.ClockSlack ? error : Millis(0);
}

UsageCounts countsOf(const UsageFold &Fold, UsageWindow Window,
                     const UsageSettings &Limits) {
  std::map<CustomerName, std::int64_t> sums;
  for (const CountedEntry &it : Fold.Entries) {
    if (trueWindow(Fold, it, Limits) <= Window)
      sums[it.What.Of] += it.What.Count;
  }
  UsageCounts counts;
  for (const auto &[customer, sum] : sums) {
    if (sum > 0)
      counts[customer] = static_cast<std::uint64_t>(sum);
  }
  return counts;
}

std::vector<UsageSource> missingFrom(const UsageFold &Fold, UsageWindow Window,
                                     TimePoint Now,
                                     const UsageSettings &Limits) {
  std::vector<UsageSource> missing;
  for (const auto &[source, state] : Fold.Sources) {
    WallTime through = state.Through - clockError(Fold, source, Limits);
    if (through < endOf(Window, Limits.Window) &&
        counts(Fold, source, state, Now, Limits))
      missing.push_back(source);
  }
  return missing;
}

std::optional<UsageWindow> windowDue(const UsageFold &Fold, WallTime TrueNow,
                                     TimePoint Now, const StoreContact &Contact,
                                     const UsageSettings &Limits) {
  if (!Fold.Undecided)
    return std::nullopt;
  UsageWindow window = *Fold.Undecided;
  WallTime end = endOf(window, Limits.Window);
  if (TrueNow < end + Limits.Settle)
    return std::nullopt;
  std::size_t missing = missingFrom(Fold, window, Now, Limits).size();
  Millis patience = Limits.Due - Limits.DueMargin;
  if (isFew(Fold, missing, Now, Limits))
    patience = std::min(patience, Limits.FewMissing);
  bool justBack = !steadyFor(Contact, Limits.AfterStore, Now);
  if (missing > 0 && (justBack || TrueNow < end + patience))
    return std::nullopt;
  return window;
}

} // namespace wasabi
