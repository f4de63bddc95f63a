#include "Wasabi/LoadExchange/LoadView.h"
#include "Wasabi/LoadExchange/LocalLoad.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ServiceName Desk("desk");
const InstanceName Edge("edge-1");
const ServerIncarnation Server{ServerName("s"), 1};
constexpr std::uint64_t WallNow = 1'780'000'000'000'000;
/// A process that started an hour ago.
constexpr Incarnation Life = WallNow - 3'600'000'000;
const TimePoint Start{std::chrono::hours(5)};

LoadReport makeReport(Incarnation Life, std::uint64_t Sequence,
                      ReportedServer Measured = {40, 4, 2}) {
  LoadReport report;
  report.Life = Life;
  report.Sequence = Sequence;
  report.Services[Desk].Customers[CustomerName("acme")] = {5, 2};
  report.Services[Desk].Servers[Server] = Measured;
  return report;
}

ReportEffect apply(LoadView &View, const InstanceName &Instance,
                   const LoadReport &Report, TimePoint Now = Start) {
  return applyReport(View, Instance, Report, 200, true, Now, WallNow);
}

} // namespace

// Guards against a restarted or delayed process that overwrites newer loads.
TEST_CASE("Reports of an older incarnation or a lower sequence number are "
          "ignored",
          "[load]") {
  LoadView view;
  REQUIRE(apply(view, Edge, makeReport(Life, 5)) == ReportEffect::Accepted);
  CHECK(apply(view, Edge, makeReport(Life, 5)) == ReportEffect::LowerSequence);
  CHECK(apply(view, Edge, makeReport(Life, 4)) == ReportEffect::LowerSequence);
  CHECK(apply(view, Edge, makeReport(Life - 1, 6)) ==
        ReportEffect::OlderIncarnation);
  CHECK(view.Reports[Edge].Report.Sequence == 5);
  CHECK(apply(view, Edge, makeReport(Life + 1, 1)) == ReportEffect::Accepted);
}

// Guards against one faulty report that makes all later ones of its key look
// old.
TEST_CASE("Reports from the future are ignored", "[load]") {
  LoadView view;
  constexpr std::uint64_t Day = 86'400'000'000;
  CHECK(apply(view, Edge, makeReport(WallNow + Day, 1)) ==
        ReportEffect::FromFuture);
  // One report per 250 ms since the start, with an hour for the clocks' skew.
  CHECK(apply(view, Edge, makeReport(Life, 2 * 3600 * 4 + 2)) ==
        ReportEffect::FromFuture);
  CHECK(view.Reports.empty());
  // Clocks may differ.
  CHECK(apply(view, Edge, makeReport(WallNow + Day / 48, 1)) ==
        ReportEffect::Accepted);
}

// Guards against unbounded memory: at most 1,024 processes (page, part 2).
TEST_CASE("Reports of too many processes are ignored until others expire",
          "[load]") {
  LoadView view;
  for (int i = 0; i < 1024; ++i)
    REQUIRE(apply(view, InstanceName(std::to_string(i)), makeReport(Life, 1)) ==
            ReportEffect::Accepted);
  CHECK(apply(view, Edge, makeReport(Life, 1)) ==
        ReportEffect::TooManyProcesses);
  CHECK(apply(view, InstanceName("7"), makeReport(Life, 2)) ==
        ReportEffect::Accepted);
  // Three intervals of so many processes.
  TimePoint later = Start + 3 * reportInterval(view, 0);
  expireReports(view, later);
  CHECK(apply(view, Edge, makeReport(Life, 1), later) ==
        ReportEffect::Accepted);
  CHECK(view.Reports.size() <= 1024);
}

// Guards against the load of a killed process that is counted for ever, and
// against dropping a process of which two reports were lost: three intervals,
// at least 3 s (page, part 2).
TEST_CASE("A report is valid for three of its intervals, at least 3 s",
          "[load]") {
  Millis interval(GENERATE(1000, 2000));
  Millis validity = std::max(Millis(3000), 3 * interval);
  LoadView view;
  LoadReport report = makeReport(Life, 3);
  report.Interval = interval;
  REQUIRE(apply(view, Edge, report) == ReportEffect::Accepted);
  TimePoint last = Start + validity - Millis(1);
  expireReports(view, last);
  CHECK(countReports(view) == 1);
  CHECK(foldLoad(view, Desk, last));
  TimePoint end = Start + validity;
  // Also before the next evaluation, as in a process that was frozen.
  CHECK_FALSE(foldLoad(view, Desk, end));
  expireReports(view, end);
  CHECK(countReports(view) == 0);
  // The sequence number is remembered beyond that.
  CHECK(apply(view, Edge, makeReport(Life, 3), end) ==
        ReportEffect::LowerSequence);
  expireReports(view, Start + Millis(60000));
  CHECK(view.Reports.empty());
}

// Guards against reports that expire before the next one: a process that has
// not heard of the others yet states too short an interval.
TEST_CASE("A report is valid for three intervals of the known processes",
          "[load]") {
  LoadView view;
  for (int i = 0; i < 200; ++i)
    apply(view, InstanceName(std::to_string(i)), makeReport(Life, 1));
  // 200 processes report every 10 s (page, part 2).
  TimePoint last = Start + Millis(29999);
  expireReports(view, last);
  CHECK(countReports(view) == 200);
  expireReports(view, Start + Millis(30150));
  CHECK(countReports(view) == 0);
}

// Guards against the load of a process that was killed long before its report
// was read.
TEST_CASE("A report of unknown age is not counted, but a later one is",
          "[load]") {
  LoadView view;
  REQUIRE(applyReport(view, Edge, makeReport(Life, 8), 200, false, Start,
                      WallNow) == ReportEffect::Accepted);
  CHECK(countReports(view) == 0);
  CHECK_FALSE(foldLoad(view, Desk, Start));
  CHECK(apply(view, Edge, makeReport(Life, 8)) == ReportEffect::LowerSequence);
  CHECK(apply(view, Edge, makeReport(Life, 9)) == ReportEffect::Accepted);
  CHECK(foldLoad(view, Desk, Start)->Processes == 1);
}

// Guards against an estimate of few or old samples that outweighs new ones.
TEST_CASE("Estimates are merged by samples and age", "[load]") {
  LoadView view;
  apply(view, InstanceName("a"), makeReport(Life, 1, {100, 1, 2}));
  apply(view, InstanceName("b"), makeReport(Life, 1, {20, 3, 1}));
  ServerLoad equal = foldLoad(view, Desk, Start)->Servers.at(Server);
  CHECK(equal.LatencyMs == Approx(40));
  CHECK(equal.Samples == Approx(4));
  CHECK(equal.InFlight == 3);
  // One half-life later, 100 ms weigh a half, and the new 20 ms all.
  TimePoint later = Start + Millis(1000);
  apply(view, InstanceName("b"), makeReport(Life, 2, {20, 3, 1}), later);
  ServerLoad aged = foldLoad(view, Desk, later)->Servers.at(Server);
  CHECK(aged.LatencyMs == Approx((100 * 0.5 + 20 * 3) / 3.5));
  CHECK(aged.MeasuredAt == later);
  // Requests in flight without an estimate count, too.
  apply(view, InstanceName("c"), makeReport(Life, 1, {0, 0, 5}), later);
  CHECK(foldLoad(view, Desk, later)->Servers.at(Server).InFlight == 8);
  CHECK(foldLoad(view, Desk, later)->Servers.at(Server).LatencyMs ==
        Approx(aged.LatencyMs));
  CHECK_FALSE(foldLoad(view, ServiceName("other"), later));
}

// Guards against a share that outlives the knowledge behind it: more than 64
// processes, or none heard for 3 s (page, part 2).
TEST_CASE("A share is in force only while it is well founded", "[load]") {
  LoadView view;
  ReportedService own;
  own.Customers[CustomerName("acme")] = {0, 10};
  CHECK_FALSE(findFairShare(view, Desk, own, 6, Start));
  LoadReport report = makeReport(Life, 1);
  report.Interval = Millis(2000);
  apply(view, Edge, report);
  CHECK(findFairShare(view, Desk, own, 6, Start));
  CHECK_FALSE(findFairShare(view, Desk, own, 12, Start));
  CHECK_FALSE(findFairShare(view, Desk, own, 0, Start));
  CHECK_FALSE(findFairShare(view, ServiceName("other"), own, 6, Start));
  CHECK(findFairShare(view, Desk, own, 6, Start + Millis(2999)));
  CHECK_FALSE(findFairShare(view, Desk, own, 6, Start + Millis(3000)));
  for (int i = 2; i <= 63; ++i)
    apply(view, InstanceName(std::to_string(i)), makeReport(Life, 1));
  CHECK(findFairShare(view, Desk, own, 6, Start));
  apply(view, InstanceName("64"), makeReport(Life, 1));
  CHECK_FALSE(findFairShare(view, Desk, own, 6, Start));
}

// Guards against a service that looks idle because it refuses at once.
TEST_CASE("Requests that are refused at once count as demand", "[load]") {
  ReportedService service;
  service.Customers[CustomerName("refused")] = {100, 1};
  service.Customers[CustomerName("waiting")] = {1, 9};
  ServiceDemand demand = demandOf(service, 50);
  CHECK(demand.Customers[CustomerName("refused")] == Approx(5));
  CHECK(demand.Customers[CustomerName("waiting")] == Approx(9));
}

//===--- Observations of this process -------------------------------------===//

// Guards against reports at rest and against strain that never ends: 2 s after
// the last observation (page, part 2).
TEST_CASE("Strain lasts 2 s after its last observation", "[load]") {
  LocalLoad load;
  CHECK(noteStrain(load, Desk, Start));
  CHECK_FALSE(noteStrain(load, Desk, Start + Millis(1500)));
  CHECK(endStrains(load, Start + Millis(3499)).empty());
  CHECK(hasStrain(load));
  std::vector<EndedStrain> ended = endStrains(load, Start + Millis(3500));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].Duration == Millis(3500));
  CHECK_FALSE(hasStrain(load));
  CHECK(makeReport(load, Start).Services.empty());
}

// Guards against a slow server that nobody reports because it still meets its
// target, and against false alarms from single samples.
TEST_CASE("Servers are uneven at twice the latency with three samples each",
          "[load]") {
  LocalLoad load;
  ServerIncarnation slow{ServerName("slow"), 1};
  TimePoint now = Start;
  for (int i = 0; i < 3; ++i)
    CHECK_FALSE(noteLatency(load, Desk, Server, 20, now));
  CHECK_FALSE(noteLatency(load, Desk, slow, 45, now));
  CHECK_FALSE(noteLatency(load, Desk, slow, 45, now));
  CHECK(noteLatency(load, Desk, slow, 45, now));
  CHECK(noteLatency(load, Desk, Server, 20, now));
  // Samples count for a second.
  now += Millis(1001);
  CHECK_FALSE(noteLatency(load, Desk, slow, 45, now));
}

// Guards against a slow change: a rise shows at once, and the rate follows
// Little's time constant of 2 s.
TEST_CASE("A report has the rates, the requests in flight and the latencies",
          "[load]") {
  LocalLoad load;
  CustomerName acme("acme");
  TimePoint now = Start;
  for (int i = 0; i < 400; ++i) {
    noteArrival(load, Desk, acme, now);
    if (i >= 3)
      noteEnd(load, Desk, acme);
    now += Millis(50);
  }
  noteLatency(load, Desk, Server, 20, now);
  noteLatency(load, Desk, Server, 100, now);
  noteStrain(load, Desk, now);
  ReportedService service = makeReport(load, now).Services.at(Desk);
  CHECK(service.Customers.at(acme).ArrivalRate == Approx(20).epsilon(0.05));
  CHECK(service.Customers.at(acme).InFlight == 3);
  CHECK(service.Servers.at(Server).LatencyMs == Approx(60));
  CHECK(service.Servers.at(Server).Samples == 2);
}

// Guards against memory that grows with every customer and server ever seen.
TEST_CASE("Idle customers and servers are forgotten", "[load]") {
  LocalLoad load;
  TimePoint now = Start;
  for (int i = 0; i < 1000; ++i) {
    CustomerName customer(std::to_string(i));
    noteArrival(load, Desk, customer, now);
    noteEnd(load, Desk, customer);
    noteLatency(load, Desk, {ServerName("s"), static_cast<std::uint64_t>(i)},
                20, now);
    now += Millis(1000);
  }
  CHECK(load.Services[Desk].Customers.size() <= 62);
  CHECK(load.Services[Desk].Servers.size() <= 62);
}

// Guards against repeated urgent reports without news: 25% with two samples
// (page, part 2).
TEST_CASE("A report is urgent if it differs from what the others know",
          "[load]") {
  LocalLoad::Settings limits;
  std::map<ServiceName, ServiceLoad> others;
  LoadReport last = makeReport(Life, 1, {40, 2, 0});
  CHECK(isUrgent(limits, last, LoadReport(), others));
  CHECK_FALSE(isUrgent(limits, makeReport(Life, 2, {49, 2, 0}), last, others));
  CHECK(isUrgent(limits, makeReport(Life, 2, {50, 2, 0}), last, others));
  CHECK(isUrgent(limits, makeReport(Life, 2, {30, 2, 0}), last, others));
  CHECK_FALSE(isUrgent(limits, makeReport(Life, 2, {90, 1, 0}), last, others));
  others[Desk].Servers[Server].LatencyMs = 55;
  CHECK_FALSE(isUrgent(limits, makeReport(Life, 2, {50, 2, 0}), last, others));
}

} // namespace wasabi
