/// \file
/// Tracks which fraction of each customer's recent requests was served. Under
/// overload, customers get equal shares; one whose fraction falls far below the
/// fraction of all requests is preferred: with equal shares alone the small
/// customers are served almost always and a large one almost never.
#ifndef WASABI_CUSTOMERS_SERVEDSHARES_H
#define WASABI_CUSTOMERS_SERVEDSHARES_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <map>

namespace wasabi {

/// Exponentially decaying counts of requests. Not thread-safe.
struct ServedShares {
  struct Settings {
    /// Half-life of the counts.
    Millis HalfLife{2000};
    /// A customer is underserved if its served fraction is less than the
    /// fraction of all requests times this factor.
    double UnderservedFactor = 0.5;
    /// Minimum decayed number of requests for a customer to be underserved.
    double MinRequests = 4;
    /// Customers whose decayed number of requests is below this are removed.
    double EvictionThreshold = 0.01;
    bool operator==(const Settings &) const = default;
  };
  struct Counts {
    double Requests = 0;
    double Served = 0;
  };

  Settings Limits;
  Counts Total;
  std::map<CustomerName, Counts> Customers;
  TimePoint LastDecay;
};

/// Records that a customer's request has ended, served or not.
void recordOutcome(ServedShares &Shares, const CustomerName &Customer,
                   bool Served, TimePoint Now);

/// Returns true if a customer is underserved, so that its requests should
/// precede others of the same priority. Pure.
bool isUnderserved(const ServedShares &Shares, const CustomerName &Customer);

} // namespace wasabi

#endif // WASABI_CUSTOMERS_SERVEDSHARES_H
