#include "IntegrationTests/Harness/Waiting.h"

#include <algorithm>
#include <thread>

namespace wasabi::harness {

namespace {

constexpr Millis FirstDelay{1};
constexpr Millis MaxDelay{20};

} // namespace

bool waitUntil(const std::function<bool()> &Condition, Millis Timeout) {
  TimePoint deadline = monotonicNow() + Timeout;
  Millis delay = FirstDelay;
  while (!Condition()) {
    if (monotonicNow() >= deadline)
      return false;
    std::this_thread::sleep_for(delay);
    delay = std::min(delay * 2, MaxDelay);
  }
  return true;
}

} // namespace wasabi::harness
