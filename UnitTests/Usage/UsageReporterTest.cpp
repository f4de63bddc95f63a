#include "Wasabi/Usage/UsageReporter.h"
#include "UnitTests/Batch/BatchFixture.h"

#include <set>

namespace wasabi::batchtest {

namespace {

const CustomerName Anna("anna");
constexpr Millis Window{60};

/// Records the reports and answers them as configured.
struct FakeReports {
  struct Report {
    UsageDecision Decision;
    CallPermit Permit;
  };
  std::vector<Report> Calls;
  /// Failure codes of the next calls; calls succeed when it is empty.
  std::deque<FailureCode> Failures;

  ReportPort port() {
    ReportPort port;
    port.Usage = [this](UsageDecision Decision, CallPermit Permit, Millis) {
      return onReport(std::move(Decision), std::move(Permit));
    };
    return port;
  }
  boost::asio::awaitable<Outcome<Done>> onReport(UsageDecision Decision,
                                                 CallPermit Permit) {
    Calls.push_back({std::move(Decision), std::move(Permit)});
    if (Failures.empty())
      co_return Done{};
    Failure failure{
        Verdict::MayHaveRun, Failures.front(), "fake", "injected failure", {}};
    Failures.pop_front();
    co_return failure;
  }
  std::set<UsageWindow> windows() const {
    std::set<UsageWindow> all;
    for (const Report &it : Calls)
      all.insert(it.Decision.Window);
    return all;
  }
};

/// A process that counts requests and may report.
struct ReportProcess {
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  Metrics Counts;
  std::shared_ptr<RolloutLog> Log;
  std::shared_ptr<LeaseManager> Lease;
  std::shared_ptr<UsageMeter> Meter;
  std::shared_ptr<UsageReporter> Reporter;

  ReportProcess(BatchTestFixture &Fixture, FakeReports &Reports,
                const std::string &Name, Incarnation Life) {
    boost::asio::any_io_executor executor = Fixture.Context.get_executor();
    RecordStore store = Fixture.Store.port(Disconnected);
    Log = Fixture.startLog(store);
    LeaseSettings lease;
    lease.Self = LeaseHolder{InstanceName(Name), Life};
    lease.LeaseTimeout = Millis(120);
    lease.RenewInterval = Millis(10);
    lease.MaxClaimJitter = Millis(10);
    lease.TakeoverDelay = Millis(100);
    Lease = LeaseManager::create(executor, Log, Fixture.Decisions, lease,
                                 {[] {}, [] {}});
    UsageMeter::Settings meter;
    meter.Self = {InstanceName(Name), Life};
    meter.Windows = windows();
    meter.Pace = Millis(2);
    meter.AppendIntervalFactor = 0;
    meter.RetryDelay = Millis(3);
    meter.MaxAppendInterval = Millis(20);
    meter.MaxWriteJitter = Millis(2);
    Meter = UsageMeter::create({executor, store, Fixture.Decisions, Counts,
                                WallClock::create(), Log->contact()},
                               meter);
    UsageReporter::Settings reporter;
    reporter.Self = meter.Self;
    reporter.Windows = windows();
    reporter.ReadTimeout = Millis(5);
    reporter.ReadDelay = Millis(2);
    reporter.RetryDelay = Millis(5);
    reporter.MinReportInterval = Millis(1);
    Reporter = UsageReporter::create({executor, store, Reports.port(), Lease,
                                      Fixture.Decisions, Counts,
                                      WallClock::create(), Log->contact()},
                                     reporter);
    Lease->start();
    Meter->start();
    Reporter->start();
  }

  static UsageSettings windows() {
    UsageSettings windows;
    windows.Window = Window;
    windows.SettleDelay = Millis(10);
    windows.Due = Millis(300);
    windows.DueMargin = Millis(100);
    windows.FewMissingTimeout = Millis(100);
    windows.StoreRecoveryDelay = Millis(60);
    return windows;
  }
};

/// Checks that no window is missing and that repeated reports of a window have
/// the same counts.
void checkReports(const FakeReports &Reports) {
  std::set<UsageWindow> windows = Reports.windows();
  REQUIRE_FALSE(windows.empty());
  CHECK(windows.size() == *windows.rbegin() - *windows.begin() + 1);
  std::map<UsageWindow, UsageCounts> first;
  for (const FakeReports::Report &it : Reports.Calls)
    CHECK(first.emplace(it.Decision.Window, it.Decision.Counts).first->second ==
          it.Decision.Counts);
}

std::uint64_t sumFor(const FakeReports &Reports, const CustomerName &Customer) {
  std::map<UsageWindow, UsageCounts> windows;
  for (const FakeReports::Report &it : Reports.Calls)
    windows[it.Decision.Window] = it.Decision.Counts;
  std::uint64_t sum = 0;
  for (const auto &[window, counts] : windows) {
    auto found = counts.find(Customer);
    sum += found == counts.end() ? 0 : found->second;
  }
  return sum;
}

} // namespace

TEST_CASE("Each window is reported once, with the counts of all processes",
          "[usage]") {
  BatchTestFixture fixture;
  FakeReports reports;
  ReportProcess one(fixture, reports, "one", 1);
  ReportProcess two(fixture, reports, "two", 2);
  REQUIRE(fixture.runUntil([&] { return one.Meter->known(); }));
  REQUIRE(fixture.runUntil([&] { return two.Meter->known(); }));
  one.Meter->began(Anna);
  two.Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] { return sumFor(reports, Anna) == 2; }));
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() >= 4; }));
  checkReports(reports);
  CHECK(reports.windows().size() == reports.Calls.size());
  for (const FakeReports::Report &it : reports.Calls) {
    CHECK(it.Permit.Holder == reports.Calls[0].Permit.Holder);
    CHECK(it.Permit.Token == reports.Calls[0].Permit.Token);
    CHECK(it.Permit.Token > 0);
  }
}

TEST_CASE("A failed report is retried, the oldest window first", "[usage]") {
  BatchTestFixture fixture;
  FakeReports reports;
  reports.Failures = {FailureCode::TimedOut, FailureCode::Overloaded,
                      FailureCode::ConnectionLost, FailureCode::Unreachable};
  ReportProcess one(fixture, reports, "one", 1);
  REQUIRE(fixture.runUntil([&] { return one.Meter->known(); }));
  one.Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] { return reports.windows().size() >= 4; }));
  checkReports(reports);
  CHECK(sumFor(reports, Anna) == 1);
  CHECK(reports.Calls.size() >= reports.windows().size() + 4);
  for (std::size_t i = 1; i < reports.Calls.size(); ++i)
    CHECK(reports.Calls[i].Decision.Window >=
          reports.Calls[i - 1].Decision.Window);
}

TEST_CASE(
    "A successor reports the decided counts with a greater token after the "
    "takeover delay",
    "[usage]") {
  BatchTestFixture fixture;
  FakeReports reports;
  // All reports of the first reporter fail.
  reports.Failures.assign(1000, FailureCode::TimedOut);
  std::unique_ptr<ReportProcess> one =
      std::make_unique<ReportProcess>(fixture, reports, "one", 1);
  REQUIRE(fixture.runUntil([&] { return one->Meter->known(); }));
  one->Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() > 3; }));
  FencingToken first = reports.Calls[0].Permit.Token;
  ReportProcess two(fixture, reports, "two", 2);
  REQUIRE(fixture.runUntil([&] { return two.Meter->known(); }));
  *one->Disconnected = true;
  REQUIRE(fixture.runUntil([&] { return two.Lease->held(); }));
  TimePoint takeoverAt = monotonicNow();
  std::size_t before = reports.Calls.size();
  // The successor reports the decision of its predecessor.
  reports.Failures.clear();
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() > before; }));
  CHECK(monotonicNow() - takeoverAt >= Millis(90));
  CHECK(reports.Calls[before].Permit.Holder.Text == "two");
  CHECK(reports.Calls[before].Permit.Token > first);
  REQUIRE(fixture.runUntil([&] { return sumFor(reports, Anna) == 1; }));
  checkReports(reports);
  for (std::size_t i = before; i < reports.Calls.size(); ++i)
    CHECK(reports.Calls[i].Permit.Holder.Text == "two");
}

TEST_CASE(
    "A reporter stops while it is disconnected from the store and resumes "
    "if there is no successor",
    "[usage]") {
  BatchTestFixture fixture;
  FakeReports reports;
  ReportProcess one(fixture, reports, "one", 1);
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() >= 2; }));
  *one.Disconnected = true;
  fixture.Context.run_for(Millis(150));
  std::size_t before = reports.Calls.size();
  fixture.Context.run_for(Millis(250));
  CHECK(reports.Calls.size() == before);
  *one.Disconnected = false;
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() > before + 4; }));
  checkReports(reports);
}

TEST_CASE(
    "Windows whose reports are overdue after an outage are still reported",
    "[usage]") {
  BatchTestFixture fixture;
  FakeReports reports;
  ReportProcess one(fixture, reports, "one", 1);
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() >= 2; }));
  one.Meter->began(Anna);
  fixture.Store.Down = true;
  // Longer than it takes to detect the outage.
  fixture.Context.run_for(StoreContact::Settings().OutageTimeout + Millis(300));
  fixture.Store.Down = false;
  REQUIRE(fixture.runUntil([&] { return sumFor(reports, Anna) == 1; }));
  checkReports(reports);
}

// Guards against a report that is sent before the retained counts are read.
TEST_CASE("No window is decided before the records after expired ones are read",
          "[usage]") {
  BatchTestFixture fixture;
  FakeReports reports;
  fixture.Store.expire("usage", 100);
  fixture.Store.MaxEntries = 1;
  ReportProcess one(fixture, reports, "one", 1);
  ReportProcess two(fixture, reports, "two", 2);
  REQUIRE(fixture.runUntil([&] { return one.Meter->known(); }));
  REQUIRE(fixture.runUntil([&] { return two.Meter->known(); }));
  for (int i = 0; i < 5; ++i) {
    one.Meter->began(Anna);
    two.Meter->began(Anna);
  }
  REQUIRE(fixture.runUntil([&] { return sumFor(reports, Anna) == 10; }));
  checkReports(reports);
  // A holder that has missed records starts anew.
  std::size_t before = reports.Calls.size();
  fixture.Store.expire("usage", fixture.Store.Topics["usage"].size() + 50);
  REQUIRE(fixture.runUntil([&] { return reports.Calls.size() > before + 3; }));
}

} // namespace wasabi::batchtest
