#include "Wasabi/Quarantine/ServerLosses.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const RequestDigest Request("request");
const ServerIncarnation ServerA{ServerName("a"), 1};
const ServerIncarnation ServerB{ServerName("b"), 1};
const TimePoint Start = TimePoint() + Millis(1000);
const ServerLoss OtherLoss{ServerB, "other", false};

ServerLosses makeLosses() {
  ServerLosses losses;
  losses.Self = "self";
  return losses;
}

} // namespace

TEST_CASE("A loss of this process is kept until it is removed",
          "[quarantine]") {
  ServerLosses losses = makeLosses();
  addLoss(losses, Request, ServerA, true, Start);
  TimePoint late = Start + 2 * losses.Limits.Validity;
  evictExpiredLosses(losses, late);
  CHECK(findLosses(losses, Request, late) ==
        RequestLosses{{{ServerA, "self", true}, Start}});
  CHECK(removeLoss(losses, Request, ServerA));
  CHECK_FALSE(removeLoss(losses, Request, ServerA));
  CHECK(losses.Requests.empty());
}

TEST_CASE("A loss of another process lapses, also if it is written again",
          "[quarantine]") {
  ServerLosses losses = makeLosses();
  CHECK_FALSE(applyLosses(losses, Request, {OtherLoss}, Start));
  CHECK_FALSE(applyLosses(losses, Request, {OtherLoss}, Start + Millis(4000)));
  CHECK(findLosses(losses, Request, Start + Millis(4999)).size() == 1);
  TimePoint late = Start + losses.Limits.Validity;
  CHECK(findLosses(losses, Request, late).empty());
  evictExpiredLosses(losses, late);
  CHECK(losses.Requests.empty());
}

TEST_CASE(
    "A record that lacks a loss, or has a withdrawn one, is written again",
    "[quarantine]") {
  ServerLosses losses = makeLosses();
  addLoss(losses, Request, ServerA, false, Start);
  CHECK(applyLosses(losses, Request, {OtherLoss}, Start));
  CHECK(findLosses(losses, Request, Start).size() == 2);
  CHECK_FALSE(applyLosses(losses, Request,
                          {OtherLoss, {ServerA, "self", false}}, Start));
  removeLoss(losses, Request, ServerA);
  CHECK(applyLosses(losses, Request, {OtherLoss, {ServerA, "self", false}},
                    Start));
  CHECK(findLosses(losses, Request, Start) ==
        RequestLosses{{OtherLoss, Start}});
  // Its holder has withdrawn it.
  CHECK_FALSE(applyLosses(losses, Request, {}, Start));
  CHECK(losses.Requests.empty());
}

} // namespace wasabi
