#include "Wasabi/Rollout/TrainerLog.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wasabi {

std::shared_ptr<TrainerLog> TrainerLog::create(RolloutContext &Context,
                                               Settings Setup,
                                               Authority MayAppend,
                                               ConfirmCallback Callback) {
  return std::shared_ptr<TrainerLog>(new TrainerLog(
      Context, std::move(Setup), std::move(MayAppend), std::move(Callback)));
}

TrainerLog::TrainerLog(RolloutContext &Context, Settings Setup,
                       Authority MayAppend, ConfirmCallback Callback)
    : Context(Context), Setup(std::move(Setup)),
      MayAppend(std::move(MayAppend)), Callback(std::move(Callback)),
      Wake(Context.Executor) {}

bool TrainerLog::mergeDeliveredSlots(const TrainerBody &Body) {
  const auto *more = std::get_if<SamplesDelivered>(&Body);
  if (more == nullptr || Waiting.empty() || (FirstSent && Waiting.size() == 1))
    return false;
  auto *last = std::get_if<SamplesDelivered>(&Waiting.back().Body);
  if (last == nullptr)
    return false;
  last->Slots.insert(last->Slots.end(), more->Slots.begin(), more->Slots.end());
  return true;
}

void TrainerLog::append(TrainerBody Body) {
  // An outage piles these up: one record may tell of many deliveries.
  if (mergeDeliveredSlots(Body))
    return;
  bool telling = std::holds_alternative<SamplesDelivered>(Body);
  if (telling && Waiting.size() >= Setup.MaxWaiting)
    return;
  RecordId id{Context.Setup.Instance.Text, Context.Setup.Life,
              Context.NextSequence++};
  Waiting.push_back(TrainerRecord{std::move(id), Setup.Fence, std::move(Body)});
  Wake.cancel();
}

void TrainerLog::stop() {
  Stopped = true;
  Wake.cancel();
}

boost::asio::awaitable<void> TrainerLog::run() {
  std::shared_ptr<TrainerLog> self = shared_from_this();
  while (!Stopped) {
    if (Waiting.empty()) {
      boost::system::error_code ec;
      Wake.expires_at(BootTimer::time_point::max());
      co_await Wake.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      continue;
    }
    if (!MayAppend()) {
      co_await pause(Setup.Retry);
      continue;
    }
    FirstSent = true;
    co_await appendOne(encodeTrainerRecord(Waiting.front()));
    // Gone only once it was read back: until then it is sent again.
    RecordId id = Waiting.front().Id;
    auto mark = Fold.Authors.find(id.Author);
    bool taken = mark != Fold.Authors.end() && mark->second.Life == id.Life &&
                 mark->second.Sequence >= id.Sequence;
    if (!taken)
      continue;
    Waiting.pop_front();
    FirstSent = false;
  }
}

boost::asio::awaitable<void> TrainerLog::appendOne(std::string Text) {
  std::string stream = trainerStream(Setup.Trainer);
  Outcome<Offset> at = co_await Context.Log.Append(stream, std::move(Text));
  if (!at) {
    if (!Down)
      Context.Events.record("log.down", {{"trainer", Setup.Trainer.Text},
                                         {"reason", describe(at.failure())}});
    Down = true;
    co_await pause(std::max(at.failure().RetryAfter, Setup.Retry));
    co_return;
  }
  if (Down)
    Context.Events.record("log.up", {{"trainer", Setup.Trainer.Text}});
  Down = false;
  while (!Stopped && Fold.Next <= *at) {
    bool read = co_await readUntil(*at);
    if (!read)
      co_await pause(Setup.Retry);
  }
}

boost::asio::awaitable<bool> TrainerLog::readUntil(Offset At) {
  Outcome<LogRange> range = co_await Context.Log.Read(
      trainerStream(Setup.Trainer), Fold.Next, Setup.ReadMax, Setup.ReadWait);
  if (!range)
    co_return false;
  // Expired records belong to steps long over.
  if (range->Entries.empty() && range->First > Fold.Next)
    Fold.Next = range->First;
  for (const LogEntry &it : range->Entries) {
    if (it.At >= Fold.Next)
      fold(it);
  }
  co_return Fold.Next > At || !range->Entries.empty();
}

void TrainerLog::fold(const LogEntry &Entry) {
  TrainerApplyResult did = apply(Fold, Entry.At, Entry.Text);
  if (Waiting.empty() || did.ApplyStatus == RecordStatus::Malformed ||
      did.ApplyStatus == RecordStatus::NewerSchema ||
      did.ApplyStatus == RecordStatus::Duplicate)
    return;
  // Only the first waiting record can be on the log.
  const TrainerRecord &own = Waiting.front();
  auto mark = Fold.Authors.find(own.Id.Author);
  if (mark == Fold.Authors.end() || mark->second.Life != own.Id.Life ||
      mark->second.Sequence != own.Id.Sequence)
    return;
  Outcome<TrainerRecord> record = toOutcome<TrainerRecord>(
      [&Entry] { return decodeTrainerRecord(Entry.Text); });
  if (record && record->Id == own.Id)
    Callback(*record, Entry.At, did);
}

} // namespace wasabi
