/// \file
/// Limits of callers at one entry. Each entry grants its part of what is
/// declared, so that all entries together hold it while they come and go.
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

/// The entries that take callers, self included; at least 1. Pure.
std::size_t countLiveEntries(const View &Members);

/// One token bucket a caller. Not thread-safe.
class CallerLimits {
public:
  /// Takes one request of a caller; empty when granted, else when to come back.
  /// A caller's first token is there at once and the rest fills at its rate:
  /// an entry that has just started must not add a burst of its own.
  std::optional<Millis> take(const std::map<std::string, CallerLimit> &Declared,
                             const std::string &Caller, std::size_t Entries,
                             TimePoint Now);
  std::size_t size() const { return Buckets.size(); }

private:
  struct Bucket {
    double Tokens = 1.0;
    TimePoint At;
  };
  void evictIdleBuckets(TimePoint Now);

  std::map<std::string, Bucket> Buckets;
  TimePoint LastEviction;
};

} // namespace wasabi

#endif // WASABI_ROUTING_CALLERLIMITS_H
