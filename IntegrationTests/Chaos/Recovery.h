/// \file
/// Whether a cluster works again after its faults.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_RECOVERY_H
#define WASABI_INTEGRATIONTESTS_CHAOS_RECOVERY_H

#include "IntegrationTests/Chaos/Cluster.h"

#include <optional>
#include <string>

namespace wasabi::chaos {

/// Recovery may take this long after the last fault.
constexpr Millis MaxRecoveryTime{15000};
/// How long it is waited for, so that a late one can be told from none.
constexpr Millis RecoveryPatience{45000};

/// Waits until every process is ready, every service answers through every
/// entry, and the trainer has a step whole that it opened after `Since` wall
/// microseconds. The time since then; empty with `Missing` set when it does
/// not come.
std::optional<Millis> awaitRecovery(Cluster &Of, std::uint64_t Since,
                                    std::string &Missing);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_RECOVERY_H
