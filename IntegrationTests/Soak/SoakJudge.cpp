#include "IntegrationTests/Soak/SoakJudge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace wasabi::soak {

namespace {

using test::ServerCall;

/// What the checks share.
struct Case {
  const SoakObservations &Seen;
  const SoakGroundTruth &Truth;
  const SoakBounds &Bounds;
  /// Runs by request, at all servers.
  std::unordered_map<std::string, std::vector<const ServerCall *>> Runs;
  std::vector<std::string> Faults;

  bool calm(TimePoint From, TimePoint To) const {
    return isFaultFree(Truth, Bounds, From, To);
  }
  std::size_t runsOf(const std::string &Id) const {
    auto it = Runs.find(Id);
    return it == Runs.end() ? 0 : it->second.size();
  }
};

bool promisesNotRun(unsigned Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

void judgeAsks(Case &Of) {
  for (const ClientRequestRecord &it : Of.Seen.Requests) {
    std::size_t runs = Of.runsOf(it.Id);
    if (!it.Error.empty())
      Of.Faults.push_back(
          fmt::format("wrong answer to {}: {}", it.Id, it.Error));
    if (promisesNotRun(it.Status) && runs > 0)
      Of.Faults.push_back(
          fmt::format("{} was answered {} and has run", it.Id, it.Status));
    if (it.Kind == ClientRequestKind::Once && runs > 1)
      Of.Faults.push_back(fmt::format("{} ran {} times", it.Id, runs));
    if (runs > Of.Bounds.MaxAttempts)
      Of.Faults.push_back(
          fmt::format("{} was sent to {} servers", it.Id, runs));
  }
}

void judgeIds(Case &Of) {
  std::set<std::string> known;
  for (const ClientRequestRecord &it : Of.Seen.Requests)
    known.insert(it.Id);
  for (const JobRecord &job : Of.Seen.Jobs) {
    for (const std::string &item : job.Items) {
      known.insert(item);
      known.insert("score-" + item);
    }
  }
  for (const auto &[id, runs] : Of.Runs) {
    bool own = id.find(HarnessRequestName) != std::string::npos;
    if (!own && !known.contains(id))
      Of.Faults.push_back("nobody asked for " + id);
  }
}

void judgeJobs(Case &Of) {
  for (const JobRecord &job : Of.Seen.Jobs) {
    for (const std::string &it : job.Errors)
      Of.Faults.push_back(job.Id + ": " + it);
    for (const std::string &item : job.Items) {
      auto runs = Of.Runs.find(item);
      if (runs == Of.Runs.end())
        continue;
      if (!job.Accepted && job.RefusalsGuaranteed)
        Of.Faults.push_back(item + " ran though its job was refused");
      TimePoint last = runs->second.back()->At;
      bool late = job.EndAccepted &&
                  last > job.EndAcceptedAt + Of.Bounds.Cancel + Of.Bounds.Slack;
      if (late && Of.calm(job.EndAcceptedAt, last))
        Of.Faults.push_back(item + " ran after its job had ended");
    }
  }
}

void judgeDrains(Case &Of) {
  for (const ServerDrain &drain : Of.Truth.Drains) {
    TimePoint latest = drain.At + Of.Bounds.Drain + Of.Bounds.Slack;
    for (const auto &[id, runs] : Of.Runs) {
      for (const ServerCall *it : runs) {
        if (it->Server == drain.Server && it->At > latest &&
            Of.calm(drain.At, it->At))
          Of.Faults.push_back(
              fmt::format("{} reached the leaving {}", id, drain.Server));
      }
    }
  }
}

/// A planned stop cuts nothing off that has run or that was sent in good time.
void checkPlannedStops(Case &Of) {
  constexpr Millis Crossing{200};
  for (std::size_t it : Of.Truth.UnstoppedEdges)
    Of.Faults.push_back("edge " + std::to_string(it) + " did not stop");
  for (const EdgeStop &stop : Of.Truth.Stops) {
    for (const ClientRequestRecord &it : Of.Seen.Requests) {
      bool cut = it.Edge == stop.Edge && it.Life == stop.Life &&
                 it.Status == 0 && !it.CallerTimedOut && it.Done >= stop.At;
      bool owed = it.Done - it.Sent > Crossing || Of.runsOf(it.Id) > 0;
      if (cut && owed && Of.calm(it.Sent, it.Done))
        Of.Faults.push_back(fmt::format(
            "{} was cut off by a planned stop after {} ms", it.Id,
            std::chrono::duration_cast<Millis>(it.Done - it.Sent).count()));
    }
  }
}

/// The answer by a configuration's own route tells whether that is in force.
void judgeRegress(Case &Of) {
  constexpr unsigned Ok = 200;
  /// By edge process and start: the newest in force, and since when it was
  /// seen.
  std::map<std::pair<std::size_t, std::uint64_t>, Publication> newest;
  for (const ClientRequestRecord &it : Of.Seen.Requests) {
    if (it.Kind != ClientRequestKind::Probe || it.Status != Ok)
      continue;
    Publication &known = newest[{it.Edge, it.Life}];
    if (it.Version < known.Version &&
        it.Sent > known.At + Of.Bounds.ConfigRegressTolerance)
      Of.Faults.push_back(
          fmt::format("{}: edge {} went back from configuration {} to {}",
                      it.Id, it.Edge, known.Version, it.Version));
    if (it.Version > known.Version)
      known = Publication{it.Version, it.Done};
  }
}

void judgeForce(Case &Of) {
  constexpr unsigned Ok = 200;
  constexpr unsigned NotFound = 404;
  for (const Publication &it : Of.Truth.Publications) {
    TimePoint latest = it.At + Of.Bounds.Configure + Of.Bounds.Slack;
    for (const ClientRequestRecord &probe : Of.Seen.Requests) {
      if (probe.Kind != ClientRequestKind::Probe || probe.Sent < latest ||
          !Of.calm(it.At, probe.Done))
        continue;
      bool missing = probe.Version == it.Version && probe.Status == NotFound &&
                     it.Version == Of.Truth.Publications.back().Version;
      bool old = probe.Version < it.Version && probe.Status == Ok;
      if (missing || old)
        Of.Faults.push_back(
            fmt::format("{}: configuration {} is not in force at edge {}",
                        probe.Id, it.Version, probe.Edge));
    }
  }
}

/// A request that ends servers gets none any more, once it has ended some.
void judgeCrashing(Case &Of) {
  std::map<std::string, std::vector<TimePoint>> tries;
  for (const ServerCall &it : Of.Truth.PlainRuns) {
    if (it.Path.starts_with(CrashPathPrefix))
      tries[it.Path].push_back(it.At);
  }
  for (auto &[path, times] : tries) {
    if (times.size() <= Of.Bounds.Ends)
      continue;
    std::sort(times.begin(), times.end());
    TimePoint latest =
        times[Of.Bounds.Ends - 1] + Of.Bounds.FaultFreeTime + Of.Bounds.Slack;
    std::ptrdiff_t late =
        std::count_if(times.begin(), times.end(), [&](TimePoint At) {
          return At > latest && Of.calm(At, At);
        });
    if (late > static_cast<std::ptrdiff_t>(Of.Bounds.MaxLateCrashRequests))
      Of.Faults.push_back(fmt::format(
          "{} ended servers {} times, {} of them long after it was known", path,
          times.size(), late));
  }
}

void judgeOrders(Case &Of) {
  for (std::size_t i = 0; i < Of.Truth.Orders.size(); ++i) {
    std::string holder = "side-" + std::to_string(i);
    std::uint64_t token = 0;
    for (const ServerCall &it : Of.Truth.Orders[i]) {
      if (it.Holder != holder)
        Of.Faults.push_back("engine " + std::to_string(i) + " was ordered by " +
                            it.Holder);
      if (it.Token < token)
        Of.Faults.push_back("engine " + std::to_string(i) +
                            " got an older fencing token");
      token = std::max(token, it.Token);
    }
  }
}

} // namespace

bool isFaultFree(const SoakGroundTruth &Truth, const SoakBounds &Bounds,
                 TimePoint From, TimePoint To) {
  TimePoint start = From - Bounds.FaultFreeTime;
  return std::none_of(
      Truth.Faults.begin(), Truth.Faults.end(), [&](const FaultWindow &It) {
        return !isPlanned(It.Kind) && It.From <= To && It.To >= start;
      });
}

std::vector<std::string> findViolations(const SoakObservations &Seen,
                                        const SoakGroundTruth &Truth,
                                        const SoakBounds &Bounds) {
  Case all{Seen, Truth, Bounds, {}, {}};
  for (const ServerCall &it : Truth.PlainRuns)
    all.Runs[it.Id].push_back(&it);
  for (const ServerCall &it : Truth.EngineRuns)
    all.Runs[it.Id].push_back(&it);
  judgeAsks(all);
  judgeIds(all);
  judgeJobs(all);
  judgeDrains(all);
  checkPlannedStops(all);
  judgeRegress(all);
  judgeForce(all);
  judgeOrders(all);
  judgeCrashing(all);
  return all.Faults;
}

} // namespace wasabi::soak
