/// \file
/// A soak with customers: their keys, faults of keys and of the reporter of
/// usage, and what must hold of both.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKCUSTOMERS_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKCUSTOMERS_H

#include "IntegrationTests/Platform/PlatformFixture.h"
#include "IntegrationTests/Platform/PlatformReportEndpoint.h"
#include "IntegrationTests/Soak/SoakPlan.h"

#include <map>
#include <string>
#include <vector>

namespace wasabi::soak {

struct SoakObservations;
struct SoakGroundTruth;
struct SoakBounds;

/// A customer by its number, its key for good, and the one that comes and goes.
std::string customerName(std::size_t Number);
std::string permanentKey(std::size_t Number);
std::string revocableKey(std::size_t Number);
/// Of the soak's own requests.
inline constexpr const char *HarnessCustomer = "own";
inline constexpr const char *HarnessKey = "own-key";

/// All customers; those in `Revoked` are without their passing key.
std::vector<test::ConfiguredCustomer>
makeSoakCustomers(std::size_t Count, const std::set<std::size_t> &Revoked);

/// Adds faults of keys and of the reporter, drawn from the seed, to a plan.
void addCustomerFaults(std::vector<ScheduledFault> &Plan, std::uint64_t Seed,
                       Millis Length);

/// Each broken promise of customers and their usage, one line each.
std::vector<std::string> findCustomerViolations(const SoakObservations &Seen,
                                                const SoakGroundTruth &Truth,
                                                const SoakBounds &Bounds);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKCUSTOMERS_H
