#include "Bench/RequestScenarios.h"

#include <signal.h>

#include <algorithm>

namespace wasabi::bench {
namespace {

constexpr std::size_t Slots = 4;
constexpr std::uint64_t LatencyMillis = 20;
constexpr Millis Deadline{1000};
constexpr Millis WarmSpan{2000};
constexpr Millis KillAt{3000};
constexpr Millis KillSpan{8000};
constexpr Millis OutageSpan{2500};
constexpr Millis Bin{100};

std::unique_ptr<RequestFleet> startDesks(std::size_t Upstreams) {
  RequestFleet::Settings setup;
  setup.Entries = 2;
  setup.Upstreams = Upstreams;
  setup.Flags = {"--slots=" + std::to_string(Slots),
                 "--latency_ms=" + std::to_string(LatencyMillis)};
  return startFleet(std::move(setup));
}

std::vector<CallResult> dueAfter(const std::vector<CallResult> &Calls,
                                 Millis From) {
  std::vector<CallResult> later;
  std::copy_if(Calls.begin(), Calls.end(), std::back_inserter(later),
               [&](const CallResult &it) { return it.Due >= From; });
  return later;
}

/// Returns the time from the kill to the end of the last tenth of a second in
/// which a call failed.
double recoveryMillis(const std::vector<CallResult> &Calls) {
  Micros last = KillAt;
  for (const CallResult &it : Calls) {
    if (!it.IsGood && it.Due >= KillAt - Deadline)
      last = std::max(last, Micros((it.Due / Bin + 1) * Bin));
  }
  return static_cast<double>((last - KillAt).count()) / 1000.0;
}

double meanAttempts(const std::vector<CallResult> &Calls) {
  double sum = 0;
  for (const CallResult &it : Calls)
    sum += it.Attempts;
  return Calls.empty() ? 0 : sum / static_cast<double>(Calls.size());
}

double attemptsPerRequest(const CounterTotals &Counts) {
  CounterTotals::const_iterator attempts =
      Counts.find("wasabi_entry_attempts_total");
  CounterTotals::const_iterator requests =
      Counts.find("wasabi_entry_requests_total");
  bool known = attempts != Counts.end() && requests != Counts.end();
  return known && requests->second > 0 ? attempts->second / requests->second
                                       : 0;
}

/// Runs one outage and reports the attempts per request of the product and of
/// the client with fixed retries.
struct OutageResult {
  double Ours = 0;
  double Blind = 0;
  CorrectnessCounts Found;
};

OutageResult measureOutage(const std::string &Name, RequestFleet &Fleet,
                           double Rate) {
  std::string load = "outage_" + Name;
  LoadPlan plan = makePlainLoad(load, Fleet, Rate, OutageSpan, Deadline);
  CounterTotals before = Fleet.readCounters();
  std::vector<CallResult> ours = runLoad(plan);
  CounterTotals made = subtractCounters(Fleet.readCounters(), before);
  reportCounters(load, made);
  reportFailedCalls(load, ours);
  OutageResult result;
  result.Ours = attemptsPerRequest(made);
  result.Found = checkPlainRuns(load, ours, Fleet);
  result.Blind = meanAttempts(runLoad(makeBaselineLoad(plan, Fleet)));
  reportRequests("attempts_per_request_" + load, result.Ours, "attempts",
                 result.Blind);
  return result;
}

} // namespace

CorrectnessCounts measureKilledInstances() {
  constexpr std::size_t Upstreams = 6;
  std::unique_ptr<RequestFleet> fleet = startDesks(Upstreams);
  if (!fleet)
    return {};
  double rate =
      measureCapacity(makePlainLoad("capacity", *fleet, 0, WarmSpan, Deadline),
                      *fleet, Slots) *
      0.4;
  runLoad(makePlainLoad("warm", *fleet, rate, WarmSpan, Deadline));

  // The servers behind a killed daemon are unreachable through the product;
  // their records can still be read directly.
  LoadPlan plan = makePlainLoad("killed", *fleet, rate, KillSpan, Deadline);
  plan.ScheduledActions.push_back(
      {KillAt, [&] {
         for (std::size_t n = 0; n < Upstreams / 3; ++n)
           fleet->upstreams()[n].Daemon->signal(SIGKILL);
       }});
  CounterTotals before = fleet->readCounters();
  std::vector<CallResult> ours = runLoad(plan);
  // The counters of killed daemons are lost; those of the entries are complete.
  CounterTotals made = subtractCounters(fleet->readCounters(), before);
  std::erase_if(made, [](const std::pair<const std::string, double> &it) {
    return !it.first.starts_with("wasabi_entry");
  });
  reportCounters("third_killed", made);
  reportFailedCalls("third_killed", ours);
  CorrectnessCounts found = checkPlainRuns("killed", ours, *fleet);

  LoadPlan blindPlan = makeBaselineLoad(plan, *fleet);
  blindPlan.ScheduledActions = {
      {KillAt, [&] {
         for (std::size_t n = 0; n < Upstreams / 3; ++n)
           fleet->upstreams()[n].StandIn->process().signal(SIGKILL);
       }}};
  std::vector<CallResult> blind = runLoad(blindPlan);
  std::vector<CallResult> after = dueAfter(ours, KillAt);
  std::vector<CallResult> blindAfter = dueAfter(blind, KillAt);
  reportRequests("p99_ms_third_killed", goodLatencyQuantile(after, 0.99),
                 "ms, after the kill", goodLatencyQuantile(blindAfter, 0.99));
  reportRequests("recovery_ms_third_killed", recoveryMillis(ours), "ms",
                 recoveryMillis(blind));
  reportRequests("good_share_third_killed", goodShare(after),
                 "of calls after the kill", goodShare(blindAfter));
  reportRequests("attempts_per_request_third_killed", attemptsPerRequest(made),
                 "attempts", meanAttempts(blind));
  return found;
}

CorrectnessCounts measureOutages() {
  constexpr std::size_t Upstreams = 4;
  std::unique_ptr<RequestFleet> fleet = startDesks(Upstreams);
  if (!fleet)
    return {};
  double rate =
      measureCapacity(makePlainLoad("capacity", *fleet, 0, WarmSpan, Deadline),
                      *fleet, Slots) *
      0.5;
  runLoad(makePlainLoad("warm", *fleet, rate, WarmSpan, Deadline));

  std::vector<OutageResult> all;
  for (const FleetUpstream &it : fleet->upstreams())
    it.StandIn->setFaults(R"({"reset_before_answer":1000000})");
  all.push_back(measureOutage("reset", *fleet, rate));
  for (const FleetUpstream &it : fleet->upstreams())
    it.StandIn->setFaults(R"({"reset_before_answer":0,"hang":true})");
  all.push_back(measureOutage("hang", *fleet, rate));
  for (const FleetUpstream &it : fleet->upstreams())
    it.StandIn->process().signal(SIGKILL);
  all.push_back(measureOutage("killed", *fleet, rate));

  const OutageResult *worst = &all.front();
  CorrectnessCounts found;
  for (const OutageResult &it : all) {
    found = found + it.Found;
    if (it.Ours > worst->Ours)
      worst = &it;
  }
  reportRequests("attempts_per_request_outage", worst->Ours,
                 "attempts, the worst of three outages", worst->Blind);
  return found;
}

} // namespace wasabi::bench
