#include "Wasabi/Batch/PayloadStore.h"

#include "Wasabi/Batch/BatchRecord.h"

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// One append: its records, and where they belong.
struct PayloadAppend {
  std::vector<std::string> Records;
  /// Of each record: the payload that it is a part of.
  std::vector<std::size_t> Owners;
  std::size_t Bytes = 0;
};

std::vector<PayloadAppend> planAppends(const std::vector<std::string> &Payloads,
                                       const PayloadStore::Settings &Limits) {
  std::vector<PayloadAppend> appends(1);
  for (std::size_t i = 0; i < Payloads.size(); ++i) {
    std::string_view rest = Payloads[i];
    while (!rest.empty()) {
      std::string_view part = rest.substr(0, Limits.MaxRecordBytes);
      rest.remove_prefix(part.size());
      if (appends.back().Bytes + part.size() > Limits.MaxAppendBytes)
        appends.emplace_back();
      appends.back().Records.emplace_back(part);
      appends.back().Owners.push_back(i);
      appends.back().Bytes += part.size();
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
PayloadStore::put(std::vector<std::string> Payloads) {
  std::shared_ptr<PayloadStore> self = shared_from_this();
  std::vector<PayloadLocation> places(Payloads.size());
  for (PayloadAppend &it : planAppends(Payloads, Limits)) {
    if (it.Records.empty())
      continue;
    std::vector<std::uint64_t> sizes;
    sizes.reserve(it.Records.size());
    for (const std::string &record : it.Records)
      sizes.push_back(record.size());
    Outcome<Offset> first =
        co_await Store.Append(Limits.Topic, std::move(it.Records), std::nullopt,
                              Limits.AppendTimeout);
    if (!first) {
      Failure why = first.failure();
      why.Run = Verdict::NotRun;
      co_return why;
    }
    for (std::size_t i = 0; i < sizes.size(); ++i)
      places[it.Owners[i]].push_back(PayloadRecordRef{*first + i, sizes[i]});
  }
  co_return places;
}

void PayloadStore::keep(Offset At, std::string Bytes) {
  std::size_t size = Bytes.size();
  if (!Kept.emplace(At, std::move(Bytes)).second)
    return;
  Order.push_back(At);
  KeptBytes += size;
  while (KeptBytes > Limits.MaxCacheBytes && Order.size() > 1) {
    auto oldest = Kept.find(Order.front());
    KeptBytes -= oldest->second.size();
    Kept.erase(oldest);
    Order.pop_front();
  }
}

asio::awaitable<Outcome<Done>> PayloadStore::load(PayloadRecordRef What,
                                                  ReadAhead More) {
  std::size_t ahead = More == ReadAhead::Neighbours ? Limits.MaxReadBytes : 0;
  std::size_t most = std::max<std::size_t>(ahead, What.Bytes);
  Outcome<LogRange> got =
      co_await Store.Read(Limits.Topic, What.At, Millis(0), most);
  if (!got)
    co_return got.failure();
  bool there = !got->Entries.empty() && got->Entries.front().At == What.At;
  if (!there)
    co_return Failure{Verdict::NotRun, FailureCode::Expired,
                      Limits.Topic + "@" + std::to_string(What.At),
                      "the store has it no more", Millis(0)};
  // The one asked for is kept last, so that the others can't push it out.
  std::string first = std::move(got->Entries.front().Text);
  for (std::size_t i = 1; i < got->Entries.size(); ++i)
    keep(got->Entries[i].At, std::move(got->Entries[i].Text));
  keep(What.At, std::move(first));
  co_return Done{};
}

asio::awaitable<Outcome<std::string>> PayloadStore::get(PayloadLocation Place,
                                                        ReadAhead More) {
  std::shared_ptr<PayloadStore> self = shared_from_this();
  std::string bytes;
  for (const PayloadRecordRef &it : Place) {
    if (!Kept.contains(it.At)) {
      Outcome<Done> loaded = co_await load(it, More);
      if (!loaded)
        co_return loaded.failure();
    }
    bytes += Kept.at(it.At);
  }
  co_return bytes;
}

asio::awaitable<Outcome<std::vector<BatchItem>>>
getItems(PayloadStore &From, PayloadLocation Place, JobId Of) {
  Outcome<std::string> stored = co_await From.get(std::move(Place));
  if (!stored)
    co_return stored.failure();
  co_return toOutcome<std::vector<BatchItem>>(
      [&] { return decodeItems(*stored, "items of " + Of.Text); });
}

} // namespace wasabi
