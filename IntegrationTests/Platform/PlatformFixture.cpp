#include "IntegrationTests/Platform/PlatformFixture.h"

#include "IntegrationTests/Harness/FreePort.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Core/Base64.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <array>
#include <fstream>

namespace wasabi::test {

namespace json = boost::json;

namespace {

constexpr Millis WaitTimeout{30000};
constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;

json::object makeRoute(const std::string &Prefix, const std::string &Kind,
                       const std::string &Service) {
  return {{"name", Prefix},        {"host", "host.example"},
          {"path_prefix", Prefix}, {"kind", Kind},
          {"timeout_ms", 2000},    {"target_latency_ms", 400},
          {"priority", 1},         {"service", Service},
          {"max_attempts", 3},     {"result_deadline_ms", 7500},
          {"retention_s", 40.0}};
}

json::array makeCustomerList(const std::vector<ConfiguredCustomer> &Customers) {
  json::array list;
  for (const ConfiguredCustomer &it : Customers)
    list.push_back(
        json::object{{"name", it.Name},
                     {"api_keys", json::array(it.Keys.begin(), it.Keys.end())},
                     {"priority", it.Priority}});
  return list;
}

} // namespace

http::Request PlatformFixture::request(const std::string &Method,
                                       const std::string &Target,
                                       const std::string &Id) const {
  http::Request req;
  req.Method = Method;
  req.Target = Target;
  req.Headers = {{"Host", "host.example"}, {"Wasabisail-Request-Id", Id}};
  if (!CustomerKey.empty())
    req.Headers.push_back({"Wasabisail-Key", CustomerKey});
  return req;
}

PlatformFixture::PlatformFixture(PlatformFixtureSettings Setup)
    : Settings(std::move(Setup)), Customers(Settings.Customers) {
  Store = std::make_unique<PlatformStore>(Context);
  Reports = std::make_unique<PlatformReportEndpoint>(Context);
  makeServers();
  Folder = harness::TestFolder::create().value();
  Edges.resize(Settings.Edges);
  for (EdgeProcess &it : Edges) {
    it.ListenAddress = harness::freePort().value();
    it.CallerAddress = it.ListenAddress;
    it.ReadinessAddress = harness::freePort().value();
  }
  if (Settings.UsesFaultProxies)
    makeLinks();
  Thread = std::thread([this] { Context.run(); });
  for (std::size_t i = 0; i < servers(); ++i)
    registerServer(i, false);
  configure(1);
  Sidecars.resize(Settings.Engines);
  for (std::size_t i = 0; i < Settings.Engines; ++i)
    startSidecar(i);
  for (std::size_t i = 0; i < Settings.Edges; ++i)
    startEdge(i);
}

void PlatformFixture::makeServers() {
  for (std::size_t i = 1; i <= Settings.Engines; ++i) {
    Engines.push_back(std::make_unique<PlatformServer>(
        Context, "i-engine-" + std::to_string(i)));
    for (const std::string &model : Settings.Models)
      Engines.back()->Models[model] = 1;
  }
  for (std::size_t i = 1; i <= Settings.Desks; ++i)
    PlainServers.push_back(std::make_unique<PlatformServer>(
        Context, "i-desk-" + std::to_string(i)));
}

PlatformFixture::Proxy PlatformFixture::makeLink(const Address &Upstream) {
  return standins::FaultProxy::create(Context, {{"127.0.0.1", 0}, Upstream, 1})
      .value();
}

void PlatformFixture::makeLinks() {
  for (std::size_t i = 0; i < servers(); ++i) {
    ServerLinks.push_back(makeLink(server(i).address()));
    server(i).setPublicAddress(ServerLinks.back()->address());
  }
  for (EdgeProcess &it : Edges) {
    CallerLinks.push_back(makeLink(it.ListenAddress));
    it.CallerAddress = CallerLinks.back()->address();
  }
  for (std::size_t i = 0; i < Settings.Edges + Settings.Engines; ++i)
    StoreLinks.push_back(makeLink(Store->address()));
  for (std::size_t i = 0; i < Settings.Edges; ++i)
    ReportLinks.push_back(makeLink(Reports->address()));
}

void PlatformFixture::setFaults(const Proxy &Link,
                                const boost::json::object &Changes) {
  runOnPlatformThread([&] {
    Link->InjectedFaults.merge(Changes);
    Link->onFaultsChanged();
  });
}

void PlatformFixture::registerServer(std::size_t Index, bool Draining) {
  runOnPlatformThread([&] {
    PlatformServer &it = server(Index);
    Store->write(
        "keyed.servers", it.id(),
        it.registration(Index < Settings.Engines ? "llm" : "desk", Draining));
  });
}

void PlatformFixture::setCrashMarker(const std::string &Text) {
  runOnPlatformThread([&] {
    for (std::size_t i = 0; i < servers(); ++i) {
      PlatformServer &it = server(i);
      it.CrashMarker = Text;
      it.OnRestarted = [this, &it, i](const std::string &PreviousId) {
        const char *service = i < Settings.Engines ? "llm" : "desk";
        Store->write("keyed.servers", PreviousId, std::nullopt);
        Store->write("keyed.servers", it.id(), it.registration(service, false));
        ++RestartedServers;
      };
    }
  });
}

void PlatformFixture::setListenerCloseDelay(Millis Delay) {
  runOnPlatformThread([&] {
    for (std::size_t i = 0; i < servers(); ++i)
      server(i).ListenerCloseDelay = Delay;
  });
}

int PlatformFixture::crashCount() {
  return runOnPlatformThread<int>([&] {
    int sum = 0;
    for (std::size_t i = 0; i < servers(); ++i)
      sum += server(i).Crashes;
    return sum;
  });
}

bool PlatformFixture::waitForRestarts() {
  return harness::waitUntil(
      [this] {
        int restarted =
            runOnPlatformThread<int>([&] { return RestartedServers; });
        return restarted == crashCount();
      },
      WaitTimeout);
}

void PlatformFixture::unregisterServer(const std::string &Id) {
  runOnPlatformThread([&] { Store->write("keyed.servers", Id, std::nullopt); });
}

void PlatformFixture::startSidecar(std::size_t Index) {
  std::string app = fmt::format(R"("listen":{{}},"app":"{}",)",
                                toText(Engines[Index]->publicAddress()));
  harness::Process::Settings setup;
  setup.Program = "wasabi-side";
  setup.Environment = {
      {"WASABISAIL_BOOT", writeSettingsFile("side-" + std::to_string(Index),
                                            app, Settings.Edges + Index)}};
  Sidecars[Index] = harness::Process::start(std::move(setup)).value();
}

PlatformFixture::~PlatformFixture() {
  Edges.clear();
  Sidecars.clear();
  Work.reset();
  Context.stop();
  Thread.join();
}

std::string PlatformFixture::writeSettingsFile(const std::string &Name,
                                               const std::string &Extra,
                                               std::size_t Process) {
  Address store = Settings.UsesFaultProxies ? StoreLinks[Process]->address()
                                            : Store->address();
  std::string reports;
  if (Settings.Reports && Process < Settings.Edges)
    reports = fmt::format(
        R"("cloud_api":{{"address":"{}","duties":["usage_report"],
        "duty_per_s":50.0}},)",
        toText(Settings.UsesFaultProxies ? ReportLinks[Process]->address()
                                         : Reports->address()));
  std::string path = Folder->file(Name + ".json");
  std::ofstream(path) << fmt::format(
      R"({{"node_name":"{}","zone":"hall","ip":"127.0.0.1",{}{}
      "bounds":{{"grace_s":5,"report_window_s":1,"usage_late_s":{},
      "usage_tolerance":0.05,"lease_ms":3000}},
      "platform":{{"address":"{}"}}}})",
      Name, Extra, reports, Settings.ReportDueSeconds, toText(store));
  return path;
}

void PlatformFixture::overwriteSettingsFile(const std::string &Name,
                                            const std::string &Text) {
  std::ofstream(Folder->file(Name + ".json")) << Text;
}

void PlatformFixture::startEdge(std::size_t Index) {
  EdgeProcess &edge = Edges[Index];
  std::string listen =
      fmt::format(R"("listen":{{"front":"{}","ready_addr":"{}"}},)",
                  toText(edge.ListenAddress), toText(edge.ReadinessAddress));
  json::object limits;
  if (Settings.MemoryMb > 0)
    limits["memory_mb"] = Settings.MemoryMb;
  if (Settings.MaxDescriptors > 0)
    limits["max_fds"] = Settings.MaxDescriptors;
  if (!limits.empty())
    listen += fmt::format(R"("limits":{},)", json::serialize(limits));
  harness::Process::Settings setup;
  setup.Program = "wasabi-edge";
  setup.Arguments = {"--metrics_port=0", "--drain_notice_ms=300"};
  setup.Environment = {
      {"WASABISAIL_BOOT",
       writeSettingsFile("edge-" + std::to_string(Index), listen, Index)}};
  setup.MaxDescriptors = Settings.MaxDescriptors;
  edge.Running = harness::Process::start(std::move(setup)).value();
}

void PlatformFixture::configure(std::uint64_t Version) {
  json::object stream = makeRoute("/stream/", "streaming", "llm");
  stream["resumable"] = true;
  // Longer than the longest text takes to generate.
  stream["timeout_ms"] = 8000;
  json::object open = makeRoute("/open/", "idempotent", "desk");
  open["public"] = true;
  json::array routes{
      stream,
      open,
      makeRoute("/rollout/", "rollout", "llm"),
      makeRoute("/desk/", "idempotent", "desk"),
      makeRoute("/once/", "non_idempotent", "desk"),
      makeRoute(fmt::format("/desk-{}/", Version), "idempotent", "desk")};
  for (std::uint64_t i = 1; i <= Version; ++i)
    routes.push_back(
        makeRoute(fmt::format("/rollout-{}/", i), "rollout", "llm"));
  json::array models;
  for (const std::string &it : Settings.Models)
    models.push_back(json::object{{"name", it}});
  json::object engine{{"slots", 4}, {"models", models}};
  json::array services{json::object{{"name", "llm"}, {"engine", engine}},
                       json::object{{"name", "desk"}}};
  json::object config{
      {"version", Version}, {"routes", routes}, {"services", services}};
  if (Settings.MaxBodyBytes > 0)
    config["limits"] = json::object{{"max_header_bytes", 16384},
                                    {"max_body_bytes", Settings.MaxBodyBytes},
                                    {"header_timeout_ms", 3000},
                                    {"idle_timeout_ms", 15000}};
  if (!Customers.empty())
    config["tenants"] = makeCustomerList(Customers);
  std::string text = json::serialize(config);
  runOnPlatformThread(
      [this, text] { Store->write("keyed.op", "config", text); });
}

void PlatformFixture::configureCustomers(
    std::uint64_t Version, std::vector<ConfiguredCustomer> NewCustomers) {
  Customers = std::move(NewCustomers);
  configure(Version);
  // Each configuration adds a route of its own; wait until it is served.
  http::Request probe;
  probe.Method = "GET";
  probe.Target = fmt::format("/desk-{}/", Version);
  probe.Headers = {{"Host", "host.example"}};
  for (std::size_t i = 0; i < Edges.size(); ++i)
    harness::waitUntil([&] { return send(i, probe).Status != NotFound; },
                       WaitTimeout);
}

void PlatformFixture::nameVersion(std::uint64_t Version) {
  for (const std::string &it : Settings.Models) {
    std::string text =
        json::serialize(json::object{{"model", it}, {"version", Version}});
    runOnPlatformThread(
        [&] { Store->write("keyed.op", "version/" + it, text); });
  }
}

bool PlatformFixture::ready(std::size_t Index) {
  Outcome<http::Response> got = harness::call(
      Edges[Index].ReadinessAddress, request("GET", "/api/readiness", ""));
  return got && got->Status == Ok;
}

bool PlatformFixture::waitUntilAllReady() {
  return harness::waitUntil(
      [this] {
        for (std::size_t i = 0; i < Edges.size(); ++i) {
          if (!ready(i))
            return false;
        }
        return true;
      },
      WaitTimeout);
}

http::Response PlatformFixture::send(std::size_t Edge, http::Request Request) {
  Outcome<http::Response> got =
      harness::call(Edges[Edge].CallerAddress, std::move(Request));
  if (got)
    return *got;
  return http::Response{0, {}, describe(got.failure())};
}

http::Response PlatformFixture::postRequest(std::size_t Edge,
                                            const std::string &Path,
                                            const std::string &Id) {
  return sendWithBody(Edge, Path, Id, "body of " + Id);
}

http::Response PlatformFixture::sendWithBody(std::size_t Edge,
                                             const std::string &Path,
                                             const std::string &Id,
                                             const std::string &Body) {
  http::Request req = request("POST", Path, Id);
  req.Headers.push_back({"Wasabisail-Deadline-Ms", "2000"});
  req.Body = Body;
  return send(Edge, std::move(req));
}

std::string PlatformFixture::sendRaw(std::size_t Edge, const std::string &Bytes,
                                     Millis Timeout,
                                     const std::string &Terminator) {
  using Tcp = boost::asio::ip::tcp;
  constexpr std::size_t ReadBufferSize = 4096;
  boost::asio::io_context context;
  Tcp::socket socket(context);
  socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                               Edges[Edge].CallerAddress.Port));
  boost::asio::write(socket, boost::asio::buffer(Bytes));
  std::string got;
  bool ended = false;
  std::array<char, ReadBufferSize> buf{};
  std::function<void()> readMore = [&] {
    socket.async_read_some(boost::asio::buffer(buf),
                           [&](boost::system::error_code ec, std::size_t n) {
                             got.append(buf.data(), n);
                             bool seen =
                                 !Terminator.empty() &&
                                 got.find(Terminator) != std::string::npos;
                             ended = ec || seen;
                             if (!ended)
                               readMore();
                           });
  };
  readMore();
  TimePoint deadline = monotonicNow() + Timeout;
  while (!ended && monotonicNow() < deadline)
    context.run_one_for(Millis(20));
  return got;
}

std::string makeJobBody(const std::string &Job,
                        const std::vector<std::string> &Items,
                        std::uint64_t MinVersion, const std::string &Model) {
  json::array items;
  for (std::size_t i = 0; i < Items.size(); ++i) {
    const std::string &id = Items[i];
    json::object score{{"id", "score-" + id},
                       {"host", "host.example"},
                       {"path", "/desk/score"},
                       {"body", encodeBase64("score " + id)}};
    items.push_back(
        json::object{{"id", id},
                     {"path", "/rollout/" + id},
                     {"headers", json::object{{"Wasabisail-Model", Model}}},
                     {"body", encodeBase64("prompt " + id)},
                     {"group", Job + "-g" + std::to_string(i / 2)},
                     {"scorer_url", score}});
  }
  return json::serialize(json::object{{"step", 0},
                                      {"model", Model},
                                      {"min_version", MinVersion},
                                      {"target_groups", 1},
                                      {"items", items}});
}

unsigned PlatformFixture::submit(std::size_t Edge, const std::string &Job,
                                 std::size_t Items, std::uint64_t MinVersion) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < Items; ++i)
    names.push_back(Job + "-" + std::to_string(i));
  http::Request req = request("POST", "/rollout/" + Job, Job);
  req.Body = makeJobBody(Job, names, MinVersion);
  Outcome<http::Response> got =
      harness::call(Edges[Edge].CallerAddress, std::move(req));
  return got ? got->Status : 0;
}

json::value PlatformFixture::results(std::size_t Edge, const std::string &Job,
                                     unsigned &Status) {
  Outcome<http::Response> got =
      harness::call(Edges[Edge].CallerAddress,
                    request("GET", "/api/lots/" + Job + "?after=0", "read"));
  Status = got ? got->Status : 0;
  return Status == Ok ? json::parse(got->Body) : json::value();
}

bool PlatformFixture::waitForResults(std::size_t Edge, const std::string &Job,
                                     std::size_t Items) {
  return harness::waitUntil(
      [&] {
        unsigned status = 0;
        json::value page = results(Edge, Job, status);
        return status == Ok && page.at("results").as_array().size() == Items;
      },
      WaitTimeout);
}

unsigned PlatformFixture::getItemBodyStatus(std::size_t Edge,
                                            const std::string &Job,
                                            const std::string &Item) {
  return send(Edge, request("GET", "/api/items/" + Job + "?id=" + Item, "body"))
      .Status;
}

std::vector<ServerCall> PlatformFixture::plainServerRuns() {
  return runOnPlatformThread<std::vector<ServerCall>>([&] {
    std::vector<ServerCall> all;
    for (const std::unique_ptr<PlatformServer> &it : PlainServers)
      all.insert(all.end(), it->Runs.begin(), it->Runs.end());
    return all;
  });
}

std::vector<ServerCall> PlatformFixture::engineRuns() {
  return runOnPlatformThread<std::vector<ServerCall>>([&] {
    std::vector<ServerCall> all;
    for (const std::unique_ptr<PlatformServer> &it : Engines)
      all.insert(all.end(), it->Runs.begin(), it->Runs.end());
    return all;
  });
}

std::string PlatformFixture::output() {
  std::string all;
  for (const EdgeProcess &it : Edges)
    all += it.Running->output();
  for (const std::unique_ptr<harness::Process> &it : Sidecars)
    all += it->output();
  return all;
}

unsigned PlatformFixture::endJob(std::size_t Edge, const std::string &Job) {
  Outcome<http::Response> got = harness::call(
      Edges[Edge].CallerAddress, request("DELETE", "/api/lots/" + Job, "end"));
  return got ? got->Status : 0;
}

} // namespace wasabi::test
