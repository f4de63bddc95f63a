/// \file
/// Checks that the example traces hold, and that a modified copy violates the
/// matching rule.
#include "Wasabi/Replay/Check.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>

using namespace wasabi;
using namespace wasabi::replay;

namespace {

std::filesystem::path tracesFolder() {
  return std::filesystem::path(WASABI_SOURCE_DIR) / "examples" / "traces";
}

std::string readText(const std::filesystem::path &path) {
  std::ifstream file(path, std::ios::binary);
  REQUIRE(file);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Trace loadTrace(const std::string &name) {
  const Outcome<Trace> read = toOutcome<Trace>([&] {
    return readTrace(name, readText(tracesFolder() / (name + ".jsonl")));
  });
  REQUIRE(read);
  return *read;
}

TraceExpectations loadExpectations(const std::string &name) {
  const Outcome<TraceExpectations> read = toOutcome<TraceExpectations>([&] {
    return readExpectations(
        name, readText(tracesFolder() / (name + ".outcomes.json")));
  });
  REQUIRE(read);
  return *read;
}

using Condition = std::function<bool(const TimelineEvent &)>;

Condition hasField(const std::string &kind, const std::string &key,
                   const std::string &value) {
  return [=](const TimelineEvent &event) {
    return event.Kind == kind && event.field(key) == value;
  };
}

/// Returns the position of the last event that satisfies the condition.
std::size_t findLast(const Trace &trace, const Condition &condition) {
  for (std::size_t at = trace.Events.size(); at-- > 0;) {
    if (condition(trace.Events[at]))
      return at;
  }
  FAIL("the example trace lacks the event to modify");
  return 0;
}

void setField(TimelineEvent &event, std::string_view key, std::string value) {
  for (EventField &it : event.Fields) {
    if (it.Key == key) {
      it.Value = std::move(value);
      return;
    }
  }
  FAIL("no field " << key);
}

/// Appends a copy of an event, `after` microseconds after the last event.
TimelineEvent &appendCopy(Trace &trace, std::size_t index, Micros after) {
  TimelineEvent copy = trace.Events[index];
  copy.At = trace.Events.back().At;
  copy.At.Wall += static_cast<std::uint64_t>(after.count());
  copy.Sequence += 100000;
  trace.Events.push_back(copy);
  return trace.Events.back();
}

void requireViolation(const std::string &name, const Trace &modified,
                      const std::string &rule) {
  const std::optional<TraceViolation> violation =
      check(makeTrace(modified.Events), loadExpectations(name));
  REQUIRE(violation);
  INFO(describeViolation(modified, *violation));
  CHECK(violation->Rule == rule);
  CHECK_FALSE(violation->Details.Events.empty());
  CHECK_FALSE(violation->Details.Reason.empty());
}

} // namespace

TEST_CASE("Every example trace meets its expected outcomes") {
  std::size_t found = 0;
  for (const std::filesystem::directory_entry &it :
       std::filesystem::directory_iterator(tracesFolder())) {
    if (it.path().extension() != ".jsonl")
      continue;
    const std::string name = it.path().stem().string();
    const Trace trace = loadTrace(name);
    const std::optional<TraceViolation> violation =
        check(trace, loadExpectations(name));
    INFO(name << ": "
              << (violation ? describeViolation(trace, *violation) : ""));
    CHECK_FALSE(violation);
    ++found;
  }
  CHECK(found >= 6);
}

TEST_CASE("A duplicate delivery is reported with its related events") {
  Trace trace = loadTrace("samples");
  const std::size_t first =
      findLast(trace, hasField("sample.deliver", "slot", "3/0/1"));
  setField(appendCopy(trace, first, Micros(10)), "delivery", "30-9");
  requireViolation("samples", trace, "sample-once");
  const std::optional<TraceViolation> violation =
      check(trace, loadExpectations("samples"));
  REQUIRE(violation);
  CHECK(violation->Details.Events ==
        std::vector<std::size_t>{first, trace.Events.size() - 1});
  // The dispatch, generation and commit of the slot.
  CHECK(violation->RelatedEvents.size() == 3);
}

TEST_CASE("A changed or invalid label is reported") {
  Trace trace = loadTrace("samples");
  SECTION("delivered with another than committed") {
    setField(trace.Events[findLast(
                 trace, hasField("sample.deliver", "slot", "3/0/1"))],
             "spans", "0-30@4,30-31@5");
  }
  SECTION("committed with another than generated") {
    setField(trace.Events[findLast(trace,
                                   hasField("sample.commit", "slot", "3/0/0"))],
             "spans", "0-40@4");
  }
  SECTION("with a gap") {
    setField(
        trace.Events[findLast(trace, hasField("sample.done", "slot", "3/1/1"))],
        "spans", "0-8@3,9-15@4");
  }
  SECTION("shorter than its text") {
    setField(
        trace.Events[findLast(trace, hasField("sample.done", "slot", "3/1/0"))],
        "tokens", "21");
  }
  requireViolation("samples", trace, "label-true");
}

TEST_CASE("A stale sample is reported") {
  Trace trace = loadTrace("samples");
  SECTION("at delivery") {
    setField(trace.Events[findLast(
                 trace, hasField("sample.deliver", "slot", "3/0/0"))],
             "newest", "5");
  }
  SECTION("at commit") {
    setField(trace.Events[findLast(trace,
                                   hasField("sample.commit", "slot", "3/1/1"))],
             "newest", "5");
  }
  SECTION("without the newest version") {
    setField(trace.Events[findLast(
                 trace, hasField("sample.deliver", "slot", "3/0/0"))],
             "newest", "");
  }
  requireViolation("samples", trace, "fresh");
}

TEST_CASE("A reverted or diverged configuration is reported") {
  Trace trace = loadTrace("configuration");
  const std::size_t last =
      findLast(trace, hasField("config.in_force", "offset", "12"));
  SECTION("an older offset in the same process") {
    setField(appendCopy(trace, last, Micros(10)), "offset", "9");
  }
  SECTION("another preset at the same offset") {
    setField(trace.Events[last], "preset", "maintenance");
  }
  SECTION("a state that the log contradicts") {
    appendCopy(trace, last, Micros(10)).Kind = "fold.diverged";
  }
  requireViolation("configuration", trace, "config-never-reverts");
}

TEST_CASE("A truncated response is reported") {
  Trace trace = loadTrace("requests");
  SECTION("called whole") {
    setField(
        trace.Events[findLast(trace, hasField("attempt.end", "request", "r1"))],
        "whole", "false");
  }
  SECTION("ended without a verdict") {
    setField(trace.Events[findLast(trace,
                                   hasField("request.done", "request", "r6"))],
             "verdict", "");
  }
  requireViolation("requests", trace, "answer-whole");
}

TEST_CASE("A false not-run verdict is reported") {
  Trace trace = loadTrace("requests");
  SECTION("to the caller, though a daemon forwarded it") {
    setField(trace.Events[findLast(trace,
                                   hasField("request.done", "request", "r5"))],
             "verdict", "not-run");
  }
  SECTION("to the caller, though it ended whole") {
    setField(trace.Events[findLast(trace,
                                   hasField("request.done", "request", "r1"))],
             "verdict", "not-run");
  }
  requireViolation("requests", trace, "not-run-is-true");
}

TEST_CASE("A second run of a non-idempotent request is reported") {
  Trace trace = loadTrace("requests");
  const std::size_t bid =
      findLast(trace, hasField("attempt.forward", "request", "r5"));
  SECTION("the same request") {
    setField(appendCopy(trace, bid, Micros(10)), "attempt", "2");
  }
  SECTION("the same idempotency key through another entry") {
    const std::size_t receivedIndex =
        findLast(trace, hasField("request.received", "request", "r5"));
    setField(appendCopy(trace, receivedIndex, Micros(10)), "request", "r9");
    setField(appendCopy(trace, bid, Micros(10)), "request", "r9");
  }
  SECTION("a first try that was not proved not to have run") {
    const std::size_t first = findLast(trace, [](const TimelineEvent &event) {
      return event.Kind == "attempt.end" && event.field("request") == "r3" &&
             event.field("attempt") == "1";
    });
    setField(trace.Events[first], "verdict", "may-have-run");
    const std::size_t retry =
        findLast(trace, hasField("request.retry", "request", "r3"));
    setField(trace.Events[retry], "verdict", "may-have-run");
  }
  requireViolation("requests", trace, "at-most-once");
}

TEST_CASE("New work for a leaving instance is reported") {
  Trace trace = loadTrace("leaving");
  const std::size_t leavingIndex =
      findLast(trace, hasField("member.leaving", "member", "umea-1"));
  const std::size_t admit =
      findLast(trace, hasField("attempt.admit", "request", "q3"));
  SECTION("admitted after the grace") {
    trace.Events[admit].At = trace.Events[leavingIndex].At;
    trace.Events[admit].At.Wall += 3100000;
  }
  SECTION("forwarded without admission after the grace") {
    trace.Events.erase(trace.Events.begin() +
                       static_cast<std::ptrdiff_t>(admit));
    const std::size_t forward =
        findLast(trace, hasField("attempt.forward", "request", "q3"));
    trace.Events[forward].At = trace.Events[leavingIndex].At;
    trace.Events[forward].At.Wall += 3100000;
  }
  requireViolation("leaving", trace, "leaving-gets-no-new-work");
}

TEST_CASE("Unfinished work at a planned stop is reported") {
  Trace trace = loadTrace("leaving");
  const std::size_t end =
      findLast(trace, hasField("attempt.end", "request", "q2"));
  trace.Events.erase(trace.Events.begin() + static_cast<std::ptrdiff_t>(end));
  requireViolation("leaving", trace, "planned-stop-cuts-nothing");
}

TEST_CASE("An order with a stale or missing token is reported") {
  Trace trace = loadTrace("weights");
  const std::size_t last =
      findLast(trace, hasField("order.take", "fence", "31"));
  SECTION("an older token") {
    setField(appendCopy(trace, last, Micros(10)), "fence", "18");
  }
  SECTION("no token") { setField(trace.Events[last], "fence", ""); }
  requireViolation("weights", trace, "fences-never-go-back");
}

TEST_CASE("Excessive idle time and a missing expected event are reported") {
  TraceExpectations expectations = loadExpectations("idle");
  expectations.Limits.IdleShare = 0.2;
  std::optional<TraceViolation> violation =
      check(loadTrace("idle"), expectations);
  REQUIRE(violation);
  CHECK(violation->Rule == "idle-share");
  expectations =
      TraceExpectations{{}, {}, {{"step.whole", {{"step", "9"}}, 1}}};
  violation = check(loadTrace("idle"), expectations);
  REQUIRE(violation);
  CHECK(violation->Rule == "expect");
}
