#include "IntegrationTests/Soak/SoakCustomers.h"

#include "IntegrationTests/Soak/SoakJudge.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <unordered_map>

namespace wasabi::soak {

namespace {

using test::ServerCall;

constexpr Millis LeaseDuration{3000};
constexpr unsigned Ok = 200;
constexpr unsigned Unauthorized = 401;

/// Requests of one customer, by certainty of their execution.
struct UsageTally {
  std::uint64_t Ran = 0;
  /// Requests that may or may not be counted: the process was killed at about
  /// that time, or the request was sent and no server recorded a run.
  std::uint64_t Uncertain = 0;
};

/// Returns the time since which a killed process may have had unwritten counts:
/// an append takes longer if a link delays it or the store is unreachable.
TimePoint unwrittenSince(const SoakGroundTruth &Truth, const EdgeStop &Kill) {
  constexpr Millis AppendTime{600};
  TimePoint since = Kill.At - AppendTime;
  for (bool more = true; more;) {
    more = false;
    for (const SoakGroundTruth::StoreOutagePeriod &it :
         Truth.StoreOutagePeriods) {
      bool affects = !it.Edge || *it.Edge == Kill.Edge;
      if (!affects || it.When.From >= since || it.When.From > Kill.At ||
          it.When.To + AppendTime < since)
        continue;
      since = it.When.From;
      more = true;
    }
  }
  return since;
}

bool wasKilledNear(const SoakGroundTruth &Truth,
                   const ClientRequestRecord &Request) {
  constexpr Millis InFlightTime{50};
  return std::any_of(
      Truth.Kills.begin(), Truth.Kills.end(), [&](const EdgeStop &It) {
        return It.Edge == Request.Edge && It.Life == Request.Life &&
               It.At + InFlightTime >= Request.Sent &&
               unwrittenSince(Truth, It) <= Request.Done;
      });
}

/// Checks that servers receive the correct customer and no key.
void checkForwardedCustomers(const SoakObservations &Seen,
                             const SoakGroundTruth &Truth,
                             std::vector<std::string> &Violations) {
  std::unordered_map<std::string, std::string> owners;
  for (const ClientRequestRecord &it : Seen.Requests)
    owners[it.Id] = it.Customer;
  for (const JobRecord &job : Seen.Jobs) {
    for (const std::string &item : job.Items)
      owners[item] = job.Customer;
  }
  for (const std::vector<ServerCall> *runs :
       {&Truth.PlainRuns, &Truth.EngineRuns}) {
    for (const ServerCall &it : *runs) {
      if (it.KeyForwarded)
        Violations.push_back(it.Id + " brought a key to a server");
      auto owner = owners.find(it.Id);
      if (owner != owners.end() && it.Customer != owner->second)
        Violations.push_back(fmt::format("{} is {}'s, and a server was told {}",
                                         it.Id, owner->second, it.Customer));
    }
  }
}

/// True if a revocable key was revoked before `Since` and not restored until
/// `To`.
bool isRevoked(const SoakGroundTruth &Truth, std::size_t Customer,
               TimePoint Since, TimePoint To) {
  bool revoked = false;
  for (const KeyChange &it : Truth.KeyChanges) {
    if (it.Customer != Customer)
      continue;
    if (it.At <= Since)
      revoked = it.Revoked;
    else if (it.At <= To && !it.Revoked)
      revoked = false;
  }
  return revoked;
}

void checkKeys(const SoakObservations &Seen, const SoakGroundTruth &Truth,
               const SoakBounds &Bounds, std::vector<std::string> &Violations) {
  for (const ClientRequestRecord &it : Seen.Requests) {
    if (!it.UsesRevocableKey && it.Status == Unauthorized)
      Violations.push_back(it.Id + " was denied though its key is good");
    TimePoint since =
        it.Sent - Bounds.ConfigureTimeout - Bounds.TimingTolerance;
    bool revoked = it.UsesRevocableKey &&
                   isRevoked(Truth, it.CustomerNumber, since, it.Done);
    if (revoked && it.Status == Ok &&
        isFaultFree(Truth, Bounds, since, it.Done))
      Violations.push_back(it.Id + " was served for a key that is taken away");
  }
}

/// Checks that the reported usage of each customer matches the requests that
/// servers ran.
void checkUsageCounts(const SoakObservations &Seen,
                      const SoakGroundTruth &Truth,
                      std::vector<std::string> &Violations) {
  std::unordered_map<std::string, std::size_t> runs;
  for (const std::vector<ServerCall> *all :
       {&Truth.PlainRuns, &Truth.EngineRuns}) {
    for (const ServerCall &it : *all)
      ++runs[it.Id];
  }
  std::map<std::string, UsageTally> tallies;
  for (const ClientRequestRecord &it : Seen.Requests) {
    bool ran = runs.contains(it.Id);
    bool lost =
        it.Status != Ok && it.Status != 503 && it.Status != Unauthorized;
    UsageTally &tally = tallies[it.Customer];
    if (wasKilledNear(Truth, it) || (lost && !ran) ||
        // A stream is counted at its first event, which may not have arrived.
        (lost && it.Kind == ClientRequestKind::Stream))
      ++tally.Uncertain;
    else
      tally.Ran += ran ? 1 : 0;
  }
  std::map<std::string, std::uint64_t> reported =
      test::sumReportedUsage(Truth.Reports);
  for (const auto &[customer, tally] : tallies) {
    std::uint64_t count = reported[customer];
    if (count < tally.Ran || count > tally.Ran + tally.Uncertain)
      Violations.push_back(
          fmt::format("{} requests of {} were reported, {} ran and {} may have",
                      count, customer, tally.Ran, tally.Uncertain));
  }
}

/// Checks that every window between the first and the last one was reported.
void checkReportedWindows(const SoakGroundTruth &Truth,
                          std::vector<std::string> &Violations) {
  std::set<std::uint64_t> windows;
  for (const test::ReportCall &it : Truth.Reports) {
    if (it.Taken)
      windows.insert(it.Window);
  }
  if (windows.empty()) {
    Violations.push_back("no window was reported");
    return;
  }
  for (std::uint64_t it = *windows.begin(); it < *windows.rbegin(); ++it) {
    if (!windows.contains(it))
      Violations.push_back(fmt::format("window {} was never reported", it));
  }
}

} // namespace

std::string customerName(std::size_t Number) {
  return "customer-" + std::to_string(Number);
}

std::string permanentKey(std::size_t Number) {
  return "lasting-" + std::to_string(Number);
}

std::string revocableKey(std::size_t Number) {
  return "passing-" + std::to_string(Number);
}

std::vector<test::ConfiguredCustomer>
makeSoakCustomers(std::size_t Count, const std::set<std::size_t> &Revoked) {
  std::vector<test::ConfiguredCustomer> all{{HarnessCustomer, {HarnessKey}, 1}};
  for (std::size_t i = 0; i < Count; ++i) {
    test::ConfiguredCustomer customer{customerName(i), {permanentKey(i)}, 1};
    if (!Revoked.contains(i))
      customer.Keys.push_back(revocableKey(i));
    all.push_back(std::move(customer));
  }
  return all;
}

void addCustomerFaults(std::vector<ScheduledFault> &Plan, std::uint64_t Seed,
                       Millis Length) {
  constexpr auto First = static_cast<std::uint64_t>(SoakFault::RevokeKey);
  constexpr auto KindCount =
      static_cast<std::uint64_t>(SoakFault::Count) - First;
  constexpr std::uint64_t Salt = 0x5eed;
  std::mt19937_64 random(Seed ^ Salt);
  Millis at(500);
  while (at < Length) {
    ScheduledFault step;
    step.At = at;
    step.Kind = static_cast<SoakFault>(First + random() % KindCount);
    step.Target = static_cast<std::uint32_t>(random() % 1000);
    step.Duration = Millis(300 + static_cast<std::int64_t>(random() % 4000));
    // Several keys are revoked in succession.
    std::uint64_t times =
        step.Kind == SoakFault::RevokeKey ? 1 + random() % 3 : 1;
    for (std::uint64_t i = 0; i < times && step.At + step.Duration < Length;
         ++i) {
      Plan.push_back(step);
      step.At += Millis(100 + static_cast<std::int64_t>(random() % 900));
      ++step.Target;
    }
    at += Millis(300 + static_cast<std::int64_t>(random() % 2500));
  }
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const ScheduledFault &L, const ScheduledFault &R) {
                     return L.At < R.At;
                   });
}

std::vector<std::string> findCustomerViolations(const SoakObservations &Seen,
                                                const SoakGroundTruth &Truth,
                                                const SoakBounds &Bounds) {
  std::vector<std::string> violations = test::findCallViolations(
      Truth.Reports, LeaseDuration, Truth.ReportDelaySpans);
  checkForwardedCustomers(Seen, Truth, violations);
  checkKeys(Seen, Truth, Bounds, violations);
  checkUsageCounts(Seen, Truth, violations);
  checkReportedWindows(Truth, violations);
  return violations;
}

} // namespace wasabi::soak
