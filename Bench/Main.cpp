/// \file
/// `wasabi-bench NAME...` runs the named benches, or all of them.
#include "Bench/Benches.h"
#include "Bench/Report.h"

#include <cstring>
#include <string_view>
#include <vector>

namespace wasabi::bench {
namespace {

/// A bench by name.
struct Entry {
  std::string_view Name;
  void (*Run)();
};

constexpr int ExitUsage = 2;

int runNamed(int Count, char **Names) {
  const std::vector<Entry> all = {
      {"state", runStateBench},
      {"requests", runRequestsBench},
      {"rollout", runRolloutBench},
      {"capacity", runCapacityBench},
  };
  // Validates every name before the first bench runs.
  for (int n = 0; n < Count; ++n) {
    bool known = false;
    for (const Entry &it : all)
      known = known || it.Name == Names[n];
    if (!known) {
      logProgress("wasabi-bench: no bench is named '" + std::string(Names[n]) +
                  "'");
      return ExitUsage;
    }
  }
  for (const Entry &it : all) {
    bool wanted = Count == 0;
    for (int n = 0; n < Count; ++n)
      wanted = wanted || it.Name == Names[n];
    if (wanted)
      it.Run();
  }
  return 0;
}

} // namespace
} // namespace wasabi::bench

int main(int Count, char **Words) {
  return wasabi::bench::runNamed(Count - 1, Words + 1);
}
