/// \file
/// Who is there: the view of all members that each process holds.
#ifndef WASABI_MEMBERSHIP_VIEW_H
#define WASABI_MEMBERSHIP_VIEW_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wasabi {

enum class Role : std::uint8_t { Entry, Daemon };

/// What is believed of a member. For one incarnation it only moves down this
/// list, except that the member itself may refute `Suspect` and `Dead` by
/// saying something newer. `Leaving` is final: who left comes back as a new
/// one.
enum class Health : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// A server behind a daemon, as the daemon says.
struct ServerStatus {
  ServerName Name;
  ServiceName Service;
  /// Version its engine last reported; 0 for plain servers or unknown.
  WeightVersion Version = 0;
  /// Requests it runs at once, as far as the daemon knows.
  std::uint32_t Slots = 1;
  /// Whether the daemon takes new work for it.
  bool Serving = true;
  bool operator==(const ServerStatus &) const = default;
};

/// One process of the system. An immutable value.
struct Member {
  InstanceName Instance;
  DomainName Domain;
  Role Kind = Role::Daemon;
  Incarnation Life = 0;
  /// Where it takes request frames (daemons).
  Address Requests;
  /// Where it takes control frames.
  Address Control;
  /// Its HTTP for status, metrics and time line.
  Address Admin;
  Health State = Health::Alive;
  /// Grows when the member itself says something new; the greater one wins.
  std::uint64_t Stamp = 0;
  std::vector<ServerStatus> Servers;
  bool operator==(const Member &) const = default;
};

/// All members known, self included. An immutable value, published whole.
struct View {
  std::map<InstanceName, Member> Members;
  InstanceName Self;
  /// Set while most of the view seems gone at once: then this process doubts
  /// itself first, declares nobody dead and takes no new claim.
  bool MayBeIsolated = false;
  bool operator==(const View &) const = default;
};

/// Whether new work may go to this member. Pure.
inline bool takesWork(const Member &Who) {
  return Who.State == Health::Alive || Who.State == Health::Suspect;
}

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_VIEW_H
