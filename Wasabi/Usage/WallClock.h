/// \file
/// A wall clock that is unaffected by adjustments of the system clock.
#ifndef WASABI_USAGE_WALLCLOCK_H
#define WASABI_USAGE_WALLCLOCK_H

#include "Wasabi/Usage/UsageRecord.h"

namespace wasabi {

/// Reads the system's wall clock once and advances it by the monotonic clock,
/// so that later adjustments of the system clock have no effect. An initial
/// error of the system clock remains; `clockSkew` detects one of more than
/// `UsageSettings::MaxClockSkew`. An immutable value; thread-safe.
class WallClock {
public:
  /// Creates a clock that starts at the current time.
  static WallClock create() {
    return WallClock(monotonicNow(), std::chrono::time_point_cast<Micros>(
                                         std::chrono::system_clock::now()));
  }
  WallClock(TimePoint Begin, std::chrono::sys_time<Micros> WallAtBegin)
      : Begin(Begin), WallAtBegin(WallAtBegin) {}

  /// Returns the wall time at `Now`.
  WallTime at(TimePoint Now) const {
    return std::chrono::time_point_cast<Millis>(WallAtBegin + (Now - Begin));
  }

private:
  TimePoint Begin;
  std::chrono::sys_time<Micros> WallAtBegin;
};

} // namespace wasabi

#endif // WASABI_USAGE_WALLCLOCK_H
