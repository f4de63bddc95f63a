/// \file
/// The fold of a trainer's stream.
#include "Wasabi/Rollout/TrainerFold.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

Sample sampleOf(Slot Place, WeightVersion Version, std::string Text = "x") {
  return Sample{Place, std::move(Text), 1, {{0, 1, Version}}, 0.25, 9};
}

/// A stream under construction, with its fold.
struct Stream {
  TrainerState State;
  std::map<std::string, std::uint64_t> Sequences;

  TrainerApplyResult add(const std::string &Author, FencingToken Fence,
                         TrainerBody Body) {
    TrainerRecord record{RecordId{Author, 1, ++Sequences[Author]}, Fence,
                         std::move(Body)};
    return repeat(record);
  }
  TrainerApplyResult repeat(const TrainerRecord &Record) {
    return apply(State, State.Next, encodeTrainerRecord(Record));
  }
};

Stream opened() {
  Stream stream;
  stream.add("a", 5, OwnerStart{1});
  stream.add("a", 5, VersionPublished{3});
  stream.add("a", 5, StepOpened{7});
  return stream;
}

} // namespace

TEST_CASE("records read back as written", "[trainer-fold]") {
  const TrainerBody bodies[] = {
      OwnerStart{2},
      VersionPublished{9},
      StepOpened{4},
      SampleCommit{{sampleOf({4, 0, 1}, 9), sampleOf({4, 0, 2}, 8)}},
      SamplesDelivered{"d", {{4, 0, 1}}},
      StepClosed{4}};
  for (const TrainerBody &body : bodies) {
    TrainerRecord record{RecordId{"a", 2, 3}, 17, body};
    Outcome<TrainerRecord> back = toOutcome<TrainerRecord>(
        [&] { return decodeTrainerRecord(encodeTrainerRecord(record)); });
    REQUIRE(back);
    CHECK(*back == record);
  }
}

TEST_CASE("the first valid commit has the slot", "[trainer-fold]") {
  Stream stream = opened();
  Slot slot{7, 0, 0};
  TrainerApplyResult first =
      stream.add("a", 5, SampleCommit{{sampleOf(slot, 3, "one")}});
  TrainerApplyResult second =
      stream.add("a", 5, SampleCommit{{sampleOf(slot, 3, "two")}});
  CHECK(first.Filled == std::vector<Slot>{slot});
  CHECK(second.Dropped == std::vector<Slot>{slot});
  CHECK(stream.State.Committed.at(slot).What.Text == "one");
}

TEST_CASE("an older owner's records are void", "[trainer-fold]") {
  Stream stream = opened();
  stream.add("b", 8, OwnerStart{1});
  TrainerApplyResult late =
      stream.add("a", 5, SampleCommit{{sampleOf({7, 0, 0}, 3)}});
  CHECK(late.ApplyStatus == RecordStatus::Refused);
  CHECK(stream.State.Committed.empty());
  CHECK(stream.add("c", 9, StepOpened{8}).ApplyStatus == RecordStatus::Refused);
}

TEST_CASE("a record id is taken once", "[trainer-fold]") {
  Stream stream = opened();
  TrainerRecord record{RecordId{"a", 1, 4}, 5,
                       SampleCommit{{sampleOf({7, 0, 0}, 3)}}};
  CHECK(stream.repeat(record).ApplyStatus == RecordStatus::Accepted);
  CHECK(stream.repeat(record).ApplyStatus == RecordStatus::Duplicate);
}

TEST_CASE("a commit is judged by the version before it in the log",
          "[trainer-fold]") {
  Stream stream = opened();
  Slot slot{7, 0, 0};
  CHECK(stream.add("a", 5, SampleCommit{{sampleOf(slot, 1)}}).Dropped.size() ==
        1);
  CHECK(stream.add("a", 5, SampleCommit{{sampleOf(slot, 2)}}).Filled.size() ==
        1);
  // Undelivered, it makes place for a fresh one; delivered, it stays.
  Slot taken{7, 0, 1};
  stream.add("a", 5, SampleCommit{{sampleOf(taken, 2)}});
  stream.add("a", 5, SamplesDelivered{"d", {taken}});
  stream.add("a", 5, VersionPublished{4});
  CHECK_FALSE(stream.State.Committed.contains(slot));
  CHECK(stream.State.Committed.contains(taken));
  CHECK(stream.add("a", 5, SampleCommit{{sampleOf(slot, 4)}}).Filled.size() ==
        1);
  CHECK(stream.add("a", 5, SampleCommit{{sampleOf(taken, 4)}}).Dropped.size() ==
        1);
}

TEST_CASE("a new step forgets the old one, and never goes back",
          "[trainer-fold]") {
  Stream stream = opened();
  stream.add("a", 5, SampleCommit{{sampleOf({7, 0, 0}, 3)}});
  CHECK(stream.add("a", 5, StepOpened{7}).ApplyStatus ==
        RecordStatus::Accepted);
  CHECK(stream.State.Committed.size() == 1);
  stream.add("a", 5, StepOpened{8});
  CHECK(stream.State.Committed.empty());
  CHECK(stream.add("a", 5, StepOpened{7}).ApplyStatus == RecordStatus::Refused);
}

TEST_CASE("malformed and newer records are skipped, not applied",
          "[trainer-fold]") {
  Stream stream = opened();
  TrainerState before = stream.State;
  std::string gap = encodeTrainerRecord(TrainerRecord{
      RecordId{"a", 1, 4}, 5, SampleCommit{{sampleOf({7, 0, 0}, 3)}}});
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
