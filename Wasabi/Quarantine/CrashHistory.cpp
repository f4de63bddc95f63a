#include "Wasabi/Quarantine/CrashHistory.h"

#include <algorithm>
#include <utility>

namespace wasabi {

namespace {

/// Counts, for each server that has ended, the requests that it counts against.
using EndCounts = std::map<ServerIncarnation, std::size_t>;

EndCounts countEnds(const CrashHistory &Ledger) {
  EndCounts counts;
  for (const auto &[digest, record] : Ledger.Requests) {
    for (const ServerIncarnation &it : record.Ends)
      ++counts[it];
  }
  return counts;
}

/// Ends of a request that no convicted one explains: those are not counted any
/// more.
std::size_t unexplained(const CrashRecord &Of, const EndCounts &Counts) {
  return static_cast<std::size_t>(std::count_if(
      Of.Ends.begin(), Of.Ends.end(),
      [&](const ServerIncarnation &It) { return Counts.contains(It); }));
}

bool convicts(const CrashHistory &Ledger, const CrashRecord &Of,
              const EndCounts &Counts) {
  if (Of.Ends.size() >= Ledger.Limits.TotalCrashLimit)
    return true;
  std::size_t ends = unexplained(Of, Counts);
  if (ends >= Ledger.Limits.SharedCrashLimit)
    return true;
  bool alone = std::any_of(Of.Ends.begin(), Of.Ends.end(),
                           [&](const ServerIncarnation &It) {
                             auto count = Counts.find(It);
                             return count != Counts.end() && count->second == 1;
                           });
  return ends >= Ledger.Limits.Ends && alone;
}

/// The request to convict next: of those whose ends convict them, one of
/// `Before`, then the one with the most ends; null if there is none.
CrashRecord *nextConvicted(CrashHistory &Ledger, const EndCounts &Counts,
                           const std::set<RequestDigest> &Before) {
  CrashRecord *next = nullptr;
  std::pair<bool, std::size_t> rank;
  for (auto &[digest, record] : Ledger.Requests) {
    std::pair<bool, std::size_t> own(Before.contains(digest),
                                     record.Ends.size());
    if (record.IsPoison || own <= rank || !convicts(Ledger, record, Counts))
      continue;
    next = &record;
    rank = own;
  }
  return next;
}

void judge(CrashHistory &Ledger) {
  EndCounts counts = countEnds(Ledger);
  std::set<RequestDigest> before;
  for (auto &[digest, record] : Ledger.Requests) {
    if (record.IsPoison)
      before.insert(digest);
    record.IsPoison = false;
  }
  while (CrashRecord *convicted = nextConvicted(Ledger, counts, before)) {
    convicted->IsPoison = true;
    for (const ServerIncarnation &it : convicted->Ends)
      counts.erase(it);
  }
}

/// Whether a request is the first to go: one that is not convicted, then the
/// one whose last end is the oldest.
bool goesBefore(const CrashRecord &Left, const CrashRecord &Right) {
  return std::make_pair(Left.IsPoison, Left.Newest) <
         std::make_pair(Right.IsPoison, Right.Newest);
}

} // namespace

bool recordCrashes(CrashHistory &Ledger, const RequestDigest &Of,
                   const std::set<ServerIncarnation> &Ends, TimePoint Now) {
  CrashRecord &record = Ledger.Requests[Of];
  std::size_t before = record.Ends.size();
  for (const ServerIncarnation &it : Ends) {
    if (record.Ends.size() < Ledger.Limits.MostEnds)
      record.Ends.insert(it);
  }
  bool news = record.Ends.size() > before;
  // Beyond what is kept an end counts by its time alone.
  if (news || before == Ledger.Limits.MostEnds)
    record.Newest = Now;
  if (news)
    judge(Ledger);
  return news;
}

bool clearCrashes(CrashHistory &Ledger, const RequestDigest &Of) {
  if (Ledger.Requests.erase(Of) == 0)
    return false;
  judge(Ledger);
  return true;
}

CrashStatus findCrashStatus(const CrashHistory &Ledger, const RequestDigest &Of,
                            TimePoint Now) {
  auto it = Ledger.Requests.find(Of);
  if (it == Ledger.Requests.end())
    return CrashStatus::Clean;
  if (it->second.IsPoison)
    return remainingQuarantine(Ledger, Of, Now) > Millis(0)
               ? CrashStatus::Quarantined
               : CrashStatus::Suspect;
  bool explained = true;
  for (const ServerIncarnation &end : it->second.Ends) {
    explained =
        explained && std::any_of(Ledger.Requests.begin(), Ledger.Requests.end(),
                                 [&](const auto &Other) {
                                   return Other.second.IsPoison &&
                                          Other.second.Ends.contains(end);
                                 });
  }
  return explained ? CrashStatus::Clean : CrashStatus::Suspect;
}

Millis remainingQuarantine(const CrashHistory &Ledger, const RequestDigest &Of,
                           TimePoint Now) {
  auto it = Ledger.Requests.find(Of);
  if (it == Ledger.Requests.end() || !it->second.IsPoison)
    return Millis(0);
  Millis left =
      std::chrono::ceil<Millis>(it->second.Newest + Ledger.Limits.Term - Now);
  return std::max(left, Millis(0));
}

std::set<RequestDigest> evictOld(CrashHistory &Ledger, TimePoint Now) {
  std::set<RequestDigest> old;
  for (const auto &[digest, record] : Ledger.Requests) {
    if (Now - record.Newest > Ledger.Limits.Memory)
      old.insert(digest);
  }
  for (const RequestDigest &it : old)
    Ledger.Requests.erase(it);
  while (Ledger.Requests.size() > Ledger.Limits.MaxTrackedRequests) {
    auto first =
        std::min_element(Ledger.Requests.begin(), Ledger.Requests.end(),
                         [](const auto &L, const auto &R) {
                           return goesBefore(L.second, R.second);
                         });
    old.insert(first->first);
    Ledger.Requests.erase(first);
  }
  if (!old.empty())
    judge(Ledger);
  return old;
}

} // namespace wasabi
