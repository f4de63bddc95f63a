/// \file
/// Jobs, processes and a clock for tests of batch jobs.
#ifndef WASABI_UNITTESTS_BATCH_BATCHFIXTURE_H
#define WASABI_UNITTESTS_BATCH_BATCHFIXTURE_H

#include "UnitTests/Batch/FakeStore.h"
#include "Wasabi/Batch/RolloutLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wasabi::batchtest {

/// A job of `Items` items, two a group.
inline BatchJob makeJob(const std::string &Id, std::size_t Items) {
  BatchJob job;
  job.Id = JobId(Id);
  job.Host = "host.example";
  job.Path = "/rollout/" + Id;
  job.Model = ModelName("model");
  job.Step = 3;
  job.MinVersion = 1;
  for (std::size_t i = 0; i < Items; ++i) {
    BatchItem item;
    item.Id = ItemId(Id + "-" + std::to_string(i));
    item.Path = "/rollout/" + std::to_string(i);
    item.Headers = {{"X-Any", "value"}};
    item.Body = std::string("bytes\0with zero", 15);
    item.Group = "g" + std::to_string(i / 2);
    item.ExpectedTokens = 100;
    job.Items.push_back(item);
  }
  return job;
}

inline ItemResult makeResult(const BatchJob &Job, std::size_t Index,
                             const std::string &Text) {
  return ItemResult{
      Job.Items[Index].Id, ItemStatus::Completed, Text, {1, 2}, "signed"};
}

/// A context, a store, and processes that follow it.
struct BatchTestFixture {
  boost::asio::io_context Context;
  /// Lets the context run on while nothing is to be done.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Rest = boost::asio::make_work_guard(Context);
  FakeStore Store{Context};
  std::shared_ptr<DecisionLog> Decisions = makeDiscardingLog();

  std::shared_ptr<DecisionLog> makeDiscardingLog() {
    DecisionLog::Settings limits;
    limits.Descriptor = -1;
    return DecisionLog::create(Context, limits);
  }

  std::shared_ptr<RolloutLog> startLog(RecordStore Port) {
    RolloutLog::Settings limits;
    limits.PollTimeout = Millis(50);
    limits.PollDelay = Millis(1);
    limits.RetryDelay = Millis(5);
    std::shared_ptr<RolloutLog> log = RolloutLog::create(
        Context.get_executor(), std::move(Port), Decisions, limits);
    log->start();
    return log;
  }

  /// Runs until `Until` holds; false after ten seconds.
  bool runUntil(const std::function<bool()> &Until) {
    constexpr std::chrono::seconds Patience{10};
    TimePoint end = monotonicNow() + Patience;
    while (!Until() && monotonicNow() < end)
      Context.run_one_for(Millis(5));
    return Until();
  }

  /// Runs a coroutine to its end.
  void run(std::function<boost::asio::awaitable<void>()> Body) {
    bool done = false;
    boost::asio::co_spawn(Context, std::move(Body),
                          [&done](const std::exception_ptr &Thrown) {
                            done = true;
                            if (Thrown)
                              std::rethrow_exception(Thrown);
                          });
    REQUIRE(runUntil([&done] { return done; }));
  }
};

} // namespace wasabi::batchtest

#endif // WASABI_UNITTESTS_BATCH_BATCHFIXTURE_H
