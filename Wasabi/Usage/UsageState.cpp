#include "Wasabi/Usage/UsageState.h"

#include <algorithm>

namespace wasabi {

namespace {

Millis middleOf(std::vector<Millis> Values) {
  auto middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), middle, Values.end());
  return *middle;
}

/// The window of an entry by the middle clock.
UsageWindow trueWindow(const UsageState &Fold, const UsageSourceEntry &Of,
                       const UsageSettings &Limits) {
  return windowOf(Of.What.At - clockSkew(Fold, Of.From, Limits), Limits.Window);
}

void applyKind(UsageState &Fold, const UsageBatch &What,
               const UsageReadContext &When, const UsageSettings &Limits) {
  UsageSourceState &source = Fold.Sources[What.From];
  source.Heard = When.Now;
  Millis ahead = What.Through - When.Wall;
  if (When.Age <= Limits.MaxClockSampleAge)
    source.ClockOffset = std::max(source.ClockOffset.value_or(ahead), ahead);
  if (What.Sequence <= source.Sequence)
    return;
  if (!Fold.FirstUndecided)
    Fold.FirstUndecided = windowOf(What.Through, Limits.Window);
  source.Sequence = What.Sequence;
  source.Through = What.Through;
  for (const UsageEntry &it : What.Entries) {
    UsageSourceEntry entry{What.From, it};
    bool late = trueWindow(Fold, entry, Limits) < *Fold.FirstUndecided;
    if (late && it.Count > 0)
      Fold.Late += static_cast<std::uint64_t>(it.Count);
    if (!late)
      Fold.Entries.push_back(std::move(entry));
  }
}

void applyKind(UsageState &Fold, const UsageLeave &What,
               const UsageReadContext &, const UsageSettings &) {
  Fold.Sources[What.From].Left = true;
}

void applyKind(UsageState &Fold, const UsageDecision &What,
               const UsageReadContext &, const UsageSettings &Limits) {
  if (Fold.FirstUndecided && What.Window < *Fold.FirstUndecided)
    return;
  std::erase_if(Fold.Entries, [&](const UsageSourceEntry &It) {
    return trueWindow(Fold, It, Limits) <= What.Window;
  });
  Fold.FirstUndecided = What.Window + 1;
  Fold.Untold[What.Window] = What.Counts;
}

void applyKind(UsageState &Fold, const UsageReported &What,
               const UsageReadContext &, const UsageSettings &) {
  Fold.Untold.erase(What.Window);
}

/// Whether a process counts still, as far as is known. A later process of its
/// instance shows that it has ended.
bool counts(const UsageState &Fold, const UsageSource &Source,
            const UsageSourceState &State, TimePoint Now,
            const UsageSettings &Limits) {
  if (State.Left || Now - State.Heard > Limits.SourceTimeout)
    return false;
  auto next = std::next(Fold.Sources.find(Source));
  return next == Fold.Sources.end() || next->first.Instance != Source.Instance;
}

/// Whether so many processes of those that count make no difference.
bool isFew(const UsageState &Fold, std::size_t Missing, TimePoint Now,
           const UsageSettings &Limits) {
  std::size_t all = 0;
  for (const auto &[source, state] : Fold.Sources)
    all += counts(Fold, source, state, Now, Limits) ? 1 : 0;
  constexpr double Margin = 2;
  return static_cast<double>(Missing) * Margin <=
         static_cast<double>(all) * Limits.Tolerance;
}

} // namespace

void apply(UsageState &Fold, Offset At, const UsageRecord &What,
           const UsageReadContext &When, const UsageSettings &Limits) {
  if (At < Fold.Next)
    return;
  Fold.Next = At + 1;
  std::visit(
      [&](const auto &Kind) { return applyKind(Fold, Kind, When, Limits); },
      What);
}

void expire(UsageState &Fold, TimePoint Now, const UsageSettings &Limits) {
  std::erase_if(Fold.Sources, [&](const auto &It) {
    return Now - It.second.Heard > Limits.SourceRetention;
  });
}

Millis clockSkew(const UsageState &Fold, const UsageSource &Of,
                 const UsageSettings &Limits) {
  // Of two clocks that differ nobody can say which is right.
  constexpr std::size_t LeastClocks = 3;
  std::vector<Millis> known;
  for (const auto &[source, state] : Fold.Sources) {
    if (state.ClockOffset)
      known.push_back(*state.ClockOffset);
  }
  auto found = Fold.Sources.find(Of);
  if (found == Fold.Sources.end() || !found->second.ClockOffset ||
      known.size() < LeastClocks)
    return Millis(0);
  Millis error = *found->second.ClockOffset - middleOf(std::move(known));
  return std::chrono::abs(error) > Limits.MaxClockSkew ? error : Millis(0);
}

UsageCounts countsOf(const UsageState &Fold, UsageWindow Window,
                     const UsageSettings &Limits) {
  std::map<CustomerName, std::int64_t> sums;
  for (const UsageSourceEntry &it : Fold.Entries) {
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

std::vector<UsageSource> missingSources(const UsageState &Fold,
                                        UsageWindow Window, TimePoint Now,
                                        const UsageSettings &Limits) {
  std::vector<UsageSource> missing;
  for (const auto &[source, state] : Fold.Sources) {
    WallTime through = state.Through - clockSkew(Fold, source, Limits);
    if (through < windowEnd(Window, Limits.Window) &&
        counts(Fold, source, state, Now, Limits))
      missing.push_back(source);
  }
  return missing;
}

std::optional<UsageWindow> findDueWindow(const UsageState &Fold,
                                         WallTime TrueNow, TimePoint Now,
                                         const StoreContact &Contact,
                                         const UsageSettings &Limits) {
  if (!Fold.FirstUndecided)
    return std::nullopt;
  UsageWindow window = *Fold.FirstUndecided;
  WallTime end = windowEnd(window, Limits.Window);
  if (TrueNow < end + Limits.Settle)
    return std::nullopt;
  std::size_t missing = missingSources(Fold, window, Now, Limits).size();
  Millis patience = Limits.Due - Limits.DueMargin;
  if (isFew(Fold, missing, Now, Limits))
    patience = std::min(patience, Limits.FewMissingTimeout);
  bool justBack = !reachableFor(Contact, Limits.StoreRecoveryDelay, Now);
  if (missing > 0 && (justBack || TrueNow < end + patience))
    return std::nullopt;
  return window;
}

} // namespace wasabi
