#include "Bench/StateMeasures.h"

#include "Bench/ProcessUsage.h"
#include "IntegrationTests/Harness/HttpCall.h"
#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Adapters/PlatformLog/HttpLog.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

namespace wasabi::bench {
namespace {

namespace asio = boost::asio;

constexpr Millis PollPeriod{1000};
/// Time until gossip about the start of the fleet has ended.
constexpr Millis SettleTime{20000};
constexpr int PolledRecords = 5;
constexpr std::uint64_t PhaseSeed = 7;

/// Totals of one daemon.
struct Totals {
  double Bytes = 0;
  double Frames = 0;
  double CpuSeconds = 0;
  double ResidentMiB = 0;
};

double number(const boost::json::value &Status, const char *Name) {
  const boost::json::value *found = Status.as_object().if_contains(Name);
  return found ? found->to_number<double>() : 0;
}

Totals readTotals(const FleetDaemon &Daemon) {
  Totals totals;
  if (std::optional<boost::json::value> status = fetchStatus(Daemon)) {
    totals.Bytes = number(*status, "control_bytes_in") +
                   number(*status, "control_bytes_out");
    totals.Frames =
        number(*status, "frames_in") + number(*status, "frames_out");
  }
  if (std::optional<ProcessUsage> usage =
          readProcessUsage(Daemon.Child->pid())) {
    totals.CpuSeconds = usage->CpuSeconds;
    totals.ResidentMiB = usage->ResidentMiB;
  }
  return totals;
}

std::vector<Totals> readTotals(Fleet &Group) {
  std::vector<Totals> all;
  for (const FleetDaemon &it : Group.daemons())
    all.push_back(readTotals(it));
  return all;
}

double appendsOf(const harness::StandIn &Log) {
  Outcome<boost::json::value> truth = Log.truth();
  return truth ? truth->at("appends").to_number<double>() : 0;
}

/// Polls `Stream` with its own phase and records when records arrive.
asio::awaitable<void> poll(LogPort Log, Millis Phase, std::size_t Wanted,
                           std::vector<std::uint64_t> &Seen) {
  BootTimer timer(co_await asio::this_coro::executor, Phase);
  Offset next = 0;
  while (Seen.size() < Wanted) {
    co_await timer.async_wait(asio::use_awaitable);
    Outcome<LogRange> range = co_await Log.Read("polled", next, 100, Millis(0));
    std::size_t count = range ? range->Entries.size() : 0;
    next += count;
    Seen.insert(Seen.end(), count, wallMicros());
    timer.expires_after(PollPeriod);
  }
}

asio::awaitable<void> appendRecords(LogPort Log,
                                    std::vector<std::uint64_t> &Appended) {
  BootTimer timer(co_await asio::this_coro::executor);
  for (int n = 0; n < PolledRecords; ++n) {
    Outcome<Offset> at = co_await Log.Append("polled", R"({"change":1})");
    if (at)
      Appended.push_back(wallMicros());
    timer.expires_after(2 * PollPeriod);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

} // namespace

std::vector<std::size_t> readFleetSizes() {
  const char *wanted = std::getenv("WASABI_BENCH_SIZES");
  std::istringstream words(wanted ? wanted : "25,50,100,200");
  std::vector<std::size_t> sizes;
  std::string word;
  while (std::getline(words, word, ','))
    sizes.push_back(std::stoul(word));
  return sizes;
}

IdleCost measureIdleCost(Fleet &Group, Millis Window) {
  // Waits until gossip about the start has ended, so that only idle cost is
  // measured.
  std::this_thread::sleep_for(SettleTime);
  std::vector<Totals> before = readTotals(Group);
  double appendsBefore = appendsOf(Group.log());
  TimePoint start = monotonicNow();
  std::this_thread::sleep_for(Window);
  std::vector<Totals> after = readTotals(Group);
  double appends = appendsOf(Group.log()) - appendsBefore;
  double seconds =
      std::chrono::duration<double>(monotonicNow() - start).count();

  double n = static_cast<double>(Group.daemons().size());
  constexpr double Percent = 100;
  IdleCost cost;
  cost.AppendsPerSecond = appends / seconds;
  for (std::size_t k = 0; k < after.size(); ++k) {
    double bytes = (after[k].Bytes - before[k].Bytes) / seconds;
    double cpu = (after[k].CpuSeconds - before[k].CpuSeconds) / seconds;
    cost.BytesPerSecond += bytes / n;
    cost.MaxBytesPerSecond = std::max(cost.MaxBytesPerSecond, bytes);
    cost.FramesPerSecond += (after[k].Frames - before[k].Frames) / seconds / n;
    cost.CpuPercent += Percent * cpu / n;
    cost.ResidentMiB += after[k].ResidentMiB / n;
  }
  return cost;
}

std::vector<double> measurePollingDelays(const harness::StandIn &Log,
                                         std::size_t Readers) {
  asio::io_context context;
  http::Client::Settings limits;
  std::shared_ptr<http::Client> client =
      http::Client::create(context.get_executor(), limits);
  LogPort log = makeHttpLog(client, Log.address());
  std::vector<std::uint64_t> appended;
  std::vector<std::vector<std::uint64_t>> seen(Readers);
  std::mt19937_64 random(PhaseSeed);
  std::uniform_int_distribution<int> phase(
      0, static_cast<int>(PollPeriod.count()));
  for (std::vector<std::uint64_t> &it : seen)
    asio::co_spawn(context, poll(log, Millis(phase(random)), PolledRecords, it),
                   asio::detached);
  asio::co_spawn(context, appendRecords(log, appended), asio::detached);
  context.run();

  std::vector<double> delays;
  for (const std::vector<std::uint64_t> &times : seen) {
    for (std::size_t n = 0; n < times.size() && n < appended.size(); ++n)
      delays.push_back(
          static_cast<double>(std::max(times[n], appended[n]) - appended[n]) /
          1000.0);
  }
  return delays;
}

} // namespace wasabi::bench
