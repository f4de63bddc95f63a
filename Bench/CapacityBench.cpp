/// \file
/// Measures the slopes used in docs/CAPACITY.md. Each metric is measured at
/// three or more sizes and fitted with a line whose residual is reported.
#include "Bench/Benches.h"
#include "Bench/Fleet.h"
#include "Bench/LineFit.h"
#include "Bench/LoadRun.h"
#include "Bench/ProcessUsage.h"
#include "Bench/Report.h"
#include "Bench/RequestFleet.h"
#include "Bench/StateMeasures.h"

#include "IntegrationTests/Harness/RolloutCluster.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Adapters/Frames/RequestFrames.h"
#include "Wasabi/State/Fold.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace wasabi::bench {
namespace {

constexpr Millis RestWindow{60000};
constexpr Millis LoadSpan{6000};
constexpr Millis StepLimit{120000};
constexpr std::array<double, 4> Rates = {100, 200, 400, 800};
constexpr std::array<std::uint32_t, 4> GroupCounts = {8, 16, 32, 64};
constexpr std::uint32_t GroupSize = 8;
/// Maximum number of servers behind one daemon when load reports are measured.
constexpr std::size_t MostServers = 4;
/// Steps measured after the first one, which includes connection setup.
constexpr std::uint64_t StepsMeasured = 3;
constexpr std::array<std::size_t, 4> AuthorCounts = {50, 100, 200, 400};

/// Collects the points of one metric and reports the fitted line.
struct Row {
  std::string Metric;
  std::string Unit;
  std::vector<Point> Points;
};

void reportLine(const Row &Line) {
  if (Line.Points.size() < 3) {
    logProgress("capacity: " + Line.Metric + " has too few points for a line");
    return;
  }
  LineFit fit = fitLine(Line.Points);
  report({"capacity", "slope_" + Line.Metric, fit.Slope, Line.Unit, {}});
  report({"capacity", "base_" + Line.Metric, fit.Base, Line.Unit, {}});
  report({"capacity", "residual_" + Line.Metric, fit.Residual, Line.Unit, {}});
}

// ---- members: cost per daemon of the other daemons ----

void measureMembers() {
  Row bytes{"control_bytes_per_s_by_members", "B/s", {}};
  Row most{"control_bytes_per_s_most_by_members", "B/s", {}};
  Row frames{"control_frames_per_s_by_members", "1/s", {}};
  Row cpu{"control_cpu_percent_by_members", "%", {}};
  Row memory{"daemon_rss_mb_by_members", "MB", {}};
  Row appends{"log_appends_per_s_by_members", "1/s", {}};
  for (std::size_t size : readFleetSizes()) {
    logProgress("capacity: " + std::to_string(size) + " daemons");
    Outcome<std::unique_ptr<Fleet>> fleet =
        toOutcome<std::unique_ptr<Fleet>>([&] { return Fleet::start(size); });
    if (!fleet) {
      logProgress("capacity: " + describe(fleet.failure()));
      continue;
    }
    IdleCost cost = measureIdleCost(**fleet, RestWindow);
    double n = static_cast<double>(size);
    bytes.Points.push_back({n, cost.BytesPerSecond});
    most.Points.push_back({n, cost.MaxBytesPerSecond});
    frames.Points.push_back({n, cost.FramesPerSecond});
    cpu.Points.push_back({n, cost.CpuPercent});
    memory.Points.push_back({n, cost.ResidentMiB});
    appends.Points.push_back({n, cost.AppendsPerSecond});
  }
  for (const Row &it : {bytes, most, frames, cpu, memory, appends})
    reportLine(it);
}

// ---- requests: cost per request of an entry and a daemon ----

http::Request deskCall(std::uint64_t Number) {
  http::Request ask;
  ask.Method = "GET";
  ask.Target = "/lots/" + std::to_string(Number);
  ask.Headers.push_back({"X-Service", FleetService});
  return ask;
}

void measureRequests() {
  Row entry{"entry_cpu_percent_by_requests_per_s", "%", {}};
  Row daemon{"daemon_cpu_percent_by_requests_per_s", "%", {}};
  RequestFleet::Settings setup;
  setup.Flags = {"--latency_ms=1", "--slots=64"};
  Outcome<std::unique_ptr<RequestFleet>> fleet =
      toOutcome<std::unique_ptr<RequestFleet>>(
          [&] { return RequestFleet::start(setup); });
  if (!fleet) {
    logProgress("capacity: " + describe(fleet.failure()));
    return;
  }
  constexpr double Percent = 100;
  for (double rate : Rates) {
    logProgress("capacity: " + std::to_string(rate) + " requests a second");
    LoadPlan plan;
    plan.Targets = (*fleet)->callerAddresses();
    plan.Rate = rate;
    plan.Duration = LoadSpan;
    plan.MakeRequest = deskCall;
    plan.CheckResponse = [](const http::Request &, const http::Response &,
                            CallResult &Into) { Into.IsCorrect = true; };
    double entryBefore = (*fleet)->entryCpuSeconds();
    double daemonBefore = (*fleet)->daemonCpuSeconds();
    TimePoint start = monotonicNow();
    std::vector<CallResult> calls = runLoad(plan);
    double seconds =
        std::chrono::duration<double>(monotonicNow() - start).count();
    double done = static_cast<double>(countGoodCalls(calls)) / seconds;
    entry.Points.push_back(
        {done,
         Percent * ((*fleet)->entryCpuSeconds() - entryBefore) / seconds});
    daemon.Points.push_back(
        {done,
         Percent * ((*fleet)->daemonCpuSeconds() - daemonBefore) / seconds});
  }
  reportLine(entry);
  reportLine(daemon);
}

/// Measures the size of a load report. At rest each subscriber receives one
/// report per second.
void measureLoadReports() {
  Row bytes{"load_report_bytes_by_servers", "B", {}};
  std::vector<ReportedLoad> loads;
  for (std::size_t n = 1; n <= MostServers; ++n) {
    ReportedLoad load;
    load.Server = ServerName("drafting-llm-north-1-" + std::to_string(n));
    load.Service = ServiceName("drafting-llm");
    loads.push_back(std::move(load));
    bytes.Points.push_back(
        {static_cast<double>(n),
         static_cast<double>(frames::loads(loads, false).size())});
  }
  reportLine(bytes);
}

// ---- rollouts: cost per sample of the owner of a trainer ----

/// Bytes and records in one stream of the log.
struct StreamSize {
  double Bytes = 0;
  double Records = 0;
};

StreamSize trainerStream(harness::RolloutCluster &Group) {
  StreamSize size;
  Outcome<boost::json::value> truth = Group.log().truth();
  if (!truth)
    return size;
  for (const boost::json::key_value_pair &it :
       truth->at("streams").as_object()) {
    if (!it.key().starts_with("trainer."))
      continue;
    for (const boost::json::value &record :
         it.value().at("records").as_array()) {
      size.Bytes += static_cast<double>(boost::json::serialize(record).size());
      size.Records += 1;
    }
  }
  return size;
}

double cpuOf(harness::RolloutCluster &Group, std::size_t At) {
  std::optional<ProcessUsage> usage = readProcessUsage(Group.daemon(At).pid());
  return usage ? usage->CpuSeconds : 0;
}

/// Returns the CPU time of the owner minus the mean of the daemons that own
/// nothing.
double ownersExtraCpu(harness::RolloutCluster &Group, std::size_t Owner) {
  double others = 0;
  for (std::size_t n = 0; n < Group.daemons(); ++n)
    others += n == Owner ? 0 : cpuOf(Group, n);
  return cpuOf(Group, Owner) -
         others / static_cast<double>(Group.daemons() - 1);
}

/// Reports the owner's results for one kind of trainer.
struct OwnerRows {
  Row Cpu;
  Row Bytes;
  Row Appends;
  Row Memory;
};

OwnerRows ownerRows(const std::string &Kind) {
  std::string by = "_by_samples_" + Kind;
  return OwnerRows{{"owner_cpu_ms_per_step" + by, "ms", {}},
                   {"owner_log_bytes_per_step" + by, "B", {}},
                   {"owner_log_appends_per_step" + by, "count", {}},
                   {"owner_rss_mb" + by, "MB", {}}};
}

void measureOwnerAt(std::uint32_t Groups, bool ChecksFences, OwnerRows &Rows) {
  harness::RolloutCluster::Settings setup;
  harness::ClusterTrainer trainer;
  trainer.Groups = Groups;
  trainer.GroupSize = GroupSize;
  trainer.MaxTokens = 200;
  trainer.ChecksFences = ChecksFences;
  setup.Trainers = {trainer};
  setup.Engines = 4;
  setup.EngineSlots = 64;
  Outcome<std::unique_ptr<harness::RolloutCluster>> started =
      toOutcome<std::unique_ptr<harness::RolloutCluster>>(
          [&] { return harness::RolloutCluster::start(setup); });
  if (!started) {
    logProgress("capacity: " + describe(started.failure()));
    return;
  }
  harness::RolloutCluster &group = **started;
  if (!group.waitForSteps(0, 1, StepLimit))
    return;
  std::optional<std::size_t> owner = group.findOwner("t");
  if (!owner)
    return;
  std::uint64_t first = group.truth(0)->StepsTrained;
  double cpu = ownersExtraCpu(group, *owner);
  StreamSize stream = trainerStream(group);
  if (!group.waitForSteps(0, first + StepsMeasured, StepLimit))
    return;
  double steps = static_cast<double>(group.truth(0)->StepsTrained - first);
  StreamSize later = trainerStream(group);
  constexpr double MillisPerSecond = 1000;
  double samples = static_cast<double>(Groups) * GroupSize;
  Rows.Cpu.Points.push_back(
      {samples,
       MillisPerSecond * (ownersExtraCpu(group, *owner) - cpu) / steps});
  Rows.Bytes.Points.push_back({samples, (later.Bytes - stream.Bytes) / steps});
  Rows.Appends.Points.push_back(
      {samples, (later.Records - stream.Records) / steps});
  std::optional<ProcessUsage> usage =
      readProcessUsage(group.daemon(*owner).pid());
  Rows.Memory.Points.push_back({samples, usage ? usage->ResidentMiB : 0});
}

/// A trainer that checks fencing tokens is its own source of truth. For any
/// other trainer the log is, so each sample is written to the log.
void measureOwner(bool ChecksFences) {
  OwnerRows rows = ownerRows(ChecksFences ? "fenced" : "logged");
  for (std::uint32_t groups : GroupCounts) {
    logProgress("capacity: steps of " + std::to_string(groups * GroupSize) +
                " samples");
    measureOwnerAt(groups, ChecksFences, rows);
  }
  for (const Row &it : {rows.Cpu, rows.Bytes, rows.Appends, rows.Memory})
    reportLine(it);
}

// ---- snapshots: size of the agreed state ----

/// Builds a state in which each author has declared an attachment's worth of
/// objects and hold marks.
FoldState stateOf(std::size_t Authors) {
  FoldState state;
  for (std::size_t n = 0; n < Authors; ++n) {
    std::string name = "preset-" + std::to_string(n);
    ConfigChange change;
    change.Base = state.Next;
    change.Operator = "bench";
    change.Writes.push_back(
        {"preset/" + name, R"({"kind":"preset","name":")" + name + R"("})"});
    Record record{RecordId{"node-" + std::to_string(n), 1, 1}, change};
    apply(state, state.Next, encodeRecord(record));
  }
  return state;
}

void measureSnapshots() {
  Row bytes{"snapshot_bytes_by_authors", "B", {}};
  Row millis{"snapshot_ms_by_authors", "ms", {}};
  for (std::size_t count : AuthorCounts) {
    FoldState state = stateOf(count);
    TimePoint start = monotonicNow();
    SnapshotRecord snapshot = makeSnapshot(state, 1);
    double micros = static_cast<double>((monotonicNow() - start).count());
    double n = static_cast<double>(count);
    bytes.Points.push_back({n, static_cast<double>(snapshot.State.size())});
    millis.Points.push_back({n, micros / 1000.0});
  }
  reportLine(bytes);
  reportLine(millis);
}

} // namespace

void runCapacityBench() {
  measureSnapshots();
  measureLoadReports();
  measureRequests();
  measureOwner(true);
  measureOwner(false);
  measureMembers();
}

} // namespace wasabi::bench
