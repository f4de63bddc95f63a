#include "Wasabi/Batch/PayloadStore.h"

#include "Wasabi/Batch/BatchRecord.h"

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// A record that is to be appended: a part of a payload.
struct PayloadPart {
  std::string_view Bytes;
  /// Index of the payload.
  std::size_t Payload = 0;
};

/// Divides payloads into the records of each append. The parts refer to the
/// payloads.
std::vector<std::vector<PayloadPart>>
planAppends(const std::vector<std::string> &Payloads,
            const PayloadStore::Settings &Limits) {
  std::vector<std::vector<PayloadPart>> appends;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < Payloads.size(); ++i) {
    std::string_view remaining = Payloads[i];
    while (!remaining.empty()) {
      std::string_view part = remaining.substr(0, Limits.MaxRecordBytes);
      remaining.remove_prefix(part.size());
      if (appends.empty() || bytes + part.size() > Limits.MaxAppendBytes) {
        appends.emplace_back();
        bytes = 0;
      }
      appends.back().push_back({part, i});
      bytes += part.size();
    }
  }
  return appends;
}

} // namespace

PayloadStore::PayloadStore(RecordStore Store, Settings Limits)
    : Limits(std::move(Limits)), Store(std::move(Store)) {}

std::shared_ptr<PayloadStore> PayloadStore::create(RecordStore Store,
                                                   Settings Limits) {
  return std::shared_ptr<PayloadStore>(
      new PayloadStore(std::move(Store), std::move(Limits)));
}

asio::awaitable<Outcome<std::vector<PayloadLocation>>>
PayloadStore::put(const std::vector<std::string> &Payloads) {
  std::shared_ptr<PayloadStore> self = shared_from_this();
  std::vector<PayloadLocation> locations(Payloads.size());
  for (const std::vector<PayloadPart> &it : planAppends(Payloads, Limits)) {
    std::vector<std::string> records;
    records.reserve(it.size());
    for (const PayloadPart &part : it)
      records.emplace_back(part.Bytes);
    Outcome<Offset> first = co_await Store.Append(
        Limits.Topic, std::move(records), std::nullopt, Limits.AppendTimeout);
    if (!first) {
      Failure failure = first.failure();
      failure.Run = Verdict::NotRun;
      co_return failure;
    }
    for (std::size_t i = 0; i < it.size(); ++i)
      locations[it[i].Payload].push_back(
          PayloadRecordRef{*first + i, it[i].Bytes.size()});
  }
  co_return locations;
}

void PayloadStore::addToCache(Offset At, std::string Bytes) {
  std::size_t size = Bytes.size();
  if (!Cache.emplace(At, std::move(Bytes)).second)
    return;
  CacheOrder.push_back(At);
  CachedBytes += size;
  while (CachedBytes > Limits.MaxCacheBytes && CacheOrder.size() > 1) {
    auto oldest = Cache.find(CacheOrder.front());
    CachedBytes -= oldest->second.size();
    Cache.erase(oldest);
    CacheOrder.pop_front();
  }
}

asio::awaitable<Outcome<Done>> PayloadStore::load(PayloadRecordRef Record,
                                                  ReadAhead Ahead) {
  std::size_t aheadBytes =
      Ahead == ReadAhead::Neighbours ? Limits.MaxReadBytes : 0;
  std::size_t maxBytes = std::max<std::size_t>(aheadBytes, Record.Bytes);
  Outcome<LogRead> read =
      co_await Store.Read(Limits.Topic, Record.At, Millis(0), maxBytes);
  if (!read)
    co_return read.failure();
  LogRange *range = std::get_if<LogRange>(&*read);
  if (range == nullptr)
    co_return Failure{Verdict::NotRun, FailureCode::Expired,
                      Limits.Topic + "@" + std::to_string(Record.At),
                      "the record is no longer in the store", Millis(0)};
  if (range->Entries.empty() || range->Entries.front().At != Record.At)
    co_return Failure{Verdict::NotRun, FailureCode::Unavailable,
                      Limits.Topic + "@" + std::to_string(Record.At),
                      "the store has not returned the record", Millis(0)};
  // The requested record is added last, so that the others cannot evict it.
  std::string first = std::move(range->Entries.front().Text);
  for (std::size_t i = 1; i < range->Entries.size(); ++i)
    addToCache(range->Entries[i].At, std::move(range->Entries[i].Text));
  addToCache(Record.At, std::move(first));
  co_return Done{};
}

asio::awaitable<Outcome<std::string>>
PayloadStore::get(PayloadLocation Location, ReadAhead Ahead) {
  std::shared_ptr<PayloadStore> self = shared_from_this();
  std::string bytes;
  for (const PayloadRecordRef &it : Location) {
    if (!Cache.contains(it.At)) {
      Outcome<Done> loaded = co_await load(it, Ahead);
      if (!loaded)
        co_return loaded.failure();
    }
    bytes += Cache.at(it.At);
  }
  co_return bytes;
}

asio::awaitable<Outcome<std::vector<BatchItem>>>
getItems(PayloadStore &Payloads, PayloadLocation Location, JobId Job) {
  Outcome<std::string> stored = co_await Payloads.get(std::move(Location));
  if (!stored)
    co_return stored.failure();
  co_return toOutcome<std::vector<BatchItem>>(
      [&] { return decodeItems(*stored, "items of " + Job.Text); });
}

} // namespace wasabi
