#include "Wasabi/Usage/UsageMeter.h"
#include "UnitTests/Batch/BatchFixture.h"

namespace wasabi::batchtest {

namespace {

const CustomerName Anna("anna");
const CustomerName Bert("bert");

struct MeterFixture : SimulatedTestFixture {
  Metrics Counts;
  StoreContact Contact;
  std::shared_ptr<bool> Disconnected = std::make_shared<bool>(false);
  std::shared_ptr<UsageMeter> Meter;

  explicit MeterFixture(Millis Window = Millis(3600000)) {
    UsageMeter::Settings limits;
    limits.Self = {InstanceName("edge"), 7};
    limits.Windows.Window = Window;
    limits.Pace = Millis(5);
    limits.AppendIntervalFactor = 0;
    limits.MaxAppendInterval = Millis(20);
    limits.BurstSpan = Millis(40);
    limits.RetryDelay = Millis(5);
    limits.MaxWriteJitter = Millis(5);
    Meter =
        UsageMeter::create({Context.get_executor(), Store.port(Disconnected),
                            Decisions, Counts, WallClock::create(), Contact},
                           limits);
    Meter->start();
  }
  std::vector<UsageBatch> batches() {
    std::vector<UsageBatch> all;
    for (const std::string &it : Store.Topics[UsageTopic]) {
      UsageRecord record = decodeUsage(it, "test").value();
      if (const UsageBatch *batch = std::get_if<UsageBatch>(&record))
        all.push_back(*batch);
    }
    return all;
  }
  /// The counts that a reader of the topic computes.
  UsageCounts counted() {
    UsageState state;
    UsageSettings limits;
    limits.Window = Millis(3600000);
    UsageReadContext context{
        monotonicNow(), WallClock::create().at(monotonicNow()), Millis::max()};
    Offset at = 0;
    for (const std::string &it : Store.Topics[UsageTopic])
      apply(state, at++, decodeUsage(it, "test").value(), context, limits);
    return countsOf(state, windowOf(context.Wall, limits.Window) + 1, limits);
  }
};

} // namespace

TEST_CASE("A process announces itself before it has counted a request",
          "[usage]") {
  MeterFixture fixture;
  CHECK_FALSE(fixture.Meter->known());
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  REQUIRE(fixture.batches().size() == 1);
  CHECK(fixture.batches()[0].Entries.empty());
}

TEST_CASE("A request is written to the topic when it starts to run",
          "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  fixture.runFor(Millis(10));
  fixture.Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() == 2; }));
  CHECK(fixture.counted() == UsageCounts{{Anna, 1}});
}

TEST_CASE("Frequent counts are batched into a limited rate of appends",
          "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  TimePoint begin = monotonicNow();
  constexpr std::uint64_t Requests = 200;
  for (std::uint64_t i = 0; i < Requests; ++i) {
    fixture.Meter->began(Anna);
    fixture.runFor(Millis(1));
  }
  REQUIRE(fixture.runUntil([&] {
    return fixture.counted() == UsageCounts{{Anna, Requests}};
  }));
  auto took =
      std::chrono::duration_cast<Millis>(monotonicNow() - begin).count();
  // One append each 5 ms, apart from the first burst.
  CHECK(fixture.batches().size() <= 12 + static_cast<std::size_t>(took / 5));
}

TEST_CASE(
    "A withdrawn request doesn't count, and isn't written if still pending",
    "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  UsageEntry unrun = fixture.Meter->began(Anna);
  fixture.Meter->withdraw(unrun);
  fixture.Meter->began(Bert);
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() == 2; }));
  CHECK(fixture.batches()[1].Entries.size() == 1);
  UsageEntry written = fixture.Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() == 3; }));
  fixture.Meter->withdraw(written);
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() == 4; }));
  CHECK(fixture.counted() == UsageCounts{{Bert, 1}});
}

TEST_CASE("Counts survive refused, unanswered and lost appends and outages",
          "[usage]") {
  for (AppendFault fault :
       {AppendFault::Refused, AppendFault::AnswerLost, AppendFault::Lost}) {
    MeterFixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
    fixture.Store.AppendFaults = {fault, fault, fault};
    UsageCounts expected;
    for (int i = 0; i < 40; ++i) {
      const CustomerName &customer = i % 3 == 0 ? Anna : Bert;
      fixture.Meter->began(customer);
      ++expected[customer];
      fixture.runFor(Millis(2));
    }
    REQUIRE(fixture.runUntil([&] { return fixture.counted() == expected; }));
    fixture.runFor(Millis(30));
    CHECK(fixture.counted() == expected);
  }
  MeterFixture disconnected;
  REQUIRE(disconnected.runUntil([&] { return disconnected.Meter->known(); }));
  *disconnected.Disconnected = true;
  disconnected.Meter->began(Anna);
  disconnected.runFor(Millis(50));
  disconnected.Meter->began(Bert);
  CHECK(disconnected.counted().empty());
  *disconnected.Disconnected = false;
  REQUIRE(disconnected.runUntil([&] {
    return disconnected.counted() == UsageCounts{{Anna, 1}, {Bert, 1}};
  }));
}

TEST_CASE("A batch of unknown outcome is repeated without newer requests",
          "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  fixture.runFor(Millis(10));
  fixture.Store.AppendFaults = {AppendFault::AnswerLost};
  fixture.Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() == 2; }));
  // A reader ignores the repeated batch.
  fixture.Meter->began(Bert);
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() >= 4; }));
  CHECK(fixture.counted() == UsageCounts{{Anna, 1}, {Bert, 1}});
}

TEST_CASE("New counts are written while append responses are lost", "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  fixture.runFor(Millis(10));
  // The process may be killed while none of these appends is answered.
  fixture.Store.AppendFaults.assign(1000, AppendFault::AnswerLost);
  fixture.Meter->began(Anna);
  REQUIRE(fixture.runUntil([&] {
    return fixture.counted() == UsageCounts{{Anna, 1}};
  }));
  fixture.Meter->began(Bert);
  REQUIRE(fixture.runUntil([&] {
    return fixture.counted() == UsageCounts{{Anna, 1}, {Bert, 1}};
  }));
  fixture.Store.AppendFaults.clear();
  fixture.Meter->began(Bert);
  REQUIRE(fixture.runUntil([&] {
    return fixture.counted() == UsageCounts{{Anna, 1}, {Bert, 2}};
  }));
}

TEST_CASE("The rate of appends to an overloaded store is reduced", "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  noteAnswer(fixture.Contact, monotonicNow());
  fixture.Store.AppendFaults.assign(1000, AppendFault::Refused);
  for (int i = 0; i < 100; ++i) {
    fixture.Meter->began(Anna);
    fixture.runFor(Millis(2));
  }
  // 200 ms at intervals of 20 ms, and some shorter intervals first.
  CHECK(1000 - fixture.Store.AppendFaults.size() <= 16);
  // An unreachable store is retried, so that its recovery is noticed.
  fixture.Contact.Lost = true;
  fixture.Store.AppendFaults.assign(1000, AppendFault::Refused);
  fixture.runFor(Millis(100));
  CHECK(1000 - fixture.Store.AppendFaults.size() >= 10);
  fixture.Store.AppendFaults.clear();
  REQUIRE(fixture.runUntil([&] {
    return fixture.counted() == UsageCounts{{Anna, 100}};
  }));
}

TEST_CASE("A process without requests writes an empty batch in each window",
          "[usage]") {
  MeterFixture fixture(Millis(40));
  REQUIRE(fixture.runUntil([&] { return fixture.batches().size() >= 5; }));
  std::vector<UsageBatch> batches = fixture.batches();
  for (std::size_t i = 1; i < batches.size(); ++i)
    CHECK(windowOf(batches[i].Through, Millis(40)) >
          windowOf(batches[i - 1].Through, Millis(40)));
}

TEST_CASE("Pending counts are merged by customer and second at the limit",
          "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  *fixture.Disconnected = true;
  constexpr int Requests = 50000;
  for (int i = 0; i < Requests; ++i)
    fixture.Meter->began(i % 2 == 0 ? Anna : Bert);
  *fixture.Disconnected = false;
  REQUIRE(fixture.runUntil([&] {
    return fixture.counted() ==
           UsageCounts{{Anna, Requests / 2}, {Bert, Requests / 2}};
  }));
  std::size_t entries = 0;
  for (const UsageBatch &it : fixture.batches())
    entries += it.Entries.size();
  CHECK(entries <= 20000);
}

TEST_CASE("A leaving process writes its pending counts and a leave record",
          "[usage]") {
  MeterFixture fixture;
  REQUIRE(fixture.runUntil([&] { return fixture.Meter->known(); }));
  fixture.Store.AppendFaults = {AppendFault::Refused};
  fixture.Meter->began(Anna);
  fixture.run([&]() -> boost::asio::awaitable<void> {
    co_await fixture.Meter->leave(monotonicNow() + Millis(2000));
  });
  CHECK(fixture.counted() == UsageCounts{{Anna, 1}});
  UsageRecord last =
      decodeUsage(fixture.Store.Topics[UsageTopic].back(), "test").value();
  CHECK(std::holds_alternative<UsageLeave>(last));
}

} // namespace wasabi::batchtest
