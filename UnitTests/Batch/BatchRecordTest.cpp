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
  job.Items[1].Score = ScoreRequest{"s", "h", "/p", std::string("\0x", 2)};
  std::string odd = "line\nquote\" \xff raw";
  ResultRecord stored{job.Id, makeResult(job, 1, "")};
  stored.Result.OutputLocation = {{7, 9000}, {8, 12}};
  std::vector<BatchRecord> all{
      JobPart{job, 0, 1},
      ResultRecord{job.Id, makeResult(job, 2, odd)},
      stored,
      JobEnd{job.Id},
      PartialTextRecord{job.Id, job.Items[0].Id, 5, 0,
                        PartialText{odd, 4, {3, 9}, true}},
      LeaseClaim{{InstanceName("edge"), 77}},
      LeaseClaim{{InstanceName("edge"), 77}, 41},
      LeaseRenewal{12, {InstanceName("edge"), 77}},
      LeaseRelease{12}};
  for (const BatchRecord &it : all) {
    Outcome<BatchRecord> again = decoded(encodeRecord(it));
    REQUIRE(again);
    CHECK(*again == it);
  }
}

TEST_CASE("A record names its job's customer, and one without is read by the "
          "release before",
          "[batch]") {
  JobId named("a", CustomerName("anna"));
  BatchJob job = makeJob("a", 1);
  job.Id = named;
  std::vector<BatchRecord> all{
      JobPart{job, 0, 1}, ResultRecord{named, makeResult(job, 0, "x")},
      JobEnd{named},
      PartialTextRecord{named, job.Items[0].Id, 5, 0,
                        PartialText{"x", 1, {1}, false}}};
  for (const BatchRecord &it : all) {
    std::string text = encodeRecord(it);
    CHECK(text.find('3') != std::string::npos);
    Outcome<BatchRecord> again = decoded(text);
    REQUIRE(again);
    CHECK(*again == it);
  }
  CHECK(encodeRecord(JobEnd{JobId("a")}) ==
        R"({"kind":"end","schema":2,"job":"a"})");
}

TEST_CASE("Records of which there are thousands are short", "[batch]") {
  // A step of 112 items on the largest deployment known, names as there.
  const std::string id = "7c41e09b52d6a3f8";
  ResultRecord result{JobId(id), {}};
  result.Result = {ItemId(id), ItemStatus::Completed,      "",
                   {106, 107}, "3e1b.07.5a2.600.c9f2a4d1", {{123456, 38000}}};
  CHECK(encodeRecord(result).size() <= 125);
  PartialTextRecord text{
      JobId(id),       ItemId(id), 4000000000, 64, {"", 72, {106}, false},
      {{123456, 8000}}};
  CHECK(encodeRecord(text).size() <= 110);
  JobPart part{makeJob(id, 0), 0, 1, {{123456, 60000}}};
  std::size_t head = encodeRecord(part).size();
  BatchItem item;
  item.Id = ItemId(id);
  item.Group = "g1002a";
  item.ExpectedTokens = 1160;
  part.Job.Items = {item};
  CHECK(encodeRecord(part).size() - head <= 40);
}

TEST_CASE("A malformed batch record is an error that names its place",
          "[batch]") {
  for (const char *text :
       {"", "{", "[]", R"({"schema":1})", R"({"schema":1,"kind":"what"})",
        R"({"schema":1,"kind":"end"})", R"({"schema":1,"kind":"end","job":3})",
        R"({"schema":1,"kind":"renew","term":"x"})", R"(["result"])",
        R"(["result",2,"a"])", R"(["what",2])", R"([7,2])",
        R"(["text",2,"a","b",1,0,"t",[],1,"no",[1]])"}) {
    Outcome<BatchRecord> got = decoded(text);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::BadInput);
    CHECK(got.failure().Place == "topic@7");
  }
}

TEST_CASE("A record of a later release is told from a broken one", "[batch]") {
  for (const char *text : {R"({"schema":99,"kind":"end","job":"a"})",
                           R"(["result",99,"a","b"])"}) {
    Outcome<BatchRecord> got = decoded(text);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::NewerSchema);
  }
}

TEST_CASE("A large job is split into payloads and records below the limit",
          "[batch]") {
  constexpr std::size_t Limit = 4000;
  BatchJob job = makeJob("large", 60);
  std::vector<JobPart> parts = splitJob(job, Limit);
  CHECK(parts.size() > 3);
  BatchState fold;
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    payloads.push_back(encodeItems(parts[i].Job.Items));
    CHECK(payloads.back().size() <= Limit);
    parts[i].ItemsLocation = {{100 + i, payloads.back().size()}};
    std::string record = encodeRecord(parts[i]);
    CHECK(record.size() <= Limit);
    CHECK(record.find("X-Any") == std::string::npos);
    CHECK(findJob(fold, job.Id) == nullptr);
    Outcome<BatchRecord> part = decoded(record);
    REQUIRE(part);
    apply(fold, i, *part, TimePoint());
  }
  std::shared_ptr<JobState> known = findJob(fold, job.Id);
  REQUIRE(known != nullptr);
  REQUIRE(known->ItemLocations.size() == job.Items.size());
  for (std::size_t i = 0; i < job.Items.size(); ++i) {
    CHECK(known->Job.Items[i].Id == job.Items[i].Id);
    CHECK(known->Job.Items[i].Group == job.Items[i].Group);
    const ItemLocation &place = known->ItemLocations[i];
    REQUIRE(place.Items.size() == 1);
    Outcome<std::vector<BatchItem>> items = toOutcome<std::vector<BatchItem>>(
        [&] { return decodeItems(payloads.at(place.Items[0].At - 100), "p"); });
    REQUIRE(items);
    CHECK(items->at(place.Index) == job.Items[i]);
  }
}

TEST_CASE("A payload that is no list of items is an error with its place",
          "[batch]") {
  for (const char *text : {"", "{}", "[1]", R"([{"id":"a"}])"}) {
    Outcome<std::vector<BatchItem>> got = toOutcome<std::vector<BatchItem>>(
        [&] { return decodeItems(text, "payload@3"); });
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::BadInput);
    CHECK(got.failure().Place == "payload@3");
  }
}

} // namespace wasabi::batchtest
