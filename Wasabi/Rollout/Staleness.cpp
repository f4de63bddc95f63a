#include "Wasabi/Rollout/Staleness.h"

#include <algorithm>

namespace wasabi {

bool isFresh(const Freshness &Limits, WeightVersion Version) {
  return Version + Limits.Bound >= Limits.Newest;
}

bool isFresh(const Freshness &Limits, const Label &Spans) {
  return std::all_of(
      Spans.begin(), Spans.end(),
      [&Limits](const VersionSpan &it) { return isFresh(Limits, it.Version); });
}

Cadence withPublication(Cadence Publishing, bool StepOpen, TimePoint Now) {
  Micros gap = Now - Publishing.Last;
  bool first = Publishing.Last == TimePoint();
  Publishing.Last = Now;
  if (first || !StepOpen)
    return Publishing;
  // Smoothed, so that one early publication does not stop dispatching.
  Publishing.MeanInterval = Publishing.MeanInterval.count() == 0
                                ? gap
                                : (Publishing.MeanInterval * 3 + gap) / 4;
  return Publishing;
}

std::uint64_t expectedPublications(const Cadence &Publishing, TimePoint Now,
                                   TimePoint Finish) {
  if (Publishing.MeanInterval.count() <= 0 || Finish <= Now)
    return 0;
  // An overdue publication counts once.
  Micros since =
      std::min(Micros(Now - Publishing.Last), Publishing.MeanInterval);
  return static_cast<std::uint64_t>((since + Micros(Finish - Now)).count() /
                                    Publishing.MeanInterval.count());
}

bool willBeFresh(const Freshness &Limits, WeightVersion Version,
                 const Cadence &Publishing, TimePoint Now, TimePoint Finish) {
  Freshness expected = Limits;
  expected.Newest += expectedPublications(Publishing, Now, Finish);
  return isFresh(expected, Version);
}

} // namespace wasabi
