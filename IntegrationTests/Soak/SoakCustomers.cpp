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
TimePoint unwrittenSince(const SoakTruth &Truth, const EdgeStop &Kill) {
  constexpr Millis Append{600};
  TimePoint since = Kill.At - Append;
  for (bool more = true; more;) {
    more = false;
    for (const SoakTruth::StoreCut &it : Truth.StoreCuts) {
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

bool killedAbout(const SoakTruth &Truth, const AskRecord &Of) {
  constexpr Millis Crossing{50};
  return std::any_of(Truth.Kills.begin(), Truth.Kills.end(),
                     [&](const EdgeStop &It) {
                       return It.Edge == Of.Edge && It.Life == Of.Life &&
                              It.At + Crossing >= Of.Sent &&
                              unwrittenSince(Truth, It) <= Of.Done;
                     });
}

/// Every server was told the truth, and no key.
void judgeRuns(const SoakRecord &Seen, const SoakTruth &Truth,
               std::vector<std::string> &Faults) {
  std::unordered_map<std::string, std::string> owners;
  for (const AskRecord &it : Seen.Asks)
    owners[it.Id] = it.Customer;
  for (const JobRecord &job : Seen.Jobs) {
    for (const std::string &item : job.Items)
      owners[item] = job.Customer;
  }
  for (const std::vector<ServerCall> *runs :
       {&Truth.PlainRuns, &Truth.EngineRuns}) {
    for (const ServerCall &it : *runs) {
      if (it.KeyCame)
        Faults.push_back(it.Id + " brought a key to a server");
      auto owner = owners.find(it.Id);
      if (owner != owners.end() && it.Customer != owner->second)
        Faults.push_back(fmt::format("{} is {}'s, and a server was told {}",
                                     it.Id, owner->second, it.Customer));
    }
  }
}

/// Whether a passing key was taken away before `Since` and stays away.
bool isRevoked(const SoakTruth &Truth, std::size_t Customer, TimePoint Since,
               TimePoint To) {
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

void judgeKeys(const SoakRecord &Seen, const SoakTruth &Truth,
               const SoakBounds &Bounds, std::vector<std::string> &Faults) {
  for (const AskRecord &it : Seen.Asks) {
    if (!it.PassingKey && it.Status == Unauthorized)
      Faults.push_back(it.Id + " was denied though its key is good");
    TimePoint since = it.Sent - Bounds.Configure - Bounds.Slack;
    bool revoked =
        it.PassingKey && isRevoked(Truth, it.CustomerNumber, since, it.Done);
    if (revoked && it.Status == Ok && calmFor(Truth, Bounds, since, it.Done))
      Faults.push_back(it.Id + " was served for a key that is taken away");
  }
}

/// What was reported of each customer is what servers began to run.
void judgeCounts(const SoakRecord &Seen, const SoakTruth &Truth,
                 std::vector<std::string> &Faults) {
  std::unordered_map<std::string, std::size_t> runs;
  for (const std::vector<ServerCall> *all :
       {&Truth.PlainRuns, &Truth.EngineRuns}) {
    for (const ServerCall &it : *all)
      ++runs[it.Id];
  }
  std::map<std::string, Tally> tallies;
  for (const AskRecord &it : Seen.Asks) {
    bool ran = runs.contains(it.Id);
    bool lost =
        it.Status != Ok && it.Status != 503 && it.Status != Unauthorized;
    Tally &tally = tallies[it.Customer];
    if (killedAbout(Truth, it) || (lost && !ran) ||
        // A stream counts with its first event, which may not have come.
        (lost && it.Kind == AskKind::Stream))
      ++tally.Unsure;
    else
      tally.Ran += ran ? 1 : 0;
  }
  std::map<std::string, std::uint64_t> reported = test::sumsOf(Truth.Reports);
  for (const auto &[customer, tally] : tallies) {
    std::uint64_t told = reported[customer];
    if (told < tally.Ran || told > tally.Ran + tally.Unsure)
      Faults.push_back(
          fmt::format("{} requests of {} were reported, {} ran and {} may have",
                      told, customer, tally.Ran, tally.Unsure));
  }
}

/// No window is left out between the first and the last one.
void judgeWindows(const SoakTruth &Truth, std::vector<std::string> &Faults) {
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

std::string lastingKey(std::size_t Number) {
  return "lasting-" + std::to_string(Number);
}

std::string passingKey(std::size_t Number) {
  return "passing-" + std::to_string(Number);
}

std::vector<test::WorldCustomer>
customersOf(std::size_t Count, const std::set<std::size_t> &Revoked) {
  std::vector<test::WorldCustomer> all{{OwnCustomer, {OwnKey}, 1}};
  for (std::size_t i = 0; i < Count; ++i) {
    test::WorldCustomer customer{customerName(i), {lastingKey(i)}, 1};
    if (!Revoked.contains(i))
      customer.Keys.push_back(passingKey(i));
    all.push_back(std::move(customer));
  }
  return all;
}

void addCustomerFaults(std::vector<SoakStep> &Plan, std::uint64_t Seed,
                       Millis Length) {
  constexpr auto First = static_cast<std::uint64_t>(SoakFault::RevokeKey);
  constexpr auto Kinds = static_cast<std::uint64_t>(SoakFault::Count) - First;
  constexpr std::uint64_t Salt = 0x5eed;
  std::mt19937_64 random(Seed ^ Salt);
  Millis at(500);
  while (at < Length) {
    SoakStep step;
    step.At = at;
    step.Kind = static_cast<SoakFault>(First + random() % Kinds);
    step.Target = static_cast<std::uint32_t>(random() % 1000);
    step.For = Millis(300 + static_cast<std::int64_t>(random() % 4000));
    // Keys are taken away in series.
    std::uint64_t times =
        step.Kind == SoakFault::RevokeKey ? 1 + random() % 3 : 1;
    for (std::uint64_t i = 0; i < times && step.At + step.For < Length; ++i) {
      Plan.push_back(step);
      step.At += Millis(100 + static_cast<std::int64_t>(random() % 900));
      ++step.Target;
    }
    at += Millis(300 + static_cast<std::int64_t>(random() % 2500));
  }
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const SoakStep &L, const SoakStep &R) { return L.At < R.At; });
}

std::vector<std::string> judgeCustomers(const SoakRecord &Seen,
                                        const SoakTruth &Truth,
                                        const SoakBounds &Bounds) {
  std::vector<std::string> faults =
      test::judgeCalls(Truth.Reports, Lease, Truth.HeldUp);
  judgeRuns(Seen, Truth, faults);
  judgeKeys(Seen, Truth, Bounds, faults);
  judgeCounts(Seen, Truth, faults);
  judgeWindows(Truth, faults);
  return faults;
}

} // namespace wasabi::soak
