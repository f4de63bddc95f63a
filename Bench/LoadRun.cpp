#include "Bench/LoadRun.h"

#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace wasabi::bench {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
constexpr unsigned WholeStatus = 200;
/// Time to wait for a response after its deadline, so that a late response is
/// recorded as late.
constexpr Millis Patience{200};

/// Runs one load plan on one thread.
class LoadRun {
public:
  explicit LoadRun(const LoadPlan &Plan)
      : Plan(Plan), Random(Plan.Seed), Open(Plan.Targets.size(), 0),
        Next(Plan.FirstNumber) {
    http::Client::Settings limits;
    limits.MaxIdlePerAddress = 4096;
    Client = http::Client::create(Context.get_executor(), limits);
  }

  std::vector<CallResult> run() {
    Began = monotonicNow();
    for (const ScheduledAction &it : Plan.ScheduledActions)
      spawn(runAction(it));
    if (Plan.Rate > 0)
      spawn(arrive());
    else
      for (std::size_t n = 0; n < Plan.Workers; ++n)
        spawn(work());
    Context.run();
    return std::move(Results);
  }

private:
  /// The context ends with the last coroutine; idle connections do not keep it
  /// running.
  void spawn(asio::awaitable<void> Body) {
    ++Alive;
    asio::co_spawn(Context, std::move(Body),
                   [this](const std::exception_ptr &) {
                     if (--Alive == 0)
                       Context.stop();
                   });
  }

  asio::awaitable<void> runAction(ScheduledAction Scheduled) {
    BootTimer timer(Context, Began + Scheduled.At);
    co_await timer.async_wait(Awaited);
    Scheduled.Action();
  }

  asio::awaitable<void> arrive() {
    std::exponential_distribution<double> gap(Plan.Rate);
    BootTimer timer(Context);
    TimePoint end = Began + Plan.Duration;
    double seconds = gap(Random);
    for (;;) {
      TimePoint due =
          Began + Micros(static_cast<std::int64_t>(seconds * 1000000));
      if (due >= end)
        break;
      timer.expires_at(due);
      co_await timer.async_wait(Awaited);
      spawn(callOnce(due));
      seconds += gap(Random);
    }
  }

  asio::awaitable<void> work() {
    TimePoint end = Began + Plan.Duration;
    while (monotonicNow() < end)
      co_await callOnce(monotonicNow());
  }

  asio::awaitable<void> callOnce(TimePoint Due) {
    CallResult result;
    result.Number = Next++;
    result.Due = Due - Began;
    http::Request ask = Plan.MakeRequest(result.Number);
    TimePoint until = Due + Plan.Deadline;
    while (result.Attempts < Plan.Client.MaxAttempts && !result.IsCorrect &&
           monotonicNow() < until)
      co_await attempt(ask, until, result);
    result.Latency = monotonicNow() - Due;
    result.IsGood = result.IsCorrect && result.Latency <= Plan.Deadline;
    Results.push_back(std::move(result));
  }

  asio::awaitable<void> attempt(const http::Request &Ask, TimePoint Until,
                                CallResult &Result) {
    ++Result.Attempts;
    std::uniform_int_distribution<std::size_t> any(0, Plan.Targets.size() - 1);
    std::size_t to = any(Random);
    std::uint32_t limit = Plan.Client.MaxInFlightPerTarget;
    if (limit > 0 && Open[to] >= limit)
      co_return;
    Millis left = std::chrono::ceil<Millis>(Until - monotonicNow());
    left += Patience;
    if (Plan.Client.AttemptTimeout > Millis(0))
      left = std::min(left, Plan.Client.AttemptTimeout);
    ++Open[to];
    Outcome<http::Response> answer =
        co_await Client->call(Plan.Targets[to], Ask, left);
    --Open[to];
    if (!answer)
      co_return;
    Result.Status = answer->Status;
    Result.Verdict = std::string(answer->header("X-Wasabi-Verdict"));
    if (answer->Status == WholeStatus)
      Plan.CheckResponse(Ask, *answer, Result);
  }

  const LoadPlan &Plan;
  asio::io_context Context{1};
  std::mt19937_64 Random;
  std::shared_ptr<http::Client> Client;
  /// Calls in flight at each target.
  std::vector<std::uint32_t> Open;
  std::vector<CallResult> Results;
  std::uint64_t Next;
  std::size_t Alive = 0;
  TimePoint Began;
};

} // namespace

std::vector<CallResult> runLoad(const LoadPlan &Plan) {
  return LoadRun(Plan).run();
}

std::vector<double>
goodLatencyMillis(const std::vector<CallResult> &Calls,
                  const std::function<bool(const CallResult &)> &Chosen) {
  std::vector<double> times;
  for (const CallResult &it : Calls) {
    if (it.IsGood && (!Chosen || Chosen(it)))
      times.push_back(static_cast<double>(it.Latency.count()) / 1000.0);
  }
  return times;
}

std::size_t countGoodCalls(const std::vector<CallResult> &Calls) {
  return static_cast<std::size_t>(
      std::count_if(Calls.begin(), Calls.end(),
                    [](const CallResult &it) { return it.IsGood; }));
}

} // namespace wasabi::bench
