/// \file
/// How often each customer's requests have been served of late, against all.
///
/// The pattern that this answers: a service that cannot do what it is offered,
/// by many small customers and a few large ones. Where customers share alike,
/// the small ones are served almost always and a large one almost never; where
/// requests share alike, a burst of a large one leaves nothing for the others.
/// So customers share alike, but for one that falls far behind.
#ifndef WASABI_CUSTOMERS_SERVEDSHARES_H
#define WASABI_CUSTOMERS_SERVEDSHARES_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <map>

namespace wasabi {

/// Counts that fade. Owned by one thread.
struct ServedShares {
  struct Settings {
    /// Counts fall to half within this: some seconds of overload tell.
    Millis HalfLife{2000};
    /// A customer that was served less than this part as often as all is
    /// behind. Users want a quarter at least; the rest is for what chance does.
    double Behind = 0.5;
    /// Requests of which fewer say nothing.
    double MinRequests = 4;
    /// Customers of whom less than this is left are forgotten.
    double EvictionThreshold = 0.01;
    bool operator==(const Settings &) const = default;
  };
  struct Counts {
    double Asked = 0;
    double Served = 0;
  };

  Settings Limits;
  Counts All;
  std::map<CustomerName, Counts> Customers;
  TimePoint LastDecay;
};

/// A customer's request has come to its end, served or not. Pure but for `Of`.
void recordOutcome(ServedShares &Of, const CustomerName &Who, bool Served,
                   TimePoint Now);

/// Whether a customer was served so much less often than all that it should go
/// first among its like. Pure.
bool isUnderserved(const ServedShares &Of, const CustomerName &Who);

} // namespace wasabi

#endif // WASABI_CUSTOMERS_SERVEDSHARES_H
