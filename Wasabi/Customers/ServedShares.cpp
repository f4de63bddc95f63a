#include "Wasabi/Customers/ServedShares.h"

#include <cmath>

namespace wasabi {

namespace {

void fade(ServedShares &Of, TimePoint Now) {
  // Each customer is visited at this pace only.
  constexpr Millis Step{100};
  if (Now - Of.LastDecay < Step)
    return;
  double lives = std::chrono::duration<double>(Now - Of.LastDecay) /
                 std::chrono::duration<double>(Of.Limits.HalfLife);
  double left = std::exp2(-lives);
  Of.LastDecay = Now;
  Of.All.Asked *= left;
  Of.All.Served *= left;
  for (auto &[name, counts] : Of.Customers) {
    counts.Asked *= left;
    counts.Served *= left;
  }
  std::erase_if(Of.Customers, [&Of](const auto &It) {
    return It.second.Asked < Of.Limits.EvictionThreshold;
  });
}

double shareOf(const ServedShares::Counts &Counts) {
  return Counts.Asked > 0 ? Counts.Served / Counts.Asked : 1;
}

} // namespace

void recordOutcome(ServedShares &Of, const CustomerName &Who, bool Served,
                   TimePoint Now) {
  fade(Of, Now);
  ServedShares::Counts &counts = Of.Customers[Who];
  counts.Asked += 1;
  Of.All.Asked += 1;
  counts.Served += Served ? 1 : 0;
  Of.All.Served += Served ? 1 : 0;
}

bool isUnderserved(const ServedShares &Of, const CustomerName &Who) {
  auto found = Of.Customers.find(Who);
  if (found == Of.Customers.end() ||
      found->second.Asked < Of.Limits.MinRequests)
    return false;
  return shareOf(found->second) < Of.Limits.Behind * shareOf(Of.All);
}

} // namespace wasabi
