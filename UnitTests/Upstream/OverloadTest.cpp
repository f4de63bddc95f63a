/// \file
/// A plain service that is offered several times what it can do, by 87
/// customers of whom three are large: who is served, who waits and who is
/// refused.
#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Upstream/Forwarder.h"

#include <algorithm>
#include <random>

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");
constexpr std::size_t Customers = 87;
constexpr std::size_t Large = 3;
/// A large customer sends this many times what another one does.
constexpr std::uint32_t LargeWeight = 30;
/// What a server works on a request.
constexpr Millis Work{10};
constexpr std::uint32_t Slots = 4;
constexpr std::size_t Servers = 3;

/// What became of a customer's requests.
struct Tally {
  std::uint32_t Asked = 0;
  std::uint32_t Served = 0;
};

/// Servers that refuse what is beyond their slots.
struct OverloadWorld : BatchTestFixture {
  FleetView View;
  Metrics Counts;
  std::map<ServerName, std::uint32_t> Running;
  std::vector<std::shared_ptr<Forwarder>> Processes;
  UpstreamRoute Route;
  std::map<CustomerName, Tally> Tallies;
  std::vector<Millis> ServedAfter;
  std::size_t Open = 0;

  explicit OverloadWorld(std::size_t HowMany) {
    noteAnswer(View.Contact, monotonicNow());
    Route.Kind = RouteKind::Idempotent;
    Route.MaxAttempts = 3;
    Route.Services = {{Desk, 1}};
    for (std::size_t i = 0; i < Servers; ++i) {
      UpstreamRegistration entry;
      entry.Id = ServerName(std::to_string(i));
      entry.Service = Desk;
      entry.Slots = Slots;
      registerServer(View.Servers, entry);
    }
    EnginePort port;
    port.Call = [this](UpstreamRegistration Server, const http::Request &,
                       const SendOptions &,
                       Millis) { return call(std::move(Server)); };
    FeedContext feed{Context.get_executor(), Store.port(), Decisions, View};
    for (std::size_t i = 0; i < HowMany; ++i)
      Processes.push_back(Forwarder::create(
          {Context.get_executor(), View, port,
           Quarantine::create(feed, port, Counts, Quarantine::Settings()),
           Decisions, Counts},
          Forwarder::Settings()));
  }

  asio::awaitable<Outcome<UpstreamResponse>> call(UpstreamRegistration Server) {
    UpstreamResponse answer;
    answer.Proof = AnswerProof::NotRun;
    answer.Response.Status = 503;
    std::uint32_t &running = Running[Server.Id];
    if (running < Slots) {
      ++running;
      co_await pauseFor(Context.get_executor(), Work);
      --running;
      answer.Proof = AnswerProof::Ran;
      answer.Response.Status = 200;
    }
    co_return answer;
  }

  asio::awaitable<void> ask(Customer By, std::size_t Process) {
    asio::cancellation_signal stop;
    ForwardRequest what;
    what.Id = "r";
    what.HttpRequest.Method = "POST";
    what.HttpRequest.Target =
        "/desk/" + std::to_string(Tallies[By.Name].Asked++);
    what.Caller = By;
    what.ArrivedAt = monotonicNow();
    what.CallerTimeout = Millis(600);
    TimePoint began = what.ArrivedAt;
    ++Open;
    Outcome<UpstreamResponse> got =
        co_await Processes[Process]->answer(std::move(what), Route, stop);
    --Open;
    if (!got) {
      CHECK(got.failure().Run == Verdict::NotRun);
      CHECK(got.failure().RetryAfter > Millis(0));
      co_return;
    }
    ++Tallies[By.Name].Served;
    ServedAfter.push_back(
        std::chrono::duration_cast<Millis>(monotonicNow() - began));
  }

  /// Offers `Times` what the servers can do for a while. `PriorityOf` gives
  /// each customer's.
  void offer(double Times,
             const std::function<std::uint32_t(std::size_t)> &PriorityOf) {
    constexpr Millis Length{1500};
    std::mt19937_64 random(7);
    std::vector<std::size_t> senders;
    for (std::size_t i = 0; i < Customers; ++i)
      senders.insert(senders.end(), i < Large ? LargeWeight : 1, i);
    double perMilli =
        Times * Servers * Slots / static_cast<double>(Work.count());
    TimePoint begin = monotonicNow();
    double due = 0;
    double sent = 0;
    while (monotonicNow() - begin < Length) {
      due = perMilli *
            std::chrono::duration<double, std::milli>(monotonicNow() - begin)
                .count();
      for (; sent < due; ++sent) {
        std::size_t who = senders[random() % senders.size()];
        Customer by{CustomerName(std::to_string(who)), PriorityOf(who)};
        asio::co_spawn(Context, ask(by, random() % Processes.size()),
                       asio::detached);
      }
      Context.run_for(Millis(1));
    }
    REQUIRE(runUntil([this] { return Open == 0; }));
  }

  Tally sum(const std::function<bool(std::size_t)> &Which) const {
    Tally all;
    for (std::size_t i = 0; i < Customers; ++i) {
      auto found = Tallies.find(CustomerName(std::to_string(i)));
      if (!Which(i) || found == Tallies.end())
        continue;
      all.Asked += found->second.Asked;
      all.Served += found->second.Served;
    }
    return all;
  }
};

double share(const Tally &Of) {
  return static_cast<double>(Of.Served) / std::max(1u, Of.Asked);
}

std::uint32_t alike(std::size_t) { return 1; }
bool everyone(std::size_t) { return true; }

} // namespace

TEST_CASE("Under overload no customer is starved by large ones",
          "[upstream][overload]") {
  for (std::size_t processes : {std::size_t(1), std::size_t(12)}) {
    OverloadWorld world(processes);
    world.offer(3, alike);
    double all = share(world.sum(everyone));
    INFO("processes " << processes << ", share served " << all);
    CHECK(all > 0.2);
    CHECK(all < 0.9);
    for (const auto &[name, tally] : world.Tallies) {
      // Of fewer requests chance alone may leave few.
      if (tally.Asked < 10)
        continue;
      INFO(name.Text << ": " << tally.Served << " of " << tally.Asked);
      CHECK(share(tally) >= all / 4);
    }
    double small = share(world.sum([](std::size_t It) { return It >= Large; }));
    CHECK(small >= 0.9 * all);
  }
}

TEST_CASE("Under overload the less urgent wait and are refused first",
          "[upstream][overload]") {
  for (std::size_t processes : {std::size_t(1), std::size_t(12)}) {
    OverloadWorld world(processes);
    // Each fourth customer is more urgent than the others; large ones are not.
    auto urgent = [](std::size_t Who) { return Who >= Large && Who % 4 == 0; };
    world.offer(2, [&](std::size_t Who) { return urgent(Who) ? 0u : 3u; });
    double first = share(world.sum(urgent));
    double others =
        share(world.sum([&](std::size_t Who) { return !urgent(Who); }));
    INFO("processes " << processes << ": " << first << " and " << others);
    CHECK(first > others);
    CHECK(first > 0.9);
    // The others get what is left.
    CHECK(others > 0.2);
  }
}

TEST_CASE("What the servers can do is done, and nobody waits to be refused",
          "[upstream][overload]") {
  OverloadWorld calm(4);
  calm.offer(0.5, alike);
  CHECK(share(calm.sum(everyone)) > 0.99);
  OverloadWorld busy(4);
  TimePoint begin = monotonicNow();
  busy.offer(3, alike);
  double seconds =
      std::chrono::duration<double>(monotonicNow() - begin).count();
  double possible = seconds * Servers * Slots * 1000.0 / Work.count();
  CHECK(busy.sum(everyone).Served > 0.6 * possible);
  CHECK(*std::max_element(busy.ServedAfter.begin(), busy.ServedAfter.end()) <
        Millis(600));
}

} // namespace wasabi::batchtest
