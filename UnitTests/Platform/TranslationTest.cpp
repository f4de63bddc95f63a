#include "platform/BatchWire.h"
#include "platform/BootSettings.h"
#include "platform/Decoding.h"
#include "platform/EngineClient.h"
#include "platform/ReportClient.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <catch2/catch.hpp>

namespace wasabi::platform {

namespace {

constexpr const char *Settings = R"({
  "node_name": "edge-1", "zone": "hall", "ip": "10.1.0.35", "new": [1],
  "listen": {"front": "10.1.0.35:8144", "ready_addr": "10.1.0.35:8140"},
  "bounds": {"grace_s": 6, "lease_ms": 3000},
  "platform": {"address": "10.200.1.7:8142", "record_bytes": 4096}})";

constexpr const char *Routes = R"({"version":7,"routes":[
  {"name":"r1","host":"h","path_prefix":"/a/","kind":"idempotent",
   "timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"s1",
   "max_attempts":4},
  {"name":"r2","host":"h","path_prefix":"/b/","kind":"rollout",
   "timeout_ms":10000,"target_latency_ms":400,"retention_s":40.0,
   "result_deadline_ms":7500,"single_version":true,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":3}],
  "services":[{"name":"s1","health_path":"/health","max_connections":150,
   "engine":{"slots":8,"models":[{"name":"m0"},{"name":"m1"}],"most":12}},
   {"name":"s2"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":33554432,
   "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

constexpr const char *Job = R"({"step":7,"model":"m0","min_version":6,
  "target_groups":12,"items":[{"id":"i1","path":"/p/3",
  "headers":{"Wasabisail-Token-Usage":"540,400","X":"y"},"body":"q83v",
  "tokens":940,"group":"g1","scorer_url":{"id":"s1","host":"h",
  "path":"/s","body":"3q0="}},{"id":"i2","path":"/p/4",
  "headers":{"Wasabisail-Length-Hint":"25.5"},"body":"","group":"g1"}]})";

template <typename T, typename Body> Outcome<T> outcomeOf(const Body &Of) {
  return toOutcome<T>([&] { return Of(); });
}

const KeyDigester &keys() {
  static const KeyDigester Keys = KeyDigester::create().value();
  return Keys;
}

http::Request submission(std::string Body) {
  http::Request ask;
  ask.Method = "POST";
  ask.Target = "/b/1";
  ask.Headers = {{"Host", "h"}, {"Wasabisail-Request-Id", "job-1"}};
  ask.Body = std::move(Body);
  return ask;
}

/// All events of some pieces of a stream.
Outcome<std::vector<EngineEvent>>
eventsOf(const std::vector<std::string> &Pieces) {
  std::vector<EngineEvent> events;
  EventBuffer buffer;
  for (const std::string &piece : Pieces) {
    buffer.Rest += piece;
    for (;;) {
      Outcome<std::optional<EngineEvent>> event = takeEvent(buffer);
      if (!event)
        return event.failure();
      if (!*event)
        break;
      events.push_back(**event);
    }
  }
  return events;
}

} // namespace

TEST_CASE("The platform's settings are read, and unknown ones passed over",
          "[platform]") {
  Outcome<BootSettings> got = outcomeOf<BootSettings>(
      [] { return parseBootSettings(Settings, "local.json"); });
  REQUIRE(got);
  CHECK(got->Instance.Text == "edge-1");
  CHECK(got->Domain.Text == "hall");
  CHECK(got->Callers == Address{"10.1.0.35", 8144});
  CHECK(got->Store == Address{"10.200.1.7", 8142});
  CHECK(got->RecordBytes == 4096);
  CHECK(got->StopGracePeriod == Millis(6000));
  CHECK_FALSE(got->Engine.has_value());
}

TEST_CASE("Settings say what is reported to the platform", "[platform]") {
  CHECK_FALSE(outcomeOf<BootSettings>([] {
                return parseBootSettings(Settings, "local.json");
              })->Reports);
  std::string text = Settings;
  text.insert(text.rfind('}'),
              R"(,"cloud_api":{"address":"10.200.0.177:8147","rate_per_s":50.0,
      "duties":["usage_report","autoscale"],"duty_per_s":25.5})");
  std::string bounds = R"("lease_ms": 3000)";
  text.replace(text.find(bounds), bounds.size(),
               R"("lease_ms": 2500, "report_window_s": 7, "usage_late_s": 9,
      "usage_tolerance": 0.02, "strict_revoke": true, "revoke_ms": 4000)");
  Outcome<BootSettings> got = outcomeOf<BootSettings>(
      [&] { return parseBootSettings(text, "local.json"); });
  REQUIRE(got);
  REQUIRE(got->Reports);
  CHECK(*got->Reports == ReportSettings{Address{"10.200.0.177", 8147}, true,
                                        true, 25.5, Millis(7000), Millis(9000),
                                        0.02, Millis(2500)});
  CHECK(got->Access == AccessSettings{true, Millis(4000)});
  for (const char *wrong :
       {R"("duty_per_s":25.5)", R"("address":"10.200.0.177:8147")",
        R"("usage_tolerance": 0.02)", R"("report_window_s": 7)"}) {
    std::string broken = text;
    std::string member(wrong);
    broken.replace(broken.find(member), member.size(),
                   member.substr(0, member.find(':')) + ":\"?\"");
    Outcome<BootSettings> refused = outcomeOf<BootSettings>(
        [&] { return parseBootSettings(broken, "local.json"); });
    REQUIRE_FALSE(refused);
    CHECK(refused.failure().Place.starts_with("local.json"));
  }
}

TEST_CASE("Equal reports have equal bytes", "[platform]") {
  UsageDecision what{353445120,
                     {{CustomerName("seje681"), 3}, {CustomerName("cuka"), 1}}};
  CHECK(encodeUsageReport(what) ==
        R"({"window":353445120,"counts":{"cuka":1,"seje681":3}})");
  CHECK(encodeUsageReport({7, {}}) == R"({"window":7,"counts":{}})");
}

TEST_CASE("A settings file that is wrong is named with its member",
          "[platform]") {
  std::string text = Settings;
  std::string broken = text;
  broken.replace(broken.find("10.200.1.7:8142"), 15, "store.example:1");
  for (const std::string &it : {std::string("{"), std::string("{}"), broken}) {
    Outcome<BootSettings> got = outcomeOf<BootSettings>(
        [&] { return parseBootSettings(it, "local.json"); });
    REQUIRE_FALSE(got);
    CHECK(got.failure().Code == FailureCode::BadInput);
    CHECK(got.failure().Place.starts_with("local.json"));
  }
}

TEST_CASE("The operator's configuration becomes the route table",
          "[platform]") {
  Outcome<RouteTable> got = outcomeOf<RouteTable>(
      [] { return decodeRoutes(Routes, "config", keys()); });
  REQUIRE(got);
  CHECK(got->Version == 7);
  REQUIRE(got->Routes.size() == 2);
  CHECK(got->Routes[0].Kind == RouteKind::Idempotent);
  CHECK(got->Routes[0].MaxAttempts == 4);
  CHECK(got->Routes[1].Kind == RouteKind::Rollout);
  CHECK(got->Routes[1].SingleVersion);
  CHECK(got->Routes[1].Retention == Millis(40000));
  CHECK(got->Routes[1].Services.size() == 2);
  REQUIRE(findService(*got, ServiceName("s1"))->Engine.has_value());
  CHECK(findService(*got, ServiceName("s1"))->Engine->Models.size() == 2);
  CHECK_FALSE(findService(*got, ServiceName("s2"))->Engine.has_value());
  CHECK(got->Limits.IdleTimeout == Millis(15000));
}

TEST_CASE("A configuration's customers are held by digests of their keys",
          "[platform]") {
  std::string text = Routes;
  text.insert(text.rfind('}'), R"(,"tenants":[
    {"name":"anna","api_keys":["k1","k2"],"priority":4},
    {"name":"bert","api_keys":[]},{"name":"carl"}])");
  std::string open = R"("max_attempts":4)";
  text.insert(text.find(open) + open.size(), R"(,"public":true)");
  Outcome<RouteTable> got = outcomeOf<RouteTable>(
      [&] { return decodeRoutes(text, "config", keys()); });
  REQUIRE(got);
  CHECK(got->Routes[0].Public);
  CHECK_FALSE(got->Routes[1].Public);
  REQUIRE(got->Customers);
  CHECK(got->Customers->customers() == 3);
  const Customer *anna = got->Customers->holderOf(keys().digest("k2"));
  REQUIRE(anna != nullptr);
  CHECK(*anna == Customer{CustomerName("anna"), 4});
  // Without the member nobody is asked for a key.
  Outcome<RouteTable> plain = outcomeOf<RouteTable>(
      [] { return decodeRoutes(Routes, "config", keys()); });
  CHECK_FALSE(plain->Customers);
}

TEST_CASE("A configuration's faults name no key", "[platform]") {
  for (const char *member :
       {R"("api_keys":["secret",7])", R"("api_keys":"secret")",
        R"("api_keys":["secret"],"priority":"secret")"}) {
    std::string text = Routes;
    text.insert(text.rfind('}'),
                R"(,"tenants":[{"name":"anna",)" + std::string(member) + "}]");
    Outcome<RouteTable> got = outcomeOf<RouteTable>(
        [&] { return decodeRoutes(text, "config", keys()); });
    REQUIRE_FALSE(got);
    CHECK(describe(got.failure()).find("secret") == std::string::npos);
    // Nor does a text that is cut off after a key.
    std::string cut = text.substr(0, text.find("secret") + 6);
    Outcome<RouteTable> broken = outcomeOf<RouteTable>(
        [&] { return decodeRoutes(cut, "config", keys()); });
    REQUIRE_FALSE(broken);
    CHECK(describe(broken.failure()).find("secret") == std::string::npos);
  }
}

TEST_CASE("A configuration that is wrong is refused as a whole", "[platform]") {
  for (const char *word :
       {"\"rollout\"", "\"host\"", "\"version\":7", "7500"}) {
    std::string text = Routes;
    text.replace(text.find(word), std::string(word).size(), "\"?\"");
    CHECK_FALSE(outcomeOf<RouteTable>(
        [&] { return decodeRoutes(text, "config", keys()); }));
  }
}

TEST_CASE("What an item says of its customer and of keys is dropped",
          "[platform]") {
  std::string text = Job;
  text.replace(text.find(R"("X":"y")"), 7,
               R"("X":"y","wasabisail-key":"k","WASABISAIL-TENANT":"bert")");
  Outcome<BatchJob> got = outcomeOf<BatchJob>(
      [&] { return decodeBatchJob(submission(text), CustomerName("anna")); });
  REQUIRE(got);
  CHECK(got->Id == JobId("job-1", CustomerName("anna")));
  CHECK(got->Items[0].Headers.size() == 2);
}

TEST_CASE("A server's registration is decoded", "[platform]") {
  std::string text =
      R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",
      "slots":8,"state":"draining","cold_remaining_ms":0,"stage":"both",
      "models":[{"name":"m0","version":3,"adapters":[]}],"sequence":4})";
  Outcome<UpstreamRegistration> got = outcomeOf<UpstreamRegistration>(
      [&] { return decodeRegistration("i-1", text, "servers/i-1"); });
  REQUIRE(got);
  CHECK(got->Draining);
  CHECK(got->Models.at(ModelName("m0")) == 3);
  CHECK(got->Endpoint == Address{"10.128.0.9", 8080});
  CHECK_FALSE(outcomeOf<UpstreamRegistration>(
      [&] { return decodeRegistration("i-1", R"({"service":"s"})", "x"); }));
}

namespace {

/// A registration with one member in other words; all as they are by default.
std::string registration(const std::string &Member = "",
                         const std::string &Now = "") {
  std::string text =
      R"({"service":"s","address":"10.128.0.9:8080","zone":"z",)"
      R"("version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
      R"("models":[{"name":"m0","version":3,"adapters":[]}],"sequence":4,)"
      R"("born":1764000000123})";
  if (!Member.empty())
    text.replace(text.find(Member), Member.size(), Now);
  return text;
}

Outcome<UpstreamRegistration> decoded(const std::string &Id,
                                      const std::string &Text) {
  return outcomeOf<UpstreamRegistration>(
      [&] { return decodeRegistration(Id, Text, "registration"); });
}

} // namespace

TEST_CASE("A server says when it started, in what it registers and reports",
          "[platform]") {
  Outcome<UpstreamRegistration> entry = decoded("i-1", registration());
  REQUIRE(entry);
  CHECK(entry->incarnation() ==
        ServerIncarnation{ServerName("i-1"), 1764000000123});
  Outcome<EngineReport> report = outcomeOf<EngineReport>([&] {
    return decodeEngineReport(
        R"({"models":[],"sequence":0,"born":1764000000123})", "report");
  });
  REQUIRE(report);
  CHECK(report->Start == 1764000000123);
  Outcome<UpstreamRegistration> without =
      decoded("i-1", registration(R"(,"born":1764000000123)", ""));
  REQUIRE(without);
  CHECK(without->Start == 0);
}

TEST_CASE("An entry of another writer names no server", "[platform]") {
  struct Change {
    const char *Member;
    const char *Now;
  };
  constexpr Change Changes[] = {
      {R"("service":"s",)", ""},
      {R"("service":"s")", R"("service":7)"},
      {R"("service":"s")", R"("service":"")"},
      {R"("address":"10.128.0.9:8080",)", ""},
      {R"(10.128.0.9:8080)", "no-number:80"},
      {R"(10.128.0.9:8080)", "10.128.0.9:99999"},
      {R"("10.128.0.9:8080")", R"(["10.128.0.9:8080"])"},
      {R"("zone":"z",)", ""},
      {R"("zone":"z")", R"("zone":null)"},
      {R"("version":"v1",)", ""},
      {R"("slots":8,)", ""},
      {R"("slots":8)", R"("slots":"8")"},
      {R"("slots":8)", R"("slots":0)"},
      {R"("slots":8)", R"("slots":-1)"},
      {R"("slots":8)", R"("slots":1e30)"},
      {R"("state":"ready",)", ""},
      {R"("state":"ready")", R"("state":"warming")"},
      {R"("state":"ready")", R"("state":true)"},
      {R"("cold_remaining_ms":0,)", ""},
      {R"("cold_remaining_ms":0)", R"("cold_remaining_ms":"0")"},
      {R"("cold_remaining_ms":0)", R"("cold_remaining_ms":-3)"},
      {R"("sequence":4,)", ""},
      {R"("sequence":4)", R"("sequence":4.5)"},
      {R"("models":[)", R"("models":[7,)"},
      {R"("born":1764000000123)", R"("born":"1764000000123")"},
      {R"("born":1764000000123)", R"("born":1764000000123.5)"},
      {R"("born":1764000000123)", R"("born":-5)"},
      {R"("born":1764000000123)", R"("born":null)"},
      {R"("slots":8,)", R"("slots":8,"slots":9,)"},
      {"}", ""},
      {"{", "\xff\xfe{"},
  };
  for (const Change &it : Changes) {
    INFO(it.Member << " -> " << it.Now);
    CHECK_FALSE(decoded("i-1", registration(it.Member, it.Now)));
  }
  CHECK_FALSE(decoded("i-1", ""));
  CHECK_FALSE(decoded("i-1", "[]"));
  CHECK_FALSE(decoded("i-1", std::string(100000, '[')));
  CHECK_FALSE(decoded("i-1", std::string(300000, '\0')));
  // The id stands in headers.
  for (const char *id : {"", "two words", "line\r\nbreak", "\xff"})
    CHECK_FALSE(decoded(id, registration()));
  REQUIRE(decoded("i-1", registration()));
}

TEST_CASE("A batch job is decoded with its expected lengths", "[platform]") {
  Outcome<BatchJob> got = outcomeOf<BatchJob>(
      [] { return decodeBatchJob(submission(Job), CustomerName()); });
  REQUIRE(got);
  CHECK(got->Id.Text == "job-1");
  CHECK(got->MinVersion == 6);
  REQUIRE(got->Items.size() == 2);
  CHECK(got->Items[0].Body == "\xab\xcd\xef");
  CHECK(got->Items[0].ExpectedTokens == 400);
  CHECK(got->Items[1].ExpectedTokens == 25.5);
  REQUIRE(got->Items[0].Score.has_value());
  CHECK(got->Items[0].Score->Body == "\xde\xad");
  CHECK_FALSE(got->Items[1].Score.has_value());
}

TEST_CASE("A batch job that is wrong is refused with its place", "[platform]") {
  std::string broken = Job;
  broken.replace(broken.find("q83v"), 4, "q*3v");
  for (const std::string &it : {std::string("{"), std::string("{}"), broken}) {
    Outcome<BatchJob> got = outcomeOf<BatchJob>(
        [&] { return decodeBatchJob(submission(it), CustomerName()); });
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::NotRun);
  }
}

TEST_CASE("A page of results is encoded as trainers read it", "[platform]") {
  ResultPage page;
  page.Total = 3;
  page.Next = 2;
  page.Results = {{ItemId("a"), ItemStatus::Completed, "x\ny", {6, 7}, "sig"},
                  {ItemId("b"), ItemStatus::Terminated, "", {}, ""}};
  boost::json::value got = boost::json::parse(encodeResultPage(page));
  CHECK(got.at("total") == 3);
  CHECK(got.at("next") == 2);
  const boost::json::array &results = got.at("results").as_array();
  REQUIRE(results.size() == 2);
  CHECK(results[0].at("state") == "completed");
  CHECK(results[0].at("versions").as_array().size() == 2);
  CHECK(results[0].at("score") == "sig");
  CHECK(results[1].at("state") == "terminated");
  CHECK(results[1].as_object().if_contains("score") == nullptr);
}

TEST_CASE("Events are read from pieces that end anywhere", "[platform]") {
  std::string text = "id: 1\ndata: one\n\nwasabisail-weight-versions: 8\n"
                     "id: 2\ndata: two\ndata: more\n\n: note\n\n"
                     "id: 3\r\ndata:\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    Outcome<std::vector<EngineEvent>> got =
        eventsOf({text.substr(0, cut), text.substr(cut)});
    REQUIRE(got);
    REQUIRE(got->size() == 3);
    CHECK((*got)[0].Data == "one");
    CHECK_FALSE((*got)[0].Version.has_value());
    CHECK((*got)[1].Version == 8u);
    CHECK((*got)[1].Data == "two\nmore");
    CHECK((*got)[2].Id == 3);
    CHECK((*got)[2].Data.empty());
  }
}

TEST_CASE("An event without a number is a fault", "[platform]") {
  CHECK_FALSE(eventsOf({"data: x\n\n"}));
  CHECK_FALSE(eventsOf({"id: x\ndata: y\n\n"}));
}

TEST_CASE("An answer proves only what it says", "[platform]") {
  auto answer = [](unsigned Status, std::vector<http::Header> Headers) {
    return http::Response{Status, std::move(Headers), ""};
  };
  http::Header id{"Wasabisail-Request-Id", "r1"};
  http::Header stamp{"Wasabisail-Server-Stamp", "sig"};
  http::Header unrun{"Wasabisail-Not-Executed", "1"};
  CHECK(computeAnswerProof(answer(200, {id, stamp}), "r1") == AnswerProof::Ran);
  CHECK(computeAnswerProof(answer(200, {id}), "r1") == AnswerProof::Unknown);
  CHECK(computeAnswerProof(answer(200, {id, stamp}), "r2") ==
        AnswerProof::Unknown);
  CHECK(computeAnswerProof(answer(503, {id, unrun}), "r1") ==
        AnswerProof::NotRun);
  CHECK(computeAnswerProof(answer(503, {id}), "r1") == AnswerProof::Ran);
  CHECK(computeAnswerProof(answer(421, {id}), "r1") == AnswerProof::NotRun);
  CHECK(computeAnswerProof(answer(500, {id, stamp}), "r1") == AnswerProof::Ran);
}

} // namespace wasabi::platform
