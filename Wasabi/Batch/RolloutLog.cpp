#include "Wasabi/Batch/RolloutLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabi {

namespace asio = boost::asio;

RolloutLog::RolloutLog(asio::any_io_executor Executor, RecordStore Store,
                       std::shared_ptr<DecisionLog> Decisions, Settings Limits)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Store(std::move(Store)), Decisions(std::move(Decisions)),
      Changed(this->Executor), Random(std::random_device()()),
      Demanded(this->Executor), Refreshed(this->Executor) {
  Backoff.Initial = this->Limits.RetryDelay;
  State.Limits = this->Limits.State;
}

std::shared_ptr<RolloutLog>
RolloutLog::create(asio::any_io_executor Executor, RecordStore Store,
                   std::shared_ptr<DecisionLog> Decisions, Settings Limits) {
  return std::shared_ptr<RolloutLog>(
      new RolloutLog(std::move(Executor), std::move(Store),
                     std::move(Decisions), std::move(Limits)));
}

void RolloutLog::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->followLoop(); },
      asio::detached);
}

void RolloutLog::demand() {
  bool wasFollowing = isFollowing();
  LastDemand = monotonicNow();
  if (!wasFollowing)
    Demanded.notify();
}

void RolloutLog::pin() {
  Pinned = true;
  Demanded.notify();
}

bool RolloutLog::isFollowing() const {
  return Pinned || !Limits.IdleTimeout ||
         monotonicNow() - LastDemand < *Limits.IdleTimeout;
}

asio::awaitable<void> RolloutLog::followLoop() {
  for (;;) {
    if (!isFollowing()) {
      co_await Demanded.wait();
      continue;
    }
    if (Refreshing) {
      co_await Refreshed.wait();
      continue;
    }
    Outcome<LogRead> read = co_await Store.Read(
        Limits.Topic, State.Next, Limits.PollTimeout, Limits.MaxReadBytes);
    // A read is cancelled when the store becomes reachable again; read at once.
    if (!read && read.failure().Code == FailureCode::Cancelled)
      continue;
    if (!read) {
      onReadFailed(read.failure());
      co_await pauseFor(Executor, nextDelay(Backoff, Random));
      continue;
    }
    noteSuccess(Backoff);
    const LogRange *range = std::get_if<LogRange>(&*read);
    if (range == nullptr) {
      skipExpired(std::get<ExpiredOffset>(*read));
      continue;
    }
    bool hasRecords = range->End > range->First && !range->Entries.empty();
    applyRange(*range);
    expireJobs(State, monotonicNow());
    // While catching up, the next range is read without a delay.
    if (hasRecords && State.Next >= range->End)
      co_await pauseFor(Executor, Limits.PollDelay);
  }
}

asio::awaitable<Outcome<Done>> RolloutLog::refresh() {
  std::shared_ptr<RolloutLog> self = shared_from_this();
  demand();
  // A refresh that began before this call may miss the newest records.
  std::uint64_t begunBefore = RefreshCount;
  while (Refreshing)
    co_await Refreshed.wait();
  if (LastRefresh > begunBefore)
    co_return Done{};
  Refreshing = true;
  std::uint64_t number = ++RefreshCount;
  Outcome<Done> done = co_await readToEnd();
  if (done)
    LastRefresh = number;
  Refreshing = false;
  Refreshed.notify();
  co_return done;
}

asio::awaitable<Outcome<Done>> RolloutLog::readToEnd() {
  for (;;) {
    Outcome<LogRead> read = co_await Store.Read(Limits.Topic, State.Next,
                                                Millis(0), Limits.MaxReadBytes);
    if (!read) {
      onReadFailed(read.failure());
      co_return read.failure();
    }
    const LogRange *range = std::get_if<LogRange>(&*read);
    if (range == nullptr) {
      skipExpired(std::get<ExpiredOffset>(*read));
      continue;
    }
    applyRange(*range);
    if (State.Next >= range->End)
      co_return Done{};
  }
}

asio::awaitable<Outcome<Offset>>
RolloutLog::append(std::vector<std::string> Records, std::optional<Offset> At) {
  std::shared_ptr<RolloutLog> self = shared_from_this();
  co_return co_await Store.Append(Limits.Topic, std::move(Records), At,
                                  Limits.AppendTimeout);
}

/// Continues at the first retained record. A concurrent read may have done so
/// already.
void RolloutLog::skipExpired(const ExpiredOffset &Expired) {
  onReadSucceeded();
  if (Expired.First <= State.Next)
    return;
  Offset expected = State.Next;
  std::size_t known = State.Jobs.size();
  CaughtUp = false;
  std::vector<std::shared_ptr<JobState>> open =
      wasabi::skipExpired(State, Expired.First, monotonicNow());
  Decisions->line("rollout_log.expired",
                  {{"topic", Limits.Topic},
                   {"expected", std::to_string(expected)},
                   {"first", std::to_string(Expired.First)},
                   {"dropped_jobs", std::to_string(known)}});
  for (const std::shared_ptr<JobState> &it : open) {
    if (Listener)
      Listener({BatchStateChange::Kind::Ended, it});
  }
  Changed.notify();
}

void RolloutLog::applyRange(const LogRange &Range) {
  onReadSucceeded();
  for (const LogEntry &it : Range.Entries)
    applyEntry(it);
  if (State.Next >= Range.End)
    LastCaughtUpTime = monotonicNow();
  if (State.Next >= Range.End && !CaughtUp) {
    CaughtUp = true;
    Decisions->line("rollout_log.caught_up",
                    {{"topic", Limits.Topic},
                     {"known_from", std::to_string(State.KnownFrom)},
                     {"next", std::to_string(State.Next)},
                     {"jobs", std::to_string(State.Jobs.size())}});
    Changed.notify();
  }
  if (!Range.Entries.empty())
    Changed.notify();
}

void RolloutLog::applyEntry(const LogEntry &Entry) {
  if (Entry.At < State.Next)
    return;
  Outcome<BatchRecord> record = toOutcome<BatchRecord>([&] {
    return decodeRecord(Entry.Text,
                        Limits.Topic + "@" + std::to_string(Entry.At));
  });
  if (!record) {
    Decisions->line("rollout_log.unreadable",
                    {{"reason", describe(record.failure())}});
    skip(State, Entry.At);
    return;
  }
  BatchStateChange change = apply(State, Entry.At, *record, monotonicNow());
  if (Listener && change.What != BatchStateChange::Kind::Nothing)
    Listener(change);
}

void RolloutLog::onReadSucceeded() {
  if (noteAnswer(Contact, monotonicNow()))
    Decisions->line("store.regained", {{"topic", Limits.Topic}});
}

void RolloutLog::onReadFailed(const Failure &Reason) {
  if (noteFailure(Contact, monotonicNow()))
    Decisions->line("store.lost",
                    {{"topic", Limits.Topic}, {"reason", describe(Reason)}});
}

} // namespace wasabi
