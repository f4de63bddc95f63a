#include "Wasabi/Rollout/TrainerLog.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wasabi {

std::shared_ptr<TrainerLog> TrainerLog::create(RolloutContext &Context,
                                               Settings Setup,
                                               AppendPermission MayAppend,
                                               ConfirmCallback Callback) {
  return std::shared_ptr<TrainerLog>(new TrainerLog(
      Context, std::move(Setup), std::move(MayAppend), std::move(Callback)));
}

TrainerLog::TrainerLog(RolloutContext &Context, Settings Setup,
                       AppendPermission MayAppend, ConfirmCallback Callback)
    : Context(Context), Setup(std::move(Setup)),
      MayAppend(std::move(MayAppend)), Callback(std::move(Callback)),
      Wake(Context.Executor) {}

bool TrainerLog::mergeDeliveredSlots(const TrainerBody &Body) {
  const auto *added = std::get_if<SamplesDelivered>(&Body);
  if (added == nullptr || Pending.empty() ||
      (FirstRecordSent && Pending.size() == 1))
    return false;
  auto *last = std::get_if<SamplesDelivered>(&Pending.back().Body);
  if (last == nullptr)
    return false;
  last->Slots.insert(last->Slots.end(), added->Slots.begin(),
                     added->Slots.end());
  return true;
}

void TrainerLog::append(TrainerBody Body) {
  // During an outage, merges deliveries into one record.
  if (mergeDeliveredSlots(Body))
    return;
  bool isDelivery = std::holds_alternative<SamplesDelivered>(Body);
  if (isDelivery && Pending.size() >= Setup.MaxPendingRecords)
    return;
  RecordId id{Context.Setup.Instance.Text, Context.Setup.Life,
              Context.NextSequence++};
  Pending.push_back(TrainerRecord{std::move(id), Setup.Fence, std::move(Body)});
  Wake.cancel();
}

void TrainerLog::stop() {
  Stopped = true;
  Wake.cancel();
}

boost::asio::awaitable<void> TrainerLog::run() {
  std::shared_ptr<TrainerLog> self = shared_from_this();
  while (!Stopped) {
    if (Pending.empty()) {
      boost::system::error_code ec;
      Wake.expires_at(BootTimer::time_point::max());
      co_await Wake.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      continue;
    }
    if (!MayAppend()) {
      co_await pause(Setup.RetryDelay);
      continue;
    }
    FirstRecordSent = true;
    co_await appendRecord(encodeTrainerRecord(Pending.front()));
    // Keeps the record, and appends it again, until it is read back.
    RecordId id = Pending.front().Id;
    auto progress = Fold.Authors.find(id.Author);
    bool confirmed = progress != Fold.Authors.end() &&
                     progress->second.Life == id.Life &&
                     progress->second.Sequence >= id.Sequence;
    if (!confirmed)
      continue;
    Pending.pop_front();
    FirstRecordSent = false;
  }
}

boost::asio::awaitable<void> TrainerLog::appendRecord(std::string Text) {
  std::string stream = trainerStream(Setup.Trainer);
  Outcome<Offset> at = co_await Context.Log.Append(stream, std::move(Text));
  if (!at) {
    if (!LogUnreachable)
      Context.Events.record("log.down", {{"trainer", Setup.Trainer.Text},
                                         {"reason", describe(at.failure())}});
    LogUnreachable = true;
    co_await pause(std::max(at.failure().RetryAfter, Setup.RetryDelay));
    co_return;
  }
  if (LogUnreachable)
    Context.Events.record("log.up", {{"trainer", Setup.Trainer.Text}});
  LogUnreachable = false;
  while (!Stopped && Fold.Next <= *at) {
    bool read = co_await readUntil(*at);
    if (!read)
      co_await pause(Setup.RetryDelay);
  }
}

boost::asio::awaitable<bool> TrainerLog::readUntil(Offset At) {
  Outcome<LogRange> range =
      co_await Context.Log.Read(trainerStream(Setup.Trainer), Fold.Next,
                                Setup.MaxReadRecords, Setup.ReadTimeout);
  if (!range)
    co_return false;
  // Expired records belong to earlier steps.
  if (range->Entries.empty() && range->First > Fold.Next)
    Fold.Next = range->First;
  for (const LogEntry &it : range->Entries) {
    if (it.At >= Fold.Next)
      applyEntry(it);
  }
  co_return Fold.Next > At || !range->Entries.empty();
}

void TrainerLog::applyEntry(const LogEntry &Entry) {
  TrainerApplyResult result = apply(Fold, Entry.At, Entry.Text);
  if (Pending.empty() || result.ApplyStatus == RecordStatus::Malformed ||
      result.ApplyStatus == RecordStatus::NewerSchema ||
      result.ApplyStatus == RecordStatus::Duplicate)
    return;
  // Only the first pending record can have been appended.
  const TrainerRecord &own = Pending.front();
  auto progress = Fold.Authors.find(own.Id.Author);
  if (progress == Fold.Authors.end() || progress->second.Life != own.Id.Life ||
      progress->second.Sequence != own.Id.Sequence)
    return;
  Outcome<TrainerRecord> record = toOutcome<TrainerRecord>(
      [&Entry] { return decodeTrainerRecord(Entry.Text); });
  if (record && record->Id == own.Id)
    Callback(*record, Entry.At, result);
}

} // namespace wasabi
