/// \file
/// Overload of a service by many small customers and a few large ones: guards
/// against starved customers, ignored priorities and unused capacity. Time is
/// simulated, since a thread that servers and callers share would otherwise
/// lower the capacity of the servers, and not the load, whenever it is held up.
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Upstream/Forwarder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");
constexpr std::size_t CustomerCount = 87;
constexpr std::size_t LargeCustomers = 3;
/// Number of requests of a large customer for each one of a small customer.
constexpr std::uint32_t LargeWeight = 30;
/// Time that a server takes for a request.
constexpr Millis WorkTime{10};
constexpr std::uint32_t SlotsPerServer = 4;
constexpr std::size_t ServerCount = 3;

/// Number of sent and of served requests.
struct Tally {
  std::uint32_t Asked = 0;
  std::uint32_t Served = 0;
};

/// Times at which a process is held up, and gets no messages. An immutable
/// value.
struct StallPlan {
  /// Mean time between two stalls; none if 0.
  Millis MeanGap{0};
  Millis MaxLength{0};
  std::uint64_t Seed = 0;
};

/// Several forwarding processes and servers that refuse requests while all of
/// their slots are in use.
struct OverloadFixture : SimulatedTestFixture {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, std::uint32_t> Running;
  std::vector<std::shared_ptr<Forwarder>> Processes;
  UpstreamRoute Route;
  std::map<CustomerName, Tally> Tallies;
  std::vector<Millis> ServedLatencies;
  std::size_t OpenRequests = 0;
  Millis ServerWorkTime = WorkTime;
  /// Time until which each process is held up.
  std::vector<TimePoint> StalledUntil;

  explicit OverloadFixture(std::size_t ProcessCount, StallPlan Stalls = {})
      : StalledUntil(ProcessCount) {
    noteAnswer(View.Contact, monotonicNow());
    Route.Kind = RouteKind::Idempotent;
    Route.MaxAttempts = 3;
    Route.Services = {{Desk, 1}};
    for (std::size_t i = 0; i < ServerCount; ++i) {
      UpstreamRegistration entry;
      entry.Id = ServerName(std::to_string(i));
      entry.Service = Desk;
      entry.Slots = SlotsPerServer;
      registerServer(View.Servers, entry);
    }
    FeedContext feed{Context.get_executor(), Store.port(), Decisions, View};
    for (std::size_t i = 0; i < ProcessCount; ++i) {
      EnginePort port;
      port.Call = [this, i](UpstreamRegistration Server, const http::Request &,
                            const SendOptions &,
                            Millis) { return call(i, std::move(Server)); };
      Processes.push_back(Forwarder::create(
          {Context.get_executor(), View, port,
           Quarantine::create(feed, port, Counts, Quarantine::Settings()),
           Decisions, Counts},
          Forwarder::Settings()));
      if (Stalls.MeanGap > Millis(0))
        asio::co_spawn(Context, stall(i, Stalls), asio::detached);
      // The processes draw different random numbers.
      runFor(Micros(1));
    }
  }

  /// Holds up a process at random times.
  asio::awaitable<void> stall(std::size_t ProcessIndex, StallPlan Stalls) {
    std::mt19937_64 random(Stalls.Seed * Processes.size() + ProcessIndex);
    std::exponential_distribution<> gapMs(
        1.0 / static_cast<double>(Stalls.MeanGap.count()));
    std::uniform_int_distribution<std::int64_t> lengthMs(
        1, Stalls.MaxLength.count());
    for (;;) {
      co_await pauseFor(Context.get_executor(),
                        Millis(1 + std::llround(gapMs(random))));
      StalledUntil[ProcessIndex] = monotonicNow() + Millis(lengthMs(random));
      co_await awaitProcess(ProcessIndex);
    }
  }

  /// Returns when a process is not held up.
  asio::awaitable<void> awaitProcess(std::size_t ProcessIndex) {
    while (monotonicNow() < StalledUntil[ProcessIndex])
      co_await pauseFor(Context.get_executor(),
                        std::chrono::ceil<Millis>(StalledUntil[ProcessIndex] -
                                                  monotonicNow()));
  }

  asio::awaitable<Outcome<UpstreamResponse>> call(std::size_t ProcessIndex,
                                                  UpstreamRegistration Server) {
    UpstreamResponse answer;
    answer.Proof = AnswerProof::NotRun;
    answer.Response.Status = 503;
    std::uint32_t &running = Running[Server.Id];
    if (running < SlotsPerServer) {
      ++running;
      co_await pauseFor(Context.get_executor(), ServerWorkTime);
      --running;
      answer.Proof = AnswerProof::Ran;
      answer.Response.Status = 200;
    }
    co_await awaitProcess(ProcessIndex);
    co_return answer;
  }

  asio::awaitable<void> sendRequest(Customer Caller, std::size_t ProcessIndex) {
    asio::cancellation_signal stop;
    TimePoint began = monotonicNow();
    ++OpenRequests;
    co_await awaitProcess(ProcessIndex);
    ForwardRequest request;
    request.Id = "r";
    request.HttpRequest.Method = "POST";
    request.HttpRequest.Target =
        "/desk/" + std::to_string(Tallies[Caller.Name].Asked++);
    request.Caller = Caller;
    request.ArrivedAt = monotonicNow();
    request.CallerTimeout = Millis(600);
    Outcome<UpstreamResponse> got = co_await Processes[ProcessIndex]->answer(
        std::move(request), Route, stop);
    --OpenRequests;
    if (!got) {
      CHECK(got.failure().Run == Verdict::NotRun);
      CHECK(got.failure().RetryAfter > Millis(0));
      co_return;
    }
    ++Tallies[Caller.Name].Served;
    ServedLatencies.push_back(
        std::chrono::duration_cast<Millis>(monotonicNow() - began));
  }

  /// Sends `LoadFactor` times the servers' capacity for a fixed time.
  /// `PriorityOf` returns the priority of a customer by its index.
  void offerLoad(double LoadFactor,
                 const std::function<std::uint32_t(std::size_t)> &PriorityOf) {
    constexpr Millis Duration{1500};
    std::mt19937_64 random(7);
    std::vector<std::size_t> weightedCustomers;
    for (std::size_t i = 0; i < CustomerCount; ++i)
      weightedCustomers.insert(weightedCustomers.end(),
                               i < LargeCustomers ? LargeWeight : 1, i);
    double perMilli = LoadFactor * ServerCount * SlotsPerServer /
                      static_cast<double>(WorkTime.count());
    TimePoint begin = monotonicNow();
    double dueRequests = 0;
    double sentRequests = 0;
    while (monotonicNow() - begin < Duration) {
      dueRequests = perMilli * std::chrono::duration<double, std::milli>(
                                   monotonicNow() - begin)
                                   .count();
      for (; sentRequests < dueRequests; ++sentRequests) {
        std::size_t customerIndex =
            weightedCustomers[random() % weightedCustomers.size()];
        Customer caller{CustomerName(std::to_string(customerIndex)),
                        PriorityOf(customerIndex)};
        asio::co_spawn(Context,
                       sendRequest(caller, random() % Processes.size()),
                       asio::detached);
      }
      runFor(Millis(1));
    }
    REQUIRE(runUntil([this] { return OpenRequests == 0; }));
  }

  Tally sumTallies(const std::function<bool(std::size_t)> &Included) const {
    Tally total;
    for (std::size_t i = 0; i < CustomerCount; ++i) {
      auto found = Tallies.find(CustomerName(std::to_string(i)));
      if (!Included(i) || found == Tallies.end())
        continue;
      total.Asked += found->second.Asked;
      total.Served += found->second.Served;
    }
    return total;
  }
};

double servedShare(const Tally &Total) {
  return static_cast<double>(Total.Served) / std::max(1u, Total.Asked);
}

std::uint32_t equalPriority(std::size_t) { return 1; }
bool allCustomers(std::size_t) { return true; }

/// Seeds of the stalls; each test holds for all of them.
constexpr std::array<std::uint64_t, 3> StallSeeds{1, 2, 3};
constexpr Millis MeanStallGap{200};
constexpr Millis MaxStall{60};

void checkLargeCustomers(std::size_t ProcessCount, StallPlan Stalls) {
  OverloadFixture fixture(ProcessCount, Stalls);
  fixture.offerLoad(3, equalPriority);
  double totalShare = servedShare(fixture.sumTallies(allCustomers));
  INFO("processes " << ProcessCount << ", stalls " << Stalls.Seed
                    << ", share served " << totalShare);
  CHECK(totalShare > 0.2);
  CHECK(totalShare < 0.9);
  for (const auto &[name, tally] : fixture.Tallies) {
    // With fewer requests the share depends on chance.
    if (tally.Asked < 10)
      continue;
    INFO(name.Text << ": " << tally.Served << " of " << tally.Asked);
    CHECK(servedShare(tally) >= totalShare / 4);
  }
  double smallShare = servedShare(fixture.sumTallies(
      [](std::size_t Index) { return Index >= LargeCustomers; }));
  CHECK(smallShare >= 0.9 * totalShare);
}

/// `ServerWorkTime` differs from `WorkTime` if the servers are slower than the
/// offered load assumes.
void checkUrgentFirst(std::size_t ProcessCount, Millis ServerWorkTime,
                      StallPlan Stalls, double LoadFactor = 2) {
  OverloadFixture fixture(ProcessCount, Stalls);
  fixture.ServerWorkTime = ServerWorkTime;
  // Every fourth customer is urgent, except the large ones.
  auto urgent = [](std::size_t Index) {
    return Index >= LargeCustomers && Index % 4 == 0;
  };
  fixture.offerLoad(LoadFactor,
                    [&](std::size_t Index) { return urgent(Index) ? 0u : 3u; });
  double urgentShare = servedShare(fixture.sumTallies(urgent));
  double otherShare = servedShare(
      fixture.sumTallies([&](std::size_t Index) { return !urgent(Index); }));
  INFO("processes " << ProcessCount << ", stalls " << Stalls.Seed << ", work "
                    << ServerWorkTime.count() << " ms, load " << LoadFactor
                    << ": " << urgentShare << " and " << otherShare);
  CHECK(urgentShare > otherShare);
  CHECK(urgentShare > 0.9);
  // The others are not starved.
  CHECK(otherShare > 0.2);
}

} // namespace

TEST_CASE("Under overload large customers do not starve the others",
          "[upstream][overload]") {
  for (std::size_t processes : {std::size_t(1), std::size_t(12)})
    checkLargeCustomers(processes, StallPlan{});
}

// Guards against requests of small customers that are lost in the bursts after
// a process was held up.
TEST_CASE("Large customers do not starve the others while processes stall",
          "[upstream][overload]") {
  for (std::uint64_t seed : StallSeeds) {
    for (std::size_t processes : {std::size_t(1), std::size_t(12)})
      checkLargeCustomers(processes, StallPlan{MeanStallGap, MaxStall, seed});
  }
}

TEST_CASE("Under overload the less urgent wait and are refused first",
          "[upstream][overload]") {
  for (std::size_t processes : {std::size_t(1), std::size_t(12)})
    checkUrgentFirst(processes, WorkTime, StallPlan{});
}

// Guards against processes that together keep more requests in flight than the
// servers have slots: the servers refuse the rest, whatever its urgency.
TEST_CASE("The less urgent are refused first at more processes than slots and "
          "at slower servers",
          "[upstream][overload]") {
  for (std::size_t processes :
       {std::size_t(12), std::size_t(24), std::size_t(48)}) {
    checkUrgentFirst(processes, WorkTime, StallPlan{});
    checkUrgentFirst(processes, WorkTime * 3 / 2, StallPlan{});
    checkUrgentFirst(processes, WorkTime, StallPlan{}, 3);
  }
}

TEST_CASE("The less urgent are refused first while processes stall",
          "[upstream][overload]") {
  for (std::uint64_t seed : StallSeeds) {
    for (std::size_t processes : {std::size_t(1), std::size_t(12)})
      checkUrgentFirst(processes, WorkTime,
                       StallPlan{MeanStallGap, MaxStall, seed});
  }
}

TEST_CASE(
    "Servers are kept busy and answers arrive before the caller's timeout",
    "[upstream][overload]") {
  OverloadFixture underloaded(4);
  underloaded.offerLoad(0.5, equalPriority);
  CHECK(servedShare(underloaded.sumTallies(allCustomers)) > 0.99);
  OverloadFixture overloaded(4);
  TimePoint begin = monotonicNow();
  overloaded.offerLoad(3, equalPriority);
  double seconds =
      std::chrono::duration<double>(monotonicNow() - begin).count();
  double possible =
      seconds * ServerCount * SlotsPerServer * 1000.0 / WorkTime.count();
  CHECK(overloaded.sumTallies(allCustomers).Served > 0.6 * possible);
  CHECK(*std::max_element(overloaded.ServedLatencies.begin(),
                          overloaded.ServedLatencies.end()) < Millis(600));
}

} // namespace wasabi::batchtest
