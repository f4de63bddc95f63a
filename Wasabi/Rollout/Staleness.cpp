#include "Wasabi/Rollout/Staleness.h"

#include <algorithm>

namespace wasabi {

bool isFresh(const Freshness &By, WeightVersion Version) {
  return Version + By.Bound >= By.Newest;
}

bool isFresh(const Freshness &By, const Label &Spans) {
  return std::all_of(Spans.begin(), Spans.end(), [&By](const VersionSpan &it) {
    return isFresh(By, it.Version);
  });
}

Cadence withPublication(Cadence Of, bool StepOpen, TimePoint Now) {
  Micros gap = Now - Of.Last;
  bool first = Of.Last == TimePoint();
  Of.Last = Now;
  if (first || !StepOpen)
    return Of;
  // A slow average: one early publication must not stop all dispatching.
  Of.MeanInterval =
      Of.MeanInterval.count() == 0 ? gap : (Of.MeanInterval * 3 + gap) / 4;
  return Of;
}

std::uint64_t expectedPublications(const Cadence &Of, TimePoint Now,
                                   TimePoint Finish) {
  if (Of.MeanInterval.count() <= 0 || Finish <= Now)
    return 0;
  // A publication that is overdue may come at once, but counts as one.
  Micros since = std::min(Micros(Now - Of.Last), Of.MeanInterval);
  return static_cast<std::uint64_t>((since + Micros(Finish - Now)).count() /
                                    Of.MeanInterval.count());
}

bool willBeFresh(const Freshness &By, WeightVersion Version,
                 const Cadence &Publishing, TimePoint Now, TimePoint Finish) {
  Freshness then = By;
  then.Newest += expectedPublications(Publishing, Now, Finish);
  return isFresh(then, Version);
}

} // namespace wasabi
