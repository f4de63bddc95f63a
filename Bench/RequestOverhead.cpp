#include "Bench/RequestScenarios.h"

#include "Bench/LineFit.h"

namespace wasabi::bench {
namespace {

constexpr Millis Deadline{2000};
/// Direct and proxied calls alternate, so that other load on the machine
/// affects both equally.
constexpr int Turns = 6;
constexpr Millis Turn{400};
constexpr Millis CostSpan{2500};
constexpr std::size_t CostWorkers = 8;
constexpr double MicrosPerSecond = 1000000;

LoadPlan plainPlan(const std::string &Load, std::vector<Address> Targets,
                   std::size_t Workers, Millis Span) {
  LoadPlan plan;
  plan.Targets = std::move(Targets);
  plan.Workers = Workers;
  plan.Duration = Span;
  plan.Deadline = Deadline;
  plan.MakeRequest = [Load](std::uint64_t Number) {
    return makePlainRequest(Load, Number, Deadline);
  };
  plan.CheckResponse = checkPlainResponse;
  return plan;
}

void append(std::vector<CallResult> &To, std::vector<CallResult> More) {
  To.insert(To.end(), More.begin(), More.end());
}

/// Uses one worker, so that no request queues.
std::vector<CallResult> measureLatency(RequestFleet &Fleet) {
  // Warms up connections and moving averages.
  runLoad(plainPlan("warm", Fleet.callerAddresses(), 1, Turn));
  std::vector<CallResult> direct;
  std::vector<CallResult> through;
  for (int n = 0; n < Turns; ++n) {
    LoadPlan plain = plainPlan("direct", Fleet.upstreamAddresses(), 1, Turn);
    append(direct, runLoad(plain));
    LoadPlan proxied = plainPlan("through", Fleet.callerAddresses(), 1, Turn);
    proxied.FirstNumber = through.size();
    append(through, runLoad(proxied));
  }
  for (int percent : {50, 99}) {
    double share = percent / 100.0;
    double ours = quantile(goodLatencyMillis(through), share) * 1000;
    double theirs = quantile(goodLatencyMillis(direct), share) * 1000;
    std::string name = "_p" + std::to_string(percent) + "_us";
    reportRequests("added_latency" + name, ours - theirs, "us");
    reportRequests("latency" + name, ours, "us", theirs);
  }
  return through;
}

std::vector<CallResult> measureCost(RequestFleet &Fleet) {
  LoadPlan plan =
      plainPlan("cost", Fleet.callerAddresses(), CostWorkers, CostSpan);
  double entry = Fleet.entryCpuSeconds();
  double daemon = Fleet.daemonCpuSeconds();
  std::vector<CallResult> calls = runLoad(plan);
  entry = Fleet.entryCpuSeconds() - entry;
  daemon = Fleet.daemonCpuSeconds() - daemon;
  double count = static_cast<double>(calls.size());
  if (count == 0)
    return calls;
  double entryMicros = entry * MicrosPerSecond / count;
  double daemonMicros = daemon * MicrosPerSecond / count;
  reportRequests("cpu_us_per_request", entryMicros + daemonMicros, "us");
  reportRequests("cpu_us_per_request_entry", entryMicros, "us");
  reportRequests("cpu_us_per_request_daemon", daemonMicros, "us");
  // With one core each for the entry and the daemon, the busier process limits
  // the rate.
  reportRequests("requests_per_s_one_core",
                 MicrosPerSecond / std::max(entryMicros, daemonMicros),
                 "1/s (derived: 1e6 / CPU us of the busier process)");
  double seconds = std::chrono::duration<double>(CostSpan).count();
  reportRequests("requests_per_s_8_workers", count / seconds, "1/s");
  return calls;
}

} // namespace

CorrectnessCounts measureOverhead() {
  RequestFleet::Settings setup;
  setup.Flags = {"--latency_ms=0", "--slots=0"};
  std::unique_ptr<RequestFleet> fleet = startFleet(std::move(setup));
  if (!fleet)
    return {};
  std::vector<CallResult> through = measureLatency(*fleet);
  std::vector<CallResult> cost = measureCost(*fleet);
  return checkPlainRuns("through", through, *fleet) +
         checkPlainRuns("cost", cost, *fleet);
}

CorrectnessCounts measureTokens() {
  constexpr Millis span{6000};
  constexpr std::size_t workers = 24;
  constexpr std::uint64_t most = 2000;
  RequestFleet::Settings setup;
  setup.Role = "engine";
  setup.Flags = {"--model=" + std::string(FleetModel), "--slots=32",
                 "--tokens_per_s=400"};
  std::unique_ptr<RequestFleet> fleet = startFleet(std::move(setup));
  if (!fleet)
    return {};
  LoadPlan plan;
  plan.Targets = fleet->callerAddresses();
  plan.Workers = workers;
  plan.Duration = span;
  plan.Deadline = Millis(20000);
  std::uint64_t tokens = 0;
  plan.MakeRequest = [&](std::uint64_t Number) {
    return makeCompletionRequest("tokens", Number,
                                 "prompt " + std::to_string(Number), most, true,
                                 plan.Deadline);
  };
  plan.CheckResponse = [&](const http::Request &Ask,
                           const http::Response &Answer, CallResult &Into) {
    checkCompletionResponse(Ask, Answer, Into);
    tokens += expectedCompletionTokens(Ask);
  };
  double entry = fleet->entryCpuSeconds();
  double daemon = fleet->daemonCpuSeconds();
  std::vector<CallResult> calls = runLoad(plan);
  entry = fleet->entryCpuSeconds() - entry;
  daemon = fleet->daemonCpuSeconds() - daemon;

  CorrectnessCounts found;
  for (const CallResult &it : calls) {
    ++found.Checked;
    if (it.Status == 200 && !it.IsCorrect)
      ++found.WrongAnswers;
  }
  if (tokens == 0)
    return found;
  double perMicro = MicrosPerSecond / static_cast<double>(tokens);
  reportRequests("cpu_us_per_1000_tokens", (entry + daemon) * perMicro * 1000,
                 "us (streamed; the direct connection has neither process)");
  reportRequests("tokens_per_s_one_core",
                 1 / (std::max(entry, daemon) * perMicro / MicrosPerSecond),
                 "1/s (derived: 1e6 / CPU us of the busier process)");
  reportRequests("tokens_streamed", static_cast<double>(tokens), "count");
  return found;
}

} // namespace wasabi::bench
