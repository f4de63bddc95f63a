/// \file
/// Shared fixture for tests of batch jobs: jobs, results and processes that
/// follow a fake store.
#ifndef WASABI_UNITTESTS_BATCH_BATCHFIXTURE_H
#define WASABI_UNITTESTS_BATCH_BATCHFIXTURE_H

#include "UnitTests/Batch/FakeStore.h"
#include "UnitTests/Core/SimulatedClock.h"
#include "Wasabi/Batch/RolloutLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wasabi::batchtest {

/// Makes a job of `Items` items in groups of two.
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

/// An I/O context, a fake store and the logs of processes that follow it.
struct BatchTestFixture {
  boost::asio::io_context Context;
  /// Keeps the context running while it has no work.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard = boost::asio::make_work_guard(Context);
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

  virtual ~BatchTestFixture() = default;

  /// Runs the context until `Condition` is true; returns false after ten
  /// seconds.
  virtual bool runUntil(const std::function<bool()> &Condition) {
    constexpr std::chrono::seconds RunTimeout{10};
    TimePoint end = monotonicNow() + RunTimeout;
    while (!Condition() && monotonicNow() < end)
      Context.run_one_for(Millis(5));
    return Condition();
  }

  /// Runs a coroutine to completion.
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

/// Constructs the clock before the other members of a fixture.
struct SimulatedClockHolder {
  SimulatedClock Clock;
};

/// A fixture whose time is simulated: its tests don't depend on the pace of the
/// machine.
struct SimulatedTestFixture : SimulatedClockHolder, BatchTestFixture {
  explicit SimulatedTestFixture(
      TimePoint Start = TimePoint(std::chrono::seconds(1)))
      : SimulatedClockHolder{SimulatedClock(Start)} {}

  /// Runs the context for `Span` of simulated time.
  void runFor(Micros Span) { Clock.runFor(Context, Span); }

  /// Runs the context until `Condition` is true; returns false after ten
  /// seconds of simulated time.
  bool runUntil(const std::function<bool()> &Condition) override {
    return Clock.runUntil(Context, Condition, std::chrono::seconds(10));
  }
};

} // namespace wasabi::batchtest

#endif // WASABI_UNITTESTS_BATCH_BATCHFIXTURE_H
