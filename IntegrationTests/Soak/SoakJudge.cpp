#include "IntegrationTests/Soak/SoakJudge.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace wasabi::soak {

namespace {

using test::ServerCall;

/// Data that is shared by the checks.
struct JudgeContext {
  const SoakObservations &Seen;
  const SoakGroundTruth &Truth;
  const SoakBounds &Bounds;
  /// Runs at all servers by request id.
  std::unordered_map<std::string, std::vector<const ServerCall *>> Runs;
  std::vector<std::string> Violations;

  bool faultFree(TimePoint From, TimePoint To) const {
    return isFaultFree(Truth, Bounds, From, To);
  }
  std::size_t runCount(const std::string &Id) const {
    auto it = Runs.find(Id);
    return it == Runs.end() ? 0 : it->second.size();
  }
};

bool promisesNotRun(unsigned Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

void checkRequests(JudgeContext &Context) {
  for (const ClientRequestRecord &it : Context.Seen.Requests) {
    std::size_t runs = Context.runCount(it.Id);
    if (!it.Error.empty())
      Context.Violations.push_back(
          fmt::format("wrong answer to {}: {}", it.Id, it.Error));
    if (promisesNotRun(it.Status) && runs > 0)
      Context.Violations.push_back(
          fmt::format("{} was answered {} and has run", it.Id, it.Status));
    if (it.Kind == ClientRequestKind::Once && runs > 1)
      Context.Violations.push_back(fmt::format("{} ran {} times", it.Id, runs));
    if (runs > Context.Bounds.MaxAttempts)
      Context.Violations.push_back(
          fmt::format("{} was sent to {} servers", it.Id, runs));
  }
}

void checkRequestIds(JudgeContext &Context) {
  std::set<std::string> known;
  for (const ClientRequestRecord &it : Context.Seen.Requests)
    known.insert(it.Id);
  for (const JobRecord &job : Context.Seen.Jobs) {
    for (const std::string &item : job.Items) {
      known.insert(item);
      known.insert("score-" + item);
    }
  }
  for (const auto &[id, runs] : Context.Runs) {
    bool own = id.find(HarnessRequestName) != std::string::npos;
    if (!own && !known.contains(id))
      Context.Violations.push_back("nobody asked for " + id);
  }
}

void checkJobs(JudgeContext &Context) {
  for (const JobRecord &job : Context.Seen.Jobs) {
    for (const std::string &it : job.Errors)
      Context.Violations.push_back(job.Id + ": " + it);
    for (const std::string &item : job.Items) {
      auto runs = Context.Runs.find(item);
      if (runs == Context.Runs.end())
        continue;
      if (!job.Accepted && job.RefusalsGuaranteed)
        Context.Violations.push_back(item + " ran though its job was refused");
      TimePoint last = runs->second.back()->At;
      bool late = job.EndAccepted && last > job.EndAcceptedAt +
                                                Context.Bounds.CancelTimeout +
                                                Context.Bounds.TimingTolerance;
      if (late && Context.faultFree(job.EndAcceptedAt, last))
        Context.Violations.push_back(item + " ran after its job had ended");
    }
  }
}

void checkDrains(JudgeContext &Context) {
  for (const ServerDrain &drain : Context.Truth.Drains) {
    TimePoint latest =
        drain.At + Context.Bounds.DrainTimeout + Context.Bounds.TimingTolerance;
    for (const auto &[id, runs] : Context.Runs) {
      for (const ServerCall *it : runs) {
        if (it->Server == drain.Server && it->At > latest &&
            Context.faultFree(drain.At, it->At))
          Context.Violations.push_back(
              fmt::format("{} reached the leaving {}", id, drain.Server));
      }
    }
  }
}

/// Checks that a planned stop interrupts no request that has run or that was
/// sent early enough.
void checkPlannedStops(JudgeContext &Context) {
  constexpr Millis InFlightTime{200};
  for (std::size_t it : Context.Truth.UnstoppedEdges)
    Context.Violations.push_back("edge " + std::to_string(it) +
                                 " did not stop");
  for (const EdgeStop &stop : Context.Truth.Stops) {
    for (const ClientRequestRecord &it : Context.Seen.Requests) {
      bool cut = it.Edge == stop.Edge && it.Life == stop.Life &&
                 it.Status == 0 && !it.CallerTimedOut && it.Done >= stop.At;
      bool owed =
          it.Done - it.Sent > InFlightTime || Context.runCount(it.Id) > 0;
      if (cut && owed && Context.faultFree(it.Sent, it.Done))
        Context.Violations.push_back(fmt::format(
            "{} was cut off by a planned stop after {} ms", it.Id,
            std::chrono::duration_cast<Millis>(it.Done - it.Sent).count()));
    }
  }
}

/// Checks that no process returns to an older configuration. Each configuration
/// has its own route, whose response shows if it is in force.
void checkConfigRegress(JudgeContext &Context) {
  constexpr unsigned Ok = 200;
  /// Newest configuration in force and the time when it was observed, by edge
  /// process and incarnation.
  std::map<std::pair<std::size_t, std::uint64_t>, ConfigPublication> newest;
  for (const ClientRequestRecord &it : Context.Seen.Requests) {
    if (it.Kind != ClientRequestKind::Probe || it.Status != Ok)
      continue;
    ConfigPublication &known = newest[{it.Edge, it.Life}];
    if (it.Version < known.Version &&
        it.Sent > known.At + Context.Bounds.ConfigRegressTolerance)
      Context.Violations.push_back(
          fmt::format("{}: edge {} went back from configuration {} to {}",
                      it.Id, it.Edge, known.Version, it.Version));
    if (it.Version > known.Version)
      known = ConfigPublication{it.Version, it.Done};
  }
}

void checkConfigApplied(JudgeContext &Context) {
  constexpr unsigned Ok = 200;
  constexpr unsigned NotFound = 404;
  for (const ConfigPublication &it : Context.Truth.Publications) {
    TimePoint latest = it.At + Context.Bounds.ConfigureTimeout +
                       Context.Bounds.TimingTolerance;
    for (const ClientRequestRecord &probe : Context.Seen.Requests) {
      if (probe.Kind != ClientRequestKind::Probe || probe.Sent < latest ||
          !Context.faultFree(it.At, probe.Done))
        continue;
      bool missing = probe.Version == it.Version && probe.Status == NotFound &&
                     it.Version == Context.Truth.Publications.back().Version;
      bool old = probe.Version < it.Version && probe.Status == Ok;
      if (missing || old)
        Context.Violations.push_back(
            fmt::format("{}: configuration {} is not in force at edge {}",
                        probe.Id, it.Version, probe.Edge));
    }
  }
}

/// A request as the product identifies it: the customer and the key belong to
/// the caller, and all crashing requests have the same body.
struct CrashingRequest {
  std::string Path;
  std::string Customer;
  bool UsesRevocableKey = false;
  auto operator<=>(const CrashingRequest &) const = default;
};

/// Checks that a request that crashes servers is quarantined after a limited
/// number of crashes. Faults may keep a process from knowing of them.
void checkCrashingRequests(JudgeContext &Context) {
  std::map<CrashingRequest, std::vector<TimePoint>> runs;
  for (const ClientRequestRecord &it : Context.Seen.Requests) {
    auto found = Context.Runs.find(it.Id);
    if (it.Kind != ClientRequestKind::Crashing || found == Context.Runs.end())
      continue;
    for (const ServerCall *run : found->second)
      runs[{run->Path, it.Customer, it.UsesRevocableKey}].push_back(run->At);
  }
  for (auto &[request, times] : runs) {
    if (times.size() <= Context.Bounds.MaxCrashesPerRequest)
      continue;
    std::sort(times.begin(), times.end());
    std::ptrdiff_t excess = std::count_if(
        times.begin() +
            static_cast<std::ptrdiff_t>(Context.Bounds.MaxCrashesPerRequest),
        times.end(), [&](TimePoint At) { return Context.faultFree(At, At); });
    if (excess > 0)
      Context.Violations.push_back(fmt::format(
          "{} of {} crashed servers {} times, {} of them without a fault "
          "that hides the earlier ones",
          request.Path,
          request.Customer.empty() ? "the caller" : request.Customer,
          times.size(), excess));
  }
}

void checkEngineOrders(JudgeContext &Context) {
  for (std::size_t i = 0; i < Context.Truth.Orders.size(); ++i) {
    std::string holder = "side-" + std::to_string(i);
    std::uint64_t token = 0;
    for (const ServerCall &it : Context.Truth.Orders[i]) {
      if (it.Holder != holder)
        Context.Violations.push_back("engine " + std::to_string(i) +
                                     " was ordered by " + it.Holder);
      if (it.Token < token)
        Context.Violations.push_back("engine " + std::to_string(i) +
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
  JudgeContext all{Seen, Truth, Bounds, {}, {}};
  for (const ServerCall &it : Truth.PlainRuns)
    all.Runs[it.Id].push_back(&it);
  for (const ServerCall &it : Truth.EngineRuns)
    all.Runs[it.Id].push_back(&it);
  checkRequests(all);
  checkRequestIds(all);
  checkJobs(all);
  checkDrains(all);
  checkPlannedStops(all);
  checkConfigRegress(all);
  checkConfigApplied(all);
  checkEngineOrders(all);
  checkCrashingRequests(all);
  return all.Violations;
}

} // namespace wasabi::soak
