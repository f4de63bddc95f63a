/// \file
/// Tests of admission to one server, its concurrency limit and caller limits.
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

AdmissionRequest makeRequest(std::uint64_t Id, std::string Flow = "caller/x") {
  AdmissionRequest request;
  request.Id = Id;
  request.Flow = std::move(Flow);
  request.Deadline = Start + Millis(60000);
  return request;
}

AdmissionRequest makeSample(std::uint64_t Id, const std::string &Trainer,
                            std::uint32_t Share) {
  AdmissionRequest request = makeRequest(Id, "trainer/" + Trainer);
  request.Rollout = true;
  request.FlowWeight = Share;
  return request;
}

} // namespace

TEST_CASE("Requests start up to the limit, then wait in order", "[admission]") {
  Admission gate("a", fixedLimit(2), Start);
  CHECK(gate.offer(makeRequest(1), Start).Started ==
        std::vector<std::uint64_t>{1});
  CHECK(gate.offer(makeRequest(2), Start).Started ==
        std::vector<std::uint64_t>{2});
  CHECK(gate.offer(makeRequest(3), Start) == AdmissionChange{});
  CHECK(gate.offer(makeRequest(4), Start) == AdmissionChange{});
  CHECK(gate.queued() == 2);
  CHECK(gate.finish(1, Start + Service).Started ==
        std::vector<std::uint64_t>{3});
  CHECK(gate.abandon(4, false, Start) == AdmissionChange{});
  CHECK(gate.finish(2, Start + Service).Started.empty());
  CHECK(gate.running() == 1);
}

TEST_CASE("A request that cannot meet its deadline is refused on arrival",
          "[admission]") {
  Admission gate("a", fixedLimit(1), Start);
  gate.offer(makeRequest(1), Start);
  for (std::uint64_t n = 2; n < 7; ++n)
    gate.offer(makeRequest(n), Start);
  // Five requests of 10 ms each are queued ahead.
  AdmissionRequest shortDeadline = makeRequest(7);
  shortDeadline.Deadline = Start + Millis(30);
  AdmissionChange change = gate.offer(shortDeadline, Start);
  REQUIRE(change.Refused.size() == 1);
  CHECK(change.Refused[0].Why.Run == Verdict::NotRun);
  CHECK(change.Refused[0].Why.Code == FailureCode::Overloaded);
  CHECK(change.Refused[0].Why.RetryAfter == Millis(60));
}

TEST_CASE("A full queue refuses the request of the lowest priority",
          "[admission]") {
  Admission::Settings setup = fixedLimit(1);
  setup.MinQueueCapacity = 2;
  setup.QueueFactor = 0;
  Admission gate("a", setup, Start);
  gate.offer(makeRequest(1), Start);
  gate.offer(makeRequest(2), Start);
  gate.offer(makeRequest(3), Start);
  AdmissionChange full = gate.offer(makeRequest(4), Start);
  REQUIRE(full.Refused.size() == 1);
  CHECK(full.Refused[0].Id == 4);
  AdmissionRequest urgentRequest = makeRequest(5);
  urgentRequest.Priority = 10;
  AdmissionChange displaced = gate.offer(urgentRequest, Start);
  REQUIRE(displaced.Refused.size() == 1);
  CHECK(displaced.Refused[0].Id == 3);
  CHECK(displaced.Refused[0].Why.Run == Verdict::NotRun);
  CHECK(gate.finish(1, Start + Service).Started ==
        std::vector<std::uint64_t>{5});
}

TEST_CASE("A full queue displaces the flow with the largest share",
          "[admission]") {
  Admission::Settings setup = fixedLimit(1);
  setup.MinQueueCapacity = 4;
  setup.QueueFactor = 0;
  Admission gate("a", setup, Start);
  for (std::uint64_t n = 1; n <= 5; ++n)
    gate.offer(makeRequest(n, "caller/greedy"), Start);
  // The newest requests of the greedy flow are displaced until both flows hold
  // the same share.
  for (std::uint64_t n = 11; n <= 12; ++n) {
    AdmissionChange change = gate.offer(makeRequest(n, "caller/modest"), Start);
    REQUIRE(change.Refused.size() == 1);
    CHECK(change.Refused[0].Id == 16 - n);
    CHECK(change.Refused[0].Why.Run == Verdict::NotRun);
    CHECK(change.Refused[0].Why.Code == FailureCode::Overloaded);
  }
  for (const char *it : {"caller/modest", "caller/greedy"}) {
    AdmissionChange change = gate.offer(makeRequest(20, it), Start);
    REQUIRE(change.Refused.size() == 1);
    CHECK(change.Refused[0].Id == 20);
  }
  CHECK(gate.queued() == 4);
  // A flow with weight 4 may queue four times as many requests.
  AdmissionRequest heavy = makeRequest(21, "caller/heavy");
  heavy.FlowWeight = 4;
  CHECK(gate.offer(heavy, Start).Refused.size() == 1);
  CHECK(gate.queued() == 4);
}

TEST_CASE("A queued request is refused as not run at its deadline",
          "[admission]") {
  Admission gate("a", fixedLimit(1), Start);
  gate.offer(makeRequest(1), Start);
  AdmissionRequest shortDeadline = makeRequest(2);
  shortDeadline.Deadline = Start + Millis(15);
  CHECK(gate.offer(shortDeadline, Start) == AdmissionChange{});
  CHECK(gate.tick(Start + Millis(14)) == AdmissionChange{});
  AdmissionChange late = gate.tick(Start + Millis(15));
  REQUIRE(late.Refused.size() == 1);
  CHECK(late.Refused[0].Id == 2);
  CHECK(late.Refused[0].Why.Run == Verdict::NotRun);
  CHECK(gate.queued() == 0);
}

TEST_CASE("Rollouts run at most their share of a server's limit",
          "[admission]") {
  Admission gate("a", fixedLimit(4), Start);
  gate.setRolloutPercent(50, Start);
  for (std::uint64_t n = 1; n <= 4; ++n)
    gate.offer(makeSample(n, "t", 1), Start);
  CHECK(gate.runningRollouts() == 2);
  CHECK(gate.queued() == 2);
  // Callers use the rest and pass the queued samples.
  CHECK(gate.offer(makeRequest(5), Start).Started.size() == 1);
  CHECK(gate.offer(makeRequest(6), Start).Started.size() == 1);
  CHECK(gate.setRolloutPercent(100, Start).Started.empty());
  CHECK(gate.finish(5, Start + Service).Started ==
        std::vector<std::uint64_t>{3});
  CHECK(gate.holdRollouts(true, Start) == AdmissionChange{});
  CHECK(gate.finish(6, Start + Service).Started.empty());
  CHECK(gate.holdRollouts(false, Start).Started ==
        std::vector<std::uint64_t>{4});
}

TEST_CASE("Trainers share a server in proportion to their weights",
          "[admission]") {
  Admission::Settings setup = fixedLimit(4);
  setup.MinQueueCapacity = 100;
  Admission gate("a", setup, Start);
  std::map<std::uint64_t, std::string> owner;
  std::map<std::string, int> done;
  std::vector<std::uint64_t> running;
  std::uint64_t next = 0;
  TimePoint now = Start;
  auto offerOne = [&](const std::string &Trainer, std::uint32_t Share) {
    AdmissionRequest request = makeSample(++next, Trainer, Share);
    request.Deadline = now + Millis(3600000);
    owner[request.Id] = Trainer;
    for (std::uint64_t it : gate.offer(request, now).Started)
      running.push_back(it);
  };
  for (int n = 0; n < 20; ++n) {
    offerOne("one", 1);
    offerOne("three", 3);
  }
  // When a sample ends, its trainer offers another one.
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

TEST_CASE("The limit falls with higher latency and grows with use",
          "[admission]") {
  ConcurrencyLimit::Settings settings;
  settings.InitialLimit = 8;
  settings.FirstProbeDelay = Millis(3600000);
  ConcurrencyLimit limit = makeConcurrencyLimit(settings, Start);
  TimePoint now = Start;
  // Runs one window with a constant number of requests at the server and a
  // latency of `Took`.
  auto runWindow = [&](Micros Took, std::uint32_t Running) {
    TimePoint end = now + settings.Window;
    while (now < end || limit.WindowSamples > 0) {
      limit = withRunning(limit, Running, now);
      now += Took / Running;
      limit = afterAnswer(withRunning(limit, Running, now), now);
    }
  };
  runWindow(Micros(1000), 2);
  CHECK(limit.Limit == Approx(8));
  runWindow(Micros(1000), 8);
  CHECK(limit.Limit == Approx(9));
  runWindow(Micros(5000), 9);
  CHECK(limit.Limit == Approx(8.1));
  // Persistent overload does not raise the unloaded latency.
  for (int n = 0; n < 100; ++n)
    runWindow(Micros(5000), 9);
  CHECK(limit.UnloadedMicros == Approx(1000).epsilon(0.01));
  CHECK(limit.Limit < 8.1);
  ConcurrencyLimit lower = afterOverload(limit, now + Millis(500));
  CHECK(lower.Limit <= limit.Limit);
  CHECK(afterOverload(lower, now + Millis(501)).Limit == lower.Limit);
}

namespace {

/// A server that always has queued work, with a fixed number of slots. The
/// order of its queue does not matter.
struct BusyServer {
  double Slots = 4;
  Micros Service{20000};
};

/// Returns the limit after `Duration` at a server that is constantly
/// overloaded.
ConcurrencyLimit runOverloaded(ConcurrencyLimit Limit, const BusyServer &Server,
                               TimePoint &Now, Millis Duration) {
  TimePoint end = Now + Duration;
  while (Now < end) {
    std::uint32_t running = Limit.effectiveLimit();
    double rate = std::min<double>(running, Server.Slots) /
                  static_cast<double>(Server.Service.count());
    Limit = withRunning(Limit, running, Now);
    Now += Micros(static_cast<std::int64_t>(1 / rate));
    Limit = afterAnswer(withRunning(Limit, running - 1, Now), Now);
  }
  return Limit;
}

} // namespace

TEST_CASE(
    "The limit converges to the server's slots, also after its pace changes",
    "[admission]") {
  for (double slots : {1.0, 2.0, 4.0, 16.0, 64.0}) {
    INFO(slots);
    BusyServer server;
    server.Slots = slots;
    TimePoint now = Start;
    ConcurrencyLimit limit =
        makeConcurrencyLimit(ConcurrencyLimit::Settings(), now);
    limit = runOverloaded(limit, server, now, Millis(60000));
    // Uses all slots, with at most about twice as many requests.
    CHECK(limit.Limit >= slots);
    CHECK(limit.Limit <= 2.5 * slots + 1);
    // A tenfold service time is not an overload.
    server.Service *= 10;
    limit = runOverloaded(limit, server, now, Millis(120000));
    CHECK(limit.Limit >= 0.9 * slots);
    CHECK(limit.Limit <= 2.5 * slots + 1);
  }
}

TEST_CASE("The limit of a server that reports its slots is that number",
          "[admission]") {
  ConcurrencyLimit limit =
      makeConcurrencyLimit(ConcurrencyLimit::Settings(), Start);
  limit = withSlots(limit, 32);
  CHECK(limit.effectiveLimit() == 32);
  for (int n = 0; n < 1000; ++n) {
    TimePoint now = Start + Millis(n * n);
    limit = afterAnswer(withRunning(limit, 32, now), now);
  }
  CHECK(limit.effectiveLimit() == 32);
  limit = afterOverload(limit, Start + Millis(999999));
  CHECK(limit.effectiveLimit() == 28);
  CHECK(withSlots(limit, 4).effectiveLimit() == 4);
}

TEST_CASE("All entries together keep a caller's limit", "[limits]") {
  std::map<std::string, CallerLimit> declared = {{"*", {"*", 100, 10}},
                                                 {"vip", {"vip", 1000, 10}}};
  for (std::size_t entries : {1u, 2u, 5u}) {
    std::vector<CallerLimits> each(entries);
    int granted = 0;
    // Each entry gets a request per millisecond for ten seconds.
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

TEST_CASE("A refused caller gets a retry delay", "[limits]") {
  std::map<std::string, CallerLimit> declared = {{"*", {"*", 10, 1}}};
  CallerLimits limits;
  CHECK_FALSE(limits.take(declared, "a", 1, Start));
  CHECK(limits.take(declared, "a", 1, Start) == Millis(100));
  CHECK_FALSE(limits.take(declared, "b", 1, Start));
  CHECK_FALSE(limits.take(declared, "a", 1, Start + Millis(100)));
  CHECK_FALSE(limits.take({}, "a", 1, Start + Millis(100)));
  // Buckets of idle callers are removed.
  limits.take(declared, "c", 1, Start + Millis(200000));
  CHECK(limits.size() == 1);
}

} // namespace wasabi
