/// \file
/// Waits until a cluster works again after its faults.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_RECOVERY_H
#define WASABI_INTEGRATIONTESTS_CHAOS_RECOVERY_H

#include "IntegrationTests/Chaos/Cluster.h"

#include <optional>
#include <string>

namespace wasabi::chaos {

/// Maximum recovery time after the last fault.
constexpr Millis MaxRecoveryTime{15000};
/// Time limit of the wait; longer than the bound, to distinguish a late
/// recovery from none.
constexpr Millis RecoveryTimeout{45000};

/// Waits until every process is ready with the same configuration, every
/// service responds through every entry, and the trainer has completed another
/// step since the call. Returns the time since `Since` (wall-clock
/// microseconds); empty with `Missing` set on a timeout.
std::optional<Millis> awaitRecovery(Cluster &Target, std::uint64_t Since,
                                    std::string &Missing);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_RECOVERY_H
