#include "Wasabi/Upstream/KeyedFollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <set>

namespace wasabi {

namespace asio = boost::asio;

std::vector<KeyedRecord>
applyNewRecords(KeyedOffsets &Table, const std::vector<KeyedRecord> &Records) {
  std::vector<KeyedRecord> changed;
  for (const KeyedRecord &it : Records) {
    Table.Next = std::max(Table.Next, it.At + 1);
    auto known = Table.Keys.find(it.Key);
    if (known != Table.Keys.end() && known->second >= it.At)
      continue;
    Table.Keys[it.Key] = it.At;
    changed.push_back(it);
  }
  std::erase_if(Table.PendingWrites,
                [&](const auto &It) { return It.second < Table.Next; });
  return changed;
}

std::vector<KeyedRecord> applySnapshot(KeyedOffsets &Table,
                                       const KeyedRange &Range) {
  std::set<std::string, std::less<>> present;
  for (const KeyedRecord &it : Range.Records)
    present.insert(it.Key);
  std::vector<KeyedRecord> changed;
  for (auto it = Table.Keys.begin(); it != Table.Keys.end();) {
    if (present.contains(it->first) || it->second >= Range.End) {
      ++it;
      continue;
    }
    changed.push_back(KeyedRecord{it->second, it->first, std::nullopt});
    it = Table.Keys.erase(it);
  }
  for (const auto &[key, at] : Table.PendingWrites) {
    if (at < Range.End && !present.contains(key) && !Table.Keys.contains(key))
      changed.push_back(KeyedRecord{at, key, std::nullopt});
  }
  Offset previousNext = Table.Next;
  std::vector<KeyedRecord> updated = applyNewRecords(Table, Range.Records);
  changed.insert(changed.end(), updated.begin(), updated.end());
  // Later pages of the snapshot may hold records beyond `Range.End`. Reading
  // continues at `Range.End`, so that no record in between is skipped.
  Table.Next = std::max(previousNext, Range.End);
  return changed;
}

KeyedFollower::KeyedFollower(asio::any_io_executor Executor, RecordStore Store,
                             Settings Limits, Callbacks Handlers)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Store(std::move(Store)), Handlers(std::move(Handlers)),
      PollDelay(this->Limits.PollDelay),
      SnapshotTimeout(this->Limits.SnapshotTimeout),
      Random(std::random_device()()), Resumed(this->Executor),
      Refreshed(this->Executor) {
  Backoff.Initial = this->Limits.RetryDelay;
}

std::shared_ptr<KeyedFollower>
KeyedFollower::create(asio::any_io_executor Executor, RecordStore Store,
                      Settings Limits, Callbacks Handlers) {
  return std::shared_ptr<KeyedFollower>(
      new KeyedFollower(std::move(Executor), std::move(Store),
                        std::move(Limits), std::move(Handlers)));
}

void KeyedFollower::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->followLoop(); },
      asio::detached);
}

void KeyedFollower::resume() {
  if (!IsPaused)
    return;
  IsPaused = false;
  NeedsSnapshot = true;
  Resumed.notify();
}

asio::awaitable<void> KeyedFollower::followLoop() {
  for (;;) {
    if (IsPaused) {
      co_await Resumed.wait();
      continue;
    }
    Outcome<std::size_t> records = co_await readOnce(Limits.PollTimeout);
    // A read is cancelled because the store is reachable again: retry without a
    // delay.
    bool ok = records || records.failure().Code == FailureCode::Cancelled;
    if (!ok) {
      co_await pauseFor(Executor, nextDelay(Backoff, Random));
      continue;
    }
    noteSuccess(Backoff);
    if (records && *records > 0)
      co_await pauseFor(Executor, PollDelay);
  }
}

/// Reads a snapshot or new records, and returns the number of new records.
asio::awaitable<Outcome<std::size_t>>
KeyedFollower::readOnce(Millis PollTimeout) {
  if (NeedsSnapshot)
    co_return co_await readSnapshot();
  co_return co_await readNewRecords(PollTimeout);
}

asio::awaitable<Outcome<std::size_t>> KeyedFollower::readSnapshot() {
  TimePoint began = monotonicNow();
  Outcome<KeyedRange> got =
      co_await Store.Newest(Limits.Topic, SnapshotTimeout);
  if (!got && got.failure().Code == FailureCode::Cancelled)
    co_return got.failure();
  if (!got) {
    if (got.failure().Code == FailureCode::TimedOut)
      SnapshotTimeout =
          std::min(2 * SnapshotTimeout, Limits.MaxSnapshotTimeout);
    Handlers.OnFailure(got.failure());
    co_return got.failure();
  }
  SnapshotTimeout = Limits.SnapshotTimeout;
  Handlers.OnAnswer();
  notifyChanges(applySnapshot(Table, *got));
  HasSnapshot = true;
  NeedsSnapshot = false;
  CurrentAsOf = std::max(CurrentAsOf.value_or(began), began);
  co_return std::size_t(0);
}

asio::awaitable<Outcome<std::size_t>>
KeyedFollower::readNewRecords(Millis PollTimeout) {
  TimePoint began = monotonicNow();
  Outcome<KeyedRead> got =
      co_await Store.ReadKeyed(Limits.Topic, Table.Next, PollTimeout);
  if (!got && got.failure().Code == FailureCode::Cancelled)
    co_return got.failure();
  if (!got) {
    Handlers.OnFailure(got.failure());
    co_return got.failure();
  }
  Handlers.OnAnswer();
  const KeyedRange *range = std::get_if<KeyedRange>(&*got);
  if (range == nullptr) {
    NeedsSnapshot = true;
    co_return std::size_t(0);
  }
  notifyChanges(applyNewRecords(Table, range->Records));
  if (Table.Next >= range->End)
    CurrentAsOf = std::max(CurrentAsOf.value_or(began), began);
  co_return range->Records.size();
}

asio::awaitable<Outcome<Done>> KeyedFollower::refresh() {
  std::shared_ptr<KeyedFollower> self = shared_from_this();
  TimePoint called = monotonicNow();
  while (Refreshing && !isCurrentSince(called))
    co_await Refreshed.wait();
  if (isCurrentSince(called))
    co_return Done{};
  Refreshing = true;
  TimePoint earliest =
      LastRefresh ? *LastRefresh + Limits.MinRefreshInterval : called;
  if (monotonicNow() < earliest)
    co_await pauseFor(Executor,
                      std::chrono::ceil<Millis>(earliest - monotonicNow()));
  LastRefresh = monotonicNow();
  Outcome<Done> done = co_await readToEnd(called);
  Refreshing = false;
  Refreshed.notify();
  co_return done;
}

/// Reads until `currentAsOf` is not before `Since`.
asio::awaitable<Outcome<Done>> KeyedFollower::readToEnd(TimePoint Since) {
  while (!isCurrentSince(Since)) {
    Outcome<std::size_t> records = co_await readOnce(Millis(0));
    if (!records)
      co_return records.failure();
  }
  co_return Done{};
}

void KeyedFollower::notifyChanges(const std::vector<KeyedRecord> &Records) {
  for (const KeyedRecord &it : Records)
    Handlers.OnChange(it);
  if (!Records.empty())
    Handlers.OnBatch();
}

} // namespace wasabi
