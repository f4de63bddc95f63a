#include "Wasabi/Node/LogFollower.h"

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Membership/Fanout.h"
#include "Wasabi/Membership/Rendezvous.h"
#include "Wasabi/State/Record.h"
#include "Wasabi/State/Recovery.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;

/// Returns true if the record is a configuration change. Refused claims are
/// normal and are not reported.
bool isConfigChange(std::string_view Text) {
  const Outcome<Record> read =
      toOutcome<Record>([&] { return decodeRecord(Text); });
  return read && std::holds_alternative<ConfigChange>(read->Body);
}

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
/// Time between two checks whether a process that is not a reader has to read.
constexpr Millis IdleCheckInterval(250);
/// Time limit for a peer's response with records or a state.
constexpr Millis PeerRequestTimeout(2000);
/// Maximum number of peers that are asked for a state before the log is read.
constexpr int MaxStatePeers = 2;
/// Delay between two checks while a newer schema blocks the fold.
constexpr Millis BlockedDelay(5000);
/// Maximum number of records, and their bytes, in one response to a peer.
constexpr std::size_t MaxResponseRecords = 512;
constexpr std::size_t MaxResponseBytes = 2u << 20;

Millis millisSince(TimePoint Then, TimePoint Now) {
  if (Then == TimePoint())
    return Millis::max();
  return std::chrono::duration_cast<Millis>(Now - Then);
}

} // namespace

std::shared_ptr<LogFollower>
LogFollower::create(asio::any_io_executor Executor, Settings Setup, LogPort Log,
                    std::shared_ptr<PeerLinks> Links, ControlCounters &Counters,
                    Timeline &Events, Hooks Callbacks) {
  return std::shared_ptr<LogFollower>(new LogFollower(
      std::move(Executor), Setup, std::move(Log), std::move(Links), Counters,
      Events, std::move(Callbacks)));
}

LogFollower::LogFollower(asio::any_io_executor Executor, Settings Setup,
                         LogPort Log, std::shared_ptr<PeerLinks> Links,
                         ControlCounters &Counters, Timeline &Events,
                         Hooks Callbacks)
    : Executor(std::move(Executor)), Setup(Setup), Log(std::move(Log)),
      Links(std::move(Links)), Counters(Counters), Events(Events),
      Callbacks(std::move(Callbacks)), Wake(this->Executor),
      Random(Setup.Seed) {}

void LogFollower::start() {
  std::shared_ptr<LogFollower> self = shared_from_this();
  asio::co_spawn(
      Executor,
      [self]() -> asio::awaitable<void> { return self->followLoop(); },
      asio::detached);
}

void LogFollower::stop() {
  Stopped = true;
  Wake.cancel();
}

Millis LogFollower::caughtUpAge() const {
  return millisSince(LastCaughtUpTime, monotonicNow());
}

// ---- Following ----

asio::awaitable<void> LogFollower::followLoop() {
  std::shared_ptr<LogFollower> self = shared_from_this();
  while (!Stopped) {
    if (Obtained.load()) {
      co_await followOnce();
      continue;
    }
    bool got = co_await obtainState();
    if (!got)
      co_await pause(backOff());
  }
}

asio::awaitable<void> LogFollower::pause(Millis Span) {
  Wake.expires_after(Span);
  co_await Wake.async_wait(Awaited);
}

asio::awaitable<void> LogFollower::followOnce() {
  if (Fold.BlockedOffset) {
    co_await pause(BlockedDelay);
    co_return;
  }
  bool reader = isReader();
  if (!reader && !ReadRequested && !isCatchUpOverdue()) {
    co_await pause(IdleCheckInterval);
    co_return;
  }

  // Readers wait at the log for new records; other processes only poll.
  bool waits = reader && !ReadRequested;
  ReadRequested = false;
  Outcome<LogRange> got = co_await read(Fold.Next, Setup.MaxReadRecords,
                                        waits ? Setup.PollTimeout : Millis(0));
  if (Stopped)
    co_return;
  if (!got) {
    co_await pause(backOff());
    co_return;
  }
  Failures = 0;
  if (got->End < Fold.Next) {
    // The log ends before the state that is already applied, which is kept.
    if (!StaleTailRecorded)
      Events.record("log.stale_tail",
                    {{"offset", std::to_string(got->End)},
                     {"reason", "ends before " + std::to_string(Fold.Next)}});
    StaleTailRecorded = true;
    co_await pause(backOff());
    co_return;
  }
  StaleTailRecorded = false;
  if (got->First > Fold.Next && got->Entries.empty()) {
    co_await recoverFromExpiredOffset(got->First);
    co_return;
  }
  applyLogEntries(got->Entries, true);
  if (Fold.Next >= got->End)
    recordCaughtUp(monotonicNow());
}

asio::awaitable<Outcome<LogRange>>
LogFollower::read(Offset Start, std::size_t MaxRecords, Millis PollTimeout) {
  Counters.LogReads.fetch_add(1);
  Outcome<LogRange> got =
      co_await Log.Read(ControlStream, Start, MaxRecords, PollTimeout);
  if (got) {
    recordReachability(true, "");
    LogFirst = std::max(LogFirst, got->First);
    for (const LogEntry &it : got->Entries)
      Counters.BytesIn.fetch_add(it.Text.size());
  } else {
    recordReachability(false, describe(got.failure()));
  }
  co_return got;
}

asio::awaitable<void> LogFollower::recoverFromExpiredOffset(Offset First) {
  // The log has dropped the next record, so the complete state has to be
  // replaced.
  spdlog::warn("control: offset {} has expired, the log begins at {}",
               Fold.Next, First);
  bool got = co_await fetchStateFromPeer();
  if (!got)
    got = co_await recoverStateFromLog();
  if (!got)
    co_await pause(backOff());
}

bool LogFollower::isReader() const {
  std::shared_ptr<const View> clusterView = Callbacks.CurrentView();
  return isLogReader(*clusterView, Setup.ReadersPerDomain);
}

bool LogFollower::isCatchUpOverdue() const {
  return caughtUpAge() > Setup.MaxCaughtUpAge + CaughtUpAgeJitter;
}

void LogFollower::recordCaughtUp(TimePoint At) {
  if (At <= LastCaughtUpTime)
    return;
  LastCaughtUpTime = At;
  // Jitter keeps processes from reading at the same time.
  std::uint64_t bound =
      static_cast<std::uint64_t>(Setup.MaxCaughtUpAge.count());
  CaughtUpAgeJitter = Millis(static_cast<std::int64_t>(Random() % (bound + 1)));
}

void LogFollower::recordReachability(bool IsReachable,
                                     const std::string &Reason) {
  bool was = Reachable.exchange(IsReachable);
  if (was == IsReachable && ReachabilityRecorded)
    return;
  ReachabilityRecorded = true;
  Events.record(IsReachable ? "log.up" : "log.down", {{"reason", Reason}});
}

Millis LogFollower::backOff() {
  // Exponential back-off with full jitter, so that processes do not retry at
  // the same time after an outage.
  std::int64_t bound = Setup.MinBackOff.count()
                       << std::min<unsigned>(Failures, 10);
  bound = std::min(bound, Setup.MaxBackOff.count());
  ++Failures;
  std::int64_t drawn = static_cast<std::int64_t>(
      Random() % static_cast<std::uint64_t>(bound + 1));
  return std::max(Setup.MinBackOff, Millis(drawn));
}

void LogFollower::requestRead() {
  ReadRequested = true;
  Wake.cancel();
}

// ---- Obtaining a state ----

asio::awaitable<bool> LogFollower::obtainState() {
  bool got = co_await fetchStateFromPeer();
  if (!got)
    got = co_await recoverStateFromLog();
  co_return got;
}

asio::awaitable<bool> LogFollower::fetchStateFromPeer() {
  std::shared_ptr<const View> clusterView = Callbacks.CurrentView();
  std::vector<const Member *> peers;
  for (const auto &[name, member] : clusterView->Members) {
    if (name != clusterView->Self && takesWork(member) &&
        !member.Control.empty())
      peers.push_back(&member);
  }
  std::shuffle(peers.begin(), peers.end(), Random);
  if (peers.size() > MaxStatePeers)
    peers.resize(MaxStatePeers);
  for (const Member *it : peers) {
    StateRequestMessage request{Links->nextSequence(), clusterView->Self.Text};
    Address where = it->Control;
    ControlMessage message = request;
    Outcome<ControlMessage> answer =
        co_await Links->ask(where, std::move(message), PeerRequestTimeout);
    const StateResponseMessage *response =
        answer ? std::get_if<StateResponseMessage>(&*answer) : nullptr;
    if (Stopped || response == nullptr || response->State.empty())
      continue;
    Outcome<FoldState> state =
        toOutcome<FoldState>([&]() { return decodeState(response->State); });
    bool valid = state && state->Next == response->Next &&
                 hashText(response->State) == response->Hash;
    if (!valid) {
      spdlog::error("control: the state from {} does not match its hash",
                    it->Instance.Text);
      continue;
    }
    if (replaceState(std::move(*state)))
      co_return true;
  }
  co_return false;
}

asio::awaitable<bool> LogFollower::recoverStateFromLog() {
  Outcome<LogRange> bounds = co_await read(Fold.Next, 1, Millis(0));
  if (!bounds || Stopped)
    co_return false;
  Offset first = bounds->First;
  Offset end = bounds->End;

  // The newest snapshot is usually near the end; otherwise search all retained
  // records.
  Offset window = Setup.SnapshotWindow;
  Offset recent = end > first + window ? end - window : first;
  std::array<Offset, 2> starts = {recent, first};
  for (Offset from : starts) {
    Outcome<std::vector<LogEntry>> tail = co_await readAll(from, end);
    if (!tail || Stopped)
      co_return false;
    Outcome<FoldState> state =
        toOutcome<FoldState>([&]() { return recoverState(*tail); });
    if (state && replaceState(std::move(*state))) {
      for (const LogEntry &it : *tail)
        retainEntry(it);
      co_return true;
    }
    if (state || from == first)
      break;
  }
  spdlog::error(
      "control: no state can be recovered from the log, which begins at {}",
      first);
  co_return false;
}

asio::awaitable<Outcome<std::vector<LogEntry>>>
LogFollower::readAll(Offset Start, Offset End) {
  std::vector<LogEntry> all;
  Offset next = Start;
  while (next < End && !Stopped) {
    Outcome<LogRange> got =
        co_await read(next, Setup.MaxReadRecords, Millis(0));
    if (!got)
      co_return got.failure();
    if (got->Entries.empty())
      break;
    for (LogEntry &it : got->Entries)
      all.push_back(std::move(it));
    next = all.back().At + 1;
  }
  co_return all;
}

bool LogFollower::replaceState(FoldState State) {
  // The published state never goes back.
  if (Obtained.load() && State.Next <= Fold.Next)
    return false;
  Fold = std::move(State);
  Retained.clear();
  RetainedBytes = 0;
  Callbacks.OnStateReplaced(Fold);
  publish();
  Obtained.store(true);
  Failures = 0;
  return true;
}

// ---- Applying and distributing ----

bool LogFollower::applyLogEntries(const std::vector<LogEntry> &Entries,
                                  bool PushToPeers) {
  std::vector<LogEntry> newEntries;
  bool contiguous = true;
  bool hasUrgent = false;
  for (const LogEntry &it : Entries) {
    if (it.At < Fold.Next) {
      Counters.RepeatedRecords.fetch_add(1);
      continue;
    }
    if (it.At > Fold.Next) {
      contiguous = false;
      break;
    }
    hasUrgent = applyLogEntry(it) || hasUrgent;
    if (Fold.BlockedOffset)
      break;
    newEntries.push_back(it);
  }
  if (newEntries.empty() && !Fold.BlockedOffset)
    return contiguous;
  publish();
  if (PushToPeers && newEntries.size() <= Setup.MaxPushed)
    pushToPeers(newEntries, hasUrgent);
  return contiguous;
}

bool LogFollower::applyLogEntry(const LogEntry &Entry) {
  ControlStateChange change = apply(Fold, Entry.At, Entry.Text);
  if (change.ApplyStatus == RecordStatus::NewerSchema) {
    Events.record("fold.blocked", {{"offset", std::to_string(Entry.At)},
                                   {"reason", change.Reason}});
    spdlog::error("control: the record at offset {} needs a newer version: {}",
                  Entry.At, change.Reason);
    return false;
  }
  retainEntry(Entry);
  if (change.Diverged) {
    Events.record("fold.diverged", {{"offset", std::to_string(Entry.At)},
                                    {"reason", change.Reason}});
    spdlog::error("control: the snapshot at offset {} differs from the state "
                  "here",
                  Entry.At);
  }
  if (change.ApplyStatus == RecordStatus::Refused && isConfigChange(Entry.Text))
    Events.record("config.refused", {{"offset", std::to_string(Entry.At)},
                                     {"reason", change.Reason}});
  if (change.ConfigChanged)
    Events.record("config.in_force",
                  {{"offset", std::to_string(Entry.At)},
                   {"preset", Fold.Config->ActivePreset.Text}});
  Callbacks.OnApplied(Entry.At, Fold, change);
  bool acquired =
      !change.ChangedClaimResource.empty() &&
      Fold.Claims.at(change.ChangedClaimResource).Token == Entry.At + 1;
  return change.ConfigChanged || acquired;
}

void LogFollower::retainEntry(const LogEntry &Entry) {
  Retained.push_back(Entry);
  RetainedBytes += Entry.Text.size();
  while (Retained.size() > 1 && (Retained.size() > Setup.MaxRetainedRecords ||
                                 RetainedBytes > Setup.MaxRetainedBytes)) {
    RetainedBytes -= Retained.front().Text.size();
    Retained.pop_front();
  }
}

void LogFollower::publish() { PublishedState.set(Fold); }

void LogFollower::pushToPeers(const std::vector<LogEntry> &NewEntries,
                              bool HasUrgent) {
  if (NewEntries.empty())
    return;
  std::shared_ptr<const View> clusterView = Callbacks.CurrentView();
  FanoutSettings limits;
  limits.RandomPeers = HasUrgent ? Setup.ChangeFanout : Setup.RenewalFanout;
  limits.OtherDomains = isReader();
  // A fixed selection for some time needs fewer connections and reuses the
  // known positions of peers.
  std::mt19937_64 selectionRandom(
      Setup.Seed +
      static_cast<std::uint64_t>(monotonicNow().time_since_epoch() /
                                 Setup.PeerSelectionInterval));
  LogPushMessage push;
  push.From = clusterView->Self.Text;
  push.Records = NewEntries;
  push.Next = Fold.Next;
  push.First = Retained.front().At;
  push.CaughtUpAge = caughtUpAge();
  for (const InstanceName &it :
       chooseFanout(*clusterView, limits, selectionRandom)) {
    // Skip peers that are known to have these records.
    auto known = PeerNext.find(it);
    if (known != PeerNext.end() && known->second >= Fold.Next)
      continue;
    Address where = clusterView->Members.at(it).Control;
    if (!where.empty())
      Links->send(where, push);
  }
}

void LogFollower::applyOwnRecord(Offset At, std::string Text) {
  if (!Obtained.load() || At > Fold.Next) {
    requestRead();
    return;
  }
  std::vector<LogEntry> entries;
  entries.push_back(LogEntry{At, std::move(Text)});
  applyLogEntries(entries, true);
}

void LogFollower::receive(const LogPushMessage &Push) {
  InstanceName peer(Push.From);
  if (Obtained.load() && !Fold.BlockedOffset)
    applyLogEntries(Push.Records, true);
  onPeerLogPosition(peer, Push.Next, Push.CaughtUpAge);
}

void LogFollower::onPeerLogPosition(const InstanceName &Peer, Offset Next,
                                    Millis CaughtUpAge) {
  if (Peer.empty() || !Obtained.load())
    return;
  PeerNext[Peer] = Next;
  if (Next <= Fold.Next) {
    if (Next == Fold.Next && CaughtUpAge < Setup.MaxCaughtUpAge)
      recordCaughtUp(monotonicNow() - CaughtUpAge);
    return;
  }
  if (GapRequestInFlight || Fold.BlockedOffset)
    return;
  GapRequestInFlight = true;
  std::shared_ptr<LogFollower> self = shared_from_this();
  asio::co_spawn(
      Executor,
      [self, Peer]() -> asio::awaitable<void> {
        return self->requestMissingRecords(Peer);
      },
      asio::detached);
}

asio::awaitable<void> LogFollower::requestMissingRecords(InstanceName Peer) {
  std::shared_ptr<LogFollower> self = shared_from_this();
  // The missing records may be on their way.
  BootTimer grace(Executor, Setup.GapRequestDelay);
  co_await grace.async_wait(Awaited);
  std::shared_ptr<const View> clusterView = Callbacks.CurrentView();
  auto found = clusterView->Members.find(Peer);
  while (!Stopped && found != clusterView->Members.end() &&
         PeerNext[Peer] > Fold.Next && !Fold.BlockedOffset) {
    LogRequestMessage request{Links->nextSequence(), clusterView->Self.Text,
                              Fold.Next};
    Address where = found->second.Control;
    ControlMessage message = request;
    Outcome<ControlMessage> answer =
        co_await Links->ask(where, std::move(message), PeerRequestTimeout);
    const LogPushMessage *push =
        answer ? std::get_if<LogPushMessage>(&*answer) : nullptr;
    Offset before = Fold.Next;
    if (push != nullptr && !Stopped)
      applyLogEntries(push->Records, true);
    if (Fold.Next == before) {
      // The peer has no further records, so read the log.
      requestRead();
      break;
    }
  }
  GapRequestInFlight = false;
}

LogPushMessage LogFollower::answer(const LogRequestMessage &Request) const {
  LogPushMessage push;
  push.Sequence = Request.Sequence;
  push.From = Callbacks.CurrentView()->Self.Text;
  push.Next = Fold.Next;
  push.First = Retained.empty() ? Fold.Next : Retained.front().At;
  push.CaughtUpAge = caughtUpAge();
  if (Request.Start < push.First)
    return push;
  std::size_t bytes = 0;
  std::size_t skipped = static_cast<std::size_t>(Request.Start - push.First);
  for (std::size_t n = skipped; n < Retained.size(); ++n) {
    bytes += Retained[n].Text.size();
    if (push.Records.size() == MaxResponseRecords ||
        (bytes > MaxResponseBytes && !push.Records.empty()))
      break;
    push.Records.push_back(Retained[n]);
  }
  return push;
}

StateResponseMessage
LogFollower::answer(const StateRequestMessage &Request) const {
  StateResponseMessage response;
  response.Sequence = Request.Sequence;
  if (!Obtained.load())
    return response;
  response.Next = Fold.Next;
  response.State = encodeState(Fold);
  response.Hash = hashText(response.State);
  return response;
}

} // namespace wasabi
