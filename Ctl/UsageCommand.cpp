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

/// Takes a record of a topic; unreadable ones are counted by the reader.
using TakeRecord = std::function<bool(const LogEntry &)>;

/// What was read of a topic.
struct TopicRead {
  Offset Next = 0;
  std::uint64_t Unreadable = 0;
};

/// Reads a topic from the oldest record that is kept to its end as of now.
asio::awaitable<Outcome<TopicRead>>
readTopic(RecordStore From, std::string Topic, TakeRecord Take) {
  constexpr std::size_t ReadBytes = 1u << 20;
  TopicRead read;
  for (;;) {
    Outcome<LogRange> got =
        co_await From.Read(Topic, read.Next, Millis(0), ReadBytes);
    if (!got)
      co_return got.failure();
    read.Next = std::max(read.Next, got->First);
    for (const LogEntry &it : got->Entries) {
      read.Unreadable += Take(it) ? 0 : 1;
      read.Next = it.At + 1;
    }
    if (read.Next >= got->End)
      co_return read;
  }
}

void printLease(const LeaseState &Lease) {
  if (!Lease.Holder)
    std::cout << "reporter: none has ever held the duty\n";
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

Result<ExitCode> usage(Session &With) {
  BOOST_LEAF_AUTO(store, With.store());
  BatchState rollout;
  TakeRecord takeRollout = [&rollout](const LogEntry &It) {
    Outcome<BatchRecord> record = toOutcome<BatchRecord>(
        [&] { return decodeRecord(It.Text, "rollout"); });
    if (record)
      apply(rollout, It.At, *record, monotonicNow());
    return bool(record);
  };
  UsageState fold;
  TakeRecord takeUsage = [&fold](const LogEntry &It) {
    Outcome<UsageRecord> record = toOutcome<UsageRecord>(
        [&] { return decodeUsage(It.Text, UsageTopic); });
    if (record)
      apply(fold, It.At, *record, {monotonicNow(), WallTime(), Millis::max()},
            UsageSettings());
    return bool(record);
  };
  BOOST_LEAF_AUTO(lease,
                  toResult(With.run(readTopic(store, "rollout", takeRollout))));
  BOOST_LEAF_AUTO(read,
                  toResult(With.run(readTopic(store, UsageTopic, takeUsage))));
  printLease(rollout.Lease);
  printWindows(fold);
  printSources(fold);
  if (lease.Unreadable + read.Unreadable > 0)
    std::cout << "unreadable: " << lease.Unreadable + read.Unreadable
              << " records\n";
  return ExitCode::Success;
}

} // namespace wasabi::ctl
