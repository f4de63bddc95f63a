/// \file
/// The example traces hold, and a doctored copy of one is caught by the rule of
/// the promise that it breaks.
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

std::string textOf(const std::filesystem::path &path) {
  std::ifstream file(path, std::ios::binary);
  REQUIRE(file);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Trace traceOf(const std::string &name) {
  const Outcome<Trace> read = toOutcome<Trace>([&] {
    return readTrace(name, textOf(tracesFolder() / (name + ".jsonl")));
  });
  REQUIRE(read);
  return *read;
}

TraceExpectations outcomesOf(const std::string &name) {
  const Outcome<TraceExpectations> read = toOutcome<TraceExpectations>([&] {
    return readExpectations(name,
                            textOf(tracesFolder() / (name + ".outcomes.json")));
  });
  REQUIRE(read);
  return *read;
}

using Condition = std::function<bool(const TimelineEvent &)>;

Condition is(const std::string &kind, const std::string &key,
             const std::string &value) {
  return [=](const TimelineEvent &what) {
    return what.Kind == kind && what.field(key) == value;
  };
}

/// The position of the last event that fits.
std::size_t lastOf(const Trace &from, const Condition &fits) {
  for (std::size_t at = from.Events.size(); at-- > 0;) {
    if (fits(from.Events[at]))
      return at;
  }
  FAIL("the example trace lost the event that is to be doctored");
  return 0;
}

void setField(TimelineEvent &what, std::string_view key, std::string value) {
  for (EventField &it : what.Fields) {
    if (it.Key == key) {
      it.Value = std::move(value);
      return;
    }
  }
  FAIL("no field " << key);
}

/// A copy of an event of the trace, appended some time after the last one.
TimelineEvent &appendCopy(Trace &to, std::size_t of, Micros after) {
  TimelineEvent copy = to.Events[of];
  copy.At = to.Events.back().At;
  copy.At.Wall += static_cast<std::uint64_t>(after.count());
  copy.Sequence += 100000;
  to.Events.push_back(copy);
  return to.Events.back();
}

void requireBroken(const std::string &name, const Trace &doctored,
                   const std::string &rule) {
  const std::optional<TraceViolation> broken =
      check(makeTrace(doctored.Events), outcomesOf(name));
  REQUIRE(broken);
  INFO(describeViolation(doctored, *broken));
  CHECK(broken->Rule == rule);
  CHECK_FALSE(broken->What.Events.empty());
  CHECK_FALSE(broken->What.Reason.empty());
}

} // namespace

TEST_CASE("Every example trace holds against its outcomes") {
  std::size_t found = 0;
  for (const std::filesystem::directory_entry &it :
       std::filesystem::directory_iterator(tracesFolder())) {
    if (it.path().extension() != ".jsonl")
      continue;
    const std::string name = it.path().stem().string();
    const Trace trace = traceOf(name);
    const std::optional<TraceViolation> broken = check(trace, outcomesOf(name));
    INFO(name << ": " << (broken ? describeViolation(trace, *broken) : ""));
    CHECK_FALSE(broken);
    ++found;
  }
  CHECK(found >= 6);
}

TEST_CASE("A doctored duplicate is caught, with its causes") {
  Trace trace = traceOf("samples");
  const std::size_t first =
      lastOf(trace, is("sample.deliver", "slot", "3/0/1"));
  setField(appendCopy(trace, first, Micros(10)), "delivery", "30-9");
  requireBroken("samples", trace, "sample-once");
  const std::optional<TraceViolation> broken =
      check(trace, outcomesOf("samples"));
  REQUIRE(broken);
  CHECK(broken->What.Events ==
        std::vector<std::size_t>{first, trace.Events.size() - 1});
  // Dispatch, generation and commit of the slot lead to it.
  CHECK(broken->RelatedEvents.size() == 3);
}

TEST_CASE("A doctored label is caught") {
  Trace trace = traceOf("samples");
  SECTION("delivered with another than committed") {
    setField(trace.Events[lastOf(trace, is("sample.deliver", "slot", "3/0/1"))],
             "spans", "0-30@4,30-31@5");
  }
  SECTION("committed with another than generated") {
    setField(trace.Events[lastOf(trace, is("sample.commit", "slot", "3/0/0"))],
             "spans", "0-40@4");
  }
  SECTION("with a gap") {
    setField(trace.Events[lastOf(trace, is("sample.done", "slot", "3/1/1"))],
             "spans", "0-8@3,9-15@4");
  }
  SECTION("shorter than its text") {
    setField(trace.Events[lastOf(trace, is("sample.done", "slot", "3/1/0"))],
             "tokens", "21");
  }
  requireBroken("samples", trace, "label-true");
}

TEST_CASE("A doctored stale sample is caught") {
  Trace trace = traceOf("samples");
  SECTION("at delivery") {
    setField(trace.Events[lastOf(trace, is("sample.deliver", "slot", "3/0/0"))],
             "newest", "5");
  }
  SECTION("at commit") {
    setField(trace.Events[lastOf(trace, is("sample.commit", "slot", "3/1/1"))],
             "newest", "5");
  }
  SECTION("without a word on its freshness") {
    setField(trace.Events[lastOf(trace, is("sample.deliver", "slot", "3/0/0"))],
             "newest", "");
  }
  requireBroken("samples", trace, "fresh");
}

TEST_CASE("A doctored reverted configuration is caught") {
  Trace trace = traceOf("configuration");
  const std::size_t last = lastOf(trace, is("config.in_force", "offset", "12"));
  SECTION("an older offset in the same process") {
    setField(appendCopy(trace, last, Micros(10)), "offset", "9");
  }
  SECTION("another preset at the same offset") {
    setField(trace.Events[last], "preset", "maintenance");
  }
  SECTION("a state that the log contradicts") {
    appendCopy(trace, last, Micros(10)).Kind = "fold.diverged";
  }
  requireBroken("configuration", trace, "config-never-reverts");
}

TEST_CASE("A doctored cut stream is caught") {
  Trace trace = traceOf("requests");
  SECTION("called whole") {
    setField(trace.Events[lastOf(trace, is("attempt.end", "request", "r1"))],
             "whole", "false");
  }
  SECTION("ended without a verdict") {
    setField(trace.Events[lastOf(trace, is("request.done", "request", "r6"))],
             "verdict", "");
  }
  requireBroken("requests", trace, "answer-whole");
}

TEST_CASE("A doctored false not-run is caught") {
  Trace trace = traceOf("requests");
  SECTION("to the caller, though a daemon forwarded it") {
    setField(trace.Events[lastOf(trace, is("request.done", "request", "r5"))],
             "verdict", "not-run");
  }
  SECTION("to the caller, though it ended whole") {
    setField(trace.Events[lastOf(trace, is("request.done", "request", "r1"))],
             "verdict", "not-run");
  }
  requireBroken("requests", trace, "not-run-is-true");
}

TEST_CASE("A doctored second run of a bid is caught") {
  Trace trace = traceOf("requests");
  const std::size_t bid = lastOf(trace, is("attempt.forward", "request", "r5"));
  SECTION("the same request") {
    setField(appendCopy(trace, bid, Micros(10)), "attempt", "2");
  }
  SECTION("the same idempotency key through another entry") {
    const std::size_t asked =
        lastOf(trace, is("request.received", "request", "r5"));
    setField(appendCopy(trace, asked, Micros(10)), "request", "r9");
    setField(appendCopy(trace, bid, Micros(10)), "request", "r9");
  }
  SECTION("a first try that was not proved not to have run") {
    const std::size_t first = lastOf(trace, [](const TimelineEvent &what) {
      return what.Kind == "attempt.end" && what.field("request") == "r3" &&
             what.field("attempt") == "1";
    });
    setField(trace.Events[first], "verdict", "may-have-run");
    const std::size_t retry =
        lastOf(trace, is("request.retry", "request", "r3"));
    setField(trace.Events[retry], "verdict", "may-have-run");
  }
  requireBroken("requests", trace, "at-most-once");
}

TEST_CASE("Doctored work to a leaving upstream is caught") {
  Trace trace = traceOf("leaving");
  const std::size_t told =
      lastOf(trace, is("member.leaving", "member", "umea-1"));
  const std::size_t admit = lastOf(trace, is("attempt.admit", "request", "q3"));
  SECTION("admitted after the grace") {
    trace.Events[admit].At = trace.Events[told].At;
    trace.Events[admit].At.Wall += 3100000;
  }
  SECTION("forwarded without admission after the grace") {
    trace.Events.erase(trace.Events.begin() +
                       static_cast<std::ptrdiff_t>(admit));
    const std::size_t forward =
        lastOf(trace, is("attempt.forward", "request", "q3"));
    trace.Events[forward].At = trace.Events[told].At;
    trace.Events[forward].At.Wall += 3100000;
  }
  requireBroken("leaving", trace, "leaving-gets-no-new-work");
}

TEST_CASE("A doctored cut by a planned stop is caught") {
  Trace trace = traceOf("leaving");
  const std::size_t end = lastOf(trace, is("attempt.end", "request", "q2"));
  trace.Events.erase(trace.Events.begin() + static_cast<std::ptrdiff_t>(end));
  requireBroken("leaving", trace, "planned-stop-cuts-nothing");
}

TEST_CASE("A doctored order of a former holder is caught") {
  Trace trace = traceOf("weights");
  const std::size_t last = lastOf(trace, is("order.take", "fence", "31"));
  SECTION("an older token") {
    setField(appendCopy(trace, last, Micros(10)), "fence", "18");
  }
  SECTION("no token") { setField(trace.Events[last], "fence", ""); }
  requireBroken("weights", trace, "fences-never-go-back");
}

TEST_CASE("Too much idle time and an absent choice are caught") {
  TraceExpectations against = outcomesOf("idle");
  against.Limits.IdleShare = 0.2;
  std::optional<TraceViolation> broken = check(traceOf("idle"), against);
  REQUIRE(broken);
  CHECK(broken->Rule == "idle-share");
  against = TraceExpectations{{}, {}, {{"step.whole", {{"step", "9"}}, 1}}};
  broken = check(traceOf("idle"), against);
  REQUIRE(broken);
  CHECK(broken->Rule == "expect");
}
