#include "Wasabi/LoadExchange/LoadExchange.h"

#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Upstream/Forwarder.h"

#include <cstdio>
#include <deque>

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");
const CustomerName Acme("acme");
const ServerIncarnation Plain{ServerName("plain"), 5};

/// One process with a load exchange, on a store whose calls are counted.
struct Edge {
  std::size_t Calls = 0;
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  Metrics Counts;
  std::shared_ptr<LoadExchange> Loads;
};

struct ExchangeFixture : BatchTestFixture {
  FleetView View;
  std::deque<Edge> Edges;
  LoadExchange::Settings Settings;
  /// Start of a process whose reports the tests write.
  Incarnation ForeignLife = wallMicros() - 60'000'000;
  std::FILE *LogFile = std::tmpfile();

  explicit ExchangeFixture(std::size_t Count) {
    noteAnswer(View.Contact, monotonicNow());
    UpstreamRegistration entry;
    entry.Id = Plain.Server;
    entry.Start = Plain.Start;
    entry.Service = Desk;
    entry.Slots = 6;
    registerServer(View.Servers, entry);
    // A fifth of the times of the page.
    Settings.Local.StrainTime = Millis(400);
    Settings.View.MinValidity = Millis(600);
    Settings.View.MinInterval = Millis(200);
    Settings.View.MaxShareAge = Millis(600);
    Settings.View.MinReportGap = Millis(50);
    Settings.Schedule.MaxFirstDelay = Millis(50);
    Settings.TickInterval = Millis(20);
    Settings.PollTimeout = Millis(100);
    Settings.ReadDelay = Millis(20);
    Settings.RetryDelay = Millis(50);
    Settings.MaxReadGap = Millis(400);
    DecisionLog::Settings log;
    log.Descriptor = ::fileno(LogFile);
    log.CoalesceDelay = Millis(1);
    Decisions = DecisionLog::create(Context, log);
    for (std::size_t i = 0; i < Count; ++i)
      addEdge();
  }
  ~ExchangeFixture() override { std::fclose(LogFile); }
  ExchangeFixture(const ExchangeFixture &) = delete;
  ExchangeFixture &operator=(const ExchangeFixture &) = delete;

  void addEdge() {
    Edge &edge = Edges.emplace_back();
    RecordStore store = Store.port(edge.Disconnected);
    countCalls(edge, store);
    InstanceName self("edge-" + std::to_string(Edges.size()));
    edge.Loads =
        LoadExchange::create({Context.get_executor(), View, std::move(store),
                              Decisions, edge.Counts, self, wallMicros()},
                             Settings);
  }

  /// Replaces the calls of `Port` by ones that are counted.
  static void countCalls(Edge &Counted, RecordStore &Port) {
    Port.AppendKeyed = [&Counted, call = Port.AppendKeyed](
                           std::string Topic, std::vector<KeyedValue> Values,
                           Millis Timeout) {
      ++Counted.Calls;
      return call(std::move(Topic), std::move(Values), Timeout);
    };
    Port.ReadKeyed = [&Counted, call = Port.ReadKeyed](
                         std::string Topic, Offset From, Millis Timeout) {
      ++Counted.Calls;
      return call(std::move(Topic), From, Timeout);
    };
    Port.Newest = [&Counted, call = Port.Newest](std::string Topic,
                                                 Millis Timeout) {
      ++Counted.Calls;
      return call(std::move(Topic), Timeout);
    };
  }

  LoadExchange &loads(std::size_t Index) { return *Edges[Index].Loads; }

  std::size_t totalCalls() const {
    std::size_t sum = 0;
    for (const Edge &it : Edges)
      sum += it.Calls;
    return sum;
  }

  void runFor(Millis Time) {
    TimePoint end = monotonicNow() + Time;
    while (monotonicNow() < end)
      Context.run_one_for(Millis(5));
  }

  /// Keeps the service under strain at all processes until `Condition` is true.
  bool strainUntil(const std::function<bool()> &Condition) {
    return runUntil([&] {
      for (const Edge &it : Edges)
        it.Loads->recordRefusal(Desk);
      return Condition();
    });
  }

  std::uint64_t ignored(std::size_t Index, const std::string &Reason) {
    return Edges[Index]
        .Counts
        .counter("load_reports_ignored_total",
                 "Load reports of others that were ignored, by reason",
                 {{"reason", Reason}})
        .value();
  }

  std::size_t countLogged(std::string_view Text) {
    runFor(Millis(20));
    Decisions->flush();
    std::rewind(LogFile);
    std::string all;
    std::array<char, 4096> chunk{};
    for (std::size_t n = 0;
         (n = std::fread(chunk.data(), 1, chunk.size(), LogFile)) > 0;)
      all.append(chunk.data(), n);
    std::size_t count = 0;
    for (std::size_t at = all.find(Text); at != std::string::npos;
         at = all.find(Text, at + 1))
      ++count;
    return count;
  }

  LoadReport makeForeignReport(std::uint64_t Sequence) const {
    LoadReport report;
    report.Life = ForeignLife;
    report.Sequence = Sequence;
    report.Interval = Millis(200);
    report.Services[Desk].Customers[Acme] = {1, 1};
    report.Services[Desk].Servers[Plain] = {50, 5, 2};
    return report;
  }

  void appendForeign(std::uint64_t Sequence) {
    Store.append(LoadTopic,
                 "ghost|" + encodeReport(makeForeignReport(Sequence)));
  }
};

} // namespace

// Guards against calls and wake-ups that are charged although nothing is wrong:
// none at rest (page, requirements).
TEST_CASE("At rest the load exchange neither calls the store nor waits",
          "[load]") {
  ExchangeFixture fixture(2);
  for (int i = 0; i < 1000; ++i) {
    fixture.loads(0).recordArrival(Desk, Acme);
    fixture.loads(0).recordAnswer(Desk, Plain, 20, false);
    fixture.loads(0).recordEnd(Desk, Acme);
  }
  CHECK(fixture.Context.poll() == 0);
  fixture.runFor(Millis(300));
  CHECK(fixture.totalCalls() == 0);
  CHECK(fixture.loads(0).findLoad(Desk) == nullptr);
  CHECK_FALSE(fixture.loads(0).findShare(Desk));
}

// Guards against reports that do not reach the other processes, and against
// calls that go on when the strain has ended.
TEST_CASE("Processes know each other's load while a service is under strain",
          "[load]") {
  ExchangeFixture fixture(2);
  for (int i = 0; i < 4; ++i)
    fixture.loads(0).recordAnswer(Desk, Plain, 40, false);
  fixture.View.Servers.Servers[Plain.Server]->InFlight = 3;
  auto known = [&] {
    const ServiceLoad *load = fixture.loads(1).findLoad(Desk);
    return load != nullptr && load->Servers.contains(Plain);
  };
  REQUIRE(fixture.strainUntil(known));
  ServiceLoad load = *fixture.loads(1).findLoad(Desk);
  CHECK(load.Processes == 1);
  CHECK(load.Servers.at(Plain).InFlight == 3);
  CHECK(load.Servers.at(Plain).LatencyMs == Approx(40));

  REQUIRE(fixture.runUntil([&] {
    return fixture.loads(0).findLoad(Desk) == nullptr &&
           fixture.loads(1).findLoad(Desk) == nullptr;
  }));
  // The last reads and the deletion of the reports.
  fixture.runFor(Millis(300));
  std::size_t calls = fixture.totalCalls();
  fixture.runFor(Millis(500));
  CHECK(fixture.totalCalls() == calls);
  // A later reader of the topic receives no old reports.
  std::map<std::string, std::string> newest;
  for (const std::string &it : fixture.Store.Topics[LoadTopic])
    newest[it.substr(0, it.find('|'))] = it;
  CHECK(newest == std::map<std::string, std::string>{{"edge-1", "edge-1"},
                                                     {"edge-2", "edge-2"}});
  CHECK(fixture.countLogged("load.strain_began") == 2);
  CHECK(fixture.countLogged("load.strain_ended") == 2);
}

// Guards against processes that admit more than the servers run, and against a
// share that outlives the demand: the sum exceeds the room by at most one
// request per process (page, part 2).
TEST_CASE("Processes divide the room while the demand exceeds it", "[load]") {
  constexpr std::size_t Count = 4;
  ExchangeFixture fixture(Count);
  for (std::size_t i = 0; i < Count; ++i) {
    for (int k = 0; k < 5; ++k)
      fixture.loads(i).recordArrival(Desk, Acme);
  }
  auto inForce = [&] {
    for (std::size_t i = 0; i < Count; ++i) {
      const ServiceLoad *load = fixture.loads(i).findLoad(Desk);
      if (load == nullptr || load->Processes < Count - 1 ||
          !fixture.loads(i).findShare(Desk))
        return false;
    }
    return true;
  };
  REQUIRE(fixture.strainUntil(inForce));
  std::uint32_t sum = 0;
  double portions = 0;
  for (std::size_t i = 0; i < Count; ++i) {
    FairShare share = *fixture.loads(i).findShare(Desk);
    sum += share.Concurrency;
    portions += share.Customers.at(Acme);
  }
  CHECK(sum >= 6);
  CHECK(sum <= 6 + Count);
  CHECK(portions == Approx(6).epsilon(0.01));
  // Shares that keep the servers from refusing stay in force.
  fixture.runFor(Millis(1200));
  CHECK(inForce());
  for (std::size_t i = 0; i < Count; ++i) {
    for (int k = 0; k < 5; ++k)
      fixture.loads(i).recordEnd(Desk, Acme);
  }
  REQUIRE(fixture.runUntil([&] {
    return !fixture.loads(0).findShare(Desk) &&
           fixture.loads(0).findLoad(Desk) == nullptr;
  }));
  fixture.runFor(Millis(600));
  CHECK(fixture.countLogged("load.share_began") == Count);
  CHECK(fixture.countLogged("load.share_ended") == Count);
  CHECK(fixture.countLogged("load.share_changed") <= 3 * Count);
}

// Guards against shares of old while the store is away, and against a process
// that does not return to the exchange.
TEST_CASE("Without the store the local limits apply until it returns",
          "[load]") {
  ExchangeFixture fixture(2);
  for (std::size_t i = 0; i < 2; ++i) {
    for (int k = 0; k < 9; ++k)
      fixture.loads(i).recordArrival(Desk, Acme);
  }
  auto shared = [&] {
    return fixture.loads(0).findShare(Desk) && fixture.loads(1).findShare(Desk);
  };
  REQUIRE(fixture.strainUntil(shared));
  fixture.Store.Down = true;
  REQUIRE(fixture.strainUntil([&] {
    return !fixture.loads(0).findShare(Desk) &&
           !fixture.loads(1).findShare(Desk) &&
           fixture.loads(0).findLoad(Desk) == nullptr;
  }));
  // Failed calls are repeated at growing intervals, not at once.
  std::size_t calls = fixture.totalCalls();
  TimePoint end = monotonicNow() + Millis(1000);
  REQUIRE(fixture.strainUntil([&] { return monotonicNow() >= end; }));
  CHECK(fixture.totalCalls() - calls <= 100);
  fixture.Store.Down = false;
  CHECK(fixture.strainUntil(shared));
}

// Guards against an append that took effect although its answer was lost: its
// number must not be used again.
TEST_CASE("After a lost answer the next report has a greater number",
          "[load]") {
  ExchangeFixture fixture(2);
  fixture.Store.AppendFaults = {AppendFault::AnswerLost,
                                AppendFault::AnswerLost, AppendFault::Lost,
                                AppendFault::Refused};
  REQUIRE(fixture.strainUntil([&] {
    return fixture.loads(0).findLoad(Desk) != nullptr &&
           fixture.loads(1).findLoad(Desk) != nullptr &&
           fixture.Store.Topics[LoadTopic].size() >= 8;
  }));
  std::map<std::string, std::uint64_t> last;
  for (const std::string &it : fixture.Store.Topics[LoadTopic]) {
    std::size_t separator = it.find('|');
    REQUIRE(separator != std::string::npos);
    LoadReport report =
        decodeReport(it.substr(separator + 1), LoadTopic).value();
    std::uint64_t &before = last[it.substr(0, separator)];
    CHECK(report.Sequence > before);
    before = report.Sequence;
  }
  CHECK(fixture.ignored(0, "lower_sequence") == 0);
  CHECK(fixture.ignored(1, "lower_sequence") == 0);
}

// Guards against records of a faulty writer that stop the exchange or flood the
// log: one line, and a count by reason (page, part 2).
TEST_CASE("Unusable reports are ignored and counted", "[load]") {
  ExchangeFixture fixture(1);
  REQUIRE(fixture.strainUntil(
      [&] { return !fixture.Store.Topics[LoadTopic].empty(); }));
  fixture.runFor(Millis(100));
  for (int i = 0; i < 50; ++i)
    fixture.Store.append(LoadTopic, "broken|{]");
  fixture.Store.append(LoadTopic, "large|" + std::string(5000, ' '));
  LoadReport future = fixture.makeForeignReport(1);
  future.Life = wallMicros() + 90'000'000'000;
  fixture.Store.append(LoadTopic, "future|" + encodeReport(future));
  fixture.appendForeign(3);
  fixture.appendForeign(2);
  LoadReport old = fixture.makeForeignReport(9);
  old.Life -= 1'000'000'000;
  fixture.Store.append(LoadTopic, "ghost|" + encodeReport(old));
  CHECK(fixture.strainUntil([&] {
    return fixture.ignored(0, "older_incarnation") == 1 &&
           fixture.loads(0).findLoad(Desk) != nullptr;
  }));
  CHECK(fixture.ignored(0, "malformed") == 50);
  CHECK(fixture.ignored(0, "too_large") == 1);
  CHECK(fixture.ignored(0, "from_future") == 1);
  CHECK(fixture.ignored(0, "lower_sequence") == 1);
  CHECK(fixture.loads(0).findLoad(Desk)->Processes == 1);
  CHECK(fixture.countLogged("load.reports_ignored") == 1);
}

// Guards against the load of a process that has long been killed: neither the
// first read of the topic nor one after an outage tells the age of a report.
TEST_CASE("Reports that were written while this process did not read are not "
          "counted",
          "[load]") {
  ExchangeFixture fixture(1);
  fixture.appendForeign(1);
  Edge &edge = fixture.Edges[0];
  auto spend = [&](Millis Time) {
    TimePoint end = monotonicNow() + Time;
    bool counted = false;
    REQUIRE(fixture.strainUntil([&] {
      counted = counted || fixture.loads(0).findLoad(Desk) != nullptr;
      return monotonicNow() >= end;
    }));
    return counted;
  };
  CHECK_FALSE(spend(Millis(400)));
  *edge.Disconnected = true;
  CHECK_FALSE(spend(Millis(1000)));
  fixture.appendForeign(2);
  *edge.Disconnected = false;
  CHECK_FALSE(spend(Millis(800)));
  fixture.appendForeign(3);
  CHECK(fixture.strainUntil(
      [&] { return fixture.loads(0).findLoad(Desk) != nullptr; }));
}

// Guards against a forwarder that does not tell the exchange what it sees.
TEST_CASE("The forwarder records arrivals, answers and refusals", "[load]") {
  ExchangeFixture fixture(1);
  Edge &edge = fixture.Edges[0];
  unsigned status = GENERATE(200u, 503u);
  CAPTURE(status);
  EnginePort port;
  port.Call = [&](UpstreamRegistration, const http::Request &, SendOptions,
                  Millis) -> asio::awaitable<Outcome<UpstreamResponse>> {
    co_await pauseFor(fixture.Context.get_executor(), Millis(20));
    UpstreamResponse answer;
    answer.Proof = status == 200 ? AnswerProof::Ran : AnswerProof::NotRun;
    answer.Response.Status = status;
    co_return answer;
  };
  FeedContext feed{fixture.Context.get_executor(), fixture.Store.port(),
                   fixture.Decisions, fixture.View};
  std::shared_ptr<Forwarder> forwarder = Forwarder::create(
      {fixture.Context.get_executor(), fixture.View, port,
       Quarantine::create(feed, port, edge.Counts, Quarantine::Settings()),
       fixture.Decisions, edge.Counts, nullptr, edge.Loads},
      Forwarder::Settings());
  UpstreamRoute route;
  route.Kind = RouteKind::Idempotent;
  route.Services = {{Desk, 1}};
  // An answer after 20 ms is late, but not for the second target.
  route.LatencyTarget = Millis(GENERATE(10, 400));
  fixture.run([&]() -> asio::awaitable<void> {
    asio::cancellation_signal stop;
    ForwardRequest request;
    request.Id = "r";
    request.HttpRequest.Method = "POST";
    request.HttpRequest.Target = "/desk/x";
    request.Caller = Customer();
    request.Caller->Name = Acme;
    request.ArrivedAt = monotonicNow();
    request.CallerTimeout = Millis(300);
    co_await forwarder->answer(std::move(request), route, stop);
  });
  bool strained = status == 503 || route.LatencyTarget < Millis(20);
  fixture.runFor(Millis(200));
  const std::vector<std::string> &topic = fixture.Store.Topics[LoadTopic];
  CHECK(topic.empty() == !strained);
  if (!strained)
    return;
  const std::string &record = topic.front();
  LoadReport report =
      decodeReport(record.substr(record.find('|') + 1), LoadTopic).value();
  const ReportedService &service = report.Services.at(Desk);
  CHECK(service.Customers.at(Acme).ArrivalRate > 0);
  if (status == 200)
    CHECK(service.Servers.at(Plain).LatencyMs >= 20);
}

} // namespace wasabi::batchtest
