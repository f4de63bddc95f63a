#include "Wasabi/Batch/RolloutLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabi {

namespace asio = boost::asio;

Millis replayDelay(double CpuShare) {
  constexpr double MinUndelayedCpuShare = 0.5;
  constexpr Millis Delay{800};
  return CpuShare < MinUndelayedCpuShare ? Delay : Millis(0);
}

RolloutLog::RolloutLog(asio::any_io_executor Executor, RecordStore Store,
                       std::shared_ptr<DecisionLog> Decisions, Settings Limits)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Store(std::move(Store)), Decisions(std::move(Decisions)),
      Changed(this->Executor) {}

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

asio::awaitable<void> RolloutLog::followLoop() {
  for (;;) {
    Outcome<LogRange> range = co_await Store.Read(
        Limits.Topic, State.Next, Limits.PollTimeout, nextReadBytes());
    // A read is cancelled when the store becomes reachable again; read at once.
    if (!range && range.failure().Code == FailureCode::Cancelled)
      continue;
    if (!range) {
      onReadFailed(range.failure());
      co_await pauseFor(Executor, Limits.RetryDelay);
      continue;
    }
    bool hasRecords = range->End > range->First && !range->Entries.empty();
    applyRange(*range);
    expireJobs(State, monotonicNow());
    // While catching up, the next range is read without a delay.
    if (hasRecords && CaughtUp)
      co_await pauseFor(Executor, Limits.PollDelay);
    if (!ReplayDelayDone && isFarBehind(*range))
      co_await pauseFor(Executor, Limits.ReplayDelay);
    ReplayDelayDone = true;
  }
}

asio::awaitable<Outcome<Done>> RolloutLog::refresh() {
  std::shared_ptr<RolloutLog> self = shared_from_this();
  for (;;) {
    Outcome<LogRange> range = co_await Store.Read(
        Limits.Topic, State.Next, Millis(0), Limits.MaxReadBytes);
    if (!range) {
      onReadFailed(range.failure());
      co_return range.failure();
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

std::size_t RolloutLog::nextReadBytes() const {
  bool isFirstRead = !ReplayDelayDone && Limits.ReplayDelay > Millis(0);
  return isFirstRead ? Limits.MaxFirstReadBytes : Limits.MaxReadBytes;
}

/// True if the remaining records need more than one read, estimated from the
/// mean size of those just read.
bool RolloutLog::isFarBehind(const LogRange &Range) const {
  if (Range.Entries.empty() || Range.End <= State.Next)
    return false;
  std::size_t bytes = 0;
  for (const LogEntry &it : Range.Entries)
    bytes += it.Text.size();
  return bytes / Range.Entries.size() * (Range.End - State.Next) >
         Limits.MaxReadBytes;
}

void RolloutLog::applyRange(const LogRange &Range) {
  onReadSucceeded();
  if (Range.First > State.Next) {
    Decisions->line("rollout_log.expired",
                    {{"expected", std::to_string(State.Next)},
                     {"first", std::to_string(Range.First)}});
    State.Next = Range.First;
  }
  for (const LogEntry &it : Range.Entries)
    applyEntry(it);
  if (State.Next >= Range.End)
    LastCaughtUpTime = monotonicNow();
  if (State.Next >= Range.End && !CaughtUp) {
    CaughtUp = true;
    Decisions->line("rollout_log.caught_up",
                    {{"next", std::to_string(State.Next)},
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
