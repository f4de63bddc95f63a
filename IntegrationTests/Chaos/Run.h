/// \file
/// One chaos run from start to verdict.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_RUN_H
#define WASABI_INTEGRATIONTESTS_CHAOS_RUN_H

#include "IntegrationTests/Chaos/Cluster.h"
#include "IntegrationTests/Chaos/Schedule.h"
#include "Wasabi/Core/Program.h"

#include <cstdint>
#include <vector>

namespace wasabi::chaos {

/// Starts the product, loads it, injects the schedule, waits for recovery and
/// judges; prints what is wrong and the last line. `OutcomeNotMet` when a
/// promise was broken or recovery took too long; then, and with `Keep`, the
/// time line and the logs are kept in a folder that is named. Errors:
/// `Unavailable` when the processes cannot be started.
Result<ExitCode> runChaosTest(ClusterPlan Plan, std::uint64_t Seed,
                              const std::vector<Fault> &Schedule, bool Keep);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_RUN_H
