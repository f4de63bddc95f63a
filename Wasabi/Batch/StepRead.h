/// \file
/// How long a reader of a step's results is kept waiting for more of them.
///
/// The load that this answers: a trainer has two steps under way, reads each
/// one twice a second, and ends it when it has read as many whole groups as it
/// waits for. The last texts of a step end one by one, some tenths of a second
/// apart. A reader who is answered at one of them stays away for the rest of
/// its half second, also when the text that makes the step whole ends
/// meanwhile; and a step of long texts leaves its trainer no time to catch up.
#ifndef WASABI_BATCH_STEPREAD_H
#define WASABI_BATCH_STEPREAD_H

#include "Wasabi/Core/Clock.h"

#include <optional>

namespace wasabi {

/// How readers behave, as the platform's pages say.
struct StepReadSettings {
  /// A reader comes back this long after it came, or later, however soon it was
  /// answered.
  Millis Pace{500};
  /// A result that is read this long after its job was due still counts as in
  /// time.
  Millis Grace{700};
  /// From the end of a wait until the reader has its answer: texts are fetched
  /// from the store and cross the network on a machine that may be busy.
  Millis Delivery{100};
  bool operator==(const StepReadSettings &) const = default;
};

/// A reader who waits at a step that is not whole. An immutable value.
struct StepRead {
  TimePoint Came;
  /// How long it allows to be kept waiting.
  Millis Wait{0};
  /// Whether it has results to get already.
  bool HasResults = false;
  /// When all results of the step are due, if that is known.
  std::optional<TimePoint> Due;
  bool operator==(const StepRead &) const = default;
};

/// When a reader is given what there is unless its step is whole before: when
/// it would come back anyway if it has results to get, after all that it allows
/// if it has none, and in any case while what it gets is in time. `Came` where
/// it is not to be held. Pure.
TimePoint computeAnswerDeadline(const StepRead &Of,
                                const StepReadSettings &Limits);

} // namespace wasabi

#endif // WASABI_BATCH_STEPREAD_H
