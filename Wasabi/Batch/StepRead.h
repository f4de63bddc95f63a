/// \file
/// Decides how long a read of a step's results waits for more of them. A
/// trainer polls its step at an interval, so a read that returns just before
/// the step is complete delays its end by up to one interval.
#ifndef WASABI_BATCH_STEPREAD_H
#define WASABI_BATCH_STEPREAD_H

#include "Wasabi/Core/Clock.h"

#include <optional>

namespace wasabi {

/// Polling behaviour of readers, as specified by the platform.
struct StepReadSettings {
  /// Minimum time between the arrivals of two reads of one reader.
  Millis ReadInterval{500};
  /// A result that is read up to this long after the job was due still counts
  /// as in time.
  Millis LateTolerance{700};
  /// Time allowed from the end of the wait until the reader has the response:
  /// texts are fetched from the store and sent over the network.
  Millis DeliveryDelay{100};
  bool operator==(const StepReadSettings &) const = default;
};

/// A read of a step that is not complete. An immutable value.
struct StepRead {
  TimePoint ArrivedAt;
  /// Maximum time that the reader is willing to wait.
  Millis MaxWait{0};
  /// True if there are results that the reader has not received yet.
  bool HasResults = false;
  /// Time at which all results of the step are due, if known.
  std::optional<TimePoint> Due;
  bool operator==(const StepRead &) const = default;
};

/// Returns the time at which an incomplete step's read is answered. With new
/// results the wait is at most `ReadInterval`, as the reader polls again then,
/// and at most `MaxWait`. If `Due` is set, the read is answered early enough to
/// be in time. Never earlier than `ArrivedAt`. Pure.
TimePoint computeAnswerDeadline(const StepRead &Read,
                                const StepReadSettings &Limits);

} // namespace wasabi

#endif // WASABI_BATCH_STEPREAD_H
