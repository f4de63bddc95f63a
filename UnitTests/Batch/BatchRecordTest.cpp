#include "Wasabi/Batch/BatchRecord.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

Outcome<BatchRecord> decodeText(const std::string &Text) {
  return toOutcome<BatchRecord>([&] { return decodeRecord(Text, "topic@7"); });
}

} // namespace

TEST_CASE("Each batch record is decoded as it was encoded", "[batch]") {
  BatchJob job = makeJob("a", 3);
  job.Items[1].Score = ScoreRequest{"s", "h", "/p", std::string("\0x", 2)};
  std::string unusualText = "line\nquote\" \xff raw";
  ResultRecord stored{job.Id, makeResult(job, 1, "")};
  stored.Result.OutputLocation = {{7, 9000}, {8, 12}};
  std::vector<BatchRecord> all{
      JobPart{job, 0, 1},
      ResultRecord{job.Id, makeResult(job, 2, unusualText)},
      stored,
      JobEnd{job.Id},
      PartialTextRecord{job.Id, job.Items[0].Id, 5, 0,
                        PartialText{unusualText, 4, {3, 9}, true}},
      LeaseClaim{{InstanceName("edge"), 77}},
      LeaseClaim{{InstanceName("edge"), 77}, 41},
      LeaseRenewal{12, {InstanceName("edge"), 77}},
      LeaseRelease{12}};
  for (const BatchRecord &it : all) {
    Outcome<BatchRecord> redecoded = decodeText(encodeRecord(it));
    REQUIRE(redecoded);
    CHECK(*redecoded == it);
  }
}

TEST_CASE("A record names its job's customer, and one without a customer is "
          "readable by the previous release",
          "[batch]") {
  JobId customerJob("a", CustomerName("anna"));
  BatchJob job = makeJob("a", 1);
  job.Id = customerJob;
  std::vector<BatchRecord> all{
      JobPart{job, 0, 1}, ResultRecord{customerJob, makeResult(job, 0, "x")},
      JobEnd{customerJob},
      PartialTextRecord{customerJob, job.Items[0].Id, 5, 0,
                        PartialText{"x", 1, {1}, false}}};
  for (const BatchRecord &it : all) {
    std::string text = encodeRecord(it);
    CHECK(text.find('3') != std::string::npos);
    Outcome<BatchRecord> redecoded = decodeText(text);
    REQUIRE(redecoded);
    CHECK(*redecoded == it);
  }
  CHECK(encodeRecord(JobEnd{JobId("a")}) ==
        R"({"kind":"end","schema":2,"job":"a"})");
}

// Guards against jobs that are lost or misread when two releases run together.
TEST_CASE("Items are readable with and without their token counts", "[batch]") {
  BatchJob job = makeJob("a", 2);
  job.Items[0].PromptTokens = 540;
  job.Items[0].MaxOutputTokens = 400;
  job.Items[1].PromptTokens = 7;
  Outcome<BatchRecord> inlined = decodeText(encodeRecord(JobPart{job, 0, 1}));
  REQUIRE(inlined);
  CHECK(std::get<JobPart>(*inlined).Job == job);
  Outcome<std::vector<BatchItem>> stored = toOutcome<std::vector<BatchItem>>(
      [&] { return decodeItems(encodeItems(job.Items), "p"); });
  REQUIRE(stored);
  CHECK(*stored == job.Items);
  // As the previous release writes it.
  const std::string old =
      R"([{"id":"a-0","path":"/p","headers":[],"body":"","group":"g",)"
      R"("expect":1E2}])";
  Outcome<std::vector<BatchItem>> before =
      toOutcome<std::vector<BatchItem>>([&] { return decodeItems(old, "p"); });
  REQUIRE(before);
  CHECK(before->at(0).ExpectedTokens == 100);
  CHECK(before->at(0).PromptTokens == 0);
  CHECK(before->at(0).MaxOutputTokens == 0);
  // Without the counts, the record is the same as before.
  CHECK(encodeItems(*before) == old);
}

TEST_CASE("Frequent records are short", "[batch]") {
  // Ids and sizes as in a large deployment.
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
  std::size_t emptyBytes = encodeRecord(part).size();
  BatchItem item;
  item.Id = ItemId(id);
  item.Group = "g1002a";
  item.ExpectedTokens = 1160;
  part.Job.Items = {item};
  CHECK(encodeRecord(part).size() - emptyBytes <= 40);
}

TEST_CASE("A malformed batch record is an error that names its location",
          "[batch]") {
  for (const char *text :
       {"", "{", "[]", R"({"schema":1})", R"({"schema":1,"kind":"what"})",
        R"({"schema":1,"kind":"end"})", R"({"schema":1,"kind":"end","job":3})",
        R"({"schema":1,"kind":"renew","term":"x"})", R"(["result"])",
        R"(["result",2,"a"])", R"(["what",2])", R"([7,2])",
        R"(["text",2,"a","b",1,0,"t",[],1,"no",[1]])"}) {
    Outcome<BatchRecord> got = decodeText(text);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::BadInput);
    CHECK(got.failure().Place == "topic@7");
  }
}

TEST_CASE("A record of a later release is distinguished from a malformed one",
          "[batch]") {
  for (const char *text : {R"({"schema":99,"kind":"end","job":"a"})",
                           R"(["result",99,"a","b"])"}) {
    Outcome<BatchRecord> got = decodeText(text);
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::NewerSchema);
  }
}

TEST_CASE("A large job is split into payloads and records within the limit",
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
    Outcome<BatchRecord> part = decodeText(record);
    REQUIRE(part);
    apply(fold, i, *part, TimePoint());
  }
  std::shared_ptr<JobState> state = findJob(fold, job.Id);
  REQUIRE(state != nullptr);
  REQUIRE(state->ItemLocations.size() == job.Items.size());
  for (std::size_t i = 0; i < job.Items.size(); ++i) {
    CHECK(state->Job.Items[i].Id == job.Items[i].Id);
    CHECK(state->Job.Items[i].Group == job.Items[i].Group);
    const ItemLocation &location = state->ItemLocations[i];
    REQUIRE(location.Items.size() == 1);
    Outcome<std::vector<BatchItem>> items =
        toOutcome<std::vector<BatchItem>>([&] {
          return decodeItems(payloads.at(location.Items[0].At - 100), "p");
        });
    REQUIRE(items);
    CHECK(items->at(location.Index) == job.Items[i]);
  }
}

TEST_CASE(
    "A payload that is not a list of items is an error that names its location",
    "[batch]") {
  for (const char *text : {"", "{}", "[1]", R"([{"id":"a"}])"}) {
    Outcome<std::vector<BatchItem>> got = toOutcome<std::vector<BatchItem>>(
        [&] { return decodeItems(text, "payload@3"); });
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::BadInput);
    CHECK(got.failure().Place == "payload@3");
  }
}

// Guards against jobs whose admission is lost in the record, or misread when
// two releases run together.
TEST_CASE("A record tells under which configuration its job was admitted",
          "[batch]") {
  BatchJob job = makeJob("a", 1);
  job.AdmittedUnder = 41;
  std::string text = encodeRecord(JobPart{job, 0, 1});
  Outcome<BatchRecord> redecoded = decodeText(text);
  REQUIRE(redecoded);
  CHECK(std::get<JobPart>(*redecoded).Job.AdmittedUnder == 41);
  // As an earlier release writes it.
  const std::string member = R"("config":41,)";
  REQUIRE(text.find(member) != std::string::npos);
  text.erase(text.find(member), member.size());
  Outcome<BatchRecord> before = decodeText(text);
  REQUIRE(before);
  CHECK(std::get<JobPart>(*before).Job.AdmittedUnder == 0);
}

// Guards against a step of the size that callers may send which takes memory
// and time with the square of its items.
TEST_CASE("The parts of a large job hold no room for the items of others",
          "[batch]") {
  constexpr std::size_t Items = 1024;
  BatchJob job = makeJob("a", Items);
  for (BatchItem &it : job.Items)
    it.Body = std::string(2000, 'x');
  std::vector<JobPart> parts = splitJob(job, 6000);
  CHECK(parts.size() > Items / 4);
  std::size_t room = 0;
  std::size_t items = 0;
  for (const JobPart &it : parts) {
    room += it.Job.Items.capacity();
    items += it.Job.Items.size();
  }
  CHECK(items == Items);
  CHECK(room <= 2 * Items);
}

} // namespace wasabi::batchtest
