#include "Wasabi/Adapters/Peers/PeerMemory.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

/// A connection whose load is set by the test.
struct TestConnection final : PeerConnection {
  PeerLoad Load;
  bool Closed = false;

  TestConnection(std::shared_ptr<PeerMemory> Account, PeerActivity Activity,
                 Millis Lag)
      : PeerConnection(std::move(Account)), Load{Activity, 0, Lag} {}
  PeerLoad observe(TimePoint) override { return Load; }
  void yield(TimePoint) override { Closed = true; }
};

constexpr Millis Long{5000};
constexpr Millis Short{1};

} // namespace

// Guards against connections that each hold little and together end the
// process.
TEST_CASE("Lagging connections are closed once the sum exceeds the maximum",
          "[peers]") {
  std::shared_ptr<PeerMemory> account = PeerMemory::create({1000, 0});
  TestConnection stalled(account, PeerActivity::Pending, Long);
  TestConnection working(account, PeerActivity::Working, Long);
  TestConnection moving(account, PeerActivity::Pending, Short);
  stalled.hold(300);
  working.hold(300);
  moving.hold(400);
  CHECK(account->heldBytes() == 1000);
  CHECK_FALSE(stalled.Closed);
  moving.hold(450);
  CHECK(stalled.Closed);
  CHECK_FALSE(working.Closed);
  CHECK_FALSE(moving.Closed);
  CHECK(account->heldBytes() == 750);
  CHECK(account->yields() == 1);
  // Its memory is counted no more.
  stalled.hold(300);
  CHECK(account->heldBytes() == 750);
}

// Guards against a sum without bound while no peer lags.
TEST_CASE("Connections that move are closed an eighth above the maximum",
          "[peers]") {
  std::shared_ptr<PeerMemory> account = PeerMemory::create({800, 0});
  TestConnection small(account, PeerActivity::Pending, Short);
  TestConnection large(account, PeerActivity::Pending, Short);
  small.hold(100);
  large.hold(800);
  CHECK_FALSE(large.Closed);
  large.hold(801);
  CHECK(large.Closed);
  CHECK_FALSE(small.Closed);
  CHECK(account->heldBytes() == 100);
}

TEST_CASE("A request has room only within the maximum", "[peers]") {
  std::shared_ptr<PeerMemory> account = PeerMemory::create({1000, 0});
  TestConnection working(account, PeerActivity::Working, Long);
  working.hold(600);
  CHECK(account->isTight());
  CHECK(account->hasRoomFor(400, monotonicNow()));
  CHECK_FALSE(account->hasRoomFor(401, monotonicNow()));
  TestConnection stalled(account, PeerActivity::Pending, Long);
  stalled.hold(400);
  // The next search for lagging peers comes a moment later.
  CHECK(account->hasRoomFor(400, monotonicNow() + Millis(1000)));
  CHECK(stalled.Closed);
  std::shared_ptr<PeerMemory> unlimited = PeerMemory::create({});
  CHECK(unlimited->hasRoomFor(1u << 30, monotonicNow()));
  CHECK_FALSE(unlimited->isTight());
}

// Guards against callers that find no place because others keep theirs for
// nothing.
TEST_CASE("Lagging connections make place for further ones", "[peers]") {
  std::shared_ptr<PeerMemory> account = PeerMemory::create({0, 3});
  TestConnection stalled(account, PeerActivity::Pending, Long);
  CHECK(account->hasRoomForConnection(1, monotonicNow()));
  TestConnection moving(account, PeerActivity::Pending, Short);
  CHECK(account->hasRoomForConnection(0, monotonicNow()));
  CHECK_FALSE(account->hasRoomForConnection(1, monotonicNow()));
  CHECK(stalled.Closed);
  CHECK_FALSE(moving.Closed);
}

} // namespace wasabi
