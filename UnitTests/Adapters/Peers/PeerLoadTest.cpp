#include "Wasabi/Adapters/Peers/PeerLoad.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

using Indices = std::vector<std::size_t>;

constexpr Millis MinLag{250};

TimePoint at(std::int64_t MillisSinceStart) {
  return TimePoint(Millis(MillisSinceStart));
}

PeerLoad pending(std::uint64_t Bytes, std::int64_t LagMs) {
  return {PeerActivity::Pending, Bytes, Millis(LagMs)};
}

PeerLoad idle(std::int64_t LagMs) {
  return {PeerActivity::Idle, 8000, Millis(LagMs)};
}

} // namespace

// Guards against a peer that keeps its place by a byte from time to time, and
// against one that was fast and stalls on what it has saved up.
TEST_CASE("A peer lags unless it keeps the minimum rate", "[peers]") {
  CHECK(advancePace(at(0), 1, at(1000)) < at(1));
  CHECK(advancePace(at(0), MinBytesPerSecond, at(1000)) == at(1000));
  CHECK(advancePace(at(0), 100 * MinBytesPerSecond, at(1000)) == at(1000));
  CHECK(advancePace(at(500), MinBytesPerSecond / 2, at(2000)) == at(1000));
}

// Guards against an ordinary caller, small and prompt, that gives way to a
// client that holds much and stalls.
TEST_CASE("The peer that holds most for its lag gives way first", "[peers]") {
  std::vector<PeerLoad> peers{pending(10000, 400),
                              pending(4000000, 300),
                              pending(16000, 10000),
                              {PeerActivity::Working, 9000000, Millis(9000)},
                              pending(9000000, 0)};
  CHECK(orderToYield(peers, MinLag) == Indices{1, 2, 0});
  CHECK(orderToYield(peers, Millis(0)) == Indices{1, 2, 4, 0});
}

// Guards against the loss of kept connections, whose next request would be
// lost with them.
TEST_CASE("Idle connections give way last, the longest idle first", "[peers]") {
  std::vector<PeerLoad> peers{idle(12000), idle(14000), pending(9000, 300)};
  CHECK(orderToYield(peers, MinLag) == Indices{2, 1, 0});
}

// Guards against the loss of a kept connection while those that press it are
// too new to lag.
TEST_CASE("Idle connections are spared while pending ones cover the excess",
          "[peers]") {
  std::vector<PeerLoad> peers{idle(12000), pending(9000, 1), pending(9000, 1)};
  CHECK(chooseToYield(peers, {0, 2}, MinLag).empty());
  CHECK(chooseToYield(peers, {0, 3}, MinLag) == Indices{0});
  CHECK(chooseToYield(peers, {18000, 0}, MinLag).empty());
  CHECK(chooseToYield(peers, {18001, 0}, MinLag) == Indices{0});
}

TEST_CASE("As many peers give way as cover the excess", "[peers]") {
  std::vector<PeerLoad> peers{pending(100, 900), pending(100, 800),
                              pending(100, 700)};
  CHECK(chooseToYield(peers, {0, 0}, MinLag).empty());
  CHECK(chooseToYield(peers, {100, 0}, MinLag) == Indices{0});
  CHECK(chooseToYield(peers, {101, 0}, MinLag) == Indices{0, 1});
  CHECK(chooseToYield(peers, {0, 2}, MinLag) == Indices{0, 1});
  CHECK(chooseToYield(peers, {1000, 0}, MinLag) == Indices{0, 1, 2});
}

} // namespace wasabi
