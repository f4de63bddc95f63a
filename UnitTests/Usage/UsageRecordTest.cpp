#include "Wasabi/Usage/UsageRecord.h"
#include "UnitTests/Core/Property.h"
#include "Wasabi/Usage/WallClock.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

Outcome<UsageRecord> tryDecode(const std::string &Text) {
  return toOutcome<UsageRecord>([&] { return decodeUsage(Text, "usage@7"); });
}

const UsageSource Edge{InstanceName("edge-1"), 1764000000123456};

} // namespace

TEST_CASE("A usage record decodes to the record that was encoded", "[usage]") {
  WallTime now(Millis(1764000000123));
  CustomerName odd("a\"b\\c");
  std::vector<UsageRecord> all{
      UsageBatch{Edge, 3, now, {{odd, now - Millis(20), 1}, {odd, now, -2}}},
      UsageBatch{Edge, 1, now, {}}, UsageLeave{Edge},
      UsageDecision{352800000, {{odd, 12}, {CustomerName("b"), 1}}},
      UsageReported{352800000}};
  for (const UsageRecord &it : all) {
    Outcome<UsageRecord> decoded = tryDecode(encodeUsage(it));
    REQUIRE(decoded);
    CHECK(*decoded == it);
  }
}

TEST_CASE("A batch of one request is encoded in at most 80 bytes", "[usage]") {
  WallTime now(Millis(1764000000123));
  UsageBatch batch{
      Edge, 4000, now, {{CustomerName("cuka620"), now - Millis(2), 1}}};
  CHECK(encodeUsage(batch).size() <= 80);
}

TEST_CASE("Decoding a malformed usage record fails with its place", "[usage]") {
  for (const char *text :
       {"", "{}", "[]", "[\"counted\"]", R"(["other",1])",
        R"(["counted",1,"edge",1,1,1,[["a"]]])", R"(["window",1,7,[]])",
        R"(["window",1,7,{"a":-1}])", R"(["told",1])"}) {
    INFO(text);
    Outcome<UsageRecord> got = tryDecode(text);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Place == "usage@7");
  }
  Outcome<UsageRecord> newer = tryDecode(R"(["told",2,7])");
  REQUIRE_FALSE(newer);
  CHECK(newer.failure().Code == FailureCode::NewerSchema);
}

TEST_CASE("Arbitrary bytes are decoded as a usage record or refused",
          "[usage]") {
  test::holds([](const std::string &Text) {
    Outcome<UsageRecord> got = tryDecode(Text);
    if (!got)
      RC_ASSERT(got.failure().Run == Verdict::NotRun);
  });
}

TEST_CASE("Consecutive windows have no gap", "[usage]") {
  constexpr Millis Length{5000};
  CHECK(windowOf(WallTime(Millis(0)), Length) == 0);
  CHECK(windowOf(WallTime(Millis(4999)), Length) == 0);
  CHECK(windowOf(WallTime(Millis(5000)), Length) == 1);
  CHECK(windowEnd(0, Length) == WallTime(Millis(5000)));
  CHECK(windowOf(windowEnd(41, Length), Length) == 42);
}

TEST_CASE("A wall clock advances from its start with monotonic time",
          "[usage]") {
  TimePoint begin(Millis(700));
  WallClock clock(begin, std::chrono::sys_time<Micros>(Millis(1764000000000)));
  CHECK(clock.at(begin) == WallTime(Millis(1764000000000)));
  CHECK(clock.at(begin + Millis(1500)) == WallTime(Millis(1764000001500)));
}

} // namespace wasabi
