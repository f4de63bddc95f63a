#include "Wasabi/Batch/BatchRecord.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

Outcome<BatchRecord> decoded(const std::string &Text) {
  return toOutcome<BatchRecord>([&] { return decodeRecord(Text, "topic@7"); });
}

} // namespace

TEST_CASE("Each batch record reads as it was written", "[batch]") {
  BatchJob job = makeJob("a", 3);
  job.Items[1].Score = ScoreCall{"s", "h", "/p", std::string("\0x", 2)};
  std::string odd = "line\nquote\" \xff raw";
  std::vector<BatchRecord> all{JobPart{job, 0, 1},
                               ResultRecord{job.Id, makeResult(job, 2, odd)},
                               JobEnd{job.Id},
                               TextRecord{job.Id, job.Items[0].Id, 5, 0,
                                          PartialText{odd, 4, {3, 9}, true}},
                               LeaseClaim{{InstanceName("edge"), 77}},
                               LeaseRenewal{12},
                               LeaseRelease{12}};
  for (const BatchRecord &it : all) {
    Outcome<BatchRecord> again = decoded(encodeRecord(it));
    REQUIRE(again);
    CHECK(*again == it);
  }
}

TEST_CASE("A malformed batch record is an error that names its place",
          "[batch]") {
  for (const char *text :
       {"", "{", "[]", R"({"schema":1})", R"({"schema":1,"kind":"what"})",
        R"({"schema":1,"kind":"end"})", R"({"schema":1,"kind":"end","job":3})",
        R"({"schema":1,"kind":"renew","term":"x"})"}) {
    Outcome<BatchRecord> got = decoded(text);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::BadInput);
    CHECK(got.failure().Place == "topic@7");
  }
}

TEST_CASE("A record of a later release is told from a broken one", "[batch]") {
  Outcome<BatchRecord> got = decoded(R"({"schema":99,"kind":"end","job":"a"})");
  REQUIRE_FALSE(got);
  CHECK(got.failure().Code == FailureCode::NewerSchema);
}

TEST_CASE("A large job is split into records below the limit", "[batch]") {
  constexpr std::size_t Limit = 4000;
  BatchJob job = makeJob("large", 60);
  std::vector<std::string> records = encodeJob(job, Limit);
  CHECK(records.size() > 3);
  BatchFold fold;
  for (std::size_t i = 0; i < records.size(); ++i) {
    CHECK(records[i].size() <= Limit);
    CHECK(findJob(fold, job.Id) == nullptr);
    Outcome<BatchRecord> part = decoded(records[i]);
    REQUIRE(part);
    apply(fold, i, *part, TimePoint());
  }
  REQUIRE(findJob(fold, job.Id) != nullptr);
  CHECK(findJob(fold, job.Id)->Job == job);
}

} // namespace wasabi::batchtest
