/// \file
/// Tests of matching requests to services, and of whether they may be repeated.
#include "Wasabi/Routing/RouteMatch.h"

#include <catch2/catch.hpp>

namespace wasabi {
namespace {

Configuration makeConfiguration() {
  Configuration config;
  ServiceDeclaration llm;
  llm.Name = ServiceName("drafting-llm");
  llm.Model = ModelName("drafts");
  config.Services[llm.Name] = llm;
  ServiceDeclaration desk;
  desk.Name = ServiceName("lease-desk");
  desk.Kind = ServiceKind::Plain;
  desk.Routes = {{"POST", "/search", true}};
  desk.DefaultDeadline = Millis(700);
  config.Services[desk.Name] = desk;
  return config;
}

http::Request makeRequest(std::string Method, std::string Target,
                          std::vector<http::Header> Headers = {},
                          std::string Body = "") {
  return http::Request{std::move(Method), std::move(Target), std::move(Headers),
                       std::move(Body)};
}

} // namespace

TEST_CASE("A service is found by header, path or model", "[route]") {
  Configuration config = makeConfiguration();
  Outcome<RouteMatch> byHeader = matchRoute(
      config, makeRequest("GET", "/sites?x=1",
                          {{"x-service", "lease-desk"}, {"X-Caller", "crew"}}));
  REQUIRE(byHeader);
  CHECK(byHeader->Service == ServiceName("lease-desk"));
  CHECK(byHeader->Target == "/sites?x=1");
  CHECK(byHeader->Caller == "crew");
  CHECK(byHeader->Idempotent);
  CHECK(byHeader->Deadline == Millis(700));

  Outcome<RouteMatch> byPath =
      matchRoute(config, makeRequest("GET", "/services/lease-desk/sites?x=1"));
  REQUIRE(byPath);
  CHECK(byPath->Target == "/sites?x=1");
  Outcome<RouteMatch> bare =
      matchRoute(config, makeRequest("GET", "/services/lease-desk?x=1"));
  REQUIRE(bare);
  CHECK(bare->Target == "/?x=1");

  Outcome<RouteMatch> byModel = matchRoute(
      config, makeRequest("POST", "/v1/completions", {},
                          R"({"model":"drafts","prompt":"p","stream":true})"));
  REQUIRE(byModel);
  CHECK(byModel->Service == ServiceName("drafting-llm"));
  CHECK(byModel->Completion);
  CHECK(byModel->Streamed);
  CHECK(byModel->Prompt == "p");
  CHECK(byModel->Idempotent);
}

TEST_CASE("Routes and the caller decide whether a request may be repeated",
          "[route]") {
  Configuration config = makeConfiguration();
  std::vector<http::Header> named = {{"X-Service", "lease-desk"}};
  CHECK_FALSE(
      matchRoute(config, makeRequest("POST", "/quotes", named))->Idempotent);
  CHECK(matchRoute(config, makeRequest("POST", "/search/all", named))
            ->Idempotent);
  named.push_back({"X-Idempotent", "false"});
  CHECK_FALSE(
      matchRoute(config, makeRequest("GET", "/sites", named))->Idempotent);
  // A caller cannot override a route that forbids repeats.
  std::vector<http::Header> claims = {{"X-Service", "lease-desk"},
                                      {"X-Idempotent", "true"}};
  CHECK_FALSE(
      matchRoute(config, makeRequest("POST", "/quotes", claims))->Idempotent);
}

TEST_CASE("An invalid request is refused as not run", "[route]") {
  Configuration config = makeConfiguration();
  struct Row {
    http::Request Request;
    FailureCode Code;
    std::string Place;
  };
  const std::vector<Row> rows = {
      {makeRequest("GET", "/"), FailureCode::BadInput, "request"},
      {makeRequest("GET", "/services/unknown/x"), FailureCode::NoUpstream,
       "service unknown"},
      {makeRequest("POST", "/v1/completions", {}, "{"), FailureCode::BadInput,
       "body"},
      {makeRequest("POST", "/v1/completions", {}, R"({"model":"other"})"),
       FailureCode::NoUpstream, "service of model 'other'"},
      {makeRequest("GET", "/",
                   {{"X-Service", "lease-desk"}, {"X-Deadline-Ms", "0"}}),
       FailureCode::BadInput, "header X-Deadline-Ms"},
      {makeRequest("GET", "/",
                   {{"X-Service", "lease-desk"}, {"X-Deadline-Ms", "5s"}}),
       FailureCode::BadInput, "header X-Deadline-Ms"},
      {makeRequest("POST", "/",
                   {{"X-Service", "lease-desk"},
                    {"Idempotency-Key", std::string(256, 'k')}}),
       FailureCode::BadInput, "header Idempotency-Key"},
  };
  for (const Row &it : rows) {
    Outcome<RouteMatch> match = matchRoute(config, it.Request);
    INFO(it.Place);
    REQUIRE_FALSE(match);
    CHECK(match.failure().Run == Verdict::NotRun);
    CHECK(match.failure().Code == it.Code);
    CHECK(match.failure().Place == it.Place);
  }
}

} // namespace wasabi
