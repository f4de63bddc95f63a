/// \file
/// Selection of servers by simulated processes at simulated servers: guards
/// against work that is sent to slow servers while others have room, against
/// servers that get no work after their recovery, and against herds.
#include "Wasabi/Upstream/ServerSelection.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>

namespace wasabi {

namespace {

const ServiceName Desk("desk");
const DomainName North("north");
const DomainName South("south");
const TimePoint Start = TimePoint() + Millis(100000);
constexpr double WorkMs = 25;
/// Seeds of the simulations; each test holds for all of them.
constexpr std::array<std::uint64_t, 5> Seeds{1, 2, 3, 4, 5};

StoreContact makeContact() {
  StoreContact contact;
  contact.Lost = false;
  contact.ReachableSince = Start - Millis(60000);
  contact.LastAnswer = Start;
  return contact;
}

UpstreamRegistration makeRegistration(const std::string &Id,
                                      const DomainName &Domain = North) {
  UpstreamRegistration entry;
  entry.Id = ServerName(Id);
  entry.Start = 1000;
  entry.Service = Desk;
  entry.Domain = Domain;
  entry.Slots = 6;
  return entry;
}

UpstreamTable makeTable(const std::vector<std::string> &Ids) {
  UpstreamTable table;
  for (const std::string &it : Ids)
    registerServer(table, makeRegistration(it));
  return table;
}

UpstreamServer &serverOf(UpstreamTable &Table, const std::string &Id) {
  return *Table.Servers[ServerName(Id)];
}

ServerQuery makeQuery(const ServiceLoad *Others = nullptr) {
  ServerQuery query;
  query.Service = Desk;
  query.PreferredDomain = North;
  query.Others = Others;
  return query;
}

/// Records `Count` answers of `LatencyMs` at intervals of 10 ms, of which the
/// last one is at `Now`.
void answerTimes(UpstreamTable &Table, const std::string &Id, double LatencyMs,
                 TimePoint Now, int Count = 10) {
  for (int i = Count - 1; i >= 0; --i)
    recordAnswer(Table, serverOf(Table, Id), LatencyMs, Now - Millis(10) * i);
}

/// Returns how often each server is chosen of `Count` choices.
std::map<std::string, int> countChoices(const UpstreamTable &Table,
                                        const ServerQuery &Query, TimePoint Now,
                                        int Count = 300) {
  std::mt19937_64 random(1);
  std::map<std::string, int> chosen;
  for (int i = 0; i < Count; ++i) {
    std::shared_ptr<UpstreamServer> server =
        chooseServer(Table, makeContact(), Query, Now, random);
    ++chosen[server ? server->Entry.Id.Text : ""];
  }
  return chosen;
}

/// One entry process.
struct SimulatedProcess {
  UpstreamTable Table;
  DomainName Domain = North;
  std::mt19937_64 Random;
  RetryBudget Trials{TrialBudget, 0};
  /// Reports of the other processes; empty before the first one.
  std::optional<ServiceLoad> Others;
};

/// A request that waits or runs at a simulated server.
struct SimulatedRequest {
  std::size_t Process = 0;
  std::shared_ptr<UpstreamServer> Target;
  TimePoint StartedAt;
  double RemainingMs = 0;
};

/// A choice that a simulated process made.
struct RecordedChoice {
  /// Milliseconds since the start of the simulation.
  std::int64_t At = 0;
  std::string Server;
  bool Trial = false;
};

/// Processes and servers in steps of 1 ms. A server runs as many requests as it
/// has slots, in order of arrival.
struct Simulation {
  std::vector<UpstreamRegistration> Entries;
  std::vector<SimulatedProcess> Processes;
  std::map<std::string, std::deque<SimulatedRequest>> Requests;
  /// Returns the factor by which a server is slowed at a time in milliseconds.
  std::function<double(const std::string &, std::int64_t)> Slowness =
      [](const std::string &, std::int64_t) { return 1.0; };
  /// Returns the requests per second of all processes at a time.
  std::function<double(std::int64_t)> RatePerSecond = [](std::int64_t) {
    return 90.0;
  };
  /// Interval in milliseconds at which the processes exchange their load; 0 if
  /// they don't.
  std::int64_t ReportInterval = 0;
  std::vector<RecordedChoice> Choices;
  /// Largest number of requests at a server at any time.
  std::size_t LongestQueue = 0;
  std::mt19937_64 Random;
  std::int64_t Now = 0;

  Simulation(std::uint64_t Seed, std::vector<UpstreamRegistration> Servers,
             std::size_t ProcessCount = 1)
      : Entries(std::move(Servers)), Random(Seed) {
    for (std::size_t i = 0; i < ProcessCount; ++i) {
      SimulatedProcess process;
      process.Random.seed(Seed * 1000 + i);
      for (const UpstreamRegistration &it : Entries)
        registerServer(process.Table, it);
      Processes.push_back(std::move(process));
    }
  }

  TimePoint time() const { return Start + Millis(Now); }

  void send(std::size_t Process) {
    SimulatedProcess &from = Processes[Process];
    ServerQuery query = makeQuery(from.Others ? &*from.Others : nullptr);
    query.PreferredDomain = from.Domain;
    query.MayTrial = canSpend(from.Trials);
    ServerChoice choice =
        selectServer(from.Table, makeContact(), query, time(), from.Random);
    REQUIRE(choice.Server);
    from.Trials = addSuccess(from.Trials);
    if (choice.Trial)
      from.Trials = spend(from.Trials);
    beginAttempt(*choice.Server, time());
    std::string id = choice.Server->Entry.Id.Text;
    Requests[id].push_back({Process, choice.Server, time(), WorkMs});
    Choices.push_back({Now, id, choice.Trial});
  }

  void runServer(const UpstreamRegistration &Entry) {
    std::deque<SimulatedRequest> &queue = Requests[Entry.Id.Text];
    LongestQueue = std::max(LongestQueue, queue.size());
    std::size_t running = std::min<std::size_t>(queue.size(), Entry.Slots);
    double progressMs = 1 / Slowness(Entry.Id.Text, Now);
    for (std::size_t i = 0; i < running; ++i)
      queue[i].RemainingMs -= progressMs;
    std::erase_if(queue, [&](const SimulatedRequest &It) {
      if (It.RemainingMs > 0)
        return false;
      endAttempt(*It.Target, It.StartedAt);
      double latencyMs =
          std::chrono::duration<double, std::milli>(time() - It.StartedAt)
              .count();
      recordAnswer(Processes[It.Process].Table, *It.Target, latencyMs, time());
      return true;
    });
  }

  /// Returns what all processes but one report.
  ServiceLoad reportsWithout(std::size_t Reader) const {
    ServiceLoad load;
    load.Processes = static_cast<std::uint32_t>(Processes.size() - 1);
    for (std::size_t i = 0; i < Processes.size(); ++i) {
      if (i == Reader)
        continue;
      for (const auto &[id, server] : Processes[i].Table.Servers) {
        ServerLoad &sum = load.Servers[server->Entry.incarnation()];
        sum.InFlight += server->InFlight;
        sum.MeasuredAt = time();
        double samples = server->LatencySamples;
        if (samples <= 0 || time() - *server->LatencyMeasuredAt > Millis(1000))
          continue;
        double latencyMs =
            estimateLatencyMs(Processes[i].Table, *server, nullptr, time());
        sum.LatencyMs +=
            (latencyMs - sum.LatencyMs) * samples / (sum.Samples + samples);
        sum.Samples += samples;
      }
    }
    return load;
  }

  void runUntil(std::int64_t End) {
    constexpr double MillisPerSecond = 1000;
    for (; Now < End; ++Now) {
      for (std::size_t i = 0; i < Processes.size(); ++i) {
        if (ReportInterval > 0 && Now % ReportInterval == 0)
          Processes[i].Others = reportsWithout(i);
      }
      std::poisson_distribution<int> arrivals(RatePerSecond(Now) /
                                              MillisPerSecond);
      for (int n = arrivals(Random); n > 0; --n)
        send(Random() % Processes.size());
      for (const UpstreamRegistration &it : Entries)
        runServer(it);
    }
  }

  /// Returns the share of the choices from `Begin` to `End` in milliseconds
  /// that `Counts` is true for.
  double
  shareOf(std::int64_t Begin, std::int64_t End,
          const std::function<bool(const RecordedChoice &)> &Counts) const {
    double all = 0;
    double counted = 0;
    for (const RecordedChoice &it : Choices) {
      if (it.At < Begin || it.At >= End)
        continue;
      ++all;
      counted += Counts(it) ? 1 : 0;
    }
    return all == 0 ? 0 : counted / all;
  }

  double share(const std::string &Id, std::int64_t Begin,
               std::int64_t End) const {
    return shareOf(Begin, End,
                   [&](const RecordedChoice &It) { return It.Server == Id; });
  }

  double trialShare(std::int64_t Begin, std::int64_t End) const {
    return shareOf(Begin, End,
                   [](const RecordedChoice &It) { return It.Trial; });
  }
};

} // namespace

// Guards against work that keeps going to a slowed server, and against a server
// that gets no work after its recovery.
TEST_CASE("A slowed server loses its share within 1 s and has it back within "
          "2 s of its recovery",
          "[upstream]") {
  constexpr std::int64_t SlowAt = 5000;
  constexpr std::int64_t RecoveredAt = 11000;
  constexpr double EqualShare = 1.0 / 3;
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed);
    Simulation run(seed, {makeRegistration("a"), makeRegistration("b"),
                          makeRegistration("c")});
    run.Slowness = [&](const std::string &Id, std::int64_t At) {
      return Id == "a" && At >= SlowAt && At < RecoveredAt ? 6.0 : 1.0;
    };
    run.runUntil(20000);
    CHECK(run.share("a", 1000, SlowAt) > EqualShare * 0.75);
    // The trial requests, and as many again that find out what these have.
    CHECK(run.share("a", SlowAt + 1000, RecoveredAt) < 0.1);
    CHECK(run.share("a", RecoveredAt + 2000, 20000) > EqualShare * 0.75);
  }
}

// Guards against slow servers that are taken for the normal case because they
// are the majority.
TEST_CASE("While two of three servers are slowed the third one gets nearly all "
          "work",
          "[upstream]") {
  constexpr std::int64_t SlowAt = 5000;
  constexpr std::int64_t RecoveredAt = 11000;
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed);
    Simulation run(seed, {makeRegistration("a"), makeRegistration("b"),
                          makeRegistration("c")});
    run.Slowness = [&](const std::string &Id, std::int64_t At) {
      return Id != "c" && At >= SlowAt && At < RecoveredAt ? 6.0 : 1.0;
    };
    run.runUntil(20000);
    CHECK(run.share("c", SlowAt + 1000, RecoveredAt) > 0.9);
    CHECK(run.share("a", SlowAt + 1000, RecoveredAt) > 0);
    CHECK(run.share("b", SlowAt + 1000, RecoveredAt) > 0);
    CHECK(run.share("a", RecoveredAt + 2000, 20000) > 0.25);
    CHECK(run.share("b", RecoveredAt + 2000, 20000) > 0.25);
  }
}

// Guards against a fast server that is overloaded while slow ones are idle.
TEST_CASE("Slow servers get what exceeds the room of the fast one",
          "[upstream]") {
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed);
    Simulation run(seed, {makeRegistration("a"), makeRegistration("b"),
                          makeRegistration("c")});
    run.Slowness = [](const std::string &Id, std::int64_t) {
      return Id == "c" ? 1.0 : 6.0;
    };
    // The room is 240 per second at "c" and 40 at each of the others.
    run.RatePerSecond = [](std::int64_t) { return 270.0; };
    run.runUntil(15000);
    CHECK(run.share("a", 5000, 15000) > 0.03);
    CHECK(run.share("b", 5000, 15000) > 0.03);
    CHECK(run.share("c", 5000, 15000) > 0.7);
    // A server's slots and its queue, beyond which it refuses requests.
    CHECK(run.LongestQueue <= 30);
  }
}

// Guards against processes that all send to the server which looks best.
TEST_CASE("Processes that choose at the same moment choose several servers",
          "[upstream]") {
  constexpr std::size_t ProcessCount = 40;
  // Twice the equal share of six servers.
  constexpr std::size_t MaxChoices = 13;
  const std::vector<std::string> ids{"a", "b", "c", "d", "e", "f"};
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed);
    std::map<std::string, std::size_t> chosen;
    for (std::size_t i = 0; i < ProcessCount; ++i) {
      UpstreamTable table = makeTable(ids);
      double latencyMs = 24;
      for (const std::string &it : ids)
        answerTimes(table, it, latencyMs++, Start);
      std::mt19937_64 random(seed * 1000 + i);
      ++chosen[chooseServer(table, makeContact(), makeQuery(), Start, random)
                   ->Entry.Id.Text];
    }
    CHECK(chosen.size() == ids.size());
    for (const auto &[id, count] : chosen)
      CHECK(count <= MaxChoices);
  }
}

// Guards against processes that overload servers together because they know
// nothing of each other, or because they act on the same reports.
TEST_CASE("Many processes use the room of all servers and avoid a slow one",
          "[upstream]") {
  constexpr std::size_t ProcessCount = 40;
  constexpr std::int64_t SlowAt = 4000;
  constexpr std::int64_t RecoveredAt = 7000;
  constexpr double EqualShare = 1.0 / 6;
  // A changed estimate is reported after 250 ms. Reports at the interval of
  // unchanged ones delay the return of work by up to that interval.
  std::int64_t interval = GENERATE(0, 250, 1000);
  std::int64_t restoreTime = interval == 1000 ? 3000 : 2000;
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed, interval);
    Simulation run(seed,
                   {makeRegistration("a"), makeRegistration("b"),
                    makeRegistration("c"), makeRegistration("d"),
                    makeRegistration("e"), makeRegistration("f")},
                   ProcessCount);
    run.ReportInterval = interval;
    // Half of the room of the six servers.
    run.RatePerSecond = [](std::int64_t) { return 720.0; };
    run.Slowness = [&](const std::string &Id, std::int64_t At) {
      return Id == "a" && At >= SlowAt && At < RecoveredAt ? 6.0 : 1.0;
    };
    run.runUntil(SlowAt);
    // A server's slots and its queue, beyond which it refuses requests.
    CHECK(run.LongestQueue <= 30);
    run.runUntil(12000);
    CHECK(run.share("a", SlowAt + 1000, RecoveredAt) < EqualShare / 2);
    CHECK(run.share("a", RecoveredAt + restoreTime, 12000) > EqualShare * 0.75);
  }
}

// Guards against a fast server that is taken for the normal case, so that
// slower ones count as faulty, or for one of several equal servers.
TEST_CASE("A permanently faster server gets most of the work and no server is "
          "excluded",
          "[upstream]") {
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed);
    Simulation run(seed, {makeRegistration("a"), makeRegistration("b"),
                          makeRegistration("c")});
    run.Slowness = [](const std::string &Id, std::int64_t) {
      return 1 / (Id == "c" ? 1.7 : 0.7);
    };
    run.runUntil(20000);
    CHECK(run.share("c", 2000, 20000) > 0.8);
    // 1,020 per second are the room of all three servers.
    run.RatePerSecond = [](std::int64_t) { return 700.0; };
    run.runUntil(25000);
    CHECK(run.share("c", 21000, 25000) > 1.7 / (0.7 + 0.7 + 1.7) * 0.9);
    CHECK(run.share("a", 21000, 25000) > 0.1);
    CHECK(run.share("b", 21000, 25000) > 0.1);
  }
}

// Guards against processes with few requests that forget a slow server from one
// request to the next, as many processes before few servers do.
TEST_CASE("A process with few requests remembers which servers are slow",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c"});
  constexpr Millis Interval{3000};
  TimePoint now = Start;
  for (int i = 0; i < 60; ++i) {
    const char *id = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c";
    recordAnswer(table, serverOf(table, id), i % 3 == 0 ? 150 : 25, now);
    now += Interval;
  }
  CHECK(countChoices(table, makeQuery(), now).count("a") == 0);
}

// Guards against a domain that queues while others are idle, and against
// charged bytes between domains without need.
TEST_CASE("Demand beyond the room of a domain spills over and returns",
          "[upstream]") {
  constexpr std::int64_t BusyAt = 3000;
  constexpr std::int64_t QuietAt = 7000;
  // 720 per second are the room of the three servers of a domain.
  constexpr double Room = 720;
  constexpr double BusyRate = 1000;
  // Three queues of 24, of the requests within the 3 s that are examined.
  constexpr double MaxWaitingShare = 3 * 24 / (3 * BusyRate);
  std::int64_t interval = GENERATE(0, 250, 1000);
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed, interval);
    Simulation run(seed,
                   {makeRegistration("a"), makeRegistration("b"),
                    makeRegistration("c"), makeRegistration("d", South),
                    makeRegistration("e", South), makeRegistration("f", South)},
                   10);
    run.ReportInterval = interval;
    run.RatePerSecond = [&](std::int64_t At) {
      return At >= BusyAt && At < QuietAt ? BusyRate : 90.0;
    };
    run.runUntil(12000);
    auto isSouth = [](const RecordedChoice &It) { return It.Server >= "d"; };
    CHECK(run.shareOf(1000, BusyAt, isSouth) < 0.05);
    double busyShare = run.shareOf(BusyAt + 1000, QuietAt, isSouth);
    // What exceeds the room, less the requests that wait in the queues.
    CHECK(busyShare > 1 - Room / BusyRate - MaxWaitingShare);
    CHECK(busyShare < 0.5);
    CHECK(run.shareOf(QuietAt + 2000, 12000, isSouth) < 0.05);
  }
}

// Guards against an idle domain that gets no work, since its servers look as
// slow as the saturated ones that give most of the answers.
TEST_CASE("Servers without recent answers are not taken for saturated",
          "[upstream]") {
  constexpr double UnloadedMs = 25;
  constexpr double SaturatedMs = 100;
  UpstreamTable table = makeTable({"a", "b", "c"});
  TimePoint now = Start;
  auto answerAll = [&](const std::vector<const char *> &Servers,
                       double LatencyMs, int Count) {
    for (int i = 0; i < Count; ++i, now += Millis(10)) {
      for (const char *it : Servers)
        recordAnswer(table, serverOf(table, it), LatencyMs, now);
    }
  };
  answerAll({"a", "b", "c"}, UnloadedMs, 100);
  answerAll({"a", "b"}, SaturatedMs, 300);
  CHECK(estimateLatencyMs(table, serverOf(table, "a"), nullptr, now) >
        0.9 * SaturatedMs);
  CHECK(estimateLatencyMs(table, serverOf(table, "c"), nullptr, now) <
        1.2 * UnloadedMs);
}

// Guards against refusals by servers that hold more requests than their slots
// and their queue, while others in the domain have room.
TEST_CASE("While a domain is saturated no server holds more than it can queue",
          "[upstream]") {
  constexpr std::uint32_t SlotsAndQueue = 6 + 24;
  constexpr std::int64_t BusyAt = 3000;
  std::int64_t interval = GENERATE(0, 250, 1000);
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed, interval);
    Simulation run(seed,
                   {makeRegistration("a"), makeRegistration("b"),
                    makeRegistration("c"), makeRegistration("d", South),
                    makeRegistration("e", South), makeRegistration("f", South)},
                   10);
    run.ReportInterval = interval;
    run.RatePerSecond = [](std::int64_t At) {
      return At >= BusyAt ? 1000.0 : 90.0;
    };
    run.runUntil(7000);
    CHECK(run.LongestQueue <= SlotsAndQueue);
  }
}

// Guards against measurements of a previous incarnation that keep work from the
// present one.
TEST_CASE("A restarted server is not judged by its previous incarnation",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c"});
  answerTimes(table, "b", 25, Start, 50);
  answerTimes(table, "c", 25, Start, 50);
  answerTimes(table, "a", 150, Start, 5);
  std::shared_ptr<UpstreamServer> previous = table.Servers[ServerName("a")];
  beginAttempt(*previous, Start - Millis(500));
  noteFailure(table, *previous, Start);
  ServiceLoad others;
  others.Processes = 1;
  others.Servers[previous->Entry.incarnation()] = {150, 10, 6, Start};
  CHECK(countChoices(table, makeQuery(&others), Start).count("a") == 0);
  UpstreamRegistration restarted = makeRegistration("a");
  restarted.Start = 2000;
  REQUIRE(registerServer(table, restarted) == RegistrationChange::Restarted);
  CHECK(countChoices(table, makeQuery(&others), Start)["a"] > 50);
  // The attempt at the previous incarnation ends without effect.
  endAttempt(*previous, Start - Millis(500));
  recordUnanswered(table, *previous, 500, Start);
  CHECK(countChoices(table, makeQuery(&others), Start)["a"] > 50);
  CHECK(serverOf(table, "a").InFlight == 0);
}

// Guards against one faulty process that diverts the work of all others.
TEST_CASE("Absurd reports of other processes change nothing", "[upstream]") {
  constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
  constexpr double Infinite = std::numeric_limits<double>::infinity();
  UpstreamTable table = makeTable({"a", "b", "c"});
  for (const char *id : {"a", "b", "c"})
    answerTimes(table, id, 25, Start);
  const ServerIncarnation reported = serverOf(table, "a").Entry.incarnation();
  const std::map<std::string, int> expected =
      countChoices(table, makeQuery(), Start);
  auto chooseWith = [&](ServerLoad Load) {
    ServiceLoad others;
    others.Processes = 1;
    others.Servers[reported] = Load;
    CHECK(std::isfinite(
        expectedCompletionMs(table, serverOf(table, "a"), &others, Start)));
    return countChoices(table, makeQuery(&others), Start);
  };
  for (double it : {0.0, -5.0, NotANumber, Infinite, -Infinite, 1e300}) {
    CAPTURE(it);
    CHECK(chooseWith({it, 10, 0, Start}) == expected);
    CHECK(chooseWith({150, it, 0, Start}) == expected);
  }
  CHECK(chooseWith({25, 10, std::numeric_limits<std::uint32_t>::max(),
                    Start}) == expected);
  CHECK(chooseWith({150, 10, 6, Start + Millis(1)}) == expected);
  // A stale report has lost its effect.
  CHECK(chooseWith({150, 10, 6, Start - Millis(10000)})["a"] > 50);
  // A service without any answer here falls back to the default.
  UpstreamTable unknown = makeTable({"a", "b", "c"});
  ServiceLoad others;
  for (const char *id : {"a", "b", "c"})
    others.Servers[serverOf(unknown, id).Entry.incarnation()] = {
        NotANumber, Infinite, 0, Start};
  CHECK(typicalLatencyMs(unknown, Desk, &others) ==
        typicalLatencyMs(unknown, Desk, nullptr));
}

// Guards against each process finding out by itself that a server is slow.
TEST_CASE("A server that others report as slow or full is avoided",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c"});
  ServiceLoad others;
  others.Processes = 1;
  for (const char *id : {"a", "b", "c"})
    others.Servers[serverOf(table, id).Entry.incarnation()] = {25, 10, 0,
                                                               Start};
  ServerLoad &reported =
      others.Servers[serverOf(table, "a").Entry.incarnation()];
  CHECK(countChoices(table, makeQuery(&others), Start + Millis(1))["b"] > 50);
  SECTION("Slow, and not measured here") { reported.LatencyMs = 150; }
  SECTION("Slow, and measured here before") {
    answerTimes(table, "a", 25, Start - Millis(2000));
    reported.LatencyMs = 150;
  }
  SECTION("Full") { reported.InFlight = 12; }
  CHECK(countChoices(table, makeQuery(&others), Start + Millis(1))["a"] == 0);
}

// Guards against reports of long requests that make servers look slow to a
// process which sends short ones.
TEST_CASE("Reports about longer work are related to the local latencies",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c", "d"});
  for (const char *id : {"a", "b", "c"})
    answerTimes(table, id, 25, Start);
  ServiceLoad others;
  others.Processes = 1;
  for (const char *id : {"a", "b", "d"})
    others.Servers[serverOf(table, id).Entry.incarnation()] = {200, 50, 0,
                                                               Start};
  others.Servers[serverOf(table, "c").Entry.incarnation()] = {1200, 50, 0,
                                                              Start};
  CHECK(expectedCompletionMs(table, serverOf(table, "a"), &others, Start) ==
        Approx(25));
  CHECK(expectedCompletionMs(table, serverOf(table, "d"), &others, Start) ==
        Approx(25));
  std::map<std::string, int> chosen =
      countChoices(table, makeQuery(&others), Start);
  CHECK(chosen["c"] == 0);
  CHECK(chosen["d"] > 50);
}

// Guards against slowness that is noticed late or held against a server for
// too long.
TEST_CASE("The latency estimate rises fast, falls slowly and ages",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b"});
  answerTimes(table, "a", 25, Start, 50);
  const UpstreamServer &server = serverOf(table, "a");
  auto estimate = [&](TimePoint Now) {
    return estimateLatencyMs(table, server, nullptr, Now);
  };
  CHECK(estimate(Start) == Approx(25));
  recordAnswer(table, serverOf(table, "a"), 125, Start);
  CHECK(estimate(Start) == Approx(75));
  recordAnswer(table, serverOf(table, "a"), 25, Start);
  CHECK(estimate(Start) == Approx(65));
  double typicalMs = typicalLatencyMs(table, Desk, nullptr);
  CHECK(typicalMs == Approx(25));
  CHECK(estimate(Start + Millis(1000)) == Approx(45));
  CHECK(estimate(Start + Millis(2000)) == Approx(35));
  // A server without answers is assumed to be typical.
  CHECK(expectedCompletionMs(table, serverOf(table, "b"), nullptr, Start) ==
        Approx(typicalMs));
  // An attempt without an answer tells how long one takes at least.
  recordUnanswered(table, serverOf(table, "a"), 5, Start);
  CHECK(estimate(Start) == Approx(65));
  recordUnanswered(table, serverOf(table, "a"), 165, Start);
  CHECK(estimate(Start) == Approx(115));
}

// Guards against a server that holds its requests and so gets more of them,
// because it has not returned a slow answer yet.
TEST_CASE("A server with an old request in flight is avoided", "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c"});
  for (const char *id : {"a", "b", "c"})
    answerTimes(table, id, 25, Start);
  beginAttempt(serverOf(table, "a"), Start);
  TimePoint now = Start + Millis(20);
  CHECK(countChoices(table, makeQuery(), now)["a"] > 50);
  now = Start + Millis(200);
  CHECK(countChoices(table, makeQuery(), now)["a"] == 0);
  endAttempt(serverOf(table, "a"), Start);
  CHECK(serverOf(table, "a").InFlight == 0);
  CHECK(countChoices(table, makeQuery(), now)["a"] > 50);
}

// Guards against requests that are slowed in order to find out about servers.
TEST_CASE("Trial requests are at most one in twenty", "[upstream]") {
  for (std::uint64_t seed : Seeds) {
    CAPTURE(seed);
    Simulation run(
        seed,
        {makeRegistration("a"), makeRegistration("b"), makeRegistration("c")},
        3);
    run.Slowness = [](const std::string &Id, std::int64_t) {
      return Id == "c" ? 1.0 : 6.0;
    };
    run.runUntil(20000);
    for (std::int64_t end = 1000; end <= 20000; end += 1000)
      CHECK(run.trialShare(0, end) <= 0.05);
    CHECK(run.trialShare(0, 20000) > 0);
  }
}

// Guards against several requests at a slow server for the same purpose, and
// against trials at servers that are known to fail.
TEST_CASE("A trial goes to a slow server without requests in flight",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c"});
  answerTimes(table, "b", 25, Start, 50);
  answerTimes(table, "c", 25, Start, 50);
  answerTimes(table, "a", 150, Start);
  ServerQuery query = makeQuery();
  query.MayTrial = true;
  std::mt19937_64 random(1);
  auto select = [&] {
    return selectServer(table, makeContact(), query, Start, random);
  };
  CHECK(select().Trial);
  CHECK(select().Server == table.Servers[ServerName("a")]);
  SECTION("Not if the request may not be one") { query.MayTrial = false; }
  SECTION("Not beside another request") {
    beginAttempt(serverOf(table, "a"), Start);
  }
  SECTION("Not at a suspect server") {
    noteFailure(table, serverOf(table, "a"), Start);
  }
  SECTION("Not at a server that has been tried") {
    query.Excluded = {serverOf(table, "a").Entry.incarnation()};
  }
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(select().Trial);
    CHECK(select().Server != table.Servers[ServerName("a")]);
  }
}

// Guards against servers that fail quickly and so look fast.
TEST_CASE("A suspect server is chosen only if there is no other",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b"});
  answerTimes(table, "b", 1000, Start);
  answerTimes(table, "a", 1, Start);
  noteFailure(table, serverOf(table, "a"), Start);
  CHECK(countChoices(table, makeQuery(), Start)["b"] == 300);
  serverOf(table, "b").Replaced = true;
  CHECK(countChoices(table, makeQuery(), Start)["a"] == 300);
}

// Guards against a log that is flooded by a server of changing speed.
TEST_CASE("A server starts or stops being treated as slow at most once per "
          "second",
          "[upstream]") {
  UpstreamTable table = makeTable({"a", "b", "c"});
  for (const char *id : {"b", "c", "a"})
    answerTimes(table, id, 25, Start, 20);
  auto update = [&](TimePoint Now) {
    return updateSlowServers(table, Desk, nullptr, Now).size();
  };
  CHECK(update(Start) == 0);
  answerTimes(table, "a", 150, Start + Millis(100));
  CHECK(update(Start + Millis(100)) == 1);
  CHECK(serverOf(table, "a").Slow);
  CHECK(update(Start + Millis(100)) == 0);
  std::size_t changes = 0;
  for (int i = 0; i < 100; ++i) {
    TimePoint now = Start + Millis(200 + 100 * i);
    serverOf(table, "a").SmoothedLatencyMs = i % 2 == 0 ? 25 : 300;
    serverOf(table, "a").LatencyMeasuredAt = now;
    changes += update(now);
  }
  CHECK(changes <= 10);
  // Without further measurements it is assumed to have recovered.
  serverOf(table, "a").SmoothedLatencyMs = 300;
  update(Start + Millis(20000));
  CHECK_FALSE(serverOf(table, "a").Slow);
}

} // namespace wasabi
