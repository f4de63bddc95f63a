#include "platform/Frontend.h"

#include "UnitTests/Adapters/Http/HttpFixture.h"

namespace wasabi::platform {

namespace {

constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;

/// A frontend whose configuration is as new as `CurrentAsOf`, until it is read.
struct FrontendFixture : http::HttpFixture {
  FleetView View;
  AccessSettings Access;
  Metrics Counts;
  std::shared_ptr<DecisionLog> Decisions;
  std::optional<TimePoint> CurrentAsOf;
  /// Effect of a read of the configuration; returns whether it succeeds.
  std::function<bool()> OnRead = [] { return true; };
  std::size_t Reads = 0;

  FrontendFixture() {
    DecisionLog::Settings limits;
    limits.Descriptor = -1;
    Decisions = DecisionLog::create(Context, limits);
    noteAnswer(View.Contact, monotonicNow());
    ConfigurationReader reader{[this] { return CurrentAsOf; },
                               [this] { return read(); }};
    serve(makeFrontendHandler({View, nullptr, nullptr, [] { return false; },
                               KeyDigester::create().value(), Access, Decisions,
                               Counts, reader}));
  }

  boost::asio::awaitable<Outcome<Done>> read() {
    ++Reads;
    if (OnRead())
      co_return Done{};
    co_return Failure{
        Verdict::NotRun, FailureCode::TimedOut, "store", "no answer", {}};
  }

  /// Replaces the configuration by one with an idempotent route for `Prefix` to
  /// a service without servers.
  void configure(const std::string &Prefix) {
    RouteTable table;
    table.Version = View.Routes ? View.Routes->Version + 1 : 1;
    UpstreamRoute route;
    route.Host = "host.example";
    route.Prefix = Prefix;
    table.Routes = {route};
    View.Routes = std::make_shared<const RouteTable>(std::move(table));
  }

  /// Replaces the configuration by one that requires keys and has no customer.
  void requireKeys() {
    RouteTable table = *View.Routes;
    table.Customers = CustomerTable::create({});
    View.Routes = std::make_shared<const RouteTable>(std::move(table));
  }

  /// `Key` is sent unless it is empty.
  http::Response get(const std::string &Path, const std::string &Key = "") {
    http::Response response;
    run([&]() -> boost::asio::awaitable<void> {
      http::Request request;
      request.Method = "GET";
      request.Target = Path;
      request.Headers.push_back({"Host", "host.example"});
      if (!Key.empty())
        request.Headers.push_back({"Wasabisail-Key", Key});
      Outcome<http::Response> got = co_await TestClient->call(
          Serving->address(), std::move(request), Millis(5000));
      REQUIRE(got);
      response = *got;
    });
    Context.restart();
    return response;
  }
};

} // namespace

TEST_CASE("A process without a configuration refuses with a retry delay",
          "[platform]") {
  // Guards against a caller that retries before the processes of a new
  // deployment have read their configuration.
  http::HttpFixture fixture;
  FleetView view;
  AccessSettings access;
  Metrics counts;
  fixture.serve(makeFrontendHandler({view,
                                     nullptr,
                                     nullptr,
                                     [] { return false; },
                                     KeyDigester::create().value(),
                                     access,
                                     nullptr,
                                     counts,
                                     {}}));
  fixture.run([&]() -> boost::asio::awaitable<void> {
    http::Request request;
    request.Method = "GET";
    request.Target = "/any/";
    request.Headers.push_back({"Host", "host.example"});
    Outcome<http::Response> got = co_await fixture.TestClient->call(
        fixture.Serving->address(), std::move(request), Millis(5000));
    REQUIRE(got);
    CHECK(got->Status == 503);
    CHECK(got->header("Retry-After") == "0.300");
  });
}

// Guards against a final 404 for a route that other processes serve already.
TEST_CASE("A path without a route is denied only by a current configuration",
          "[platform]") {
  FrontendFixture fixture;
  fixture.configure("/old/");
  fixture.CurrentAsOf = monotonicNow();
  SECTION("The store has no newer configuration") {
    CHECK(fixture.get("/new/").Status == NotFound);
    CHECK(fixture.Reads == 1);
  }
  SECTION("The configuration is current") {
    fixture.CurrentAsOf = monotonicNow() + Millis(60000);
    CHECK(fixture.get("/new/").Status == NotFound);
    CHECK(fixture.Reads == 0);
  }
  SECTION("The configuration cannot be read") {
    fixture.OnRead = [] { return false; };
    CHECK(fixture.get("/new/").Status == ServiceUnavailable);
  }
  SECTION("The store has the route, which needs a key") {
    fixture.OnRead = [&fixture] {
      fixture.configure("/new/");
      fixture.requireKeys();
      return true;
    };
    CHECK(fixture.get("/new/").Status == Unauthorized);
  }
}

// Guards against a final 401 for a key that a newer configuration has.
TEST_CASE("A key is denied only by a current configuration", "[platform]") {
  FrontendFixture fixture;
  fixture.configure("/old/");
  fixture.requireKeys();
  fixture.CurrentAsOf = monotonicNow();
  CHECK(fixture.get("/old/", "key").Status == Unauthorized);
  CHECK(fixture.Reads == 1);
  fixture.OnRead = [] { return false; };
  CHECK(fixture.get("/old/", "key").Status == ServiceUnavailable);
  CHECK(fixture.get("/api/lots/a", "key").Status == ServiceUnavailable);
  CHECK(fixture.Reads == 3);
}

// Guards against a final 401 for a request without a key whose path a newer
// configuration makes public, as for the results of a job that was accepted.
TEST_CASE("A path that a newer configuration makes public is not denied",
          "[platform]") {
  constexpr unsigned BadRequest = 400;
  FrontendFixture fixture;
  fixture.configure("/old/");
  fixture.requireKeys();
  fixture.CurrentAsOf = monotonicNow();
  SECTION("The store has no newer configuration") {
    CHECK(fixture.get("/old/open/").Status == Unauthorized);
    CHECK(fixture.get("/api/lots/a").Status == Unauthorized);
    CHECK(fixture.Reads == 2);
  }
  SECTION("The store has a public route") {
    fixture.OnRead = [&] {
      RouteTable table = *fixture.View.Routes;
      UpstreamRoute route = table.Routes.front();
      route.Prefix = "/old/open/";
      route.Kind = RouteKind::Rollout;
      route.Public = true;
      table.Version = 2;
      table.Routes.push_back(route);
      fixture.View.Routes = std::make_shared<const RouteTable>(table);
      return true;
    };
    // The submission is granted, and has no job.
    CHECK(fixture.get("/old/open/").Status == BadRequest);
    CHECK(fixture.Reads == 1);
  }
  SECTION("The configuration cannot be read") {
    fixture.OnRead = [] { return false; };
    CHECK(fixture.get("/old/open/").Status == ServiceUnavailable);
    CHECK(fixture.get("/api/lots/a").Status == ServiceUnavailable);
  }
  SECTION("The store is away") {
    fixture.View.Contact.Lost = true;
    CHECK(fixture.get("/old/open/").Status == Unauthorized);
    CHECK(fixture.Reads == 0);
  }
}

// Guards against a job that is submitted or looked up without its customer, as
// its key is newer than the configuration in use and its route is public.
TEST_CASE("An unknown key is looked up in a current configuration",
          "[platform]") {
  constexpr unsigned BadRequest = 400;
  FrontendFixture fixture;
  fixture.configure("/open/");
  fixture.requireKeys();
  RouteTable table = *fixture.View.Routes;
  table.Routes.front().Public = true;
  SECTION("For a job") {
    table.Routes.front().Kind = RouteKind::Rollout;
    fixture.View.Routes = std::make_shared<const RouteTable>(table);
    fixture.CurrentAsOf = monotonicNow();
    // A submission that is granted has no job.
    CHECK(fixture.get("/open/", "key").Status == BadRequest);
    CHECK(fixture.Reads == 1);
    fixture.OnRead = [] { return false; };
    CHECK(fixture.get("/open/", "key").Status == ServiceUnavailable);
    CHECK(fixture.get("/api/lots/a", "key").Status == ServiceUnavailable);
    CHECK(fixture.get("/open/").Status == BadRequest);
    CHECK(fixture.Reads == 3);
    fixture.View.Contact.Lost = true;
    CHECK(fixture.get("/open/", "key").Status == ServiceUnavailable);
    CHECK(fixture.Reads == 3);
  }
  SECTION("For a request") {
    table.Routes.front().Kind = RouteKind::Idempotent;
    fixture.View.Routes = std::make_shared<const RouteTable>(table);
    fixture.CurrentAsOf = monotonicNow();
    fixture.OnRead = [&] {
      // The newest configuration no longer has the route.
      fixture.configure("/other/");
      return true;
    };
    CHECK(fixture.get("/open/", "key").Status == NotFound);
    CHECK(fixture.Reads == 2);
  }
}

// Guards against large bodies that are received although no configuration
// allows their request.
TEST_CASE("A request is denied from its head as by the handler", "[platform]") {
  FrontendFixture fixture;
  fixture.configure("/old/");
  fixture.CurrentAsOf = monotonicNow();
  http::HeadCheck check = makeFrontendHeadCheck(
      {fixture.View, nullptr, nullptr, [] { return false; },
       KeyDigester::create().value(), fixture.Access, fixture.Decisions,
       fixture.Counts,
       ConfigurationReader{[&] { return fixture.CurrentAsOf; },
                           [&] { return fixture.read(); }}});
  auto statusOf = [&](const std::string &Path) {
    unsigned status = 0;
    fixture.run([&]() -> boost::asio::awaitable<void> {
      http::Request head;
      head.Method = "POST";
      head.Target = Path;
      head.Headers.push_back({"Host", "host.example"});
      std::optional<http::Response> refusal = co_await check(head);
      status = refusal ? refusal->Status : 0;
    });
    fixture.Context.restart();
    return status;
  };
  CHECK(statusOf("/old/x") == 0);
  CHECK(statusOf("/new/x") == NotFound);
  CHECK(fixture.Reads == 1);
  fixture.OnRead = [] { return false; };
  CHECK(statusOf("/new/x") == ServiceUnavailable);
  fixture.OnRead = [&fixture] {
    fixture.configure("/new/");
    return true;
  };
  CHECK(statusOf("/new/x") == 0);
  fixture.OnRead = [] { return true; };
  fixture.requireKeys();
  CHECK(statusOf("/new/x") == Unauthorized);
}

} // namespace wasabi::platform
