/// \file
/// Which service a request is for, and whether it may be repeated.
#include "Wasabi/Routing/RouteMatch.h"

#include <catch2/catch.hpp>

namespace wasabi {
namespace {

Configuration declared() {
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

http::Request ask(std::string Method, std::string Target,
                  std::vector<http::Header> Headers = {},
                  std::string Body = "") {
  return http::Request{std::move(Method), std::move(Target), std::move(Headers),
                       std::move(Body)};
}

} // namespace

TEST_CASE("A service is found by header, path or model", "[route]") {
  Configuration config = declared();
  Outcome<RouteMatch> byHeader = matchRoute(
      config, ask("GET", "/sites?x=1",
                  {{"x-service", "lease-desk"}, {"X-Caller", "crew"}}));
  REQUIRE(byHeader);
  CHECK(byHeader->Service == ServiceName("lease-desk"));
  CHECK(byHeader->Target == "/sites?x=1");
  CHECK(byHeader->Caller == "crew");
  CHECK(byHeader->Idempotent);
  CHECK(byHeader->Deadline == Millis(700));

  Outcome<RouteMatch> byPath =
      matchRoute(config, ask("GET", "/services/lease-desk/sites?x=1"));
  REQUIRE(byPath);
  CHECK(byPath->Target == "/sites?x=1");
  Outcome<RouteMatch> bare =
      matchRoute(config, ask("GET", "/services/lease-desk?x=1"));
  REQUIRE(bare);
  CHECK(bare->Target == "/?x=1");

  Outcome<RouteMatch> byModel = matchRoute(
      config, ask("POST", "/v1/completions", {},
                  R"({"model":"drafts","prompt":"p","stream":true})"));
  REQUIRE(byModel);
  CHECK(byModel->Service == ServiceName("drafting-llm"));
  CHECK(byModel->Completion);
  CHECK(byModel->Streamed);
  CHECK(byModel->Prompt == "p");
  CHECK(byModel->Idempotent);
}

TEST_CASE("What may be repeated follows routes and the caller", "[route]") {
  Configuration config = declared();
  std::vector<http::Header> named = {{"X-Service", "lease-desk"}};
  CHECK_FALSE(matchRoute(config, ask("POST", "/quotes", named))->Idempotent);
  CHECK(matchRoute(config, ask("POST", "/search/all", named))->Idempotent);
  named.push_back({"X-Idempotent", "false"});
  CHECK_FALSE(matchRoute(config, ask("GET", "/sites", named))->Idempotent);
  // A caller cannot make a call repeatable that its route says is not.
  std::vector<http::Header> claims = {{"X-Service", "lease-desk"},
                                      {"X-Idempotent", "true"}};
  CHECK_FALSE(matchRoute(config, ask("POST", "/quotes", claims))->Idempotent);
}

TEST_CASE("A request that cannot be understood did not run", "[route]") {
  Configuration config = declared();
  struct Row {
    http::Request Ask;
    FailureCode Code;
    std::string Place;
  };
  const std::vector<Row> rows = {
      {ask("GET", "/"), FailureCode::BadInput, "request"},
      {ask("GET", "/services/unknown/x"), FailureCode::NoUpstream,
       "service unknown"},
      {ask("POST", "/v1/completions", {}, "{"), FailureCode::BadInput, "body"},
      {ask("POST", "/v1/completions", {}, R"({"model":"other"})"),
       FailureCode::NoUpstream, "service of model 'other'"},
      {ask("GET", "/", {{"X-Service", "lease-desk"}, {"X-Deadline-Ms", "0"}}),
       FailureCode::BadInput, "header X-Deadline-Ms"},
      {ask("GET", "/", {{"X-Service", "lease-desk"}, {"X-Deadline-Ms", "5s"}}),
       FailureCode::BadInput, "header X-Deadline-Ms"},
      {ask("POST", "/",
           {{"X-Service", "lease-desk"},
            {"Idempotency-Key", std::string(256, 'k')}}),
       FailureCode::BadInput, "header Idempotency-Key"},
  };
  for (const Row &it : rows) {
    Outcome<RouteMatch> match = matchRoute(config, it.Ask);
    INFO(it.Place);
    REQUIRE_FALSE(match);
    CHECK(match.failure().Run == Verdict::NotRun);
    CHECK(match.failure().Code == it.Code);
    CHECK(match.failure().Place == it.Place);
  }
}

} // namespace wasabi
