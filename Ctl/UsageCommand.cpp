#include "Ctl/Commands.h"
#include "Wasabi/Batch/BatchState.h"
#include "Wasabi/Usage/UsageMeter.h"
#include "Wasabi/Usage/UsageState.h"
#include "platform/StoreClient.h"

#include <functional>
#include <iostream>

namespace wasabi::ctl {

namespace {

namespace asio = boost::asio;

/// Applies a record of a topic; returns false if it cannot be decoded.
using ApplyRecord = std::function<bool(const LogEntry &)>;

/// The result of reading a topic.
struct TopicReadResult {
  Offset Next = 0;
  std::uint64_t Unreadable = 0;
};

/// Reads a topic from its oldest record to its current end.
asio::awaitable<Outcome<TopicReadResult>>
readTopic(RecordStore Store, std::string Topic, ApplyRecord Apply) {
  constexpr std::size_t MaxReadBytes = 1u << 20;
  TopicReadResult read;
  for (;;) {
    Outcome<LogRead> got =
        co_await Store.Read(Topic, read.Next, Millis(0), MaxReadBytes);
    if (!got)
      co_return got.failure();
    if (const ExpiredOffset *expired = std::get_if<ExpiredOffset>(&*got)) {
      read.Next = expired->First;
      continue;
    }
    const LogRange &range = std::get<LogRange>(*got);
    for (const LogEntry &it : range.Entries) {
      read.Unreadable += Apply(it) ? 0 : 1;
      read.Next = it.At + 1;
    }
    if (read.Next >= range.End)
      co_return read;
  }
}

void printLease(const LeaseState &Lease) {
  if (!Lease.Holder)
    std::cout << "reporter: no holder of the duty in the retained records\n";
  else
    std::cout << "reporter: " << Lease.Holder->Instance.Text << ", token "
              << Lease.Term + 1 << ", last heard of at offset "
              << Lease.LastRecordOffset
              << (Lease.Released ? ", given back" : "") << "\n";
}

void printWindows(const UsageState &Fold) {
  if (!Fold.FirstUndecided) {
    std::cout << "windows: nobody has counted\n";
    return;
  }
  std::cout << "windows: decided up to " << *Fold.FirstUndecided - 1 << ", "
            << Fold.Untold.size() << " of them not told\n";
  for (const auto &[window, counts] : Fold.Untold) {
    std::uint64_t sum = 0;
    for (const auto &[customer, count] : counts)
      sum += count;
    std::cout << "not told: window " << window << ", " << sum << " requests of "
              << counts.size() << " customers\n";
  }
  std::cout << "late: " << Fold.Late
            << " requests came after their window was decided\n";
}

void printSources(const UsageState &Fold) {
  for (const auto &[source, state] : Fold.Sources)
    std::cout << "counts: " << source.Instance.Text << " since " << source.Life
              << (state.Left ? ", has left" : "") << ", told through "
              << state.Through.time_since_epoch().count() << " ms\n";
}

} // namespace

Result<ExitCode> usage(Session &CtlSession) {
  BOOST_LEAF_AUTO(store, CtlSession.store());
  BatchState state;
  ApplyRecord applyLease = [&state](const LogEntry &Entry) {
    Outcome<BatchRecord> record = toOutcome<BatchRecord>(
        [&] { return decodeRecord(Entry.Text, LeaseTopic); });
    if (record)
      apply(state, Entry.At, *record, monotonicNow());
    return bool(record);
  };
  UsageState fold;
  ApplyRecord applyUsage = [&fold](const LogEntry &Entry) {
    Outcome<UsageRecord> record = toOutcome<UsageRecord>(
        [&] { return decodeUsage(Entry.Text, UsageTopic); });
    if (record)
      apply(fold, Entry.At, *record,
            {monotonicNow(), WallTime(), Millis::max()}, UsageSettings());
    return bool(record);
  };
  BOOST_LEAF_AUTO(lease, toResult(CtlSession.run(
                             readTopic(store, LeaseTopic, applyLease))));
  BOOST_LEAF_AUTO(
      read, toResult(CtlSession.run(readTopic(store, UsageTopic, applyUsage))));
  printLease(state.Lease);
  printWindows(fold);
  printSources(fold);
  if (lease.Unreadable + read.Unreadable > 0)
    std::cout << "unreadable: " << lease.Unreadable + read.Unreadable
              << " records\n";
  return ExitCode::Success;
}

} // namespace wasabi::ctl
