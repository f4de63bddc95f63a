#include "IntegrationTests/Soak/SoakCustomers.h"

#include "IntegrationTests/Soak/SoakJudge.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <unordered_map>

namespace wasabi::soak {

namespace {

using test::ServerCall;

constexpr Millis Lease{3000};
constexpr unsigned Ok = 200;
constexpr unsigned Unauthorized = 401;

/// Requests of one customer by what is known of them.
struct Tally {
  std::uint64_t Ran = 0;
  /// Nobody can say whether it counts: its process was killed about then, or no
  /// server has been seen to begin it, though it was sent.
  std::uint64_t Unsure = 0;
};

/// Since when a process had counts that were not written when it was killed: an
/// append takes some milliseconds, more where a link delays it, and longer
/// where the store is out of reach.
TimePoint unwrittenSince(const SoakGroundTruth &Truth, const EdgeStop &Kill) {
  constexpr Millis Append{600};
  TimePoint since = Kill.At - Append;
  for (bool more = true; more;) {
    more = false;
    for (const SoakGroundTruth::StoreOutagePeriod &it :
         Truth.StoreOutagePeriods) {
      bool concerns = !it.Edge || *it.Edge == Kill.Edge;
      if (!concerns || it.When.From >= since || it.When.From > Kill.At ||
          it.When.To + Append < since)
        continue;
      since = it.When.From;
      more = true;
    }
  }
  return since;
}

bool killedAbout(const SoakGroundTruth &Truth, const ClientRequestRecord &Of) {
  constexpr Millis Crossing{50};
  return std::any_of(Truth.Kills.begin(), Truth.Kills.end(),
                     [&](const EdgeStop &It) {
                       return It.Edge == Of.Edge && It.Life == Of.Life &&
                              It.At + Crossing >= Of.Sent &&
                              unwrittenSince(Truth, It) <= Of.Done;
                     });
}

/// Every server was told the truth, and no key.
void judgeRuns(const SoakObservations &Seen, const SoakGroundTruth &Truth,
               std::vector<std::string> &Faults) {
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
        Faults.push_back(it.Id + " brought a key to a server");
      auto owner = owners.find(it.Id);
      if (owner != owners.end() && it.Customer != owner->second)
        Faults.push_back(fmt::format("{} is {}'s, and a server was told {}",
                                     it.Id, owner->second, it.Customer));
    }
  }
}

/// Whether a passing key was taken away before `Since` and stays away.
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

void judgeKeys(const SoakObservations &Seen, const SoakGroundTruth &Truth,
               const SoakBounds &Bounds, std::vector<std::string> &Faults) {
  for (const ClientRequestRecord &it : Seen.Requests) {
    if (!it.UsesRevocableKey && it.Status == Unauthorized)
      Faults.push_back(it.Id + " was denied though its key is good");
    TimePoint since = it.Sent - Bounds.Configure - Bounds.Slack;
    bool revoked = it.UsesRevocableKey &&
                   isRevoked(Truth, it.CustomerNumber, since, it.Done);
    if (revoked && it.Status == Ok &&
        isFaultFree(Truth, Bounds, since, it.Done))
      Faults.push_back(it.Id + " was served for a key that is taken away");
  }
}

/// What was reported of each customer is what servers began to run.
void judgeCounts(const SoakObservations &Seen, const SoakGroundTruth &Truth,
                 std::vector<std::string> &Faults) {
  std::unordered_map<std::string, std::size_t> runs;
  for (const std::vector<ServerCall> *all :
       {&Truth.PlainRuns, &Truth.EngineRuns}) {
    for (const ServerCall &it : *all)
      ++runs[it.Id];
  }
  std::map<std::string, Tally> tallies;
  for (const ClientRequestRecord &it : Seen.Requests) {
    bool ran = runs.contains(it.Id);
    bool lost =
        it.Status != Ok && it.Status != 503 && it.Status != Unauthorized;
    Tally &tally = tallies[it.Customer];
    if (killedAbout(Truth, it) || (lost && !ran) ||
        // A stream counts with its first event, which may not have come.
        (lost && it.Kind == ClientRequestKind::Stream))
      ++tally.Unsure;
    else
      tally.Ran += ran ? 1 : 0;
  }
  std::map<std::string, std::uint64_t> reported =
      test::sumReportedUsage(Truth.Reports);
  for (const auto &[customer, tally] : tallies) {
    std::uint64_t told = reported[customer];
    if (told < tally.Ran || told > tally.Ran + tally.Unsure)
      Faults.push_back(
          fmt::format("{} requests of {} were reported, {} ran and {} may have",
                      told, customer, tally.Ran, tally.Unsure));
  }
}

/// No window is left out between the first and the last one.
void judgeWindows(const SoakGroundTruth &Truth,
                  std::vector<std::string> &Faults) {
  std::set<std::uint64_t> windows;
  for (const test::ReportCall &it : Truth.Reports) {
    if (it.Taken)
      windows.insert(it.Window);
  }
  if (windows.empty()) {
    Faults.push_back("no window was reported");
    return;
  }
  for (std::uint64_t it = *windows.begin(); it < *windows.rbegin(); ++it) {
    if (!windows.contains(it))
      Faults.push_back(fmt::format("window {} was never reported", it));
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
  constexpr auto Kinds = static_cast<std::uint64_t>(SoakFault::Count) - First;
  constexpr std::uint64_t Salt = 0x5eed;
  std::mt19937_64 random(Seed ^ Salt);
  Millis at(500);
  while (at < Length) {
    ScheduledFault step;
    step.At = at;
    step.Kind = static_cast<SoakFault>(First + random() % Kinds);
    step.Target = static_cast<std::uint32_t>(random() % 1000);
    step.Duration = Millis(300 + static_cast<std::int64_t>(random() % 4000));
    // Keys are taken away in series.
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
  std::vector<std::string> faults =
      test::findCallViolations(Truth.Reports, Lease, Truth.ReportDelaySpans);
  judgeRuns(Seen, Truth, faults);
  judgeKeys(Seen, Truth, Bounds, faults);
  judgeCounts(Seen, Truth, faults);
  judgeWindows(Truth, faults);
  return faults;
}

} // namespace wasabi::soak
