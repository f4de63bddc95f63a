/// \file
/// Customers of a soak test: their keys, the faults of keys and of the usage
/// reporter, and the checks of both.
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

/// Return the name, the permanent key and the revocable key of a customer.
std::string customerName(std::size_t Number);
std::string permanentKey(std::size_t Number);
std::string revocableKey(std::size_t Number);
/// Customer and key of the harness's own requests.
inline constexpr const char *HarnessCustomer = "own";
inline constexpr const char *HarnessKey = "own-key";

/// Returns all customers; those in `Revoked` lack their revocable key.
std::vector<test::ConfiguredCustomer>
makeSoakCustomers(std::size_t Count, const std::set<std::size_t> &Revoked);

/// Adds faults of keys and of the reporter, drawn from the seed, to a plan.
void addCustomerFaults(std::vector<ScheduledFault> &Plan, std::uint64_t Seed,
                       Millis Length);

/// Returns the violated guarantees for customers and their usage, one line
/// each.
std::vector<std::string> findCustomerViolations(const SoakObservations &Seen,
                                                const SoakGroundTruth &Truth,
                                                const SoakBounds &Bounds);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKCUSTOMERS_H
