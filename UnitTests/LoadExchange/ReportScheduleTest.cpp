#include "Wasabi/LoadExchange/ReportSchedule.h"

#include "Wasabi/LoadExchange/LocalLoad.h"

#include <catch2/catch.hpp>

#include <string>

namespace wasabi {

namespace {

const ServiceName Desk("desk");
constexpr std::uint64_t WallNow = 1'780'000'000'000'000;
const TimePoint Start{std::chrono::hours(5)};

/// The report of a small process at four times the load: three customers and
/// two of three servers with an answer within the last second.
LoadReport makeTypicalReport(std::size_t Index) {
  LoadReport report;
  report.Life = WallNow - 60'000'000;
  ReportedService &service = report.Services[ServiceName("kilimo-lookup")];
  for (std::size_t i = 0; i < 3; ++i)
    service.Customers[CustomerName(
        "customer-" + std::to_string((Index + i) % 20))] = {0.4, 1};
  for (std::size_t i = 0; i < 2; ++i)
    service.Servers[{ServerName("plain-" + std::to_string(i)),
                     1'780'000'000'123}] = {123.4, 2, 1};
  return report;
}

/// Processes under strain that share a topic, in virtual time.
struct Fleet {
  struct Process {
    LoadView View;
    ReportSchedule Schedule;
    LoadReport Report;
  };
  struct Delivery {
    TimePoint At;
    std::size_t Writer = 0;
    LoadReport Report;
    std::size_t Bytes = 0;
  };

  std::vector<Process> Processes;
  std::vector<Delivery> Pending;
  std::mt19937_64 Random{4715};
  TimePoint Now = Start;
  std::size_t Reports = 0;
  std::size_t Bytes = 0;
  /// Probability that the report of a process is urgent at a decision.
  double UrgentRate = 0;

  explicit Fleet(std::size_t Count) : Processes(Count) {
    for (std::size_t i = 0; i < Count; ++i) {
      Processes[i].Report = makeTypicalReport(i);
      beginPeriod(Processes[i].Schedule, Now, Random);
    }
  }

  void step(std::size_t Index) {
    Process &process = Processes[Index];
    std::string name = "edge-" + std::to_string(Index);
    LoadReport report = process.Report;
    report.Sequence = process.Report.Sequence + 1;
    std::string text = encodeReport(report);
    std::size_t bytes = text.size() + name.size();
    report.Interval = reportInterval(process.View, bytes);
    bool urgent = std::uniform_real_distribution<>()(Random) < UrgentRate;
    if (!isReportDue(process.Schedule, process.View, urgent, bytes, Now,
                     Random))
      return;
    noteReport(process.Schedule, Now, Random);
    process.Report.Sequence = report.Sequence;
    ++Reports;
    Bytes += bytes;
    // The store, and the pause of the readers.
    Pending.push_back({Now + Millis(200), Index, report, bytes});
  }

  void deliver() {
    for (const Delivery &it : Pending) {
      if (it.At > Now)
        continue;
      for (std::size_t i = 0; i < Processes.size(); ++i) {
        recordTraffic(Processes[i].View, it.Bytes, Now);
        if (i != it.Writer)
          applyReport(Processes[i].View,
                      InstanceName("edge-" + std::to_string(it.Writer)),
                      it.Report, it.Bytes, true, Now, WallNow);
      }
    }
    std::erase_if(Pending, [&](const Delivery &It) { return It.At <= Now; });
  }

  void run(Millis Time) {
    Reports = 0;
    Bytes = 0;
    for (TimePoint end = Now + Time; Now < end; Now += Millis(100)) {
      deliver();
      for (std::size_t i = 0; i < Processes.size(); ++i) {
        expireReports(Processes[i].View, Now);
        step(i);
      }
    }
  }
};

} // namespace

// Guards against reports whose number and bytes grow with the fleet: some 20
// periodic reports per second and 5 KB/s at each reader (page, part 2).
TEST_CASE("The periodic reports of all processes stay at 20 per second and "
          "5 KB/s",
          "[load]") {
  std::size_t processes = GENERATE(10, 40, 64, 200);
  CAPTURE(processes);
  Fleet fleet(processes);
  fleet.run(Millis(10000));
  constexpr int Seconds = 30;
  fleet.run(Millis(1000 * Seconds));
  double perSecond = static_cast<double>(fleet.Reports) / Seconds;
  double bytesPerSecond = static_cast<double>(fleet.Bytes) / Seconds;
  CAPTURE(perSecond, bytesPerSecond);
  CHECK(perSecond <= 21);
  CHECK(perSecond >= std::min<double>(processes, 20) * 0.8);
  CHECK(bytesPerSecond <= 5000);
  // All processes are known to each other.
  for (const Fleet::Process &it : fleet.Processes)
    CHECK(countReports(it.View) == processes - 1);
}

// Guards against urgent reports that drive the bytes above 5 KB/s (page,
// requirements) while servers change their speed all the time.
TEST_CASE("Urgent reports keep the bytes below 5 KB/s", "[load]") {
  std::size_t processes = GENERATE(5, 40, 64);
  CAPTURE(processes);
  Fleet fleet(processes);
  fleet.UrgentRate = 0.5;
  fleet.run(Millis(10000));
  constexpr int Seconds = 30;
  fleet.run(Millis(1000 * Seconds));
  double bytesPerSecond = static_cast<double>(fleet.Bytes) / Seconds;
  CAPTURE(bytesPerSecond);
  CHECK(bytesPerSecond <= 5000);
}

// Guards against large reports of many processes: their interval grows with the
// bytes of all.
TEST_CASE("Large reports are sent less often", "[load]") {
  Fleet fleet(40);
  for (Fleet::Process &it : fleet.Processes) {
    ReportedService &service = it.Report.Services[Desk];
    for (int i = 0; i < 16; ++i) {
      service.Customers[CustomerName("customer-" + std::to_string(i))] = {1, 2};
      service.Servers[{ServerName("plain-" + std::to_string(i)),
                       1'780'000'000'123}] = {100, 3, 1};
    }
  }
  fleet.run(Millis(30000));
  constexpr int Seconds = 60;
  fleet.run(Millis(1000 * Seconds));
  double bytesPerSecond = static_cast<double>(fleet.Bytes) / Seconds;
  CAPTURE(bytesPerSecond);
  CHECK(bytesPerSecond <= 5000);
}

// Guards against a slow server that the others learn of a second late: 250 ms
// after the last report (page, part 2).
TEST_CASE("An urgent report is sent at once, but not within 250 ms of the last",
          "[load]") {
  std::mt19937_64 random(4716);
  ReportSchedule schedule;
  LoadView view;
  beginPeriod(schedule, Start, random);
  CHECK(schedule.FirstAt <= Start + Millis(250));
  CHECK(isReportDue(schedule, view, false, 200, Start + Millis(250), random));
  noteReport(schedule, Start, random);
  CHECK_FALSE(
      isReportDue(schedule, view, true, 200, Start + Millis(249), random));
  CHECK(isReportDue(schedule, view, true, 200, Start + Millis(250), random));
  CHECK_FALSE(
      isReportDue(schedule, view, false, 200, Start + Millis(799), random));
  CHECK(isReportDue(schedule, view, false, 200, Start + Millis(1200), random));
  // A new period soon after the last report keeps the distance, too.
  beginPeriod(schedule, Start + Millis(1), random);
  CHECK_FALSE(
      isReportDue(schedule, view, true, 200, Start + Millis(249), random));
}

} // namespace wasabi
