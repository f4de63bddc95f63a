#include "Wasabi/Batch/RolloutLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabi {

namespace asio = boost::asio;

Millis replayDelay(double CpuShare) {
  constexpr double Strong = 0.5;
  constexpr Millis Rest{800};
  return CpuShare < Strong ? Rest : Millis(0);
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
      Executor, [self = shared_from_this()] { return self->follow(); },
      asio::detached);
}

asio::awaitable<void> RolloutLog::follow() {
  for (;;) {
    Outcome<LogRange> got = co_await Store.Read(
        Limits.Topic, Fold.Next, Limits.PollTimeout, nextReadBytes());
    // A read that was ended because the store is back is made again at once.
    if (!got && got.failure().Code == FailureCode::Cancelled)
      continue;
    if (!got) {
      failed(got.failure());
      co_await pauseFor(Executor, Limits.RetryDelay);
      continue;
    }
    bool more = got->End > got->First && !got->Entries.empty();
    take(*got);
    expire(Fold, monotonicNow());
    // While behind, the next stretch is read at once.
    if (more && CaughtUp)
      co_await pauseFor(Executor, Limits.PollDelay);
    if (!ReplayDelayDone && isFarBehind(*got))
      co_await pauseFor(Executor, Limits.ReplayDelay);
    ReplayDelayDone = true;
  }
}

asio::awaitable<Outcome<Done>> RolloutLog::refresh() {
  std::shared_ptr<RolloutLog> self = shared_from_this();
  for (;;) {
    Outcome<LogRange> got = co_await Store.Read(Limits.Topic, Fold.Next,
                                                Millis(0), Limits.MaxReadBytes);
    if (!got) {
      failed(got.failure());
      co_return got.failure();
    }
    take(*got);
    if (Fold.Next >= got->End)
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
  bool look = !ReplayDelayDone && Limits.ReplayDelay > Millis(0);
  return look ? Limits.MaxFirstReadBytes : Limits.MaxReadBytes;
}

/// Whether what is left takes more than one read, by the size of what came.
bool RolloutLog::isFarBehind(const LogRange &Range) const {
  if (Range.Entries.empty() || Range.End <= Fold.Next)
    return false;
  std::size_t bytes = 0;
  for (const LogEntry &it : Range.Entries)
    bytes += it.Text.size();
  return bytes / Range.Entries.size() * (Range.End - Fold.Next) >
         Limits.MaxReadBytes;
}

void RolloutLog::take(const LogRange &Range) {
  answered();
  if (Range.First > Fold.Next) {
    Decisions->line("rollout_log.expired",
                    {{"expected", std::to_string(Fold.Next)},
                     {"first", std::to_string(Range.First)}});
    Fold.Next = Range.First;
  }
  for (const LogEntry &it : Range.Entries)
    takeEntry(it);
  if (Fold.Next >= Range.End)
    FreshAt = monotonicNow();
  if (Fold.Next >= Range.End && !CaughtUp) {
    CaughtUp = true;
    Decisions->line("rollout_log.caught_up",
                    {{"next", std::to_string(Fold.Next)},
                     {"jobs", std::to_string(Fold.Jobs.size())}});
    Changed.notify();
  }
  if (!Range.Entries.empty())
    Changed.notify();
}

void RolloutLog::takeEntry(const LogEntry &Entry) {
  if (Entry.At < Fold.Next)
    return;
  Outcome<BatchRecord> record = toOutcome<BatchRecord>([&] {
    return decodeRecord(Entry.Text,
                        Limits.Topic + "@" + std::to_string(Entry.At));
  });
  if (!record) {
    Decisions->line("rollout_log.unreadable",
                    {{"reason", describe(record.failure())}});
    skip(Fold, Entry.At);
    return;
  }
  BatchStateChange change = apply(Fold, Entry.At, *record, monotonicNow());
  if (Listener && change.What != BatchStateChange::Kind::Nothing)
    Listener(change);
}

void RolloutLog::answered() {
  if (noteAnswer(Contact, monotonicNow()))
    Decisions->line("store.regained", {{"topic", Limits.Topic}});
}

void RolloutLog::failed(const Failure &Why) {
  if (noteFailure(Contact, monotonicNow()))
    Decisions->line("store.lost",
                    {{"topic", Limits.Topic}, {"reason", describe(Why)}});
}

} // namespace wasabi
