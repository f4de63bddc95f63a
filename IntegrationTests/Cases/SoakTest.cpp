/// \file
/// Checks that a soak's plan depends on its seed only, that its outcome checks
/// find each violation, and that short runs with fixed seeds have none. Longer
/// ones run by `./run soak`.
#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Soak/SoakClients.h"
#include "IntegrationTests/Soak/SoakCustomers.h"
#include "IntegrationTests/Soak/SoakJudge.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace wasabi::soak {

namespace {

using test::ServerCall;

const TimePoint Start = TimePoint() + Millis(1000000);

TimePoint at(int Ms) { return Start + Millis(Ms); }

ServerCall runAt(int Ms, const std::string &Id,
                 const std::string &Server = "s") {
  ServerCall run;
  run.At = at(Ms);
  run.Id = Id;
  run.Server = Server;
  return run;
}

ClientRequestRecord asked(ClientRequestKind Kind, int Sent, int Done,
                          unsigned Status) {
  ClientRequestRecord record;
  record.Kind = Kind;
  record.Id = "r";
  record.Sent = at(Sent);
  record.Done = at(Done);
  record.Status = Status;
  return record;
}

ClientRequestRecord probed(std::uint64_t Version, int Sent, unsigned Status) {
  ClientRequestRecord record =
      asked(ClientRequestKind::Probe, Sent, Sent + 10, Status);
  record.Version = Version;
  return record;
}

JobRecord endedJob() {
  JobRecord job;
  job.Id = "j";
  job.Items = {"i"};
  job.Accepted = true;
  job.EndAccepted = true;
  job.EndAcceptedAt = at(1000);
  return job;
}

/// Returns true if the checks find exactly one violation and its text matches.
bool finds(const SoakObservations &Seen, const SoakGroundTruth &Truth,
           const std::string &Text) {
  std::vector<std::string> faults = findViolations(Seen, Truth);
  for (const std::string &it : faults)
    UNSCOPED_INFO(it);
  return faults.size() == 1 && faults[0].find(Text) != std::string::npos;
}

struct SoakEnd {
  int Code = -1;
  std::string Output;
};

SoakEnd runSoak(std::vector<std::string> Arguments) {
  constexpr Millis WaitTimeout{150000};
  harness::Process::Settings setup;
  setup.Program = "wasabi-soak";
  setup.Arguments = std::move(Arguments);
  std::unique_ptr<harness::Process> process =
      harness::Process::start(std::move(setup)).value();
  std::optional<harness::ProcessExit> end = process->waitAndRead(WaitTimeout);
  return {end ? end->Code : -1, process->output()};
}

} // namespace

TEST_CASE("Soak judge: a false not-run is found", "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  seen.Requests = {asked(ClientRequestKind::Once, 0, 10, 503)};
  CHECK(findViolations(seen, truth).empty());
  truth.PlainRuns = {runAt(5, "r")};
  CHECK(finds(seen, truth, "was answered 503 and has run"));
}

TEST_CASE("Soak judge: a forbidden second run is found", "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  seen.Requests = {asked(ClientRequestKind::Once, 0, 10, 200)};
  truth.PlainRuns = {runAt(5, "r"), runAt(7, "r")};
  CHECK(finds(seen, truth, "ran 2 times"));
  seen.Requests[0].Kind = ClientRequestKind::Repeatable;
  CHECK(findViolations(seen, truth).empty());
  truth.PlainRuns.insert(truth.PlainRuns.end(), 2, runAt(8, "r"));
  CHECK(finds(seen, truth, "sent to 4 servers"));
}

TEST_CASE("Soak judge: wrong answers and unrequested runs are found",
          "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  seen.Requests = {asked(ClientRequestKind::Repeatable, 0, 10, 200)};
  seen.Requests[0].Error = "body: other";
  CHECK(finds(seen, truth, "wrong answer"));
  seen.Requests[0].Error.clear();
  truth.EngineRuns = {runAt(5, "stranger")};
  CHECK(finds(seen, truth, "nobody asked for stranger"));
}

TEST_CASE("Soak judge: runs of refused and ended jobs are found", "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  seen.Jobs = {endedJob()};
  truth.EngineRuns = {runAt(4300, "i")};
  CHECK(findViolations(seen, truth).empty());
  truth.EngineRuns = {runAt(4500, "i")};
  CHECK(finds(seen, truth, "after its job had ended"));
  // The time does not count during a fault.
  truth.Faults = {{SoakFault::StoreBusy, at(4400), at(4450)}};
  CHECK(findViolations(seen, truth).empty());
  seen.Jobs[0].Accepted = false;
  seen.Jobs[0].EndAccepted = false;
  CHECK(finds(seen, truth, "its job was refused"));
  seen.Jobs[0].RefusalsGuaranteed = false;
  CHECK(findViolations(seen, truth).empty());
  seen.Jobs[0].Errors = {"position 1 changed"};
  CHECK(finds(seen, truth, "position 1 changed"));
}

TEST_CASE("Soak judge: work sent to a leaving server is found", "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  seen.Requests = {asked(ClientRequestKind::Repeatable, 0, 5000, 200)};
  truth.Drains = {{"leaving", at(0)}};
  truth.PlainRuns = {runAt(2300, "r", "leaving")};
  CHECK(findViolations(seen, truth).empty());
  truth.PlainRuns = {runAt(2500, "r", "leaving")};
  CHECK(finds(seen, truth, "reached the leaving"));
}

TEST_CASE("Soak judge: requests cut off by a planned stop are found",
          "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  truth.Stops = {{0, 0, at(100)}};
  seen.Requests = {asked(ClientRequestKind::Repeatable, 50, 150, 0)};
  // A request that crossed the close and reached no server is sent again.
  CHECK(findViolations(seen, truth).empty());
  seen.Requests[0].Done = at(400);
  CHECK(finds(seen, truth, "cut off by a planned stop"));
  truth.Faults = {{SoakFault::KillEdge, at(0), at(10)}};
  CHECK(findViolations(seen, truth).empty());
  truth.Faults = {{SoakFault::Configure, at(0), at(10)}};
  CHECK(finds(seen, truth, "cut off by a planned stop"));
  truth.UnstoppedEdges = {0};
  seen.Requests.clear();
  CHECK(finds(seen, truth, "did not stop"));
}

TEST_CASE("Soak judge: reverted and missing configurations are found",
          "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  seen.Requests = {probed(2, 0, 200), probed(1, 100, 200)};
  CHECK(findViolations(seen, truth).empty());
  seen.Requests[1].Sent = at(400);
  CHECK(finds(seen, truth, "went back"));
  seen.Requests[1].Life = 1;
  CHECK(findViolations(seen, truth).empty());
  truth.Publications = {{2, at(0)}};
  seen.Requests = {probed(2, 2300, 404), probed(1, 2300, 200)};
  CHECK(findViolations(seen, truth).empty());
  seen.Requests = {probed(2, 2500, 404)};
  CHECK(finds(seen, truth, "not in force"));
  seen.Requests = {probed(1, 2500, 200)};
  CHECK(finds(seen, truth, "not in force"));
}

TEST_CASE("Soak judge: orders of a wrong holder or token are found", "[soak]") {
  SoakGroundTruth truth;
  ServerCall order;
  order.Holder = "side-0";
  order.Token = 5;
  truth.Orders = {{order, order}};
  CHECK(findViolations({}, truth).empty());
  truth.Orders[0][1].Token = 4;
  CHECK(finds({}, truth, "older fencing token"));
  truth.Orders[0][1] = order;
  truth.Orders[0][1].Holder = "side-1";
  CHECK(finds({}, truth, "ordered by side-1"));
}

TEST_CASE("Soak clients: incomplete and mislabelled texts are found",
          "[soak]") {
  const std::string whole = "i:1:v2\ni:2:v2\ni:3:v3";
  CHECK(findTextError(whole, "i", 3, {2, 3}).empty());
  CHECK_FALSE(findTextError(whole, "i", 4, {2, 3}).empty());
  CHECK_FALSE(findTextError(whole, "i", 3, {2}).empty());
  CHECK_FALSE(findTextError(whole, "i", 3, {1, 2, 3}).empty());
  CHECK_FALSE(findTextError(whole, "other", 3, {2, 3}).empty());
  CHECK_FALSE(findTextError("i:1:v2\ni:3:v2", "i", 2, {2}).empty());
  CHECK_FALSE(findTextError("i:1:v2\ni:1:v2\ni:2:v2", "i", 3, {2}).empty());
}

TEST_CASE("A soak plan depends on its seed only and ends in time", "[soak]") {
  constexpr Millis Length{20000};
  for (std::uint64_t seed = 0; seed < 30; ++seed) {
    std::vector<ScheduledFault> plan = makeSoakPlan(seed, Length);
    CHECK(plan == makeSoakPlan(seed, Length));
    CHECK_FALSE(plan == makeSoakPlan(seed + 3, Length));
    for (const ScheduledFault &it : plan)
      CHECK(it.At + it.Duration <= Length);
    // Every third plan has planned work only.
    bool planned =
        std::all_of(plan.begin(), plan.end(), [](const ScheduledFault &It) {
          return isPlanned(It.Kind);
        });
    CHECK(planned == (seed % 3 == 1));
  }
}

TEST_CASE("Soak judge: a request that keeps crashing servers is found",
          "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  auto endAt = [&](int Ms) {
    ClientRequestRecord request =
        asked(ClientRequestKind::Crashing, Ms - 1, Ms + 1, 502);
    request.Id += std::to_string(Ms);
    seen.Requests.push_back(request);
    ServerCall run = runAt(Ms, request.Id);
    run.Path = std::string(CrashPathPrefix) + "0";
    truth.PlainRuns.push_back(run);
  };
  for (int ms : {0, 10, 20, 30})
    endAt(ms);
  CHECK(findViolations(seen, truth).empty());
  endAt(5030);
  CHECK(finds(seen, truth, "crashed servers 5 times, 1 of them without"));
  // A process that was faulty just before may not know of it.
  truth.Faults = {{SoakFault::KillEdge, at(4000), at(4500)}};
  CHECK(findViolations(seen, truth).empty());
}

// Guards against a count that mixes the requests of several callers, of which
// each is quarantined by itself.
TEST_CASE("Soak judge: crashes are counted by request and caller", "[soak]") {
  SoakObservations seen;
  SoakGroundTruth truth;
  auto crash = [&](const std::string &Customer, bool UsesRevocableKey) {
    int ms = static_cast<int>(seen.Requests.size()) * 10;
    ClientRequestRecord request =
        asked(ClientRequestKind::Crashing, ms - 1, ms + 1, 502);
    request.Id += std::to_string(ms);
    request.Customer = Customer;
    request.UsesRevocableKey = UsesRevocableKey;
    seen.Requests.push_back(request);
    ServerCall run = runAt(ms, request.Id);
    run.Customer = Customer;
    run.Path = std::string(CrashPathPrefix) + "0";
    truth.PlainRuns.push_back(run);
  };
  for (int i = 0; i < 4; ++i) {
    crash("customer-0", false);
    crash("customer-0", true);
    crash("customer-1", false);
  }
  CHECK(findViolations(seen, truth).empty());
  crash("customer-0", true);
  CHECK(finds(seen, truth, "customer-0 crashed servers 5 times"));
}

namespace {

/// A request of one customer that ran and was reported.
struct CustomerCase {
  SoakObservations Seen;
  SoakGroundTruth Truth;

  CustomerCase() {
    Seen.Requests = {asked(ClientRequestKind::Repeatable, 10000, 10010, 200)};
    Seen.Requests[0].Customer = "customer-0";
    ServerCall run = runAt(10005, "r");
    run.Customer = "customer-0";
    Truth.PlainRuns = {run};
    Truth.Reports = {report(11000, 7, {{"customer-0", 1}})};
  }
  static test::ReportCall report(int Ms, std::uint64_t Window,
                                 std::map<std::string, std::uint64_t> Counts,
                                 std::uint64_t Token = 1,
                                 const std::string &Holder = "edge-0") {
    test::ReportCall call;
    call.At = at(Ms);
    call.Path = "/usage";
    call.Holder = Holder;
    call.Token = Token;
    call.Window = Window;
    call.Counts = std::move(Counts);
    call.Body = std::to_string(Window) + ":" +
                std::to_string(call.Counts["customer-0"]);
    call.Taken = true;
    return call;
  }
  bool finds(const std::string &Text) const {
    std::vector<std::string> faults = findCustomerViolations(Seen, Truth, {});
    for (const std::string &it : faults)
      UNSCOPED_INFO(it);
    return faults.size() == 1 && faults[0].find(Text) != std::string::npos;
  }
};

} // namespace

TEST_CASE("Soak judge: a wrong customer of a request is found", "[soak]") {
  CustomerCase it;
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  it.Truth.PlainRuns[0].Customer = "customer-1";
  CHECK(it.finds("a server was told customer-1"));
  it.Truth.PlainRuns[0].Customer = "customer-0";
  it.Truth.PlainRuns[0].KeyForwarded = true;
  CHECK(it.finds("brought a key"));
}

TEST_CASE("Soak judge: wrong decisions on keys are found", "[soak]") {
  CustomerCase it;
  it.Seen.Requests[0].UsesRevocableKey = true;
  it.Truth.KeyChanges = {{0, true, at(7000)}};
  CHECK(it.finds("for a key that is taken away"));
  it.Truth.Faults = {{SoakFault::StoreBusy, at(6000), at(8000)}};
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  it.Truth.Faults.clear();
  it.Truth.KeyChanges.push_back({0, false, at(9500)});
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  it.Truth.KeyChanges = {{0, true, at(9000)}};
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  CustomerCase denied;
  denied.Seen.Requests.push_back(
      asked(ClientRequestKind::Repeatable, 100, 110, 401));
  denied.Seen.Requests[1].Id = "r2";
  CHECK(denied.finds("denied though its key is good"));
}

TEST_CASE("Soak judge: missing, wrong and repeated windows are found",
          "[soak]") {
  CustomerCase it;
  it.Truth.Reports[0].Counts["customer-0"] = 2;
  CHECK(it.finds("2 requests of customer-0 were reported, 1 ran"));
  it.Truth.Reports[0].Counts["customer-0"] = 0;
  CHECK(it.finds("0 requests of customer-0 were reported, 1 ran"));
  // A process that was killed at that time may have lost it.
  it.Truth.Kills = {{0, 0, at(10200)}};
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  CustomerCase gap;
  gap.Truth.Reports.push_back(CustomerCase::report(13000, 9, {}));
  CHECK(gap.finds("window 8 was never reported"));
  CustomerCase twice;
  twice.Truth.Reports.push_back(
      CustomerCase::report(11500, 7, {{"customer-0", 3}}));
  CHECK(twice.finds("window 7 was told twice"));
  twice.Truth.Reports[1].Body = twice.Truth.Reports[0].Body;
  CHECK(findCustomerViolations(twice.Seen, twice.Truth, {}).empty());
}

TEST_CASE("Soak judge: violations of the single-holder rule are found",
          "[soak]") {
  CustomerCase it;
  auto add = [&it](int Ms, std::uint64_t Window, std::uint64_t Token,
                   const std::string &Holder) {
    it.Truth.Reports.push_back(
        CustomerCase::report(Ms, Window, {}, Token, Holder));
  };
  add(15000, 8, 5, "edge-1");
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  add(15500, 9, 4, "edge-1");
  CHECK(it.finds("token 4 came after 5"));
  // Calls delayed by a disconnection may arrive when it ends.
  it.Truth.ReportDelaySpans = {{at(15400), at(15600)}};
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
  it.Truth.ReportDelaySpans.clear();
  it.Truth.Reports.pop_back();
  add(15500, 9, 5, "edge-2");
  CHECK(it.finds("token 5 was used by two"));
  it.Truth.Reports.pop_back();
  add(16000, 9, 6, "edge-0");
  add(17900, 10, 7, "edge-1");
  CHECK(it.finds("edge-1 took turns"));
  it.Truth.Reports.back().At = at(18100);
  CHECK(findCustomerViolations(it.Seen, it.Truth, {}).empty());
}

TEST_CASE("A short soak with customers has no violations", "[soak]") {
  std::string seed = GENERATE("900", "901");
  SoakEnd end = runSoak({"--seed=" + seed, "--seconds=10", "--customers=5"});
  INFO(end.Output);
  CHECK(end.Code == 0);
  CHECK(end.Output.find("soak: seed=" + seed + " broken=0") !=
        std::string::npos);
}

TEST_CASE("A short soak with crashing requests has no violations", "[soak]") {
  std::string seed = GENERATE("10", "11");
  SoakEnd end = runSoak({"--seed=" + seed, "--seconds=12", "--crashing=2"});
  INFO(end.Output);
  CHECK(end.Code == 0);
  CHECK(end.Output.find("soak: seed=" + seed + " broken=0") !=
        std::string::npos);
}

TEST_CASE("Short soaks have no violations", "[soak]") {
  std::string seed = GENERATE("8", "10", "17");
  SoakEnd end = runSoak({"--seed=" + seed, "--seconds=8"});
  INFO(end.Output);
  CHECK(end.Code == 0);
  CHECK(end.Output.find("soak: seed=" + seed + " broken=0") !=
        std::string::npos);
  CHECK(end.Output.find(" served=0 ") == std::string::npos);
  CHECK(end.Output.find(" whole_jobs=0 ") == std::string::npos);
}

// Guards against states that nothing ends: a follower that lags alone, models
// without an engine, sound items after crash loops, responses without end.
TEST_CASE("A short soak of lasting states has no violations", "[soak]") {
  std::string seed = GENERATE("3001", "3003");
  SoakEnd end = runSoak({"--seed=" + seed, "--seconds=10", "--states",
                         "--models=4", "--trainers=4"});
  INFO(end.Output);
  CHECK(end.Code == 0);
  CHECK(end.Output.find("soak: seed=" + seed + " broken=0") !=
        std::string::npos);
  CHECK(end.Output.find(" whole_jobs=0 ") == std::string::npos);
}

} // namespace wasabi::soak
