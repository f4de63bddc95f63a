#include "Wasabi/Quarantine/CrashHistory.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace wasabi {

namespace {

/// For each crashed server, the number of requests that its crash counts
/// against.
using SuspectCounts = std::map<ServerIncarnation, std::size_t>;

SuspectCounts countSuspects(const CrashHistory &History) {
  SuspectCounts counts;
  for (const auto &[digest, record] : History.Requests) {
    for (const ServerIncarnation &it : record.Crashes)
      ++counts[it];
  }
  return counts;
}

/// Returns the number of crashes of a request that no poison request explains.
/// `Counts` has no entry for an explained crash.
std::size_t countUnexplained(const CrashRecord &Record,
                             const SuspectCounts &Counts) {
  return static_cast<std::size_t>(std::count_if(
      Record.Crashes.begin(), Record.Crashes.end(),
      [&](const ServerIncarnation &It) { return Counts.contains(It); }));
}

/// Returns true if a server crashed that ran no other suspect, and no poison
/// request explains it.
bool hasIsolatedCrash(const CrashRecord &Record, const SuspectCounts &Counts) {
  return std::any_of(
      Record.IsolatedCrashes.begin(), Record.IsolatedCrashes.end(),
      [&](const ServerIncarnation &It) { return Counts.contains(It); });
}

/// Returns true if the crashes of a request make it poison.
bool exceedsLimits(const CrashHistory &History, const CrashRecord &Record,
                   const SuspectCounts &Counts) {
  if (Record.Crashes.size() >= History.Limits.TotalCrashLimit)
    return true;
  if (Record.Crashes.size() >= History.Limits.CrashLimit &&
      hasIsolatedCrash(Record, Counts))
    return true;
  std::size_t unexplained = countUnexplained(Record, Counts);
  if (unexplained >= History.Limits.SharedCrashLimit)
    return true;
  bool hasUnshared =
      std::any_of(Record.Crashes.begin(), Record.Crashes.end(),
                  [&](const ServerIncarnation &It) {
                    auto count = Counts.find(It);
                    return count != Counts.end() && count->second == 1;
                  });
  return unexplained >= History.Limits.CrashLimit && hasUnshared;
}

/// Returns true if `Left` has all crashes of `Right` and more: it explains all
/// that `Right` explains.
bool hasMoreCrashes(const CrashRecord &Left, const CrashRecord &Right) {
  return Left.Crashes.size() > Right.Crashes.size() &&
         std::includes(Left.Crashes.begin(), Left.Crashes.end(),
                       Right.Crashes.begin(), Right.Crashes.end());
}

/// Returns the request to mark as poison next, or null if there is none. Of the
/// requests that exceed a limit, one whose crashes another one has, too, comes
/// after that; otherwise, fewer crashes come first.
CrashRecord *findNextPoison(CrashHistory &History,
                            const SuspectCounts &Counts) {
  std::vector<CrashRecord *> candidates;
  for (auto &[digest, record] : History.Requests) {
    if (!record.IsPoison && exceedsLimits(History, record, Counts))
      candidates.push_back(&record);
  }
  CrashRecord *next = nullptr;
  for (CrashRecord *it : candidates) {
    bool second = std::any_of(
        candidates.begin(), candidates.end(),
        [&](const CrashRecord *Other) { return hasMoreCrashes(*Other, *it); });
    if (!second &&
        (next == nullptr || it->Crashes.size() <= next->Crashes.size()))
      next = it;
  }
  return next;
}

/// Returns true if poison requests explain all crashes of a request.
bool isExplained(const CrashRecord &Record,
                 const std::set<ServerIncarnation> &PoisonCrashes) {
  return std::includes(PoisonCrashes.begin(), PoisonCrashes.end(),
                       Record.Crashes.begin(), Record.Crashes.end());
}

/// Decides again which requests are poison, one request at a time: the crashes
/// of each one then no longer count against the others.
void updateFlags(CrashHistory &History) {
  SuspectCounts counts = countSuspects(History);
  for (auto &[digest, record] : History.Requests)
    record.IsPoison = false;
  std::set<ServerIncarnation> explained;
  while (CrashRecord *poison = findNextPoison(History, counts)) {
    poison->IsPoison = true;
    explained.insert(poison->Crashes.begin(), poison->Crashes.end());
    for (const ServerIncarnation &it : poison->Crashes)
      counts.erase(it);
  }
  for (auto &[digest, record] : History.Requests)
    record.IsExplained = isExplained(record, explained);
}

/// Returns true if `Left` is evicted before `Right`: requests that are not
/// poison come first, of these the ones without crashes, then those whose last
/// crash is older.
bool isEvictedBefore(const CrashRecord &Left, const CrashRecord &Right) {
  return std::make_tuple(Left.IsPoison, !Left.Crashes.empty(), Left.LastCrash) <
         std::make_tuple(Right.IsPoison, !Right.Crashes.empty(),
                         Right.LastCrash);
}

} // namespace

bool recordCrashes(CrashHistory &History, const RequestDigest &Digest,
                   const std::set<ServerIncarnation> &Crashes, TimePoint Now,
                   const std::set<ServerIncarnation> &IsolatedCrashes) {
  auto [entry, isFirst] = History.Requests.try_emplace(Digest);
  CrashRecord &record = entry->second;
  std::size_t before = record.Crashes.size();
  std::size_t isolatedBefore = record.IsolatedCrashes.size();
  for (const ServerIncarnation &it : Crashes) {
    if (record.Crashes.size() < History.Limits.MaxCrashesPerRequest)
      record.Crashes.insert(it);
  }
  for (const ServerIncarnation &it : IsolatedCrashes) {
    if (record.Crashes.contains(it))
      record.IsolatedCrashes.insert(it);
  }
  bool isNew = record.Crashes.size() > before;
  // At the maximum, further crashes only extend the quarantine.
  if (isFirst || isNew || before == History.Limits.MaxCrashesPerRequest)
    record.LastCrash = Now;
  if (isNew || record.IsolatedCrashes.size() > isolatedBefore)
    updateFlags(History);
  return isNew;
}

bool clearCrashes(CrashHistory &History, const RequestDigest &Digest) {
  auto it = History.Requests.find(Digest);
  if (it == History.Requests.end())
    return false;
  bool hadCrashes = !it->second.Crashes.empty();
  History.Requests.erase(it);
  if (hadCrashes)
    updateFlags(History);
  return true;
}

CrashStatus findCrashStatus(const CrashHistory &History,
                            const RequestDigest &Digest, TimePoint Now) {
  auto it = History.Requests.find(Digest);
  if (it == History.Requests.end() || it->second.Crashes.empty())
    return CrashStatus::Clean;
  if (it->second.IsPoison)
    return remainingQuarantine(History, Digest, Now) > Millis(0)
               ? CrashStatus::Quarantined
               : CrashStatus::Suspect;
  return it->second.IsExplained ? CrashStatus::Clean : CrashStatus::Suspect;
}

Millis remainingQuarantine(const CrashHistory &History,
                           const RequestDigest &Digest, TimePoint Now) {
  auto it = History.Requests.find(Digest);
  if (it == History.Requests.end() || !it->second.IsPoison)
    return Millis(0);
  Millis left = std::chrono::ceil<Millis>(it->second.LastCrash +
                                          History.Limits.QuarantineTime - Now);
  return std::max(left, Millis(0));
}

std::set<RequestDigest> evictOld(CrashHistory &History, TimePoint Now) {
  std::set<RequestDigest> old;
  for (const auto &[digest, record] : History.Requests) {
    if (Now - record.LastCrash > History.Limits.RecordRetention)
      old.insert(digest);
  }
  for (const RequestDigest &it : old)
    History.Requests.erase(it);
  while (History.Requests.size() > History.Limits.MaxTrackedRequests) {
    auto first =
        std::min_element(History.Requests.begin(), History.Requests.end(),
                         [](const auto &L, const auto &R) {
                           return isEvictedBefore(L.second, R.second);
                         });
    old.insert(first->first);
    History.Requests.erase(first);
  }
  if (!old.empty())
    updateFlags(History);
  return old;
}

} // namespace wasabi
