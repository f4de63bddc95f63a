#include "Wasabi/Batch/StepRead.h"

#include <algorithm>

namespace wasabi {

TimePoint computeAnswerDeadline(const StepRead &Read,
                                const StepReadSettings &Limits) {
  Millis maxWait = Read.HasResults ? std::min(Read.MaxWait, Limits.ReadInterval)
                                   : Read.MaxWait;
  TimePoint deadline = Read.ArrivedAt + maxWait;
  if (Read.Due)
    deadline = std::min(deadline, *Read.Due + Limits.LateTolerance -
                                      Limits.DeliveryDelay);
  return std::max(deadline, Read.ArrivedAt);
}

} // namespace wasabi
