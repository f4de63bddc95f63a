#include "Wasabi/Routing/IdempotencyKeys.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace wasabi {
namespace {

constexpr std::size_t Witnesses = 2;
constexpr Millis AskAgain{1000};

/// The rendezvous weight of a name for a key.
std::uint64_t weightOf(std::string_view Key, std::string_view Name) {
  std::uint64_t seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Name.data(), Name.size(), seed);
}

Failure refuse(Verdict Run, FailureCode Code, std::string Reason) {
  return Failure{Run, Code, "Idempotency-Key", std::move(Reason), {}};
}

} // namespace

std::optional<Candidate> findHomeCandidate(std::string_view Key,
                                           const std::vector<Candidate> &Of) {
  const Candidate *best = nullptr;
  std::uint64_t most = 0;
  for (const Candidate &it : Of) {
    std::uint64_t weight =
        weightOf(Key, it.Key.Instance.Text + "/" + it.Key.Server.Text);
    if (!best || weight > most) {
      best = &it;
      most = weight;
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
    const Member *Who = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const std::pair<const InstanceName, Member> &it : Members.Members) {
    const Member &member = it.second;
    bool holds = member.State != Health::Dead && !member.Requests.empty();
    if (member.Kind == Role::Daemon && holds)
      ranked.push_back({weightOf(Key, member.Instance.Text), &member});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked &One, const Ranked &Other) {
              return std::tie(One.Weight, One.Who->Instance) >
                     std::tie(Other.Weight, Other.Who->Instance);
            });
  std::vector<Member> found;
  std::size_t staying = 0;
  for (const Ranked &it : ranked) {
    if (staying == Witnesses)
      break;
    // One that leaves still remembers, but the next is told already.
    if (takesWork(*it.Who))
      ++staying;
    if (it.Who->Instance != Runner)
      found.push_back(*it.Who);
  }
  return found;
}

Failure downgradeUnprovenFailure(Failure Why) {
  bool never =
      Why.Code == FailureCode::BadInput || Why.Code == FailureCode::Conflict;
  if (Why.Run != Verdict::NotRun || never)
    return Why;
  Why.Run = Verdict::MayHaveRun;
  Why.RetryAfter = std::max(Why.RetryAfter, AskAgain);
  return Why;
}

KeyDecision IdempotencyKeys::begin(const std::string &Key,
                                   std::uint64_t Fingerprint, TimePoint Now) {
  expire(Now);
  std::unordered_map<std::string, Entry>::const_iterator it = Records.find(Key);
  if (it != Records.end())
    return decide(it->second, Fingerprint);
  Entry entry;
  entry.Who = Setup.Self;
  entry.Fingerprint = Fingerprint;
  entry.Since = Now;
  KeyDecision decision;
  if (!insert(Key, std::move(entry), Now)) {
    decision.Action = KeyAction::Refuse;
    decision.Why = refuse(Verdict::NotRun, FailureCode::Overloaded,
                          "too many keys are remembered");
    decision.Why.RetryAfter = AskAgain;
  }
  return decision;
}

KeyDecision IdempotencyKeys::decide(const Entry &Known,
                                    std::uint64_t Fingerprint) const {
  KeyDecision decision;
  decision.Action = KeyAction::Refuse;
  if (Known.Fingerprint != Fingerprint) {
    decision.Why = refuse(Verdict::NotRun, FailureCode::Conflict,
                          "the key was used for another request");
    return decision;
  }
  if (Known.Who != Setup.Self) {
    decision.Why = refuse(Verdict::MayHaveRun, FailureCode::Conflict,
                          "the first request went through instance " +
                              Known.Who.Instance.Text);
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
    decision.Why = refuse(Verdict::Ran, FailureCode::Conflict,
                          "it ran; its answer was too large to be kept");
    return decision;
  }
  decision.Action = KeyAction::Answer;
  decision.Answer = *Known.Answer;
  return decision;
}

void IdempotencyKeys::recordNotRun(const std::string &Key) { drop(Key); }

void IdempotencyKeys::recordAnswer(const std::string &Key,
                                   const http::Response &Answer) {
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it == Records.end())
    return;
  it->second.State = Stage::Answered;
  std::size_t size = Answer.Body.size();
  bool kept = size <= Setup.MaxSingleAnswerBytes &&
              AnswerBytes + size <= Setup.MaxAnswerBytes;
  if (!kept)
    return;
  it->second.Answer = Answer;
  AnswerBytes += size;
}

void IdempotencyKeys::recordFailure(const std::string &Key,
                                    const Failure &Why) {
  if (Why.Run == Verdict::NotRun) {
    drop(Key);
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
                         const Runner &Who, TimePoint Now, std::uint64_t Turn) {
  expire(Now);
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it != Records.end()) {
    if (it->second.Fingerprint != Fingerprint)
      return refuse(Verdict::NotRun, FailureCode::Conflict,
                    "the key was used for another request");
    if (it->second.Who == Who) {
      it->second.Turn = std::max(it->second.Turn, Turn);
      return std::nullopt;
    }
    return refuse(Verdict::MayHaveRun, FailureCode::Conflict,
                  "the first request went through instance " +
                      it->second.Who.Instance.Text);
  }
  Entry entry;
  entry.Who = Who;
  entry.Fingerprint = Fingerprint;
  entry.Since = Now;
  entry.Turn = Turn;
  if (insert(Key, std::move(entry), Now))
    return std::nullopt;
  Failure full = refuse(Verdict::NotRun, FailureCode::Overloaded,
                        "too many keys are remembered");
  full.RetryAfter = AskAgain;
  return full;
}

std::vector<KeyRecord> IdempotencyKeys::records() const {
  std::vector<KeyRecord> all;
  all.reserve(Records.size());
  for (const std::pair<const std::string, Entry> &it : Records)
    all.push_back(KeyRecord{it.first, it.second.Fingerprint, it.second.Who,
                            it.second.Turn});
  return all;
}

void IdempotencyKeys::release(const std::string &Key, const Runner &Who,
                              std::uint64_t Turn) {
  std::unordered_map<std::string, Entry>::const_iterator it = Records.find(Key);
  bool held = it != Records.end() && it->second.Who == Who &&
              Who != Setup.Self && it->second.Turn == Turn;
  if (held)
    drop(Key);
}

bool IdempotencyKeys::insert(const std::string &Key, Entry New, TimePoint Now) {
  if (Records.size() >= Setup.Capacity)
    return false;
  Records.emplace(Key, std::move(New));
  ExpiryQueue.push_back(Age{Key, Now});
  return true;
}

void IdempotencyKeys::expire(TimePoint Now) {
  while (!ExpiryQueue.empty() && Now - ExpiryQueue.front().Since > Setup.Span) {
    std::unordered_map<std::string, Entry>::const_iterator it =
        Records.find(ExpiryQueue.front().Key);
    bool same =
        it != Records.end() && it->second.Since == ExpiryQueue.front().Since;
    // One that still runs is kept, however old.
    if (same && it->second.State == Stage::Running &&
        it->second.Who == Setup.Self) {
      ExpiryQueue.push_back(Age{ExpiryQueue.front().Key, it->second.Since});
      ExpiryQueue.pop_front();
      break;
    }
    if (same)
      drop(ExpiryQueue.front().Key);
    ExpiryQueue.pop_front();
  }
}

void IdempotencyKeys::drop(const std::string &Key) {
  std::unordered_map<std::string, Entry>::iterator it = Records.find(Key);
  if (it == Records.end())
    return;
  if (it->second.Answer)
    AnswerBytes -= it->second.Answer->Body.size();
  Records.erase(it);
}

} // namespace wasabi
