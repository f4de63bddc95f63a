/// \file
/// Runs one chaos test from start to verdict.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_RUN_H
#define WASABI_INTEGRATIONTESTS_CHAOS_RUN_H

#include "IntegrationTests/Chaos/Cluster.h"
#include "IntegrationTests/Chaos/Schedule.h"
#include "Wasabi/Core/Program.h"

#include <cstdint>
#include <vector>

namespace wasabi::chaos {

/// Starts the product under load, injects the schedule, waits for recovery and
/// checks the result; prints all violations and a summary line. Returns
/// `OutcomeNotMet` if a guarantee was violated or recovery took too long; then,
/// and with `Keep`, the timeline and the logs are kept in a folder whose path
/// is printed. Errors: `Unavailable` if the processes can't be started.
Result<ExitCode> runChaosTest(ClusterPlan Plan, std::uint64_t Seed,
                              const std::vector<Fault> &Schedule, bool Keep);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_RUN_H
