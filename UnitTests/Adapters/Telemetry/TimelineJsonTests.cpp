#include "Wasabi/Adapters/Telemetry/TimelineJson.h"

#include "Wasabi/Replay/Trace.h"

#include <catch2/catch.hpp>

using wasabi::Outcome;
using wasabi::TimelineEvent;
using wasabi::TimelinePage;
using wasabi::toOutcome;

namespace {

Outcome<TimelinePage> decode(std::string_view Text) {
  return toOutcome<TimelinePage>(
      [&] { return wasabi::decodeTimelinePage(Text, "d1"); });
}

} // namespace

TEST_CASE("A page of the time line is decoded to the encoded value") {
  wasabi::Timeline timeline("d1", {2});
  timeline.record("request.admit", {{"request", "r\"1"}, {"reason", "a\nb"}});
  timeline.record("claim.taken", {});
  timeline.record("request.done", {{"request", "r2"}});
  TimelinePage page = wasabi::makeTimelinePage(timeline, 0);
  CHECK(page.Dropped == 1);
  CHECK(page.Events.size() == 2);
  Outcome<TimelinePage> decoded = decode(wasabi::encodeTimelinePage(page));
  REQUIRE(decoded);
  CHECK(*decoded == page);
  CHECK(wasabi::makeTimelinePage(timeline, 2).Events.size() == 1);
}

TEST_CASE("Replay reads an encoded event") {
  TimelineEvent event{
      {7, 8}, 9, "d1", "sample.commit", {{"slot", "1/2/3"}, {"why", "é"}}};
  Outcome<wasabi::replay::Trace> trace = toOutcome<wasabi::replay::Trace>([&] {
    return wasabi::replay::readTrace("f", wasabi::encodeEvent(event));
  });
  REQUIRE(trace);
  CHECK(trace->Events == std::vector<TimelineEvent>{event});
}

TEST_CASE("A malformed page is refused with its place") {
  CHECK(decode("[]").failure().Place == "d1: /");
  CHECK(decode(R"({"instance":"d1","dropped":0,"events":[{}]})")
            .failure()
            .Place == "d1: /events/0/wall");
  CHECK_FALSE(decode(R"({"instance":"d1","dropped":0,"events":[{"wall":1,)"
                     R"("count":0,"seq":0,"instance":"d1","kind":"k",)"
                     R"("fields":{"a":1}}]})"));
}

TEST_CASE("A Chrome trace has one process per instance") {
  std::string text = wasabi::encodeChromeTrace(
      {{{1, 0}, 0, "d1", "a.b", {{"k", "v"}}}, {{2, 0}, 0, "d2", "a.c", {}}});
  CHECK_THAT(text, Catch::Contains(R"("args":{"name":"d2"})"));
  CHECK_THAT(text, Catch::Contains(R"("name":"a.b","cat":"a","ts":1,"pid":1)"));
}
