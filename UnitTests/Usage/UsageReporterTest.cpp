#include "Wasabi/Usage/UsageReporter.h"
#include "UnitTests/Batch/BatchFixture.h"

#include <set>

namespace wasabi::batchtest {

namespace {

const CustomerName Anna("anna");
constexpr Millis Window{60};

/// What the platform was told, and how it answers.
struct FakeReports {
  struct Told {
    UsageDecision What;
    CallPermit By;
  };
  std::vector<Told> Calls;
  /// Codes of failure of the next calls; taken when there are none.
  std::deque<FailureCode> Failures;

  ReportPort port() {
    ReportPort port;
    port.Usage = [this](UsageDecision What, CallPermit By, Millis) {
      return take(std::move(What), std::move(By));
    };
    return port;
  }
  boost::asio::awaitable<Outcome<Done>> take(UsageDecision What,
                                             CallPermit By) {
    Calls.push_back({std::move(What), std::move(By)});
    if (Failures.empty())
      co_return Done{};
    Failure why{Verdict::MayHaveRun, Failures.front(), "fake", "as told", {}};
    Failures.pop_front();
    co_return why;
  }
  std::set<UsageWindow> windows() const {
    std::set<UsageWindow> all;
    for (const Told &it : Calls)
      all.insert(it.What.Window);
    return all;
  }
};

/// One process that counts and may report.
struct ReportProcess {
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  Metrics Counts;
  std::shared_ptr<RolloutLog> Log;
  std::shared_ptr<LeaseManager> Duty;
  std::shared_ptr<UsageMeter> Meter;
  std::shared_ptr<UsageReporter> Reporter;

  ReportProcess(BatchTestFixture &World, FakeReports &To,
                const std::string &Name, Incarnation Life) {
    boost::asio::any_io_executor executor = World.Context.get_executor();
    RecordStore store = World.Store.port(Disconnected);
    Log = World.startLog(store);
    LeaseSettings duty;
    duty.Self = LeaseHolder{InstanceName(Name), Life};
    duty.LeaseTimeout = Millis(120);
    duty.RenewInterval = Millis(10);
    duty.MaxClaimJitter = Millis(10);
    duty.TakeoverDelay = Millis(100);
    Duty = LeaseManager::create(executor, Log, World.Decisions, duty,
                                {[] {}, [] {}});
    UsageMeter::Settings meter;
    meter.Self = {InstanceName(Name), Life};
    meter.Windows = windows();
    meter.Pace = Millis(2);
    meter.AppendIntervalFactor = 0;
    meter.RetryDelay = Millis(3);
    meter.MaxAppendInterval = Millis(20);
    meter.EndSpread = Millis(2);
    Meter = UsageMeter::create({executor, store, World.Decisions, Counts,
                                WallClock::create(), Log->contact()},
                               meter);
    UsageReporter::Settings reporter;
    reporter.Self = meter.Self;
    reporter.Windows = windows();
    reporter.Wait = Millis(5);
    reporter.Pace = Millis(2);
    reporter.RetryDelay = Millis(5);
    reporter.MinReportInterval = Millis(1);
    Reporter = UsageReporter::create({executor, store, To.port(), Duty,
                                      World.Decisions, Counts,
                                      WallClock::create(), Log->contact()},
                                     reporter);
    Duty->start();
    Meter->start();
    Reporter->start();
  }

  static UsageSettings windows() {
    UsageSettings windows;
    windows.Window = Window;
    windows.Settle = Millis(10);
    windows.Due = Millis(300);
    windows.DueMargin = Millis(100);
    windows.FewMissingTimeout = Millis(100);
    windows.StoreRecoveryDelay = Millis(60);
    return windows;
  }
};

/// Each window was told once, without a gap, by its first decision.
void checkTold(const FakeReports &Told) {
  std::set<UsageWindow> windows = Told.windows();
  REQUIRE_FALSE(windows.empty());
  CHECK(windows.size() == *windows.rbegin() - *windows.begin() + 1);
  std::map<UsageWindow, UsageCounts> first;
  for (const FakeReports::Told &it : Told.Calls)
    CHECK(first.emplace(it.What.Window, it.What.Counts).first->second ==
          it.What.Counts);
}

std::uint64_t sumFor(const FakeReports &Told, const CustomerName &Who) {
  std::map<UsageWindow, UsageCounts> windows;
  for (const FakeReports::Told &it : Told.Calls)
    windows[it.What.Window] = it.What.Counts;
  std::uint64_t sum = 0;
  for (const auto &[window, counts] : windows) {
    auto found = counts.find(Who);
    sum += found == counts.end() ? 0 : found->second;
  }
  return sum;
}

} // namespace

TEST_CASE("Each window is reported once, with what all processes counted",
          "[usage]") {
  BatchTestFixture world;
  FakeReports told;
  ReportProcess one(world, told, "one", 1);
  ReportProcess two(world, told, "two", 2);
  REQUIRE(world.runUntil([&] { return one.Meter->known(); }));
  REQUIRE(world.runUntil([&] { return two.Meter->known(); }));
  one.Meter->began(Anna);
  two.Meter->began(Anna);
  REQUIRE(world.runUntil([&] { return sumFor(told, Anna) == 2; }));
  REQUIRE(world.runUntil([&] { return told.Calls.size() >= 4; }));
  checkTold(told);
  CHECK(told.windows().size() == told.Calls.size());
  for (const FakeReports::Told &it : told.Calls) {
    CHECK(it.By.Holder == told.Calls[0].By.Holder);
    CHECK(it.By.Token == told.Calls[0].By.Token);
    CHECK(it.By.Token > 0);
  }
}

TEST_CASE("A report that fails is told again, the oldest first", "[usage]") {
  BatchTestFixture world;
  FakeReports told;
  told.Failures = {FailureCode::TimedOut, FailureCode::Overloaded,
                   FailureCode::ConnectionLost, FailureCode::Unreachable};
  ReportProcess one(world, told, "one", 1);
  REQUIRE(world.runUntil([&] { return one.Meter->known(); }));
  one.Meter->began(Anna);
  REQUIRE(world.runUntil([&] { return told.windows().size() >= 4; }));
  checkTold(told);
  CHECK(sumFor(told, Anna) == 1);
  CHECK(told.Calls.size() >= told.windows().size() + 4);
  for (std::size_t i = 1; i < told.Calls.size(); ++i)
    CHECK(told.Calls[i].What.Window >= told.Calls[i - 1].What.Window);
}

TEST_CASE("A successor tells what was decided, under a greater token and after "
          "a pause",
          "[usage]") {
  BatchTestFixture world;
  FakeReports told;
  // The first reporter decides and can tell nothing.
  told.Failures.assign(1000, FailureCode::TimedOut);
  std::unique_ptr<ReportProcess> one =
      std::make_unique<ReportProcess>(world, told, "one", 1);
  REQUIRE(world.runUntil([&] { return one->Meter->known(); }));
  one->Meter->began(Anna);
  REQUIRE(world.runUntil([&] { return told.Calls.size() > 3; }));
  FencingToken first = told.Calls[0].By.Token;
  ReportProcess two(world, told, "two", 2);
  REQUIRE(world.runUntil([&] { return two.Meter->known(); }));
  *one->Disconnected = true;
  REQUIRE(world.runUntil([&] { return two.Duty->held(); }));
  TimePoint taken = monotonicNow();
  std::size_t before = told.Calls.size();
  // What the store shows is the decision of the one before.
  told.Failures.clear();
  REQUIRE(world.runUntil([&] { return told.Calls.size() > before; }));
  CHECK(monotonicNow() - taken >= Millis(90));
  CHECK(told.Calls[before].By.Holder.Text == "two");
  CHECK(told.Calls[before].By.Token > first);
  REQUIRE(world.runUntil([&] { return sumFor(told, Anna) == 1; }));
  checkTold(told);
  for (std::size_t i = before; i < told.Calls.size(); ++i)
    CHECK(told.Calls[i].By.Holder.Text == "two");
}

TEST_CASE("A reporter that is cut off from the store calls no more, and goes "
          "on when nobody has followed it",
          "[usage]") {
  BatchTestFixture world;
  FakeReports told;
  ReportProcess one(world, told, "one", 1);
  REQUIRE(world.runUntil([&] { return told.Calls.size() >= 2; }));
  *one.Disconnected = true;
  world.Context.run_for(Millis(150));
  std::size_t before = told.Calls.size();
  world.Context.run_for(Millis(250));
  CHECK(told.Calls.size() == before);
  *one.Disconnected = false;
  REQUIRE(world.runUntil([&] { return told.Calls.size() > before + 4; }));
  checkTold(told);
}

TEST_CASE(
    "Windows that no report could leave in time for are told all the same",
    "[usage]") {
  BatchTestFixture world;
  FakeReports told;
  ReportProcess one(world, told, "one", 1);
  REQUIRE(world.runUntil([&] { return told.Calls.size() >= 2; }));
  one.Meter->began(Anna);
  world.Store.Down = true;
  // Longer than it takes to notice that the store is away.
  world.Context.run_for(StoreContact::Settings().OutageTimeout + Millis(300));
  world.Store.Down = false;
  REQUIRE(world.runUntil([&] { return sumFor(told, Anna) == 1; }));
  checkTold(told);
}

} // namespace wasabi::batchtest
