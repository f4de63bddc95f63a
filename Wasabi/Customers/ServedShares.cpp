#include "Wasabi/Customers/ServedShares.h"

#include <cmath>

namespace wasabi {

namespace {

void decay(ServedShares &Shares, TimePoint Now) {
  // Limits how often the counts of all customers are updated.
  constexpr Millis DecayInterval{100};
  if (Now - Shares.LastDecay < DecayInterval)
    return;
  double halfLives = std::chrono::duration<double>(Now - Shares.LastDecay) /
                     std::chrono::duration<double>(Shares.Limits.HalfLife);
  double factor = std::exp2(-halfLives);
  Shares.LastDecay = Now;
  Shares.Total.Requests *= factor;
  Shares.Total.Served *= factor;
  for (auto &[name, counts] : Shares.Customers) {
    counts.Requests *= factor;
    counts.Served *= factor;
  }
  std::erase_if(Shares.Customers, [&Shares](const auto &Entry) {
    return Entry.second.Requests < Shares.Limits.EvictionThreshold;
  });
}

double servedFraction(const ServedShares::Counts &Counts) {
  return Counts.Requests > 0 ? Counts.Served / Counts.Requests : 1;
}

} // namespace

void recordOutcome(ServedShares &Shares, const CustomerName &Customer,
                   bool Served, TimePoint Now) {
  decay(Shares, Now);
  ServedShares::Counts &counts = Shares.Customers[Customer];
  counts.Requests += 1;
  Shares.Total.Requests += 1;
  counts.Served += Served ? 1 : 0;
  Shares.Total.Served += Served ? 1 : 0;
}

bool isUnderserved(const ServedShares &Shares, const CustomerName &Customer) {
  auto found = Shares.Customers.find(Customer);
  if (found == Shares.Customers.end() ||
      found->second.Requests < Shares.Limits.MinRequests)
    return false;
  return servedFraction(found->second) <
         Shares.Limits.UnderservedFactor * servedFraction(Shares.Total);
}

} // namespace wasabi
