/// \file
/// Rate limits of callers at one entry. Each entry grants an equal part of the
/// declared limit, so that all live entries together keep it.
#ifndef WASABI_ROUTING_CALLERLIMITS_H
#define WASABI_ROUTING_CALLERLIMITS_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Membership/View.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace wasabi {

/// Returns the number of entries that take work, this one included; at least 1.
/// Pure.
std::size_t countLiveEntries(const View &Members);

/// A token bucket per caller. Not thread-safe.
class CallerLimits {
public:
  /// Takes a token for one request of `Caller`. Returns an empty value if the
  /// request is granted, otherwise the delay before a retry. A new bucket holds
  /// one token instead of the full burst, so that a newly started entry adds no
  /// burst of its own. `Entries` is the number of live entries, at least 1.
  std::optional<Millis> take(const std::map<std::string, CallerLimit> &Declared,
                             const std::string &Caller, std::size_t Entries,
                             TimePoint Now);
  std::size_t size() const { return Buckets.size(); }

private:
  struct Bucket {
    double Tokens = 1.0;
    TimePoint RefilledAt;
  };
  void evictIdleBuckets(TimePoint Now);

  std::map<std::string, Bucket> Buckets;
  TimePoint LastEviction;
};

} // namespace wasabi

#endif // WASABI_ROUTING_CALLERLIMITS_H
