#include "Wasabi/Adapters/Http/HttpWire.h"
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
  "platform": {"address": "10.200.1.7:8142", "record_bytes": 4096,
               "retention_s": 20.5}})";

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

template <typename T, typename Body> Outcome<T> outcomeOf(const Body &Decode) {
  return toOutcome<T>([&] { return Decode(); });
}

const KeyDigester &digester() {
  static const KeyDigester Keys = KeyDigester::create().value();
  return Keys;
}

http::Request makeSubmission(std::string Body) {
  http::Request request;
  request.Method = "POST";
  request.Target = "/b/1";
  request.Headers = {{"Host", "h"}, {"Wasabisail-Request-Id", "job-1"}};
  request.Body = std::move(Body);
  return request;
}

/// Returns all events in the chunks of a stream.
Outcome<std::vector<EngineEvent>>
readEvents(const std::vector<std::string> &Chunks) {
  std::vector<EngineEvent> events;
  EventBuffer buffer;
  for (const std::string &chunk : Chunks) {
    buffer.Unparsed += chunk;
    for (;;) {
      Outcome<std::optional<EngineEvent>> event = extractEvent(buffer);
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

TEST_CASE("The settings are parsed and unknown members are ignored",
          "[platform]") {
  Outcome<BootSettings> got = outcomeOf<BootSettings>(
      [] { return parseBootSettings(Settings, "local.json"); });
  REQUIRE(got);
  CHECK(got->Instance.Text == "edge-1");
  CHECK(got->Domain.Text == "hall");
  CHECK(got->CallerEndpoint == Address{"10.1.0.35", 8144});
  CHECK(got->StoreEndpoint == Address{"10.200.1.7", 8142});
  CHECK(got->MaxRecordBytes == 4096);
  CHECK(got->RecordRetention == Millis(20500));
  CHECK(got->StopGracePeriod == Millis(6000));
  CHECK_FALSE(got->EngineEndpoint.has_value());
}

TEST_CASE("The report settings are parsed and their errors name the file",
          "[platform]") {
  CHECK_FALSE(outcomeOf<BootSettings>([] {
                return parseBootSettings(Settings, "local.json");
              })->Reports);
  std::string text = Settings;
  text.insert(text.rfind('}'),
              R"(,"cloud_api":{"address":"10.200.0.177:8147","rate_per_s":50.0,
      "duties":["usage_report","autoscale"],"duty_per_s":25.5})");
  std::string lease = R"("lease_ms": 3000)";
  text.replace(text.find(lease), lease.size(),
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
  UsageDecision decision{
      353445120, {{CustomerName("seje681"), 3}, {CustomerName("cuka"), 1}}};
  CHECK(encodeUsageReport(decision) ==
        R"({"window":353445120,"counts":{"cuka":1,"seje681":3}})");
  CHECK(encodeUsageReport({7, {}}) == R"({"window":7,"counts":{}})");
}

TEST_CASE("The error of an invalid settings file names the file",
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

TEST_CASE("The operator's configuration is decoded into a route table",
          "[platform]") {
  Outcome<RouteTable> got = outcomeOf<RouteTable>(
      [] { return decodeRoutes(Routes, "config", digester()); });
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

TEST_CASE("Customers are found by the digests of their keys", "[platform]") {
  std::string text = Routes;
  text.insert(text.rfind('}'), R"(,"tenants":[
    {"name":"anna","api_keys":["k1","k2"],"priority":4},
    {"name":"bert","api_keys":[]},{"name":"carl"}])");
  std::string lastMember = R"("max_attempts":4)";
  text.insert(text.find(lastMember) + lastMember.size(), R"(,"public":true)");
  Outcome<RouteTable> got = outcomeOf<RouteTable>(
      [&] { return decodeRoutes(text, "config", digester()); });
  REQUIRE(got);
  CHECK(got->Routes[0].Public);
  CHECK_FALSE(got->Routes[1].Public);
  REQUIRE(got->Customers);
  CHECK(got->Customers->customers() == 3);
  const Customer *anna = got->Customers->holderOf(digester().digest("k2"));
  REQUIRE(anna != nullptr);
  CHECK(*anna == Customer{CustomerName("anna"), 4});
  // Without the member, no request needs a key.
  Outcome<RouteTable> plain = outcomeOf<RouteTable>(
      [] { return decodeRoutes(Routes, "config", digester()); });
  CHECK_FALSE(plain->Customers);
}

TEST_CASE("Errors in a configuration do not contain keys", "[platform]") {
  for (const char *member :
       {R"("api_keys":["secret",7])", R"("api_keys":"secret")",
        R"("api_keys":["secret"],"priority":"secret")"}) {
    std::string text = Routes;
    text.insert(text.rfind('}'),
                R"(,"tenants":[{"name":"anna",)" + std::string(member) + "}]");
    Outcome<RouteTable> got = outcomeOf<RouteTable>(
        [&] { return decodeRoutes(text, "config", digester()); });
    REQUIRE_FALSE(got);
    CHECK(describe(got.failure()).find("secret") == std::string::npos);
    // The error for a text that ends after a key does not contain the key
    // either.
    std::string cut = text.substr(0, text.find("secret") + 6);
    Outcome<RouteTable> broken = outcomeOf<RouteTable>(
        [&] { return decodeRoutes(cut, "config", digester()); });
    REQUIRE_FALSE(broken);
    CHECK(describe(broken.failure()).find("secret") == std::string::npos);
  }
}

TEST_CASE("An invalid configuration is rejected as a whole", "[platform]") {
  for (const char *word :
       {"\"rollout\"", "\"host\"", "\"version\":7", "7500"}) {
    std::string text = Routes;
    text.replace(text.find(word), std::string(word).size(), "\"?\"");
    CHECK_FALSE(outcomeOf<RouteTable>(
        [&] { return decodeRoutes(text, "config", digester()); }));
  }
}

TEST_CASE("Customer and key headers of a batch item are dropped",
          "[platform]") {
  std::string text = Job;
  text.replace(text.find(R"("X":"y")"), 7,
               R"("X":"y","wasabisail-key":"k","WASABISAIL-TENANT":"bert")");
  Outcome<BatchJob> got = outcomeOf<BatchJob>([&] {
    return decodeBatchJob(makeSubmission(text), CustomerName("anna"));
  });
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

/// Returns a valid registration in which `Member` is replaced.
std::string makeRegistration(const std::string &Member = "",
                             const std::string &Replacement = "") {
  std::string text =
      R"({"service":"s","address":"10.128.0.9:8080","zone":"z",)"
      R"("version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
      R"("models":[{"name":"m0","version":3,"adapters":[]}],"sequence":4,)"
      R"("born":1764000000123})";
  if (!Member.empty())
    text.replace(text.find(Member), Member.size(), Replacement);
  return text;
}

Outcome<UpstreamRegistration> decode(const std::string &Id,
                                     const std::string &Text) {
  return outcomeOf<UpstreamRegistration>(
      [&] { return decodeRegistration(Id, Text, "registration"); });
}

} // namespace

TEST_CASE(
    "The start time of a server is decoded from registrations and reports",
    "[platform]") {
  Outcome<UpstreamRegistration> entry = decode("i-1", makeRegistration());
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
      decode("i-1", makeRegistration(R"(,"born":1764000000123)", ""));
  REQUIRE(without);
  CHECK(without->Start == 0);
}

TEST_CASE("The remaining cold time of a server is bounded", "[platform]") {
  auto coldTime = [](const std::string &Number) {
    return decode("i-1", makeRegistration(R"("cold_remaining_ms":0)",
                                          R"("cold_remaining_ms":)" + Number));
  };
  REQUIRE(coldTime("1500.7"));
  CHECK(coldTime("1500.7")->ColdRemaining == Millis(1500));
  REQUIRE(coldTime("1e300"));
  CHECK(coldTime("1e300")->ColdRemaining <= std::chrono::hours(24 * 365));
  CHECK_FALSE(coldTime("-0.5e9"));
}

TEST_CASE("Malformed registrations are rejected", "[platform]") {
  struct Change {
    const char *Member;
    const char *Replacement;
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
    INFO(it.Member << " -> " << it.Replacement);
    CHECK_FALSE(decode("i-1", makeRegistration(it.Member, it.Replacement)));
  }
  CHECK_FALSE(decode("i-1", ""));
  CHECK_FALSE(decode("i-1", "[]"));
  CHECK_FALSE(decode("i-1", std::string(100000, '[')));
  CHECK_FALSE(decode("i-1", std::string(300000, '\0')));
  // The id is sent in headers.
  for (const char *id : {"", "two words", "line\r\nbreak", "\xff"})
    CHECK_FALSE(decode(id, makeRegistration()));
  REQUIRE(decode("i-1", makeRegistration()));
}

TEST_CASE("A batch job is decoded with its expected tokens", "[platform]") {
  Outcome<BatchJob> got = outcomeOf<BatchJob>(
      [] { return decodeBatchJob(makeSubmission(Job), CustomerName()); });
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

// Guards against engines that run out of memory because the need is unknown.
TEST_CASE("The tokens of an item and of an engine's memory are decoded",
          "[platform]") {
  Outcome<BatchJob> got = outcomeOf<BatchJob>(
      [] { return decodeBatchJob(makeSubmission(Job), CustomerName()); });
  REQUIRE(got);
  CHECK(got->Items[0].PromptTokens == 540);
  CHECK(got->Items[0].MaxOutputTokens == 400);
  CHECK(got->Items[1].PromptTokens == 0);
  CHECK(got->Items[1].MaxOutputTokens == 0);
  // A header that is not readable is no reason to reject the job.
  for (const char *usage : {"", "x", "99999999999,4", "-5,4"}) {
    std::string text = Job;
    text.replace(text.find("540,400"), 7, usage);
    Outcome<BatchJob> odd = outcomeOf<BatchJob>(
        [&] { return decodeBatchJob(makeSubmission(text), CustomerName()); });
    REQUIRE(odd);
    CHECK(odd->Items[0].PromptTokens == 0);
    CHECK(odd->Items[0].MaxOutputTokens == 0);
  }
  auto capacity = [](const std::string &Text) {
    Outcome<RouteTable> table = outcomeOf<RouteTable>(
        [&] { return decodeRoutes(Text, "config", digester()); });
    REQUIRE(table);
    return findService(*table, ServiceName("s1"))->Engine->KvCapacityTokens;
  };
  CHECK(capacity(Routes) == 0);
  std::string text = Routes;
  text.insert(text.find(R"("slots":8)"), R"("kv_capacity_tokens":34322,)");
  CHECK(capacity(text) == 34322);
  text.replace(text.find("34322"), 5, "-1");
  CHECK_FALSE(outcomeOf<RouteTable>(
      [&] { return decodeRoutes(text, "config", digester()); }));
}

TEST_CASE("An invalid batch job is rejected", "[platform]") {
  std::string broken = Job;
  broken.replace(broken.find("q83v"), 4, "q*3v");
  for (const std::string &it : {std::string("{"), std::string("{}"), broken}) {
    Outcome<BatchJob> got = outcomeOf<BatchJob>(
        [&] { return decodeBatchJob(makeSubmission(it), CustomerName()); });
    REQUIRE_FALSE(got);
    CHECK(got.failure().Run == Verdict::NotRun);
  }
}

TEST_CASE("A page of results is encoded as JSON", "[platform]") {
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

TEST_CASE("Events are parsed from chunks that are split anywhere",
          "[platform]") {
  std::string text = "id: 1\ndata: one\n\nwasabisail-weight-versions: 8\n"
                     "id: 2\ndata: two\ndata: more\n\n: note\n\n"
                     "id: 3\r\ndata:\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    Outcome<std::vector<EngineEvent>> got =
        readEvents({text.substr(0, cut), text.substr(cut)});
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

TEST_CASE("An event without a numeric id is rejected", "[platform]") {
  CHECK_FALSE(readEvents({"data: x\n\n"}));
  CHECK_FALSE(readEvents({"id: x\ndata: y\n\n"}));
}

TEST_CASE("The proof of a response follows from its headers and status",
          "[platform]") {
  auto makeResponse = [](unsigned Status, std::vector<http::Header> Headers) {
    return http::Response{Status, std::move(Headers), ""};
  };
  http::Header id{"Wasabisail-Request-Id", "r1"};
  http::Header signature{"Wasabisail-Server-Stamp", "sig"};
  http::Header notRun{"Wasabisail-Not-Executed", "1"};
  CHECK(computeAnswerProof(makeResponse(200, {id, signature}), "r1") ==
        AnswerProof::Ran);
  CHECK(computeAnswerProof(makeResponse(200, {id}), "r1") ==
        AnswerProof::Unknown);
  CHECK(computeAnswerProof(makeResponse(200, {id, signature}), "r2") ==
        AnswerProof::Unknown);
  CHECK(computeAnswerProof(makeResponse(503, {id, notRun}), "r1") ==
        AnswerProof::NotRun);
  CHECK(computeAnswerProof(makeResponse(503, {id}), "r1") == AnswerProof::Ran);
  CHECK(computeAnswerProof(makeResponse(421, {id}), "r1") ==
        AnswerProof::NotRun);
  CHECK(computeAnswerProof(makeResponse(500, {id, signature}), "r1") ==
        AnswerProof::Ran);
}

// Guards against an item whose own header outranks the dispatcher's, and
// against a changed header of callers' requests.
TEST_CASE("The priority of a request is sent in one header", "[platform]") {
  auto prioritiesOf = [](const SendOptions &Options) {
    http::Request request;
    request.Headers = {{"wasabisail-request-PRIORITY", "0"}, {"X", "y"}};
    prepareRequest(request, UpstreamRegistration(), Options);
    std::vector<std::string> found;
    for (const http::Header &it : request.Headers) {
      if (http::isSameHeaderName(it.Name, "Wasabisail-Request-Priority"))
        found.push_back(it.Value);
    }
    return found;
  };
  SendOptions options;
  CHECK(prioritiesOf(options) == std::vector<std::string>{"0"});
  options.Priority = 3;
  CHECK(prioritiesOf(options) == std::vector<std::string>{"3"});
  options.Priority = 0;
  CHECK(prioritiesOf(options) == std::vector<std::string>{"0"});
  options.Priority = 200;
  CHECK(prioritiesOf(options) == std::vector<std::string>{"9"});
}

} // namespace wasabi::platform
