#include "Wasabi/Quarantine/Quarantine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wasabi {

namespace asio = boost::asio;

/// Marks the servers as lost, so that runs which begin from now on are not
/// charged with their crashes.
void Quarantine::noteReportedLosses(const std::set<ServerIncarnation> &Lost) {
  for (const ServerIncarnation &it : Lost) {
    auto found = Feed.View.Servers.Servers.find(it.Server);
    if (found != Feed.View.Servers.Servers.end() &&
        found->second->Entry.incarnation() == it)
      noteConnectionLost(*found->second, monotonicNow());
  }
}

Result<void> Quarantine::applyRecord(const KeyedRecord &Record) {
  RequestDigest digest(Record.Key);
  if (!Record.Value) {
    OwnCrashes.erase(digest);
    Claims.Others.erase(digest);
    removeOtherLosses(Losses, digest);
    clearCrashes(History, digest);
    logStatusChanges();
    ClaimsChanged.notify();
    // A server may have been lost after the request was answered elsewhere.
    if (Losses.Requests.contains(digest)) {
      recordCrashes(History, digest, {}, monotonicNow());
      publish(digest);
    }
    return {};
  }
  BOOST_LEAF_AUTO(record, decodeCrashRecord(*Record.Value, Record.Key));
  TimePoint now = monotonicNow();
  noteReportedLosses(record.Crashes);
  noteReportedLosses(findNewLosses(Losses, digest, record.Losses));
  recordCrashes(History, digest, record.Crashes, now, record.IsolatedCrashes);
  logStatusChanges();
  // Concurrent writers overwrite each other.
  bool lacksClaim = applyClaim(Claims, digest, record.Claim, Record.At, now);
  bool lossesDiffer = applyLosses(Losses, digest, record.Losses, now);
  ClaimsChanged.notify();
  LossesRead.notify();
  if (lacksClaim || lossesDiffer || lacksOwnCrashes(digest, record))
    publish(digest);
  return {};
}

/// Returns true if a record lacks crashes that this process detected.
bool Quarantine::lacksOwnCrashes(const RequestDigest &Digest,
                                 const CrashTopicRecord &Record) const {
  auto own = OwnCrashes.find(Digest);
  return own != OwnCrashes.end() &&
         !std::includes(Record.Crashes.begin(), Record.Crashes.end(),
                        own->second.begin(), own->second.end());
}

/// Has the record of a request written again.
void Quarantine::publish(const RequestDigest &Digest) {
  Unwritten.insert(Digest);
  WriteWake.notify();
}

/// Returns the record of a request as this process knows it. An empty value
/// deletes the key.
KeyedValue Quarantine::makeRecord(const RequestDigest &Digest) const {
  auto known = History.Requests.find(Digest);
  if (known == History.Requests.end())
    return {Digest.Text, std::string()};
  CrashTopicRecord record;
  record.Crashes = known->second.Crashes;
  record.IsolatedCrashes = known->second.IsolatedCrashes;
  for (const auto &[loss, since] : findLosses(Losses, Digest, monotonicNow()))
    record.Losses.insert(loss);
  auto claim = Claims.Own.find(Digest);
  if (claim != Claims.Own.end())
    record.Claim = RunClaim{claim->second.Server, Claims.Self};
  return {Digest.Text, encodeCrashRecord(record)};
}

/// Writes the records that the store lacks, several in one append. Retries
/// while the store is unreachable.
asio::awaitable<void> Quarantine::publishLoop() {
  constexpr Millis Idle{10000};
  for (;;) {
    if (Unwritten.empty()) {
      co_await WriteWake.wait(monotonicNow() + Idle);
      continue;
    }
    std::vector<RequestDigest> digests;
    std::vector<KeyedValue> values;
    while (!Unwritten.empty() && values.size() < Limits.MaxRecordsPerAppend) {
      digests.push_back(*Unwritten.begin());
      values.push_back(makeRecord(digests.back()));
      Unwritten.erase(Unwritten.begin());
    }
    Outcome<Offset> got = co_await Feed.Store.AppendKeyed(
        CrashTopic, std::move(values), Limits.AppendTimeout);
    if (got) {
      Offset at = *got;
      for (const RequestDigest &it : digests)
        Follower->recordWritten(it.Text, at++);
      continue;
    }
    Feed.Decisions->line("request.ends_unwritten",
                         {{"digest", digests.front().Text},
                          {"records", std::to_string(digests.size())},
                          {"reason", describe(got.failure())}});
    Unwritten.insert(digests.begin(), digests.end());
    co_await pauseFor(Feed.Executor, Limits.RetryDelay);
  }
}

asio::awaitable<void> Quarantine::sweepLoop() {
  for (;;) {
    co_await pauseFor(Feed.Executor, Limits.SweepInterval);
    for (const RequestDigest &it : evictOld(History, monotonicNow())) {
      OwnCrashes.erase(it);
      Losses.Requests.erase(it);
      Unwritten.insert(it);
    }
    WriteWake.notify();
  }
}

} // namespace wasabi
