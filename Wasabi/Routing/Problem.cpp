#include "Wasabi/Routing/Problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace wasabi {
namespace {

/// Retry delay of a retryable refusal that gives none.
constexpr Millis DefaultRetryAfter{1000};

unsigned notRunStatus(FailureCode Code) {
  switch (Code) {
  case FailureCode::BadInput:
    return 400;
  case FailureCode::Conflict:
  case FailureCode::StaleFence:
    return 409;
  case FailureCode::Expired:
  case FailureCode::TimedOut:
    return 504;
  case FailureCode::Internal:
    return 500;
  default:
    return 503;
  }
}

/// Returns true if the same request may succeed later.
bool isRetryable(const Failure &Why) {
  if (Why.Run != Verdict::NotRun)
    return false;
  return Why.Code != FailureCode::BadInput && Why.Code != FailureCode::Internal;
}

std::string_view titleOf(const Failure &Why) {
  switch (Why.Run) {
  case Verdict::NotRun:
    return "The request did not run";
  case Verdict::MayHaveRun:
    return "The request may have run";
  case Verdict::Ran:
    return "The request ran, and its answer was lost";
  }
  return "The request may have run";
}

} // namespace

unsigned httpStatusOf(const Failure &Why) {
  if (Why.Run == Verdict::NotRun)
    return notRunStatus(Why.Code);
  if (Why.Code == FailureCode::Conflict)
    return 409;
  // The request may be repeated with the same key after the retry delay.
  if (Why.RetryAfter > Millis(0))
    return 503;
  bool hasTimedOut =
      Why.Code == FailureCode::TimedOut || Why.Code == FailureCode::Expired;
  return hasTimedOut ? 504 : 502;
}

http::Response problemResponse(const Failure &Why) {
  Millis retry = Why.RetryAfter;
  if (retry == Millis(0) && isRetryable(Why))
    retry = DefaultRetryAfter;

  boost::json::object body;
  body["type"] = "urn:wasabisail:problem:" + std::string(toText(Why.Code));
  body["title"] = titleOf(Why);
  body["status"] = httpStatusOf(Why);
  body["detail"] = Why.Place + ": " + Why.Reason;
  body["verdict"] = toText(Why.Run);
  body["retry_after_ms"] = retry.count();

  http::Response response;
  response.Status = httpStatusOf(Why);
  response.Headers = {
      {"Content-Type", "application/problem+json"},
      {VerdictHeader, std::string(toText(Why.Run))},
  };
  if (retry > Millis(0)) {
    std::chrono::seconds seconds =
        std::chrono::ceil<std::chrono::seconds>(retry);
    response.Headers.push_back(
        {"Retry-After", std::to_string(seconds.count())});
  }
  response.Body = boost::json::serialize(body);
  return response;
}

} // namespace wasabi
