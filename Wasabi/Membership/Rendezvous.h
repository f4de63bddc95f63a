/// \file
/// Rendezvous hashing (Thaler and Ravishankar 1998) over the membership view.
/// Processes with equal views choose the same members for a key, and the
/// departure of a member moves only the keys assigned to it.
#ifndef WASABI_MEMBERSHIP_RENDEZVOUS_H
#define WASABI_MEMBERSHIP_RENDEZVOUS_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabi {

/// Returns the weight of a member for a key. The member with the greatest
/// weight is chosen first. Pure.
std::uint64_t rendezvousWeight(std::string_view Key,
                               const InstanceName &Member);

/// Returns the names sorted by descending weight for `Key`. Pure.
std::vector<InstanceName> rankMembers(std::string_view Key,
                                      std::vector<InstanceName> Names);

/// Returns the number of members with `Self`'s role that accept work and rank
/// before `Self` for `Key`; 0 if `Self` ranks first. Pure.
std::size_t rankOf(std::string_view Key, const View &ClusterView);

/// Returns true if `Self` ranks among the first `PerDomain` members of its
/// failure domain that accept work. Also true if `Self` is not in the view, as
/// no other process is known to read the log for it. Pure.
bool isLogReader(const View &ClusterView, std::uint32_t PerDomain);

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_RENDEZVOUS_H
