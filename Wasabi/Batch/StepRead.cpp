#include "Wasabi/Batch/StepRead.h"

#include <algorithm>

namespace wasabi {

TimePoint computeAnswerDeadline(const StepRead &Of,
                                const StepReadSettings &Limits) {
  Millis most = Of.HasResults ? std::min(Of.Wait, Limits.Pace) : Of.Wait;
  TimePoint until = Of.Came + most;
  if (Of.Due)
    until = std::min(until, *Of.Due + Limits.Grace - Limits.Delivery);
  return std::max(until, Of.Came);
}

} // namespace wasabi
