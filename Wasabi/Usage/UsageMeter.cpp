#include "Wasabi/Usage/UsageMeter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace wasabi {

namespace asio = boost::asio;

UsageMeter::UsageMeter(Parts With, Settings Limits)
    : Limits(std::move(Limits)), With(std::move(With)), Allowed(1),
      Pause(this->Limits.Pace), Wake(this->With.Executor) {
  std::mt19937_64 random(this->Limits.Self.Life);
  Spread = Millis(static_cast<std::int64_t>(
      random() %
      static_cast<std::uint64_t>(this->Limits.EndSpread.count() + 1)));
}

std::shared_ptr<UsageMeter> UsageMeter::create(Parts With, Settings Limits) {
  return std::shared_ptr<UsageMeter>(
      new UsageMeter(std::move(With), std::move(Limits)));
}

void UsageMeter::start() {
  asio::co_spawn(
      With.Executor, [self = shared_from_this()] { return self->writeLoop(); },
      asio::detached);
}

UsageEntry UsageMeter::began(const CustomerName &Of) {
  UsageEntry entry{Of, now(), 1};
  add(entry);
  With.Counts.counter("usage_counted_total", "Requests that were counted")
      .add();
  return entry;
}

void UsageMeter::withdraw(const UsageEntry &What) {
  // What nobody has read yet is as if it had not been.
  auto found = std::find(Waiting.begin(), Waiting.end(), What);
  if (found != Waiting.end())
    Waiting.erase(found);
  else
    add({What.Of, What.At, -What.Count});
  With.Counts
      .counter("usage_withdrawn_total", "Counted requests that did not run")
      .add();
}

void UsageMeter::add(UsageEntry What) {
  Waiting.push_back(std::move(What));
  if (Waiting.size() > Limits.MaxPendingEntries)
    compact();
  Wake.notify();
}

/// Joins the entries of each customer and second.
void UsageMeter::compact() {
  using Second = std::chrono::sys_seconds;
  std::map<std::pair<CustomerName, Second>, std::int64_t> sums;
  for (const UsageEntry &it : Waiting)
    sums[{it.Of, std::chrono::floor<std::chrono::seconds>(it.At)}] += it.Count;
  Waiting.clear();
  for (const auto &[key, sum] : sums) {
    if (sum != 0)
      Waiting.push_back({key.first, key.second, sum});
  }
}

/// Whether there is something to write: counts, or that there were none in a
/// window that has ended.
bool UsageMeter::due() const {
  if (!Waiting.empty() || !Unacked.empty())
    return true;
  Millis length = Limits.Windows.Window;
  return windowOf(now() - Spread, length) > windowOf(Through, length);
}

TimePoint UsageMeter::nextWriteTime() const {
  WallTime end = windowEnd(windowOf(Through, Limits.Windows.Window),
                           Limits.Windows.Window);
  return monotonicNow() + std::max(Millis(1), end + Spread - now());
}

asio::awaitable<void> UsageMeter::writeLoop() {
  while (!Left) {
    TimePoint now = monotonicNow();
    refill(now);
    if (!due())
      co_await Wake.wait(nextWriteTime());
    else if (now < NotBefore)
      co_await Wake.wait(NotBefore);
    else if (Allowed < 1)
      co_await Wake.wait(now +
                         std::chrono::ceil<Millis>(Pause * (1 - Allowed)));
    else
      co_await write();
  }
  Ended = true;
  Wake.notify();
}

void UsageMeter::refill(TimePoint Now) {
  double pauses = std::chrono::duration<double>(Now - LastRefill) /
                  std::chrono::duration<double>(Pause);
  double burst = std::chrono::duration<double>(Limits.BurstSpan) /
                 std::chrono::duration<double>(Pause);
  Allowed = std::min(std::max(1.0, burst), Allowed + pauses);
  LastRefill = Now;
}

/// The store did not take an append. One that is away is tried again and again,
/// so that its return is heard of; one that answers has too much to do.
void UsageMeter::slowDown(TimePoint Now) {
  if (With.Contact.Lost) {
    Allowed = 1;
    NotBefore = Now + Limits.RetryDelay;
    return;
  }
  Pause = std::clamp(Pause * 2, Limits.RetryDelay, Limits.MaxAppendInterval);
  Allowed = 0;
  NotBefore = Now + Pause;
}

/// Makes a batch of what waits; of nothing, it says that there was nothing.
UsageBatch UsageMeter::nextBatch() {
  std::size_t count = std::min(Waiting.size(), Limits.MaxBatchEntries);
  auto end = Waiting.begin() + static_cast<std::ptrdiff_t>(count);
  UsageBatch batch;
  batch.From = Limits.Self;
  batch.Sequence = Sequence++;
  // What waits on is not in it.
  if (end == Waiting.end())
    Through = now();
  batch.Through = Through;
  batch.Entries.assign(Waiting.begin(), end);
  Waiting.erase(Waiting.begin(), end);
  return batch;
}

/// The newest batch certainly isn't in the topic: its number is free again.
void UsageMeter::requeueBatch(UsageBatch Unwritten) {
  --Sequence;
  Waiting.insert(Waiting.begin(), Unwritten.Entries.begin(),
                 Unwritten.Entries.end());
  if (Waiting.size() > Limits.MaxPendingEntries)
    compact();
}

/// Writes what is counted; true if the topic holds it. Batches of unknown
/// outcome go before the newest one, all or none.
asio::awaitable<bool> UsageMeter::write() {
  TimePoint sent = monotonicNow();
  Allowed -= 1;
  WallTime before = Through;
  Unacked.push_back(nextBatch());
  std::vector<std::string> records;
  records.reserve(Unacked.size());
  for (const UsageBatch &it : Unacked)
    records.push_back(encodeUsage(it));
  Outcome<Offset> got = co_await With.Store.Append(
      UsageTopic, std::move(records), std::nullopt, Limits.AppendTimeout);
  TimePoint now = monotonicNow();
  if (!got) {
    With.Counts
        .counter("usage_appends_failed_total",
                 "Records of counts that the store did not take")
        .add();
    // What was ended because the store is back is written again at once.
    if (got.failure().Code != FailureCode::Cancelled)
      slowDown(now);
    if (got.failure().Run == Verdict::NotRun) {
      requeueBatch(std::move(Unacked.back()));
      Unacked.pop_back();
      Through = before;
    }
    co_return false;
  }
  With.Decisions->line(
      "usage.written",
      {{"sequence", std::to_string(Sequence - 1)},
       {"requests", std::to_string(Unacked.back().Entries.size())},
       {"offset", std::to_string(*got)},
       {"took_ms",
        std::to_string(
            std::chrono::duration_cast<Millis>(now - sent).count())}});
  Unacked.clear();
  Known = true;
  Pause = std::clamp(std::chrono::duration_cast<Millis>(
                         (now - sent) * Limits.AppendIntervalFactor),
                     Limits.Pace, Limits.MaxAppendInterval);
  co_return true;
}

asio::awaitable<void> UsageMeter::leave(TimePoint Until) {
  std::shared_ptr<UsageMeter> self = shared_from_this();
  Left = true;
  Wake.notify();
  while (!Ended && monotonicNow() < Until)
    co_await Wake.wait(Until);
  while (monotonicNow() < Until) {
    if (!Waiting.empty() || !Unacked.empty()) {
      bool written = co_await write();
      if (!written)
        co_await pauseFor(With.Executor, Limits.RetryDelay);
      continue;
    }
    std::vector<std::string> records{encodeUsage(UsageLeave{Limits.Self})};
    Outcome<Offset> got = co_await With.Store.Append(
        UsageTopic, std::move(records), std::nullopt, Limits.AppendTimeout);
    if (got)
      co_return;
    co_await pauseFor(With.Executor, Limits.RetryDelay);
  }
  With.Decisions->line("usage.left_unwritten",
                       {{"requests", std::to_string(Waiting.size())},
                        {"batches", std::to_string(Unacked.size())}});
}

} // namespace wasabi
