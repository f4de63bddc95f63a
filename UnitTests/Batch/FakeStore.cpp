#include "UnitTests/Batch/FakeStore.h"
#include "Wasabi/Core/BootTimer.h"

namespace wasabi::batchtest {

namespace asio = boost::asio;

namespace {

Failure failure(Verdict Run, FailureCode Code) {
  return Failure{Run, Code, "fake store", "injected fault", {}};
}

Failure unreachable() {
  return failure(Verdict::MayHaveRun, FailureCode::TimedOut);
}

KeyedRecord makeKeyedRecord(const LogEntry &Entry) {
  std::size_t separator = Entry.Text.find('|');
  KeyedRecord record{Entry.At, Entry.Text.substr(0, separator), std::nullopt};
  if (separator != std::string::npos)
    record.Value = Entry.Text.substr(separator + 1);
  return record;
}

} // namespace

RecordStore FakeStore::port() { return port(std::make_shared<bool>(false)); }

RecordStore FakeStore::port(const std::shared_ptr<bool> &Disconnected) {
  RecordStore port;
  port.Append = [this, Disconnected](std::string Topic,
                                     std::vector<std::string> Records,
                                     std::optional<Offset> At, Millis) {
    return appendRecords(Disconnected, std::move(Topic), std::move(Records),
                         At);
  };
  port.AppendKeyed = [this, Disconnected](std::string Topic,
                                          const std::vector<KeyedValue> &Values,
                                          Millis) {
    std::vector<std::string> records;
    records.reserve(Values.size());
    for (const KeyedValue &it : Values)
      records.push_back(it.Value.empty() ? it.Key : it.Key + "|" + it.Value);
    return appendRecords(Disconnected, std::move(Topic), std::move(records),
                         std::nullopt);
  };
  port.Read = [this, Disconnected](std::string Topic, Offset From,
                                   Millis PollTimeout, std::size_t) {
    return read(Disconnected, std::move(Topic), From, PollTimeout);
  };
  port.ReadKeyed = [this, Disconnected](std::string Topic, Offset From,
                                        Millis PollTimeout) {
    return readKeyed(Disconnected, std::move(Topic), From, PollTimeout);
  };
  port.Newest = [this, Disconnected](std::string Topic, Millis) {
    return newest(Disconnected, std::move(Topic));
  };
  return port;
}

void FakeStore::append(const std::string &Topic, std::string Record) {
  Topics[Topic].push_back(std::move(Record));
  Appended.notify();
}

void FakeStore::expire(const std::string &Topic, Offset NewFirst) {
  std::vector<std::string> &all = Topics[Topic];
  if (all.size() < NewFirst)
    all.resize(NewFirst);
  First[Topic] = NewFirst;
  Appended.notify();
}

asio::awaitable<Outcome<Offset>>
FakeStore::appendRecords(std::shared_ptr<bool> Disconnected, std::string Topic,
                         std::vector<std::string> Records,
                         std::optional<Offset> At) {
  co_await pauseFor(Context.get_executor(), Millis(1));
  if (Unresponsive) {
    co_await hang();
    co_return unreachable();
  }
  AppendFault fault = AppendFault::None;
  std::deque<AppendFault> &faults =
      Topic == "payload" ? PayloadAppendFaults : AppendFaults;
  if (!faults.empty()) {
    fault = faults.front();
    faults.pop_front();
  }
  if (Down || *Disconnected || fault == AppendFault::Lost)
    co_return unreachable();
  if (fault == AppendFault::Refused)
    co_return failure(Verdict::NotRun, FailureCode::Overloaded);
  std::vector<std::string> &all = Topics[Topic];
  if (At && *At != all.size())
    co_return failure(Verdict::NotRun, FailureCode::Conflict);
  ++Appends[Topic];
  Offset first = all.size();
  for (std::string &it : Records)
    all.push_back(std::move(it));
  Appended.notify();
  if (fault == AppendFault::AnswerLost)
    co_return unreachable();
  co_return first;
}

asio::awaitable<void> FakeStore::hang() {
  BootTimer never(Context, BootTimer::time_point::max());
  co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<Outcome<LogRead>>
FakeStore::read(std::shared_ptr<bool> Disconnected, std::string Topic,
                Offset From, Millis PollTimeout) {
  if (Unresponsive) {
    co_await pauseFor(Context.get_executor(), SilentReadTimeout);
    co_return unreachable();
  }
  TimePoint deadline = monotonicNow() + PollTimeout;
  while (!Down && !*Disconnected && Topics[Topic].size() <= From &&
         From >= First[Topic] && monotonicNow() < deadline)
    co_await Appended.wait(deadline);
  co_await pauseFor(Context.get_executor(), Millis(1));
  if (Down || *Disconnected)
    co_return unreachable();
  const std::vector<std::string> &all = Topics[Topic];
  ReadTotals &totals = Reads[Topic];
  ++totals.Calls;
  if (From < First[Topic])
    co_return LogRead(ExpiredOffset{First[Topic]});
  LogRange range;
  range.First = First[Topic];
  range.End = all.size();
  for (Offset at = From; at < range.End && range.Entries.size() < MaxEntries;
       ++at)
    range.Entries.push_back({at, all[at]});
  for (const LogEntry &it : range.Entries)
    totals.Bytes += it.Text.size();
  co_return LogRead(std::move(range));
}

asio::awaitable<Outcome<KeyedRead>>
FakeStore::readKeyed(std::shared_ptr<bool> Disconnected, std::string Topic,
                     Offset From, Millis PollTimeout) {
  Outcome<LogRead> got = co_await read(Disconnected, Topic, From, PollTimeout);
  if (!got)
    co_return got.failure();
  if (const ExpiredOffset *expired = std::get_if<ExpiredOffset>(&*got))
    co_return KeyedRead(*expired);
  const LogRange &entries = std::get<LogRange>(*got);
  KeyedRange range;
  range.First = entries.First;
  range.End = entries.End;
  for (const LogEntry &it : entries.Entries)
    range.Records.push_back(makeKeyedRecord(it));
  co_return KeyedRead(std::move(range));
}

asio::awaitable<Outcome<KeyedRange>>
FakeStore::newest(std::shared_ptr<bool> Disconnected, std::string Topic) {
  co_await pauseFor(Context.get_executor(), Millis(1));
  if (Down || *Disconnected)
    co_return unreachable();
  const std::vector<std::string> &all = Topics[Topic];
  std::map<std::string, KeyedRecord> last;
  for (Offset at = 0; at < all.size(); ++at) {
    KeyedRecord record = makeKeyedRecord({at, all[at]});
    last[record.Key] = record;
  }
  KeyedRange range;
  range.End = all.size();
  for (const auto &[key, record] : last) {
    if (record.Value)
      range.Records.push_back(record);
  }
  ReadTotals &totals = Reads[Topic];
  ++totals.Calls;
  for (const KeyedRecord &it : range.Records)
    totals.Bytes += it.Key.size() + it.Value->size();
  co_return range;
}

} // namespace wasabi::batchtest
