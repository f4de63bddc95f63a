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

/// Whether a record was an operator's; claims are refused every day.
bool isConfigChange(std::string_view Text) {
  const Outcome<Record> read =
      toOutcome<Record>([&] { return decodeRecord(Text); });
  return read && std::holds_alternative<ConfigChange>(read->Body);
}

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
/// How often a process that does not read looks whether it should.
constexpr Millis LookPeriod(250);
/// How long a peer may take for records or a state.
constexpr Millis PeerTimeout(2000);
/// Peers asked for a state before the log is.
constexpr int StatePeers = 2;
/// Pause while a newer schema blocks the fold.
constexpr Millis BlockedPause(5000);
/// Most records, and bytes of them, in one answer to a peer.
constexpr std::size_t MaxAnswered = 512;
constexpr std::size_t MaxAnsweredBytes = 2u << 20;

Millis millisSince(TimePoint Then, TimePoint Now) {
  if (Then == TimePoint())
    return Millis::max();
  return std::chrono::duration_cast<Millis>(Now - Then);
}

} // namespace

std::shared_ptr<LogFollower>
LogFollower::create(asio::any_io_executor Executor, Settings Setup, LogPort Log,
                    std::shared_ptr<PeerLinks> Links, ControlCounters &Counters,
                    Timeline &Events, Hooks Calls) {
  return std::shared_ptr<LogFollower>(
      new LogFollower(std::move(Executor), Setup, std::move(Log),
                      std::move(Links), Counters, Events, std::move(Calls)));
}

LogFollower::LogFollower(asio::any_io_executor Executor, Settings Setup,
                         LogPort Log, std::shared_ptr<PeerLinks> Links,
                         ControlCounters &Counters, Timeline &Events,
                         Hooks Calls)
    : Executor(std::move(Executor)), Setup(Setup), Log(std::move(Log)),
      Links(std::move(Links)), Counters(Counters), Events(Events),
      Calls(std::move(Calls)), Wake(this->Executor), Random(Setup.Seed) {}

void LogFollower::start() {
  std::shared_ptr<LogFollower> self = shared_from_this();
  asio::co_spawn(
      Executor, [self]() -> asio::awaitable<void> { return self->run(); },
      asio::detached);
}

void LogFollower::stop() {
  Stopped = true;
  Wake.cancel();
}

Millis LogFollower::caughtUpAge() const {
  return millisSince(FreshAt, monotonicNow());
}

// ---- following ----

asio::awaitable<void> LogFollower::run() {
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
    co_await pause(BlockedPause);
    co_return;
  }
  bool reader = isReader();
  if (!reader && !ReadRequested && !isCatchUpOverdue()) {
    co_await pause(LookPeriod);
    co_return;
  }

  // A reader waits at the log for news; others only look.
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
    // An older tail than was seen before: what is in force stays.
    if (!StaleNoted)
      Events.record("log.stale_tail",
                    {{"offset", std::to_string(got->End)},
                     {"reason", "ends before " + std::to_string(Fold.Next)}});
    StaleNoted = true;
    co_await pause(backOff());
    co_return;
  }
  StaleNoted = false;
  if (got->First > Fold.Next && got->Entries.empty()) {
    co_await recoverFromExpiredOffset(got->First);
    co_return;
  }
  applyLogEntries(got->Entries, true);
  if (Fold.Next >= got->End)
    recordCaughtUp(monotonicNow());
}

asio::awaitable<Outcome<LogRange>>
LogFollower::read(Offset From, std::size_t Max, Millis Wait) {
  Counters.LogReads.fetch_add(1);
  Outcome<LogRange> got = co_await Log.Read(ControlStream, From, Max, Wait);
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
  // The log has dropped what comes next here: only a whole state helps.
  spdlog::warn("control: offset {} has expired, the log begins at {}",
               Fold.Next, First);
  bool got = co_await stateFromPeer();
  if (!got)
    got = co_await stateFromLog();
  if (!got)
    co_await pause(backOff());
}

bool LogFollower::isReader() const {
  std::shared_ptr<const View> seen = Calls.CurrentView();
  return isLogReader(*seen, Setup.ReadersPerDomain);
}

bool LogFollower::isCatchUpOverdue() const {
  return caughtUpAge() > Setup.SilenceLimit + CaughtUpAgeJitter;
}

void LogFollower::recordCaughtUp(TimePoint At) {
  if (At <= FreshAt)
    return;
  FreshAt = At;
  // Each process has its own patience, so that they do not read in step.
  std::uint64_t most = static_cast<std::uint64_t>(Setup.SilenceLimit.count());
  CaughtUpAgeJitter = Millis(static_cast<std::int64_t>(Random() % (most + 1)));
}

void LogFollower::recordReachability(bool Up, const std::string &Reason) {
  bool was = Reachable.exchange(Up);
  if (was == Up && LogNoted)
    return;
  LogNoted = true;
  Events.record(Up ? "log.up" : "log.down", {{"reason", Reason}});
}

Millis LogFollower::backOff() {
  // Exponential with full jitter: after an outage nobody comes in step.
  std::int64_t most = Setup.MinBackOff.count()
                      << std::min<unsigned>(Failures, 10);
  most = std::min(most, Setup.MaxBackOff.count());
  ++Failures;
  std::int64_t drawn = static_cast<std::int64_t>(
      Random() % static_cast<std::uint64_t>(most + 1));
  return std::max(Setup.MinBackOff, Millis(drawn));
}

void LogFollower::requestRead() {
  ReadRequested = true;
  Wake.cancel();
}

// ---- obtaining a state ----

asio::awaitable<bool> LogFollower::obtainState() {
  bool got = co_await stateFromPeer();
  if (!got)
    got = co_await stateFromLog();
  co_return got;
}

asio::awaitable<bool> LogFollower::stateFromPeer() {
  std::shared_ptr<const View> seen = Calls.CurrentView();
  std::vector<const Member *> peers;
  for (const auto &[name, member] : seen->Members) {
    if (name != seen->Self && takesWork(member) && !member.Control.empty())
      peers.push_back(&member);
  }
  std::shuffle(peers.begin(), peers.end(), Random);
  if (peers.size() > StatePeers)
    peers.resize(StatePeers);
  for (const Member *it : peers) {
    StateRequestMessage ask{Links->nextSequence(), seen->Self.Text};
    Address where = it->Control;
    ControlMessage question = ask;
    Outcome<ControlMessage> answer =
        co_await Links->ask(where, std::move(question), PeerTimeout);
    const StateResponseMessage *given =
        answer ? std::get_if<StateResponseMessage>(&*answer) : nullptr;
    if (Stopped || given == nullptr || given->State.empty())
      continue;
    Outcome<FoldState> state =
        toOutcome<FoldState>([&]() { return decodeState(given->State); });
    bool whole = state && state->Next == given->Next &&
                 hashText(given->State) == given->Hash;
    if (!whole) {
      spdlog::error("control: the state from {} does not match its hash",
                    it->Instance.Text);
      continue;
    }
    if (adopt(std::move(*state)))
      co_return true;
  }
  co_return false;
}

asio::awaitable<bool> LogFollower::stateFromLog() {
  Outcome<LogRange> bounds = co_await read(Fold.Next, 1, Millis(0));
  if (!bounds || Stopped)
    co_return false;
  Offset first = bounds->First;
  Offset end = bounds->End;

  // The newest snapshot is near the end; all that is kept is the second try.
  Offset window = Setup.SnapshotWindow;
  Offset near = end > first + window ? end - window : first;
  std::array<Offset, 2> starts = {near, first};
  for (Offset from : starts) {
    Outcome<std::vector<LogEntry>> tail = co_await readAll(from, end);
    if (!tail || Stopped)
      co_return false;
    Outcome<FoldState> state =
        toOutcome<FoldState>([&]() { return recoverState(*tail); });
    if (state && adopt(std::move(*state))) {
      for (const LogEntry &it : *tail)
        keep(it);
      co_return true;
    }
    if (state || from == first)
      break;
  }
  spdlog::error("control: no state can be had from the log, which begins at {}",
                first);
  co_return false;
}

asio::awaitable<Outcome<std::vector<LogEntry>>>
LogFollower::readAll(Offset From, Offset End) {
  std::vector<LogEntry> all;
  Offset next = From;
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

bool LogFollower::adopt(FoldState State) {
  // What is in force here never goes back.
  if (Obtained.load() && State.Next <= Fold.Next)
    return false;
  Fold = std::move(State);
  Kept.clear();
  KeptBytes = 0;
  Calls.OnStateReplaced(Fold);
  publish();
  Obtained.store(true);
  Failures = 0;
  return true;
}

// ---- applying and spreading ----

bool LogFollower::applyLogEntries(const std::vector<LogEntry> &Entries,
                                  bool Spread) {
  std::vector<LogEntry> fresh;
  bool whole = true;
  bool quick = false;
  for (const LogEntry &it : Entries) {
    if (it.At < Fold.Next) {
      Counters.RepeatedRecords.fetch_add(1);
      continue;
    }
    if (it.At > Fold.Next) {
      whole = false;
      break;
    }
    quick = applyLogEntry(it) || quick;
    if (Fold.BlockedOffset)
      break;
    fresh.push_back(it);
  }
  if (fresh.empty() && !Fold.BlockedOffset)
    return whole;
  publish();
  if (Spread && fresh.size() <= Setup.MaxPushed)
    pushToPeers(fresh, quick);
  return whole;
}

bool LogFollower::applyLogEntry(const LogEntry &Entry) {
  ControlStateChange did = apply(Fold, Entry.At, Entry.Text);
  if (did.ApplyStatus == RecordStatus::NewerSchema) {
    Events.record("fold.blocked", {{"offset", std::to_string(Entry.At)},
                                   {"reason", did.Reason}});
    spdlog::error("control: offset {} needs a newer program: {}", Entry.At,
                  did.Reason);
    return false;
  }
  keep(Entry);
  if (did.Diverged) {
    Events.record("fold.diverged", {{"offset", std::to_string(Entry.At)},
                                    {"reason", did.Reason}});
    spdlog::error("control: the snapshot at offset {} differs from the state "
                  "here",
                  Entry.At);
  }
  if (did.ApplyStatus == RecordStatus::Refused && isConfigChange(Entry.Text))
    Events.record("config.refused", {{"offset", std::to_string(Entry.At)},
                                     {"reason", did.Reason}});
  if (did.ConfigChanged)
    Events.record("config.in_force",
                  {{"offset", std::to_string(Entry.At)},
                   {"preset", Fold.Config->ActivePreset.Text}});
  Calls.OnApplied(Entry.At, Fold, did);
  bool taken = !did.ChangedClaimResource.empty() &&
               Fold.Claims.at(did.ChangedClaimResource).Token == Entry.At + 1;
  return did.ConfigChanged || taken;
}

void LogFollower::keep(const LogEntry &Entry) {
  Kept.push_back(Entry);
  KeptBytes += Entry.Text.size();
  while (Kept.size() > 1 && (Kept.size() > Setup.MaxRetainedRecords ||
                             KeptBytes > Setup.MaxRetainedBytes)) {
    KeptBytes -= Kept.front().Text.size();
    Kept.pop_front();
  }
}

void LogFollower::publish() { Shown.set(Fold); }

void LogFollower::pushToPeers(const std::vector<LogEntry> &Fresh, bool Quick) {
  if (Fresh.empty())
    return;
  std::shared_ptr<const View> seen = Calls.CurrentView();
  FanoutSettings limits;
  limits.RandomPeers = Quick ? Setup.ChangeFanout : Setup.RenewalFanout;
  limits.OtherDomains = isReader();
  // The same choice for a while: fewer connections, and peers whose offset is
  // known.
  std::mt19937_64 sticky(Setup.Seed + static_cast<std::uint64_t>(
                                          monotonicNow().time_since_epoch() /
                                          Setup.PeerSelectionInterval));
  LogPushMessage push;
  push.From = seen->Self.Text;
  push.Records = Fresh;
  push.Next = Fold.Next;
  push.First = Kept.front().At;
  push.CaughtUpAge = caughtUpAge();
  for (const InstanceName &it : chooseFanout(*seen, limits, sticky)) {
    // A peer that is known to be as far needs nothing.
    auto known = PeerNext.find(it);
    if (known != PeerNext.end() && known->second >= Fold.Next)
      continue;
    Address where = seen->Members.at(it).Control;
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
  hear(peer, Push.Next, Push.CaughtUpAge);
}

void LogFollower::hear(const InstanceName &Peer, Offset Next,
                       Millis CaughtUpAge) {
  if (Peer.empty() || !Obtained.load())
    return;
  PeerNext[Peer] = Next;
  if (Next <= Fold.Next) {
    if (Next == Fold.Next && CaughtUpAge < Setup.SilenceLimit)
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
  // What is missing may be on its way.
  BootTimer grace(Executor, Setup.GapRequestDelay);
  co_await grace.async_wait(Awaited);
  std::shared_ptr<const View> seen = Calls.CurrentView();
  auto found = seen->Members.find(Peer);
  while (!Stopped && found != seen->Members.end() &&
         PeerNext[Peer] > Fold.Next && !Fold.BlockedOffset) {
    LogRequestMessage ask{Links->nextSequence(), seen->Self.Text, Fold.Next};
    Address where = found->second.Control;
    ControlMessage question = ask;
    Outcome<ControlMessage> answer =
        co_await Links->ask(where, std::move(question), PeerTimeout);
    const LogPushMessage *push =
        answer ? std::get_if<LogPushMessage>(&*answer) : nullptr;
    Offset before = Fold.Next;
    if (push != nullptr && !Stopped)
      applyLogEntries(push->Records, true);
    if (Fold.Next == before) {
      // The peer cannot help: the log itself can.
      requestRead();
      break;
    }
  }
  GapRequestInFlight = false;
}

LogPushMessage LogFollower::answer(const LogRequestMessage &Ask) const {
  LogPushMessage push;
  push.Sequence = Ask.Sequence;
  push.From = Calls.CurrentView()->Self.Text;
  push.Next = Fold.Next;
  push.First = Kept.empty() ? Fold.Next : Kept.front().At;
  push.CaughtUpAge = caughtUpAge();
  if (Ask.Start < push.First)
    return push;
  std::size_t bytes = 0;
  std::size_t skipped = static_cast<std::size_t>(Ask.Start - push.First);
  for (std::size_t n = skipped; n < Kept.size(); ++n) {
    bytes += Kept[n].Text.size();
    if (push.Records.size() == MaxAnswered ||
        (bytes > MaxAnsweredBytes && !push.Records.empty()))
      break;
    push.Records.push_back(Kept[n]);
  }
  return push;
}

StateResponseMessage LogFollower::answer(const StateRequestMessage &Ask) const {
  StateResponseMessage give;
  give.Sequence = Ask.Sequence;
  if (!Obtained.load())
    return give;
  give.Next = Fold.Next;
  give.State = encodeState(Fold);
  give.Hash = hashText(give.State);
  return give;
}

} // namespace wasabi
