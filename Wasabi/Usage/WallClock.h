/// \file
/// Wall time that steps of the machine's clock do not reach.
#ifndef WASABI_USAGE_WALLCLOCK_H
#define WASABI_USAGE_WALLCLOCK_H

#include "Wasabi/Usage/UsageRecord.h"

namespace wasabi {

/// Reads the wall clock once and counts on from there with the monotonic one:
/// a clock that is set forward or back while the process runs changes nothing.
/// It is as wrong as the machine's clock was then; `clockSkew` tells of one
/// that was seconds away. An immutable value; thread-safe.
class WallClock {
public:
  /// Begins now.
  static WallClock create() {
    return WallClock(monotonicNow(), std::chrono::time_point_cast<Micros>(
                                         std::chrono::system_clock::now()));
  }
  WallClock(TimePoint Begin, std::chrono::sys_time<Micros> WallAtBegin)
      : Begin(Begin), WallAtBegin(WallAtBegin) {}

  /// The wall time at `Now`.
  WallTime at(TimePoint Now) const {
    return std::chrono::time_point_cast<Millis>(WallAtBegin + (Now - Begin));
  }

private:
  TimePoint Begin;
  std::chrono::sys_time<Micros> WallAtBegin;
};

} // namespace wasabi

#endif // WASABI_USAGE_WALLCLOCK_H
