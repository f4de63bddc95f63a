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
  std::erase_if(Table.Written,
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
  for (const auto &[key, at] : Table.Written) {
    if (at < Range.End && !present.contains(key) && !Table.Keys.contains(key))
      changed.push_back(KeyedRecord{at, key, std::nullopt});
  }
  Offset next = Table.Next;
  std::vector<KeyedRecord> news = applyNewRecords(Table, Range.Records);
  changed.insert(changed.end(), news.begin(), news.end());
  // Later pages may hold records from behind the first page's end; those
  // between are read again.
  Table.Next = std::max(next, Range.End);
  return changed;
}

KeyedFollower::KeyedFollower(asio::any_io_executor Executor, RecordStore Store,
                             Settings Limits, Callbacks Calls)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Store(std::move(Store)), Calls(std::move(Calls)) {}

std::shared_ptr<KeyedFollower>
KeyedFollower::create(asio::any_io_executor Executor, RecordStore Store,
                      Settings Limits, Callbacks Calls) {
  return std::shared_ptr<KeyedFollower>(
      new KeyedFollower(std::move(Executor), std::move(Store),
                        std::move(Limits), std::move(Calls)));
}

void KeyedFollower::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->follow(); },
      asio::detached);
}

asio::awaitable<void> KeyedFollower::follow() {
  for (;;) {
    bool ok = false;
    if (Behind)
      ok = co_await readWhole();
    else
      ok = co_await readNewRecords();
    if (!ok)
      co_await pauseFor(Executor, Limits.RetryDelay);
  }
}

asio::awaitable<bool> KeyedFollower::readWhole() {
  Outcome<KeyedRange> got = co_await Store.Newest(Limits.Topic);
  // What was ended because the store is back is read again at once.
  if (!got && got.failure().Code == FailureCode::Cancelled)
    co_return true;
  if (!got) {
    Calls.Failed(got.failure());
    co_return false;
  }
  Calls.Answered();
  tell(applySnapshot(Table, *got));
  HasSnapshot = true;
  Behind = false;
  co_return true;
}

asio::awaitable<bool> KeyedFollower::readNewRecords() {
  Outcome<KeyedRange> got =
      co_await Store.ReadKeyed(Limits.Topic, Table.Next, Limits.PollTimeout);
  // What was ended because the store is back is read again at once.
  if (!got && got.failure().Code == FailureCode::Cancelled)
    co_return true;
  if (!got) {
    Calls.Failed(got.failure());
    co_return false;
  }
  Calls.Answered();
  if (got->First > Table.Next) {
    Behind = true;
    co_return true;
  }
  tell(applyNewRecords(Table, got->Records));
  if (!got->Records.empty())
    co_await pauseFor(Executor, Limits.PollDelay);
  co_return true;
}

void KeyedFollower::tell(const std::vector<KeyedRecord> &Records) {
  for (const KeyedRecord &it : Records)
    Calls.Changed(it);
}

} // namespace wasabi
