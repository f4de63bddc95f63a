#include "Wasabi/Usage/UsageMeter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace wasabi {

namespace asio = boost::asio;

UsageMeter::UsageMeter(Parts Deps, Settings Limits)
    : Limits(std::move(Limits)), Deps(std::move(Deps)), AppendTokens(1),
      AppendInterval(this->Limits.Pace), Wake(this->Deps.Executor) {
  std::mt19937_64 random(this->Limits.Self.Life);
  WriteJitter = Millis(static_cast<std::int64_t>(
      random() %
      static_cast<std::uint64_t>(this->Limits.MaxWriteJitter.count() + 1)));
}

std::shared_ptr<UsageMeter> UsageMeter::create(Parts Deps, Settings Limits) {
  return std::shared_ptr<UsageMeter>(
      new UsageMeter(std::move(Deps), std::move(Limits)));
}

void UsageMeter::start() {
  asio::co_spawn(
      Deps.Executor, [self = shared_from_this()] { return self->writeLoop(); },
      asio::detached);
}

UsageEntry UsageMeter::began(const CustomerName &Customer) {
  UsageEntry entry{Customer, now(), 1};
  add(entry);
  Deps.Counts.counter("usage_counted_total", "Requests that were counted")
      .add();
  return entry;
}

void UsageMeter::withdraw(const UsageEntry &Entry) {
  // A pending entry is just removed.
  auto found = std::find(Pending.begin(), Pending.end(), Entry);
  if (found != Pending.end())
    Pending.erase(found);
  else
    add({Entry.Of, Entry.At, -Entry.Count});
  Deps.Counts
      .counter("usage_withdrawn_total", "Counted requests that did not run")
      .add();
}

void UsageMeter::add(UsageEntry Entry) {
  Pending.push_back(std::move(Entry));
  if (Pending.size() > Limits.MaxPendingEntries)
    compact();
  Wake.notify();
}

/// Merges the entries of each customer and second.
void UsageMeter::compact() {
  using Second = std::chrono::sys_seconds;
  std::map<std::pair<CustomerName, Second>, std::int64_t> sums;
  for (const UsageEntry &it : Pending)
    sums[{it.Of, std::chrono::floor<std::chrono::seconds>(it.At)}] += it.Count;
  Pending.clear();
  for (const auto &[key, sum] : sums) {
    if (sum != 0)
      Pending.push_back({key.first, key.second, sum});
  }
}

/// Returns true if there is something to write: counts, or an empty batch for a
/// window that has ended.
bool UsageMeter::needsWrite() const {
  if (!Pending.empty() || !Unacked.empty())
    return true;
  Millis length = Limits.Windows.Window;
  return windowOf(now() - WriteJitter, length) > windowOf(Through, length);
}

TimePoint UsageMeter::nextWriteTime() const {
  WallTime end = windowEnd(windowOf(Through, Limits.Windows.Window),
                           Limits.Windows.Window);
  return monotonicNow() + std::max(Millis(1), end + WriteJitter - now());
}

asio::awaitable<void> UsageMeter::writeLoop() {
  while (!IsLeaving) {
    TimePoint now = monotonicNow();
    refill(now);
    if (!needsWrite())
      co_await Wake.wait(nextWriteTime());
    else if (now < NotBefore)
      co_await Wake.wait(NotBefore);
    else if (AppendTokens < 1)
      co_await Wake.wait(
          now + std::chrono::ceil<Millis>(AppendInterval * (1 - AppendTokens)));
    else
      co_await write();
  }
  WriteLoopEnded = true;
  Wake.notify();
}

void UsageMeter::refill(TimePoint Now) {
  double tokens = std::chrono::duration<double>(Now - LastRefill) /
                  std::chrono::duration<double>(AppendInterval);
  double burst = std::chrono::duration<double>(Limits.BurstSpan) /
                 std::chrono::duration<double>(AppendInterval);
  AppendTokens = std::min(std::max(1.0, burst), AppendTokens + tokens);
  LastRefill = Now;
}

/// Reduces the append rate after a failed append. An unreachable store is
/// retried at a fixed delay, so that its recovery is noticed early; a reachable
/// one is overloaded.
void UsageMeter::slowDown(TimePoint Now) {
  if (Deps.Contact.Lost) {
    AppendTokens = 1;
    NotBefore = Now + Limits.RetryDelay;
    return;
  }
  AppendInterval = std::clamp(AppendInterval * 2, Limits.RetryDelay,
                              Limits.MaxAppendInterval);
  AppendTokens = 0;
  NotBefore = Now + AppendInterval;
}

/// Makes a batch of the pending entries. An empty batch states that nothing was
/// counted.
UsageBatch UsageMeter::nextBatch() {
  std::size_t count = std::min(Pending.size(), Limits.MaxBatchEntries);
  auto end = Pending.begin() + static_cast<std::ptrdiff_t>(count);
  UsageBatch batch;
  batch.Source = Limits.Self;
  batch.Sequence = Sequence++;
  // Entries that stay pending are not covered by `Through`.
  if (end == Pending.end())
    Through = now();
  batch.Through = Through;
  batch.Entries.assign(Pending.begin(), end);
  Pending.erase(Pending.begin(), end);
  return batch;
}

/// Returns the entries of the newest batch, which isn't in the topic, to the
/// pending ones. Its number is used again.
void UsageMeter::requeueBatch(UsageBatch Unwritten) {
  --Sequence;
  Pending.insert(Pending.begin(), Unwritten.Entries.begin(),
                 Unwritten.Entries.end());
  if (Pending.size() > Limits.MaxPendingEntries)
    compact();
}

/// Writes the pending entries; returns true if the topic holds them. Batches of
/// unknown outcome are appended together with the new one.
asio::awaitable<bool> UsageMeter::write() {
  TimePoint sent = monotonicNow();
  AppendTokens -= 1;
  WallTime before = Through;
  Unacked.push_back(nextBatch());
  std::vector<std::string> records;
  records.reserve(Unacked.size());
  for (const UsageBatch &it : Unacked)
    records.push_back(encodeUsage(it));
  Outcome<Offset> got = co_await Deps.Store.Append(
      UsageTopic, std::move(records), std::nullopt, Limits.AppendTimeout);
  TimePoint now = monotonicNow();
  if (!got) {
    Deps.Counts
        .counter("usage_appends_failed_total",
                 "Records of counts that the store did not take")
        .add();
    // A cancelled append is retried at once: it was cancelled because the store
    // is reachable again.
    if (got.failure().Code != FailureCode::Cancelled)
      slowDown(now);
    if (got.failure().Run == Verdict::NotRun) {
      requeueBatch(std::move(Unacked.back()));
      Unacked.pop_back();
      Through = before;
    }
    co_return false;
  }
  Deps.Decisions->line(
      "usage.written",
      {{"sequence", std::to_string(Sequence - 1)},
       {"requests", std::to_string(Unacked.back().Entries.size())},
       {"offset", std::to_string(*got)},
       {"took_ms",
        std::to_string(
            std::chrono::duration_cast<Millis>(now - sent).count())}});
  Unacked.clear();
  Known = true;
  AppendInterval = std::clamp(std::chrono::duration_cast<Millis>(
                                  (now - sent) * Limits.AppendIntervalFactor),
                              Limits.Pace, Limits.MaxAppendInterval);
  co_return true;
}

asio::awaitable<void> UsageMeter::leave(TimePoint Until) {
  std::shared_ptr<UsageMeter> self = shared_from_this();
  IsLeaving = true;
  Wake.notify();
  while (!WriteLoopEnded && monotonicNow() < Until)
    co_await Wake.wait(Until);
  while (monotonicNow() < Until) {
    if (!Pending.empty() || !Unacked.empty()) {
      bool written = co_await write();
      if (!written)
        co_await pauseFor(Deps.Executor, Limits.RetryDelay);
      continue;
    }
    std::vector<std::string> records{encodeUsage(UsageLeave{Limits.Self})};
    Outcome<Offset> got = co_await Deps.Store.Append(
        UsageTopic, std::move(records), std::nullopt, Limits.AppendTimeout);
    if (got)
      co_return;
    co_await pauseFor(Deps.Executor, Limits.RetryDelay);
  }
  Deps.Decisions->line("usage.left_unwritten",
                       {{"requests", std::to_string(Pending.size())},
                        {"batches", std::to_string(Unacked.size())}});
}

} // namespace wasabi
