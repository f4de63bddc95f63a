/// \file
/// Admission to one server, its concurrency limit, and callers' limits.
#include "Wasabi/Routing/Admission.h"
#include "Wasabi/Routing/CallerLimits.h"

#include <catch2/catch.hpp>

namespace wasabi {
namespace {

const TimePoint Start{std::chrono::seconds(1000)};
constexpr Micros Service{10000};

Admission::Settings fixedLimit(double Limit) {
  Admission::Settings setup;
  setup.Concurrency.InitialLimit = Limit;
  setup.Concurrency.MaxLimit = Limit;
  setup.Concurrency.AdaptToLatency = false;
  setup.DefaultServiceTime = Service;
  return setup;
}

AdmissionRequest ask(std::uint64_t Id, std::string Flow = "caller/x") {
  AdmissionRequest made;
  made.Id = Id;
  made.Flow = std::move(Flow);
  made.Deadline = Start + Millis(60000);
  return made;
}

AdmissionRequest sample(std::uint64_t Id, const std::string &Trainer,
                        std::uint32_t Share) {
  AdmissionRequest made = ask(Id, "trainer/" + Trainer);
  made.Rollout = true;
  made.FlowWeight = Share;
  return made;
}

} // namespace

TEST_CASE("Requests start up to the limit, then wait in order", "[admission]") {
  Admission gate("a", fixedLimit(2), Start);
  CHECK(gate.offer(ask(1), Start).Started == std::vector<std::uint64_t>{1});
  CHECK(gate.offer(ask(2), Start).Started == std::vector<std::uint64_t>{2});
  CHECK(gate.offer(ask(3), Start) == AdmissionChange{});
  CHECK(gate.offer(ask(4), Start) == AdmissionChange{});
  CHECK(gate.queued() == 2);
  CHECK(gate.finish(1, Start + Service).Started ==
        std::vector<std::uint64_t>{3});
  CHECK(gate.abandon(4, false, Start) == AdmissionChange{});
  CHECK(gate.finish(2, Start + Service).Started.empty());
  CHECK(gate.running() == 1);
}

TEST_CASE("What cannot be answered in time is refused early", "[admission]") {
  Admission gate("a", fixedLimit(1), Start);
  gate.offer(ask(1), Start);
  for (std::uint64_t n = 2; n < 7; ++n)
    gate.offer(ask(n), Start);
  // Five wait for 10 ms each.
  AdmissionRequest hurried = ask(7);
  hurried.Deadline = Start + Millis(30);
  AdmissionChange change = gate.offer(hurried, Start);
  REQUIRE(change.Refused.size() == 1);
  CHECK(change.Refused[0].Why.Run == Verdict::NotRun);
  CHECK(change.Refused[0].Why.Code == FailureCode::Overloaded);
  CHECK(change.Refused[0].Why.RetryAfter == Millis(60));
}

TEST_CASE("A full queue refuses, the lowest priority first", "[admission]") {
  Admission::Settings setup = fixedLimit(1);
  setup.MinQueueCapacity = 2;
  setup.QueueFactor = 0;
  Admission gate("a", setup, Start);
  gate.offer(ask(1), Start);
  gate.offer(ask(2), Start);
  gate.offer(ask(3), Start);
  AdmissionChange full = gate.offer(ask(4), Start);
  REQUIRE(full.Refused.size() == 1);
  CHECK(full.Refused[0].Id == 4);
  AdmissionRequest urgent = ask(5);
  urgent.Priority = 10;
  AdmissionChange displaced = gate.offer(urgent, Start);
  REQUIRE(displaced.Refused.size() == 1);
  CHECK(displaced.Refused[0].Id == 3);
  CHECK(displaced.Refused[0].Why.Run == Verdict::NotRun);
  CHECK(gate.finish(1, Start + Service).Started ==
        std::vector<std::uint64_t>{5});
}

TEST_CASE("A full queue keeps a place for who holds less of it",
          "[admission]") {
  Admission::Settings setup = fixedLimit(1);
  setup.MinQueueCapacity = 4;
  setup.QueueFactor = 0;
  Admission gate("a", setup, Start);
  for (std::uint64_t n = 1; n <= 5; ++n)
    gate.offer(ask(n, "caller/greedy"), Start);
  // The last of the greedy one gives way, until both hold as much.
  for (std::uint64_t n = 11; n <= 12; ++n) {
    AdmissionChange change = gate.offer(ask(n, "caller/modest"), Start);
    REQUIRE(change.Refused.size() == 1);
    CHECK(change.Refused[0].Id == 16 - n);
    CHECK(change.Refused[0].Why.Run == Verdict::NotRun);
    CHECK(change.Refused[0].Why.Code == FailureCode::Overloaded);
  }
  for (const char *it : {"caller/modest", "caller/greedy"}) {
    AdmissionChange change = gate.offer(ask(20, it), Start);
    REQUIRE(change.Refused.size() == 1);
    CHECK(change.Refused[0].Id == 20);
  }
  CHECK(gate.queued() == 4);
  // A weight counts as that many.
  AdmissionRequest heavy = ask(21, "caller/heavy");
  heavy.FlowWeight = 4;
  CHECK(gate.offer(heavy, Start).Refused.size() == 1);
  CHECK(gate.queued() == 4);
}

TEST_CASE("One that waited too long is refused as not run", "[admission]") {
  Admission gate("a", fixedLimit(1), Start);
  gate.offer(ask(1), Start);
  AdmissionRequest hurried = ask(2);
  hurried.Deadline = Start + Millis(15);
  CHECK(gate.offer(hurried, Start) == AdmissionChange{});
  CHECK(gate.tick(Start + Millis(14)) == AdmissionChange{});
  AdmissionChange late = gate.tick(Start + Millis(15));
  REQUIRE(late.Refused.size() == 1);
  CHECK(late.Refused[0].Id == 2);
  CHECK(late.Refused[0].Why.Run == Verdict::NotRun);
  CHECK(gate.queued() == 0);
}

TEST_CASE("Rollouts hold no more than their share of a server", "[admission]") {
  Admission gate("a", fixedLimit(4), Start);
  gate.setRolloutPercent(50, Start);
  for (std::uint64_t n = 1; n <= 4; ++n)
    gate.offer(sample(n, "t", 1), Start);
  CHECK(gate.runningRollouts() == 2);
  CHECK(gate.queued() == 2);
  // Callers take the rest, past the samples that wait.
  CHECK(gate.offer(ask(5), Start).Started.size() == 1);
  CHECK(gate.offer(ask(6), Start).Started.size() == 1);
  CHECK(gate.setRolloutPercent(100, Start).Started.empty());
  CHECK(gate.finish(5, Start + Service).Started ==
        std::vector<std::uint64_t>{3});
  CHECK(gate.holdRollouts(true, Start) == AdmissionChange{});
  CHECK(gate.finish(6, Start + Service).Started.empty());
  CHECK(gate.holdRollouts(false, Start).Started ==
        std::vector<std::uint64_t>{4});
}

TEST_CASE("Trainers share a server by their weights", "[admission]") {
  Admission::Settings setup = fixedLimit(4);
  setup.MinQueueCapacity = 100;
  Admission gate("a", setup, Start);
  std::map<std::uint64_t, std::string> owner;
  std::map<std::string, int> done;
  std::vector<std::uint64_t> running;
  std::uint64_t next = 0;
  TimePoint now = Start;
  auto offerOne = [&](const std::string &Trainer, std::uint32_t Share) {
    AdmissionRequest made = sample(++next, Trainer, Share);
    made.Deadline = now + Millis(3600000);
    owner[made.Id] = Trainer;
    for (std::uint64_t it : gate.offer(made, now).Started)
      running.push_back(it);
  };
  for (int n = 0; n < 20; ++n) {
    offerOne("one", 1);
    offerOne("three", 3);
  }
  // Each end is followed by another sample of the same trainer.
  for (int n = 0; n < 400; ++n) {
    std::uint64_t id = running.front();
    running.erase(running.begin());
    now += Micros(2500);
    std::string trainer = owner[id];
    ++done[trainer];
    for (std::uint64_t it : gate.finish(id, now).Started)
      running.push_back(it);
    offerOne(trainer, trainer == "one" ? 1 : 3);
  }
  double ratio = static_cast<double>(done["three"]) / done["one"];
  CHECK(ratio > 2.5);
  CHECK(ratio < 3.5);
}

TEST_CASE("A limit falls when answers slow down, and grows when used",
          "[admission]") {
  ConcurrencyLimit::Settings settings;
  settings.InitialLimit = 8;
  settings.FirstProbeDelay = Millis(3600000);
  ConcurrencyLimit limit = makeConcurrencyLimit(settings, Start);
  TimePoint now = Start;
  // A window with so many at the server all the time, and answers that keep
  // each there for `Took`.
  auto window = [&](Micros Took, std::uint32_t Running) {
    TimePoint end = now + settings.Window;
    while (now < end || limit.WindowSamples > 0) {
      limit = withRunning(limit, Running, now);
      now += Took / Running;
      limit = afterAnswer(withRunning(limit, Running, now), now);
    }
  };
  window(Micros(1000), 2);
  CHECK(limit.Limit == Approx(8));
  window(Micros(1000), 8);
  CHECK(limit.Limit == Approx(9));
  window(Micros(5000), 9);
  CHECK(limit.Limit == Approx(8.1));
  // Overload, however long it lasts, does not pass for normal.
  for (int n = 0; n < 100; ++n)
    window(Micros(5000), 9);
  CHECK(limit.UnloadedMicros == Approx(1000).epsilon(0.01));
  CHECK(limit.Limit < 8.1);
  ConcurrencyLimit lower = afterOverload(limit, now + Millis(500));
  CHECK(lower.Limit <= limit.Limit);
  CHECK(afterOverload(lower, now + Millis(501)).Limit == lower.Limit);
}

namespace {

/// A server of so many slots that always has more to do. Who waits inside it,
/// and for how long, does not matter: some may wait for ever.
struct BusyServer {
  double Slots = 4;
  Micros Service{20000};
};

/// The limit after `Span` at a server that is overloaded all the time.
ConcurrencyLimit overload(ConcurrencyLimit Limit, const BusyServer &At,
                          TimePoint &Now, Millis Span) {
  TimePoint end = Now + Span;
  while (Now < end) {
    std::uint32_t running = Limit.whole();
    double rate = std::min<double>(running, At.Slots) /
                  static_cast<double>(At.Service.count());
    Limit = withRunning(Limit, running, Now);
    Now += Micros(static_cast<std::int64_t>(1 / rate));
    Limit = afterAnswer(withRunning(Limit, running - 1, Now), Now);
  }
  return Limit;
}

} // namespace

TEST_CASE("A limit finds what a server runs at once, also when it changes",
          "[admission]") {
  for (double slots : {1.0, 2.0, 4.0, 16.0, 64.0}) {
    INFO(slots);
    BusyServer server;
    server.Slots = slots;
    TimePoint now = Start;
    ConcurrencyLimit limit =
        makeConcurrencyLimit(ConcurrencyLimit::Settings(), now);
    limit = overload(limit, server, now, Millis(60000));
    // In use to the full, and no more than about twice of it.
    CHECK(limit.Limit >= slots);
    CHECK(limit.Limit <= 2.5 * slots + 1);
    // Ten times slower from now on: its own pace, not an overload.
    server.Service *= 10;
    limit = overload(limit, server, now, Millis(120000));
    CHECK(limit.Limit >= 0.9 * slots);
    CHECK(limit.Limit <= 2.5 * slots + 1);
  }
}

TEST_CASE("A server that says its slots is given that many", "[admission]") {
  ConcurrencyLimit limit =
      makeConcurrencyLimit(ConcurrencyLimit::Settings(), Start);
  limit = withSlots(limit, 32);
  CHECK(limit.whole() == 32);
  for (int n = 0; n < 1000; ++n) {
    TimePoint now = Start + Millis(n * n);
    limit = afterAnswer(withRunning(limit, 32, now), now);
  }
  CHECK(limit.whole() == 32);
  limit = afterOverload(limit, Start + Millis(999999));
  CHECK(limit.whole() == 28);
  CHECK(withSlots(limit, 4).whole() == 4);
}

TEST_CASE("Callers' limits hold over all entries together", "[limits]") {
  std::map<std::string, CallerLimit> declared = {{"*", {"*", 100, 10}},
                                                 {"vip", {"vip", 1000, 10}}};
  for (std::size_t entries : {1u, 2u, 5u}) {
    std::vector<CallerLimits> each(entries);
    int granted = 0;
    // Ten seconds, each entry asked every millisecond.
    for (int n = 0; n < 10000; ++n) {
      for (CallerLimits &it : each) {
        TimePoint now = Start + Millis(n);
        if (!it.take(declared, "buyer", entries, now))
          ++granted;
      }
    }
    CHECK(granted >= 990);
    CHECK(granted <= 1010);
  }
}

TEST_CASE("A limited caller is told when to come back", "[limits]") {
  std::map<std::string, CallerLimit> declared = {{"*", {"*", 10, 1}}};
  CallerLimits limits;
  CHECK_FALSE(limits.take(declared, "a", 1, Start));
  CHECK(limits.take(declared, "a", 1, Start) == Millis(100));
  CHECK_FALSE(limits.take(declared, "b", 1, Start));
  CHECK_FALSE(limits.take(declared, "a", 1, Start + Millis(100)));
  CHECK_FALSE(limits.take({}, "a", 1, Start + Millis(100)));
  // Buckets of callers that stay away are forgotten.
  limits.take(declared, "c", 1, Start + Millis(200000));
  CHECK(limits.size() == 1);
}

} // namespace wasabi
