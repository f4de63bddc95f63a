/// \file
/// Measures consensus, membership and gossip at several sizes with real
/// processes. Baseline: every process polls the log once per second.
#include "Bench/Benches.h"
#include "Bench/Fleet.h"
#include "Bench/FoldBench.h"
#include "Bench/LineFit.h"
#include "Bench/ProcessUsage.h"
#include "Bench/Report.h"
#include "Bench/StateMeasures.h"

#include "IntegrationTests/Harness/Waiting.h"

#include <signal.h>

#include <algorithm>
#include <map>
#include <set>

namespace wasabi::bench {
namespace {

constexpr Millis SpreadLimit{20000};
constexpr Millis DetectLimit{60000};
constexpr int Changes = 12;
/// Idle time over which the fleet's cost is measured.
constexpr Millis RestWindow{60000};

double toMillis(std::uint64_t Micros) {
  return static_cast<double>(Micros) / 1000.0;
}

/// Returns the wall time of the event at which a change took effect on a
/// daemon.
std::map<std::string, std::uint64_t>
fetchEffectiveTimes(const FleetDaemon &Daemon) {
  std::map<std::string, std::uint64_t> times;
  for (const TimelineEvent &it : fetchTimeline(Daemon)) {
    if (it.Kind == "config.in_force")
      times.emplace(std::string(it.field("offset")), it.At.Wall);
  }
  return times;
}

bool allHaveChanges(Fleet &Group, std::size_t Count) {
  for (const FleetDaemon &it : Group.daemons()) {
    if (fetchEffectiveTimes(it).size() < Count)
      return false;
  }
  return true;
}

/// Returns the milliseconds from the log's response until the change takes
/// effect, per change and daemon.
std::vector<double> measureInForce(Fleet &Group) {
  std::vector<std::uint64_t> accepted;
  for (int n = 0; n < Changes; ++n) {
    std::size_t wanted = accepted.size() + 1;
    Outcome<std::uint64_t> at = Group.changeConfiguration();
    if (!at) {
      logProgress("state: a change failed: " + describe(at.failure()));
      continue;
    }
    accepted.push_back(*at);
    harness::waitUntil([&] { return allHaveChanges(Group, wanted); },
                       SpreadLimit);
  }
  std::vector<double> delays;
  for (const FleetDaemon &it : Group.daemons()) {
    std::vector<std::uint64_t> walls;
    for (const auto &[offset, wall] : fetchEffectiveTimes(it))
      walls.push_back(wall);
    std::sort(walls.begin(), walls.end());
    for (std::size_t n = 0; n < walls.size() && n < accepted.size(); ++n) {
      // A daemon may apply the change before the bench reads the log's
      // response.
      std::uint64_t from = std::min(accepted[n], walls[n]);
      delays.push_back(toMillis(walls[n] - from));
    }
  }
  return delays;
}

/// Returns the milliseconds until each other daemon has recorded `Kind` about
/// `Subject`.
std::vector<double> measureNotice(Fleet &Group, const std::string &Subject,
                                  const std::string &Kind,
                                  std::uint64_t Since) {
  std::vector<double> delays;
  for (const FleetDaemon &it : Group.daemons()) {
    if (it.Instance == Subject)
      continue;
    std::optional<double> seen;
    harness::waitUntil(
        [&] {
          for (const TimelineEvent &event : fetchTimeline(it)) {
            if (event.Kind == Kind && event.field("member") == Subject)
              seen = toMillis(std::max(event.At.Wall, Since) - Since);
          }
          return seen.has_value();
        },
        DetectLimit);
    delays.push_back(seen.value_or(static_cast<double>(DetectLimit.count())));
  }
  return delays;
}

/// Returns the number of recorded deaths of daemons that are still running.
double countFalseDeaths(Fleet &Group) {
  std::set<std::string, std::less<>> running;
  for (const FleetDaemon &it : Group.daemons())
    running.insert(it.Instance);
  double count = 0;
  for (const FleetDaemon &it : Group.daemons()) {
    for (const TimelineEvent &event : fetchTimeline(it)) {
      if (event.Kind == "member.dead" &&
          running.contains(event.field("member")))
        ++count;
    }
  }
  return count;
}

void reportAt(const std::string &Metric, std::size_t Size, double Value,
              const std::string &Unit,
              std::optional<double> Baseline = std::nullopt) {
  report(Measurement{"state", Metric + "_n" + std::to_string(Size), Value, Unit,
                     Baseline});
}

void measureLeaving(Fleet &Group, std::size_t Size) {
  FleetDaemon &leaver = Group.daemons().back();
  std::uint64_t since = wallMicros();
  leaver.Child->signal(SIGTERM);
  std::vector<double> delays =
      measureNotice(Group, leaver.Instance, "member.leaving", since);
  reportAt("leaving_honoured_p99_ms", Size, quantile(delays, 0.99), "ms");
  leaver.Child->wait(SpreadLimit);
  Group.daemons().pop_back();
}

void measureCrash(Fleet &Group, std::size_t Size) {
  FleetDaemon &victim = Group.daemons().back();
  std::string name = victim.Instance;
  std::uint64_t since = wallMicros();
  victim.Child->signal(SIGKILL);
  victim.Child->wait(SpreadLimit);
  Group.daemons().pop_back();
  std::vector<double> delays = measureNotice(Group, name, "member.dead", since);
  reportAt("crash_detect_p99_ms", Size, quantile(delays, 0.99), "ms");
  reportAt("false_deaths", Size, countFalseDeaths(Group), "count");
}

void runAt(std::size_t Size) {
  logProgress("state: " + std::to_string(Size) + " daemons");
  Outcome<std::unique_ptr<Fleet>> fleet =
      toOutcome<std::unique_ptr<Fleet>>([&] { return Fleet::start(Size); });
  if (!fleet) {
    logProgress("state: " + describe(fleet.failure()));
    return;
  }
  IdleCost rest = measureIdleCost(**fleet, RestWindow);
  reportAt("control_bytes_per_s", Size, rest.BytesPerSecond, "B/s");
  reportAt("control_bytes_per_s_most", Size, rest.MaxBytesPerSecond, "B/s");
  reportAt("control_cpu_percent", Size, rest.CpuPercent, "%");
  reportAt("daemon_rss_mb", Size, rest.ResidentMiB, "MB");
  reportAt("log_appends_per_s", Size, rest.AppendsPerSecond, "1/s");

  std::vector<double> polled = measurePollingDelays((*fleet)->log(), Size);
  std::vector<double> delays = measureInForce(**fleet);
  reportAt("in_force_p50_ms", Size, quantile(delays, 0.5), "ms",
           quantile(polled, 0.5));
  reportAt("in_force_p99_ms", Size, quantile(delays, 0.99), "ms",
           quantile(polled, 0.99));
  reportAt("in_force_max_ms", Size, quantile(delays, 1), "ms",
           quantile(polled, 1));
  measureLeaving(**fleet, Size);
  measureCrash(**fleet, Size);
}

} // namespace

void runStateBench() {
  runFoldBench();
  for (std::size_t size : readFleetSizes())
    runAt(size);
}

} // namespace wasabi::bench
