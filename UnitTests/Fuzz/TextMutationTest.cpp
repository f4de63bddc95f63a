/// \file
/// Damaged records, declarations, traces and outcomes are read, or rejected
/// with a position and a reason, without a crash.
#include "UnitTests/Fuzz/Mutation.h"
#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Replay/Trace.h"
#include "Wasabi/Replay/TraceExpectations.h"
#include "Wasabi/State/Fold.h"
#include "Wasabi/State/Record.h"

#include <catch2/catch.hpp>

using namespace wasabi;

namespace {

constexpr int Rounds = 4000;
constexpr std::uint64_t Seed = 20260812;

/// Checks that a rejection names the position and the reason and states that
/// nothing ran.
void checkRefusal(const Failure &why) {
  CHECK(why.Run == Verdict::NotRun);
  CHECK_FALSE(why.Place.empty());
  CHECK_FALSE(why.Reason.empty());
}

std::vector<Record> goodRecords() {
  const RecordId id{"lulea-1", 7, 3};
  const std::string preset = R"({"kind":"preset","name":"ordinary"})";
  return {
      Record{id, ConfigChange{0,
                              {"preset/peak"},
                              {{"preset/ordinary", preset}},
                              "anna",
                              "first"}},
      Record{id, ClaimAcquire{"trainer/drafting", 0, Millis(10000)}},
      Record{id, ClaimRenew{"trainer/drafting", 4}},
      Record{id, ClaimRelease{"trainer/drafting", 4}},
      Record{id, SnapshotRecord{4, std::string(32, 'a'), 9, "{}", 2}},
  };
}

} // namespace

TEST_CASE("Damaged records are read or refused, and all folds agree") {
  std::mt19937_64 engine(Seed);
  const std::vector<Record> good = goodRecords();
  FoldState left;
  FoldState right;
  for (int n = 0; n < Rounds; ++n) {
    const std::string text = fuzz::mutate(
        encodeRecord(good[static_cast<std::size_t>(n) % good.size()]), engine);
    const Outcome<Record> read =
        toOutcome<Record>([&] { return decodeRecord(text); });
    if (!read)
      checkRefusal(read.failure());
    const Offset at = left.Next;
    if (left.BlockedOffset)
      break;
    const ControlStateChange first = apply(left, at, text);
    const ControlStateChange second = apply(right, at, text);
    REQUIRE(first.ApplyStatus == second.ApplyStatus);
    if (!read)
      CHECK((first.ApplyStatus == RecordStatus::Malformed ||
             first.ApplyStatus == RecordStatus::NewerSchema));
  }
  CHECK(hashState(left) == hashState(right));
}

TEST_CASE("Damaged declarations are read or refused") {
  const std::string good =
      R"([{"kind":"service","name":"lease-desk","type":"plain",)"
      R"("placements":[{"domain":"lulea-hall","servers":1}],)"
      R"("routes":[{"method":"POST","path":"/lease","idempotent":false}]},)"
      R"({"kind":"preset","name":"peak","rollout_percent":40},)"
      R"({"kind":"switch","name":"preset","preset":"peak"}])";
  std::mt19937_64 engine(Seed);
  for (int n = 0; n < Rounds; ++n) {
    const std::string text = fuzz::mutate(good, engine);
    const Outcome<ObjectTexts> read = toOutcome<ObjectTexts>(
        [&] { return parseDeclarations("f.json", text); });
    if (!read) {
      checkRefusal(read.failure());
      continue;
    }
    const Outcome<Configuration> built =
        toOutcome<Configuration>([&] { return buildConfiguration(*read); });
    if (!built)
      checkRefusal(built.failure());
  }
}

TEST_CASE("Damaged states are read or refused") {
  FoldState state;
  for (const Record &it : goodRecords())
    apply(state, state.Next, encodeRecord(it));
  const std::string good = encodeState(state);
  std::mt19937_64 engine(Seed);
  for (int n = 0; n < Rounds; ++n) {
    const std::string text = fuzz::mutate(good, engine);
    const Outcome<FoldState> read =
        toOutcome<FoldState>([&] { return decodeState(text); });
    if (!read)
      checkRefusal(read.failure());
  }
}

TEST_CASE("Damaged traces and outcomes are read or refused") {
  const std::string line =
      R"({"wall":5,"count":1,"seq":2,"instance":"a","kind":"k",)"
      R"("fields":{"x":"1"}})";
  const std::string outcomes =
      R"({"rules":["fresh"],"bounds":{"idle_share":0.5},)"
      R"("expect":[{"kind":"k","fields":{"x":"1"},"at_least":2}]})";
  std::mt19937_64 engine(Seed);
  for (int n = 0; n < Rounds; ++n) {
    const std::string trace = fuzz::mutate(line, engine);
    const Outcome<replay::Trace> read =
        toOutcome<replay::Trace>([&] { return replay::readTrace("t", trace); });
    if (!read)
      checkRefusal(read.failure());
    const std::string against = fuzz::mutate(outcomes, engine);
    const Outcome<replay::TraceExpectations> stated =
        toOutcome<replay::TraceExpectations>(
            [&] { return replay::readExpectations("o", against); });
    if (!stated)
      checkRefusal(stated.failure());
  }
}
