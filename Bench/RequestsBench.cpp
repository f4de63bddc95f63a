/// \file
/// Measures requests through real entries and daemons: overhead, and behaviour
/// under overload and faults. The baselines run in the same run: a direct
/// connection, and a client with random choice, fixed limits and three retries.
#include "Bench/Benches.h"
#include "Bench/Report.h"
#include "Bench/RequestScenarios.h"

#include <array>
#include <cstdlib>
#include <fstream>

namespace wasabi::bench {
namespace {

/// A case of the bench by name; `WASABI_BENCH_CASES` selects some of them.
struct Part {
  std::string_view Name;
  CorrectnessCounts (*Run)();
};

bool isChosen(std::string_view Name) {
  const char *chosen = std::getenv("WASABI_BENCH_CASES");
  if (!chosen)
    return true;
  std::string all = "," + std::string(chosen) + ",";
  return all.find("," + std::string(Name) + ",") != std::string::npos;
}

/// Logs the load average, since other work on the machine affects every result.
void logLoadAverage() {
  std::ifstream file("/proc/loadavg");
  std::string text;
  std::getline(file, text);
  logProgress("requests: load average " + text);
}

} // namespace

void runRequestsBench() {
  const std::array<Part, 9> parts = {
      Part{"overhead", measureOverhead},
      Part{"tokens", measureTokens},
      Part{"overload", measureOverload},
      Part{"slow_upstream", measureSlowUpstream},
      Part{"fairness", measureFairness},
      Part{"third_killed", measureKilledInstances},
      Part{"outages", measureOutages},
      Part{"late_load", measureLateLoad},
      Part{"cache", measureCacheHits}};
  CorrectnessCounts found;
  for (const Part &it : parts) {
    if (!isChosen(it.Name))
      continue;
    logLoadAverage();
    logProgress("requests: " + std::string(it.Name));
    found = found + it.Run();
  }
  // Reports the violation counts only if calls were checked.
  if (found.Checked == 0)
    return;
  reportRequests("false_not_run", static_cast<double>(found.FalseNotRun),
                 "count");
  reportRequests("double_runs", static_cast<double>(found.DoubleRuns), "count");
  reportRequests("wrong_answers", static_cast<double>(found.WrongAnswers),
                 "count");
  reportRequests("answers_checked", static_cast<double>(found.Checked),
                 "count");
}

} // namespace wasabi::bench
