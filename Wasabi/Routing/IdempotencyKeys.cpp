#include "Wasabi/Routing/IdempotencyKeys.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace wasabi {
namespace {

constexpr std::size_t WitnessCount = 2;
constexpr Millis RetryDelay{1000};

/// Returns the rendezvous weight of `Name` for `Key`.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Name) {
  std::uint64_t seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Name.data(), Name.size(), seed);
}

Failure makeRefusal(Verdict Run, FailureCode Code, std::string Reason) {
  return Failure{Run, Code, "Idempotency-Key", std::move(Reason), {}};
}

} // namespace

std::optional<Candidate>
findHomeCandidate(std::string_view Key,
                  const std::vector<Candidate> &Candidates) {
  const Candidate *best = nullptr;
  std::uint64_t highest = 0;
  for (const Candidate &it : Candidates) {
    std::uint64_t weight =
        rendezvousWeight(Key, it.Key.Instance.Text + "/" + it.Key.Server.Text);
    if (!best || weight > highest) {
      best = &it;
      highest = weight;
    }
  }
  if (!best)
    return std::nullopt;
  return *best;
}

std::vector<Member> findWitnesses(std::string_view Key, const View &Members,
                                  const InstanceName &Runner) {
  struct Ranked {
    std::uint64_t Weight = 0;
    const Member *Daemon = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const std::pair<const InstanceName, Member> &it : Members.Members) {
    const Member &member = it.second;
    bool mayHoldRecords =
        member.State != Health::Dead && !member.Requests.empty();
    if (member.Kind == Role::Daemon && mayHoldRecords)
      ranked.push_back({rendezvousWeight(Key, member.Instance.Text), &member});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked &One, const Ranked &Other) {
              return std::tie(One.Weight, One.Daemon->Instance) >
                     std::tie(Other.Weight, Other.Daemon->Instance);
            });
  std::vector<Member> found;
  std::size_t staying = 0;
  for (const Ranked &it : ranked) {
    if (staying == WitnessCount)
      break;
    // A leaving daemon still holds records, but does not count towards the
    // two.
    if (takesWork(*it.Daemon))
      ++staying;
    if (it.Daemon->Instance != Runner)
      found.push_back(*it.Daemon);
  }
  return found;
}

Failure downgradeUnprovenFailure(Failure Why) {
  bool canNeverRun =
      Why.Code == FailureCode::BadInput || Why.Code == FailureCode::Conflict;
  if (Why.Run != Verdict::NotRun || canNeverRun)
    return Why;
  Why.Run = Verdict::MayHaveRun;
  Why.RetryAfter = std::max(Why.RetryAfter, RetryDelay);
  return Why;
}

KeyDecision IdempotencyKeys::begin(const std::string &Key,
                                   std::uint64_t Fingerprint, TimePoint Now) {
  expire(Now);
  std::unordered_map<std::string, Entry>::const_iterator it = Records.find(Key);
  if (it != Records.end())
    return decide(it->second, Fingerprint);
  Entry entry;
  entry.Owner = Setup.Self;
  entry.Fingerprint = Fingerprint;
  entry.Since = Now;
  KeyDecision decision;
  if (!insert(Key, std::move(entry), Now)) {
    decision.Action = KeyAction::Refuse;
    decision.Why = makeRefusal(Verdict::NotRun, FailureCode::Overloaded,
                               "the table of keys is full");
    decision.Why.RetryAfter = RetryDelay;
  }
  return decision;
}

KeyDecision IdempotencyKeys::decide(const Entry &Known,
                                    std::uint64_t Fingerprint) const {
  KeyDecision decision;
  decision.Action = KeyAction::Refuse;
  if (Known.Fingerprint != Fingerprint) {
    decision.Why = makeRefusal(Verdict::NotRun, FailureCode::Conflict,
                               "the key was used for another request");
    return decision;
  }
  if (Known.Owner != Setup.Self) {
    decision.Why = makeRefusal(Verdict::MayHaveRun, FailureCode::Conflict,
                               "the first request went through instance " +
                                   Known.Owner.Instance.Text);
    return decision;
  }
  switch (Known.State) {
  case Stage::Running:
    decision.Action = KeyAction::Wait;
    return decision;
  case Stage::Broken:
    decision.Why = Known.Why;
    return decision;
  case Stage::Answered:
    break;
  }
  if (!Known.Answer) {
    decision.Why =
        makeRefusal(Verdict::Ran, FailureCode::Conflict,
                    "the request ran, but its answer was not stored");
    return decision;
  }
  decision.Action = KeyAction::Answer;
  decision.Answer = *Known.Answer;
  return decision;
}

void IdempotencyKeys::recordNotRun(const std::string &Key) { eraseKey(Key); }

void IdempotencyKeys::recordAnswer(const std::string &Key,
                                   const http::Response &Answer) {
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it == Records.end())
    return;
  it->second.State = Stage::Answered;
  std::size_t size = Answer.Body.size();
  bool fits = size <= Setup.MaxSingleAnswerBytes &&
              AnswerBytes + size <= Setup.MaxAnswerBytes;
  if (!fits)
    return;
  it->second.Answer = Answer;
  AnswerBytes += size;
}

void IdempotencyKeys::recordFailure(const std::string &Key,
                                    const Failure &Why) {
  if (Why.Run == Verdict::NotRun) {
    eraseKey(Key);
    return;
  }
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it == Records.end())
    return;
  it->second.State = Stage::Broken;
  it->second.Why = Why;
}

std::optional<Failure>
IdempotencyKeys::reserve(const std::string &Key, std::uint64_t Fingerprint,
                         const Runner &Owner, TimePoint Now,
                         std::uint64_t ReservationNumber) {
  expire(Now);
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it != Records.end()) {
    if (it->second.Fingerprint != Fingerprint)
      return makeRefusal(Verdict::NotRun, FailureCode::Conflict,
                         "the key was used for another request");
    if (it->second.Owner == Owner) {
      it->second.ReservationNumber =
          std::max(it->second.ReservationNumber, ReservationNumber);
      return std::nullopt;
    }
    return makeRefusal(Verdict::MayHaveRun, FailureCode::Conflict,
                       "the first request went through instance " +
                           it->second.Owner.Instance.Text);
  }
  Entry entry;
  entry.Owner = Owner;
  entry.Fingerprint = Fingerprint;
  entry.Since = Now;
  entry.ReservationNumber = ReservationNumber;
  if (insert(Key, std::move(entry), Now))
    return std::nullopt;
  Failure full = makeRefusal(Verdict::NotRun, FailureCode::Overloaded,
                             "the table of keys is full");
  full.RetryAfter = RetryDelay;
  return full;
}

std::vector<KeyRecord> IdempotencyKeys::records() const {
  std::vector<KeyRecord> records;
  records.reserve(Records.size());
  for (const std::pair<const std::string, Entry> &it : Records)
    records.push_back(KeyRecord{it.first, it.second.Fingerprint,
                                it.second.Owner, it.second.ReservationNumber});
  return records;
}

void IdempotencyKeys::release(const std::string &Key, const Runner &Owner,
                              std::uint64_t ReservationNumber) {
  std::unordered_map<std::string, Entry>::const_iterator it = Records.find(Key);
  bool isHeld = it != Records.end() && it->second.Owner == Owner &&
                Owner != Setup.Self &&
                it->second.ReservationNumber == ReservationNumber;
  if (isHeld)
    eraseKey(Key);
}

bool IdempotencyKeys::insert(const std::string &Key, Entry NewEntry,
                             TimePoint Now) {
  if (Records.size() >= Setup.Capacity)
    return false;
  Records.emplace(Key, std::move(NewEntry));
  ExpiryQueue.push_back(ExpiryEntry{Key, Now});
  return true;
}

void IdempotencyKeys::expire(TimePoint Now) {
  while (!ExpiryQueue.empty() &&
         Now - ExpiryQueue.front().Since > Setup.KeyRetention) {
    std::unordered_map<std::string, Entry>::const_iterator it =
        Records.find(ExpiryQueue.front().Key);
    bool isCurrent =
        it != Records.end() && it->second.Since == ExpiryQueue.front().Since;
    // Keep the key of a running request regardless of its age.
    if (isCurrent && it->second.State == Stage::Running &&
        it->second.Owner == Setup.Self) {
      ExpiryQueue.push_back(
          ExpiryEntry{ExpiryQueue.front().Key, it->second.Since});
      ExpiryQueue.pop_front();
      break;
    }
    if (isCurrent)
      eraseKey(ExpiryQueue.front().Key);
    ExpiryQueue.pop_front();
  }
}

void IdempotencyKeys::eraseKey(const std::string &Key) {
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it == Records.end())
    return;
  if (it->second.Answer)
    AnswerBytes -= it->second.Answer->Body.size();
  Records.erase(it);
}

} // namespace wasabi
