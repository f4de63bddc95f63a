/// \file
/// Tests of the error responses to callers.
#include "Wasabi/Routing/Problem.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <catch2/catch.hpp>

namespace wasabi {

TEST_CASE("A refusal carries its verdict and a retry delay", "[verdict]") {
  Failure why{Verdict::NotRun, FailureCode::Overloaded, "server a", "full",
              Millis(1200)};
  http::Response response = problemResponse(why);
  CHECK(response.Status == 503);
  CHECK(response.header(VerdictHeader) == "not-run");
  CHECK(response.header("Retry-After") == "2");
  CHECK(response.header("Content-Type") == "application/problem+json");
  boost::json::value body = boost::json::parse(response.Body);
  CHECK(body.at("type").as_string() == "urn:wasabisail:problem:overloaded");
  CHECK(body.at("status").as_int64() == 503);
  CHECK(body.at("verdict").as_string() == "not-run");
  CHECK(body.at("detail").as_string() == "server a: full");
  CHECK(body.at("retry_after_ms").as_int64() == 1200);
  CHECK(body.at("title").is_string());
}

TEST_CASE("Each failure maps to its HTTP status", "[verdict]") {
  struct Row {
    Verdict Run;
    FailureCode Code;
    unsigned Status;
    bool HasRetryAfter;
  };
  const std::vector<Row> rows = {
      {Verdict::NotRun, FailureCode::BadInput, 400, false},
      {Verdict::NotRun, FailureCode::Conflict, 409, true},
      {Verdict::NotRun, FailureCode::Unreachable, 503, true},
      {Verdict::NotRun, FailureCode::NoUpstream, 503, true},
      {Verdict::NotRun, FailureCode::Leaving, 503, true},
      {Verdict::NotRun, FailureCode::Overloaded, 503, true},
      {Verdict::NotRun, FailureCode::Expired, 504, true},
      {Verdict::MayHaveRun, FailureCode::ConnectionLost, 502, false},
      {Verdict::MayHaveRun, FailureCode::TimedOut, 504, false},
      {Verdict::MayHaveRun, FailureCode::Conflict, 409, false},
      {Verdict::Ran, FailureCode::ConnectionLost, 502, false},
      {Verdict::Ran, FailureCode::TimedOut, 504, false},
  };
  for (const Row &it : rows) {
    INFO(toText(it.Run) << " " << toText(it.Code));
    http::Response response =
        problemResponse(Failure{it.Run, it.Code, "place", "reason", {}});
    CHECK(response.Status == it.Status);
    CHECK(response.header(VerdictHeader) == toText(it.Run));
    CHECK(response.header("Retry-After").empty() != it.HasRetryAfter);
  }
}

TEST_CASE("A failure with a retry delay maps to 503 with Retry-After",
          "[verdict]") {
  http::Response response =
      problemResponse(Failure{Verdict::MayHaveRun, FailureCode::Unreachable,
                              "daemon", "gone", Millis(1000)});
  CHECK(response.Status == 503);
  CHECK(response.header(VerdictHeader) == "may-have-run");
  CHECK(response.header("Retry-After") == "1");
}

} // namespace wasabi
