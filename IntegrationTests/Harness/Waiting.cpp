#include "IntegrationTests/Harness/Waiting.h"

#include <algorithm>
#include <thread>

namespace wasabi::harness {

namespace {

constexpr Millis FirstPause{1};
constexpr Millis LongestPause{20};

} // namespace

bool waitUntil(const std::function<bool()> &Condition, Millis Limit) {
  TimePoint end = monotonicNow() + Limit;
  Millis pause = FirstPause;
  while (!Condition()) {
    if (monotonicNow() >= end)
      return false;
    std::this_thread::sleep_for(pause);
    pause = std::min(pause * 2, LongestPause);
  }
  return true;
}

} // namespace wasabi::harness
