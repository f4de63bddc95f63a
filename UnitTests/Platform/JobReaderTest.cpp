#include "platform/JobReader.h"

#include <catch2/catch.hpp>

namespace wasabi::platform {

namespace {

/// Returns the job, or the failure.
Outcome<BatchJob> read(const std::string &Text, JobLimits Limits = {}) {
  return toOutcome<BatchJob>([&] { return readJob(Text, "job", Limits); });
}

Failure readFailure(const std::string &Text, JobLimits Limits = {}) {
  Outcome<BatchJob> got = read(Text, Limits);
  REQUIRE_FALSE(got);
  CHECK(got.failure().Run == Verdict::NotRun);
  return got.failure();
}

std::string repeat(const std::string &Part, std::size_t Count) {
  std::string text;
  for (std::size_t i = 0; i < Count; ++i)
    text += (i == 0 ? "" : ",") + Part;
  return text;
}

const std::string Item = R"({"id":"a","path":"/p"})";

} // namespace

TEST_CASE("All members of a job are read", "[platform]") {
  Outcome<BatchJob> got = read(
      R"({"step":7,"model":"m","min_version":6,"target_groups":2,"x":[{"id":1}],
      "items":[{"id":"a\n\u00e9","path":"\/p","group":"g","tokens":9.5,
      "headers":{"A":"1","B":"2","A":"3"},"body":"q83v",
      "scorer_url":{"id":"s","host":"h","path":"/q","body":"3q2+","x":null}},
      {"path":"/r","id":"b"}]} )");
  REQUIRE(got);
  CHECK(got->Step == 7);
  CHECK(got->Model == ModelName("m"));
  CHECK(got->MinVersion == 6);
  CHECK(got->TargetGroups == 2);
  REQUIRE(got->Items.size() == 2);
  const BatchItem &item = got->Items[0];
  CHECK(item.Id == ItemId("a\n\xc3\xa9"));
  CHECK(item.Path == "/p");
  CHECK(item.Group == "g");
  CHECK(item.Body == "\xab\xcd\xef");
  CHECK(item.Headers == std::vector<ForwardedHeader>{{"B", "2"}, {"A", "3"}});
  REQUIRE(item.Score);
  CHECK(*item.Score == ScoreRequest{"s", "h", "/q", "\xde\xad\xbe"});
  CHECK(got->Items[1].Id == ItemId("b"));
  CHECK(got->Items[1].Headers.empty());
  CHECK_FALSE(got->Items[1].Score);
}

TEST_CASE("A text that is no job is rejected with its place", "[platform]") {
  CHECK(readFailure("").Reason.starts_with("is not JSON"));
  CHECK(readFailure("[1,2]").Reason == "must be an object");
  CHECK(readFailure("7").Reason == "must be an object");
  CHECK(readFailure(R"({"items":[]} x)").Reason.starts_with("is not JSON"));
  CHECK(readFailure("{}").Place == "job: /items");
  CHECK(readFailure(R"({"items":{}})").Reason == "must be an array");
  CHECK(readFailure(R"({"items":[],"step":-1})").Place == "job: /step");
  CHECK(readFailure(R"({"items":[],"step":1.5})").Reason ==
        "must be a whole number");
  CHECK(readFailure(R"({"items":[],"model":1})").Place == "job: /model");
  CHECK(readFailure(R"({"items":[1]})").Reason == "must be an object");
  CHECK(readFailure(R"({"items":[)" + Item + R"(,{"id":"b"}]})").Place ==
        "job: /items/1/path");
  CHECK(readFailure(R"({"items":[{"id":"a","path":"p","body":"*"}]})").Reason ==
        "is not base64");
  CHECK(readFailure(R"({"items":[{"id":"a","path":"p","headers":{"A":1}}]})")
            .Place == "job: /items/0/A");
  CHECK(readFailure(
            R"({"items":[{"id":"a","path":"p","scorer_url":{"id":"s"}}]})")
            .Place == "job: /items/0/scorer_url/host");
  CHECK(readFailure(std::string(100000, '[')).Code == FailureCode::BadInput);
}

// Guards against a job that takes many times the memory of its text.
TEST_CASE("A job is bounded in its items and its memory", "[platform]") {
  JobLimits limits;
  limits.MaxItems = 3;
  CHECK(read("{\"items\":[" + repeat(Item, 3) + "]}", limits));
  Failure failure =
      readFailure("{\"items\":[" + repeat(Item, 4) + "]}", limits);
  CHECK(failure.Code == FailureCode::Overloaded);
  limits = JobLimits();
  limits.MaxBytes = 100000;
  CHECK(read("{\"items\":[" + repeat(Item, 100) + "]}", limits));
  failure = readFailure("{\"items\":[" + repeat(Item, 400) + "]}", limits);
  CHECK(failure.Code == FailureCode::Overloaded);
  failure = readFailure(R"({"items":[{"id":"a","path":"p","headers":{)" +
                            repeat(R"("a":"")", 1000) + "}}]}",
                        limits);
  CHECK(failure.Code == FailureCode::Overloaded);
}

// Guards against a job of a legal size that is denied on a small machine.
TEST_CASE("The texts of a job do not count against its limits", "[platform]") {
  JobLimits limits;
  limits.MaxBytes = 1000;
  std::string body(100000, 'A');
  Outcome<BatchJob> got = read(
      R"({"items":[{"id":"a","path":"p","body":")" + body + "\"}]}", limits);
  REQUIRE(got);
  CHECK(got->Items[0].Body.size() == body.size() / 4 * 3);
}

// Values that are not part of a job take no memory, whatever their number.
TEST_CASE("Unknown members of a job are skipped", "[platform]") {
  JobLimits limits;
  limits.MaxBytes = 1000;
  CHECK(read(R"({"x":[)" + repeat("1", 100000) + R"(],"items":[)" + Item +
                 R"(],"y":{"z":")" + std::string(100000, 'z') + "\"}}",
             limits));
}

} // namespace wasabi::platform
