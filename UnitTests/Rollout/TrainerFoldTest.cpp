/// \file
/// Tests the records of a trainer's stream and their fold.
#include "Wasabi/Rollout/TrainerFold.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

Sample makeSample(Slot Place, WeightVersion Version, std::string Text = "x") {
  return Sample{Place, std::move(Text), 1, {{0, 1, Version}}, 0.25, 9};
}

/// Appends records to a stream and folds them.
struct FoldedStream {
  TrainerState State;
  std::map<std::string, std::uint64_t> Sequences;

  TrainerApplyResult add(const std::string &Author, FencingToken Fence,
                         TrainerBody Body) {
    TrainerRecord record{RecordId{Author, 1, ++Sequences[Author]}, Fence,
                         std::move(Body)};
    return addRecord(record);
  }
  TrainerApplyResult addRecord(const TrainerRecord &Record) {
    return apply(State, State.Next, encodeTrainerRecord(Record));
  }
};

FoldedStream makeOpenStream() {
  FoldedStream stream;
  stream.add("a", 5, OwnerStart{1});
  stream.add("a", 5, VersionPublished{3});
  stream.add("a", 5, StepOpened{7});
  return stream;
}

} // namespace

TEST_CASE("records are decoded as encoded", "[trainer-fold]") {
  const TrainerBody bodies[] = {
      OwnerStart{2},
      VersionPublished{9},
      StepOpened{4},
      SampleCommit{{makeSample({4, 0, 1}, 9), makeSample({4, 0, 2}, 8)}},
      SamplesDelivered{"d", {{4, 0, 1}}},
      StepClosed{4}};
  for (const TrainerBody &body : bodies) {
    TrainerRecord record{RecordId{"a", 2, 3}, 17, body};
    Outcome<TrainerRecord> decoded = toOutcome<TrainerRecord>(
        [&] { return decodeTrainerRecord(encodeTrainerRecord(record)); });
    REQUIRE(decoded);
    CHECK(*decoded == record);
  }
}

TEST_CASE("the first valid commit fills the slot", "[trainer-fold]") {
  FoldedStream stream = makeOpenStream();
  Slot slot{7, 0, 0};
  TrainerApplyResult first =
      stream.add("a", 5, SampleCommit{{makeSample(slot, 3, "one")}});
  TrainerApplyResult second =
      stream.add("a", 5, SampleCommit{{makeSample(slot, 3, "two")}});
  CHECK(first.Filled == std::vector<Slot>{slot});
  CHECK(second.Dropped == std::vector<Slot>{slot});
  CHECK(stream.State.Committed.at(slot).Content.Text == "one");
}

TEST_CASE("records of an earlier owner are refused", "[trainer-fold]") {
  FoldedStream stream = makeOpenStream();
  stream.add("b", 8, OwnerStart{1});
  TrainerApplyResult refused =
      stream.add("a", 5, SampleCommit{{makeSample({7, 0, 0}, 3)}});
  CHECK(refused.ApplyStatus == RecordStatus::Refused);
  CHECK(stream.State.Committed.empty());
  CHECK(stream.add("c", 9, StepOpened{8}).ApplyStatus == RecordStatus::Refused);
}

TEST_CASE("a record id is applied once", "[trainer-fold]") {
  FoldedStream stream = makeOpenStream();
  TrainerRecord record{RecordId{"a", 1, 4}, 5,
                       SampleCommit{{makeSample({7, 0, 0}, 3)}}};
  CHECK(stream.addRecord(record).ApplyStatus == RecordStatus::Accepted);
  CHECK(stream.addRecord(record).ApplyStatus == RecordStatus::Duplicate);
}

TEST_CASE("a commit is checked against the version before it in the log",
          "[trainer-fold]") {
  FoldedStream stream = makeOpenStream();
  Slot slot{7, 0, 0};
  CHECK(
      stream.add("a", 5, SampleCommit{{makeSample(slot, 1)}}).Dropped.size() ==
      1);
  CHECK(stream.add("a", 5, SampleCommit{{makeSample(slot, 2)}}).Filled.size() ==
        1);
  // A publication frees the slot of a stale undelivered sample; a delivered
  // sample stays.
  Slot delivered{7, 0, 1};
  stream.add("a", 5, SampleCommit{{makeSample(delivered, 2)}});
  stream.add("a", 5, SamplesDelivered{"d", {delivered}});
  stream.add("a", 5, VersionPublished{4});
  CHECK_FALSE(stream.State.Committed.contains(slot));
  CHECK(stream.State.Committed.contains(delivered));
  CHECK(stream.add("a", 5, SampleCommit{{makeSample(slot, 4)}}).Filled.size() ==
        1);
  CHECK(stream.add("a", 5, SampleCommit{{makeSample(delivered, 4)}})
            .Dropped.size() == 1);
}

TEST_CASE("a new step discards the old one, which cannot be reopened",
          "[trainer-fold]") {
  FoldedStream stream = makeOpenStream();
  stream.add("a", 5, SampleCommit{{makeSample({7, 0, 0}, 3)}});
  CHECK(stream.add("a", 5, StepOpened{7}).ApplyStatus ==
        RecordStatus::Accepted);
  CHECK(stream.State.Committed.size() == 1);
  stream.add("a", 5, StepOpened{8});
  CHECK(stream.State.Committed.empty());
  CHECK(stream.add("a", 5, StepOpened{7}).ApplyStatus == RecordStatus::Refused);
}

TEST_CASE("malformed and newer records are skipped", "[trainer-fold]") {
  FoldedStream stream = makeOpenStream();
  TrainerState before = stream.State;
  std::string gap = encodeTrainerRecord(TrainerRecord{
      RecordId{"a", 1, 4}, 5, SampleCommit{{makeSample({7, 0, 0}, 3)}}});
  gap.replace(gap.find("\"to\":1"), 6, "\"to\":2");
  for (const std::string &bad : {std::string("{"), std::string("[]"), gap})
    CHECK(apply(stream.State, stream.State.Next, bad).ApplyStatus ==
          RecordStatus::Malformed);
  CHECK(apply(stream.State, stream.State.Next, "{\"schema\":99,\"kind\":\"x\"}")
            .ApplyStatus == RecordStatus::NewerSchema);
  before.Next = stream.State.Next;
  CHECK(stream.State == before);
}

} // namespace wasabi
