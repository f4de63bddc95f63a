/// \file
/// Checks that the outcome checks of chaos runs find each violation, on made-up
/// records with one violation each.
#include "IntegrationTests/Chaos/AnswerCheck.h"
#include "IntegrationTests/Chaos/Tally.h"

#include <catch2/catch.hpp>

using namespace wasabi::chaos;

namespace {

constexpr std::uint64_t Begin = 1000000;

CallerRecord makeCall(CallKind kind, CallOutcome end, std::uint64_t begun) {
  CallerRecord record;
  record.Mark = kind == CallKind::Read ? "/items/1" : "/bids/1";
  record.Kind = kind;
  record.End = end;
  record.Begun = begun;
  record.Ended = begun + 1000;
  return record;
}

UpstreamRun run(std::uint64_t started) {
  return {"/bids/1", "lease-desk-1", started};
}

Tally check(const std::vector<CallerRecord> &seen,
            const std::vector<UpstreamRun> &runs) {
  Tally sum;
  checkCallers(sum, seen, runs);
  return sum;
}

} // namespace

TEST_CASE("The chaos check counts the outcomes of callers", "[judge]") {
  const Tally sum =
      check({makeCall(CallKind::Read, CallOutcome::Whole, Begin),
             makeCall(CallKind::Write, CallOutcome::MayHaveRun, Begin),
             makeCall(CallKind::Read, CallOutcome::NotRun, Begin)},
            {run(Begin + 10)});
  CHECK(sum.Requests == 3);
  CHECK(sum.Whole == 1);
  CHECK(sum.MayHaveRun == 1);
  CHECK(sum.NotRun == 1);
  CHECK(hasNoViolations(sum));
}

TEST_CASE("A false not-run is found, also if the request runs later",
          "[judge]") {
  const CallerRecord refused =
      makeCall(CallKind::Write, CallOutcome::NotRun, Begin);
  CHECK(check({refused}, {run(Begin + 10)}).FalseNotRun == 1);
  CHECK(check({refused}, {run(Begin + 9000000)}).FalseNotRun == 1);
  CHECK_FALSE(hasNoViolations(check({refused}, {run(Begin + 10)})));
  // A repeat with the key may run the request; the refused attempt must not
  // have.
  const CallerRecord again =
      makeCall(CallKind::KeyedWrite, CallOutcome::Whole, Begin + 5000);
  const CallerRecord first =
      makeCall(CallKind::KeyedWrite, CallOutcome::NotRun, Begin);
  CHECK(check({first, again}, {run(Begin + 5100)}).FalseNotRun == 0);
  CHECK(check({first, again}, {run(Begin + 500)}).FalseNotRun == 1);
}

TEST_CASE("A second run is a violation only if repeats are not allowed",
          "[judge]") {
  const std::vector<UpstreamRun> twice = {run(Begin), run(Begin + 5)};
  CHECK(
      check({makeCall(CallKind::Write, CallOutcome::MayHaveRun, Begin)}, twice)
          .DoubleRuns == 1);
  CHECK(
      check({makeCall(CallKind::KeyedWrite, CallOutcome::Whole, Begin)}, twice)
          .DoubleRuns == 1);
  CHECK(check({makeCall(CallKind::Read, CallOutcome::Whole, Begin)},
              {{"/items/1", "a", Begin}, {"/items/1", "b", Begin}})
            .DoubleRuns == 0);
}

TEST_CASE("Requests that a planned stop cuts off or takes late are found",
          "[judge]") {
  PlannedStop stop{Begin, Begin + 9000000, true, true, {"lease-desk-1"}};
  const std::vector<CallerRecord> cut = {
      makeCall(CallKind::Read, CallOutcome::MayHaveRun, Begin + 100)};
  Tally sum;
  checkPlannedStops(sum, {stop}, cut, {});
  CHECK(sum.InterruptedByPlannedStop == 1);
  // Together with other faults, the stop cannot be identified as the cause.
  stop.WithoutOtherFaults = false;
  Tally other;
  checkPlannedStops(other, {stop}, cut, {});
  CHECK(other.InterruptedByPlannedStop == 0);
  // Work that arrives within the grace period is correct, later work is not.
  Tally late;
  checkPlannedStops(
      late, {stop}, {},
      {run(Begin + DrainGraceMicros),
       run(Begin + DrainGraceMicros + 1),
       {"/bids/2", "lease-desk-2", Begin + DrainGraceMicros + 1}});
  CHECK(late.RunsAfterDrain == 1);
  stop.WithoutOtherFaults = true;
  stop.ExitedCleanly = false;
  Tally hung;
  checkPlannedStops(hung, {stop}, {}, {});
  CHECK_FALSE(hasNoViolations(hung));
}

TEST_CASE("The figures of a trainer's record are read unchanged", "[judge]") {
  Tally sum;
  checkTrainerTruth(sum, TrainerTruth{64, 0, 0, 0, 5, 4});
  CHECK(hasNoViolations(sum));
  checkTrainerTruth(sum, TrainerTruth{64, 1, 2, 3, 6, 4});
  CHECK(sum.Samples == 128);
  CHECK(sum.Duplicates == 1);
  CHECK(sum.Stale == 2);
  CHECK(sum.Mislabelled == 3);
  CHECK(sum.Missing == 1);
}

TEST_CASE("Wrong and truncated answers are found", "[judge]") {
  const std::string answer =
      R"({"service":"s","method":"GET","path":"/items/1",)"
      R"("body_hash":"ef46db3751d8e999","run":3})";
  CHECK(findPlainAnswerError(answer, "GET", "/items/1", "").empty());
  CHECK_FALSE(findPlainAnswerError(answer, "GET", "/items/2", "").empty());
  CHECK_FALSE(findPlainAnswerError(answer, "POST", "/items/1", "").empty());
  CHECK_FALSE(findPlainAnswerError(answer, "GET", "/items/1", "x").empty());
  CHECK_FALSE(findPlainAnswerError("{", "GET", "/items/1", "").empty());
  CHECK_FALSE(findStreamError("", "p", 1).empty());
  CHECK_FALSE(findStreamError("data: [DONE]\n\n", "p", 1).empty());
  CHECK_FALSE(findStreamError("data: {\"position\":1,\"tokens\":1,\"text\":\" "
                              "000000\",\"weights_version\":1}\n\n",
                              "p", 1)
                  .empty());
  CHECK_FALSE(findCompletionError(R"({"text":" 000000","tokens":1,"spans":[)"
                                  R"({"from":0,"to":1,"weights_version":1}]})",
                                  "p", 1)
                  .empty());
}
