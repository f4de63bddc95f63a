/// \file
/// What a caller is told of a failure.
#include "Wasabi/Routing/Problem.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <catch2/catch.hpp>

namespace wasabi {

TEST_CASE("A refusal tells its verdict, and when to come back", "[verdict]") {
  Failure why{Verdict::NotRun, FailureCode::Overloaded, "server a", "full",
              Millis(1200)};
  http::Response told = problemResponse(why);
  CHECK(told.Status == 503);
  CHECK(told.header(VerdictHeader) == "not-run");
  CHECK(told.header("Retry-After") == "2");
  CHECK(told.header("Content-Type") == "application/problem+json");
  boost::json::value body = boost::json::parse(told.Body);
  CHECK(body.at("type").as_string() == "urn:wasabisail:problem:overloaded");
  CHECK(body.at("status").as_int64() == 503);
  CHECK(body.at("verdict").as_string() == "not-run");
  CHECK(body.at("detail").as_string() == "server a: full");
  CHECK(body.at("retry_after_ms").as_int64() == 1200);
  CHECK(body.at("title").is_string());
}

TEST_CASE("Each failure has its status", "[verdict]") {
  struct Row {
    Verdict Run;
    FailureCode Code;
    unsigned Status;
    bool ComeBack;
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
    http::Response told =
        problemResponse(Failure{it.Run, it.Code, "place", "reason", {}});
    CHECK(told.Status == it.Status);
    CHECK(told.header(VerdictHeader) == toText(it.Run));
    CHECK(told.header("Retry-After").empty() != it.ComeBack);
  }
}

TEST_CASE("What may be asked again with its key is told so", "[verdict]") {
  http::Response told =
      problemResponse(Failure{Verdict::MayHaveRun, FailureCode::Unreachable,
                              "daemon", "gone", Millis(1000)});
  CHECK(told.Status == 503);
  CHECK(told.header(VerdictHeader) == "may-have-run");
  CHECK(told.header("Retry-After") == "1");
}

} // namespace wasabi
