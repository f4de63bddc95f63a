#include "Wasabi/Adapters/Http/SlowReaders.h"

#include <catch2/catch.hpp>

namespace wasabi::http {

namespace {

TimePoint at(std::int64_t MillisSinceStart) {
  return TimePoint(Millis(MillisSinceStart));
}

} // namespace

// Guards against a reset of a client that takes bytes without the kernel having
// room for more, and against one that is blamed for a delay of the server.
TEST_CASE("Acknowledged bytes and an empty queue are progress", "[http]") {
  SendProgress sent = recordSent({}, 1000, at(0));
  CHECK(sent == SendProgress{1000, 0, at(0), true});
  SendProgress some = observeQueue(sent, 700, true, at(40));
  CHECK(some == SendProgress{1000, 300, at(40), true});
  SendProgress none = observeQueue(some, 700, true, at(90));
  CHECK(none == some);
  SendProgress more = recordSent(none, 500, at(95));
  CHECK(more == SendProgress{1500, 300, at(40), true});
  SendProgress empty = observeQueue(more, 0, true, at(99));
  CHECK(empty == SendProgress{1500, 1500, at(99), true});
  SendProgress ended = observeQueue(empty, 0, false, at(120));
  CHECK(ended == SendProgress{1500, 1500, at(120), false});
  // The time without anything to take does not count.
  CHECK(recordSent(ended, 10, at(9000)).LastProgress == at(9000));
}

// Guards against resets of idle connections, and against a limit that is not
// applied.
TEST_CASE("A peer is stalled if it takes no pending byte for the limit",
          "[http]") {
  SendProgress pending{100, 40, at(1000), true};
  CHECK_FALSE(isStalled(pending, Millis(5000), at(5999)));
  CHECK(isStalled(pending, Millis(5000), at(6000)));
  SendProgress idle{100, 100, at(1000), false};
  CHECK_FALSE(isStalled(idle, Millis(5000), at(60000)));
}

// Guards against a reset of a connection that makes progress while one that
// makes none is kept, and against more resets than needed.
TEST_CASE("The longest without progress is reset first, and no more than "
          "needed",
          "[http]") {
  std::vector<HeldResponse> held{
      {40, at(30)}, {40, at(10)}, {40, at(20)}, {0, at(0)}};
  CHECK(chooseResets(held, 120, std::nullopt).empty());
  CHECK(chooseResets(held, 0, std::nullopt).empty());
  CHECK(chooseResets(held, 119, std::nullopt) == std::vector<std::size_t>{1});
  CHECK(chooseResets(held, 79, std::nullopt) == std::vector<std::size_t>{1, 2});
  CHECK(chooseResets(held, 79, 1) == std::vector<std::size_t>{2, 0});
  std::vector<HeldResponse> equal{{10, at(5)}, {90, at(5)}};
  CHECK(chooseResets(equal, 50, std::nullopt) == std::vector<std::size_t>{1});
}

// Guards against a large response that can never be sent, also when it is
// alone.
TEST_CASE("A response that alone exceeds the maximum is kept", "[http]") {
  std::vector<HeldResponse> held{{500, at(0)}, {20, at(1)}};
  CHECK(chooseResets(held, 100, 0) == std::vector<std::size_t>{1});
  CHECK(chooseResets(held, 100, std::nullopt) == std::vector<std::size_t>{0});
}

// Guards against new work while the memory is used up, against refusals where
// no maximum is set, and against small requests blocked by large ones.
TEST_CASE("Requests are shed above the maximum only", "[http]") {
  constexpr std::uint64_t Max = 1u << 20;
  CHECK_FALSE(shouldShed({Max, 0, Max}, 0));
  CHECK(shouldShed({Max + 1, 0, Max}, 0));
  CHECK_FALSE(shouldShed({Max + 1, Max + 1, 0}, Max));
  CHECK_FALSE(shouldShed({0, 0, Max}, 8 * Max));
  CHECK(shouldShed({0, 1, Max}, Max));
  CHECK_FALSE(shouldShed({0, 1, Max}, Max - 1));
  CHECK_FALSE(shouldShed({0, 8 * Max, Max}, SmallBodyBytes));
  CHECK(shouldShed({0, 8 * Max, Max}, SmallBodyBytes + 1));
}

} // namespace wasabi::http
