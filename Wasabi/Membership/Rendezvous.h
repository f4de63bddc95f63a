/// \file
/// Rendezvous hashing (Thaler and Ravishankar 1998) over the view: all who hold
/// the same view choose the same members for a thing, and a member that goes
/// moves only what it had.
#ifndef WASABI_MEMBERSHIP_RENDEZVOUS_H
#define WASABI_MEMBERSHIP_RENDEZVOUS_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/View.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabi {

/// The weight of a member for a thing; the greatest is chosen first. Pure.
std::uint64_t rendezvousWeight(std::string_view Thing,
                               const InstanceName &Member);

/// The names with the first of the ranking first. Pure.
std::vector<InstanceName> rankMembers(std::string_view Thing,
                                      std::vector<InstanceName> Names);

/// How many members of `Self`'s role that take work come before `Self` for a
/// thing: 0 for the first. Pure.
std::size_t rankOf(std::string_view Thing, const View &Seen);

/// Whether `Self` is among the readers of the log: the first `PerDomain`
/// members of its domain that take work. True for a `Self` not in the view,
/// which has nobody to read for it. Pure.
bool isLogReader(const View &Seen, std::uint32_t PerDomain);

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_RENDEZVOUS_H
