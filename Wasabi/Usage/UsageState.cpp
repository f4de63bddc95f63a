#include "Wasabi/Usage/UsageState.h"

#include <algorithm>

namespace wasabi {

namespace {

Millis medianOf(std::vector<Millis> Values) {
  auto median = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), median, Values.end());
  return *median;
}

/// Returns the window of an entry by the median clock.
UsageWindow trueWindow(const UsageState &State, const UsageSourceEntry &Entry,
                       const UsageSettings &Limits) {
  return windowOf(Entry.Entry.At - clockSkew(State, Entry.Source, Limits),
                  Limits.Window);
}

void applyRecord(UsageState &State, const UsageBatch &Record,
                 const UsageReadContext &Context, const UsageSettings &Limits) {
  UsageSourceState &source = State.Sources[Record.Source];
  source.LastReadAt = Context.Now;
  Millis ahead = Record.Through - Context.Wall;
  if (Context.Age <= Limits.MaxClockSampleAge)
    source.ClockOffset = std::max(source.ClockOffset.value_or(ahead), ahead);
  if (Record.Sequence <= source.Sequence)
    return;
  if (!State.FirstUndecided)
    State.FirstUndecided = windowOf(Record.Through, Limits.Window);
  source.Sequence = Record.Sequence;
  source.Through = Record.Through;
  for (const UsageEntry &it : Record.Entries) {
    UsageSourceEntry entry{Record.Source, it};
    bool late = trueWindow(State, entry, Limits) < *State.FirstUndecided;
    if (late && it.Count > 0)
      State.Late += static_cast<std::uint64_t>(it.Count);
    if (!late)
      State.Entries.push_back(std::move(entry));
  }
}

void applyRecord(UsageState &State, const UsageLeave &Record,
                 const UsageReadContext &, const UsageSettings &) {
  State.Sources[Record.Source].Left = true;
}

void applyRecord(UsageState &State, const UsageDecision &Record,
                 const UsageReadContext &, const UsageSettings &Limits) {
  if (State.FirstUndecided && Record.Window < *State.FirstUndecided)
    return;
  std::erase_if(State.Entries, [&](const UsageSourceEntry &It) {
    return trueWindow(State, It, Limits) <= Record.Window;
  });
  State.FirstUndecided = Record.Window + 1;
  State.Untold[Record.Window] = Record.Counts;
}

void applyRecord(UsageState &State, const UsageReported &Record,
                 const UsageReadContext &, const UsageSettings &) {
  State.Untold.erase(Record.Window);
}

/// Returns true if a process is still counting, as far as is known. A later
/// incarnation of its instance shows that it has ended.
bool isCounting(const UsageState &State, const UsageSource &Source,
                const UsageSourceState &SourceState, TimePoint Now,
                const UsageSettings &Limits) {
  if (SourceState.Left || Now - SourceState.LastReadAt > Limits.SourceTimeout)
    return false;
  auto next = std::next(State.Sources.find(Source));
  return next == State.Sources.end() || next->first.Instance != Source.Instance;
}

/// Returns true if `Missing` processes are few enough for their counts to be
/// well within the tolerance, assuming equal counts of all processes.
bool isNegligible(const UsageState &State, std::size_t Missing, TimePoint Now,
                  const UsageSettings &Limits) {
  std::size_t all = 0;
  for (const auto &[source, state] : State.Sources)
    all += isCounting(State, source, state, Now, Limits) ? 1 : 0;
  constexpr double Margin = 2;
  return static_cast<double>(Missing) * Margin <=
         static_cast<double>(all) * Limits.Tolerance;
}

} // namespace

void apply(UsageState &State, Offset At, const UsageRecord &Record,
           const UsageReadContext &Context, const UsageSettings &Limits) {
  if (At < State.Next)
    return;
  State.Next = At + 1;
  std::visit(
      [&](const auto &It) { return applyRecord(State, It, Context, Limits); },
      Record);
}

void expire(UsageState &State, TimePoint Now, const UsageSettings &Limits) {
  std::erase_if(State.Sources, [&](const auto &It) {
    return Now - It.second.LastReadAt > Limits.SourceRetention;
  });
}

Millis clockSkew(const UsageState &State, const UsageSource &Source,
                 const UsageSettings &Limits) {
  // With two clocks it is unknown which one is wrong.
  constexpr std::size_t MinClocks = 3;
  std::vector<Millis> known;
  for (const auto &[source, state] : State.Sources) {
    if (state.ClockOffset)
      known.push_back(*state.ClockOffset);
  }
  auto found = State.Sources.find(Source);
  if (found == State.Sources.end() || !found->second.ClockOffset ||
      known.size() < MinClocks)
    return Millis(0);
  Millis skew = *found->second.ClockOffset - medianOf(std::move(known));
  return std::chrono::abs(skew) > Limits.MaxClockSkew ? skew : Millis(0);
}

UsageCounts countsOf(const UsageState &State, UsageWindow Window,
                     const UsageSettings &Limits) {
  std::map<CustomerName, std::int64_t> sums;
  for (const UsageSourceEntry &it : State.Entries) {
    if (trueWindow(State, it, Limits) <= Window)
      sums[it.Entry.Of] += it.Entry.Count;
  }
  UsageCounts counts;
  for (const auto &[customer, sum] : sums) {
    if (sum > 0)
      counts[customer] = static_cast<std::uint64_t>(sum);
  }
  return counts;
}

std::vector<UsageSource> missingSources(const UsageState &State,
                                        UsageWindow Window, TimePoint Now,
                                        const UsageSettings &Limits) {
  std::vector<UsageSource> missing;
  for (const auto &[source, state] : State.Sources) {
    WallTime through = state.Through - clockSkew(State, source, Limits);
    if (through < windowEnd(Window, Limits.Window) &&
        isCounting(State, source, state, Now, Limits))
      missing.push_back(source);
  }
  return missing;
}

std::optional<UsageWindow> findDueWindow(const UsageState &State,
                                         WallTime TrueNow, TimePoint Now,
                                         const StoreContact &Contact,
                                         const UsageSettings &Limits) {
  if (!State.FirstUndecided)
    return std::nullopt;
  UsageWindow window = *State.FirstUndecided;
  WallTime end = windowEnd(window, Limits.Window);
  if (TrueNow < end + Limits.SettleDelay)
    return std::nullopt;
  std::size_t missing = missingSources(State, window, Now, Limits).size();
  Millis maxWait = Limits.Due - Limits.DueMargin;
  if (isNegligible(State, missing, Now, Limits))
    maxWait = std::min(maxWait, Limits.FewMissingTimeout);
  bool recovering = !reachableFor(Contact, Limits.StoreRecoveryDelay, Now);
  if (missing > 0 && (recovering || TrueNow < end + maxWait))
    return std::nullopt;
  return window;
}

} // namespace wasabi
