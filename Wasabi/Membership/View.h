/// \file
/// The membership view that each process holds.
#ifndef WASABI_MEMBERSHIP_VIEW_H
#define WASABI_MEMBERSHIP_VIEW_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wasabi {

enum class Role : std::uint8_t { Entry, Daemon };

/// Health of a member as seen by one process. Within one incarnation it only
/// moves down this list, except that the member itself may refute `Suspect` and
/// `Dead` with a greater stamp. `Leaving` is final: an instance that has left
/// returns with a new incarnation.
enum class Health : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// A server behind a daemon, as reported by the daemon.
struct ServerStatus {
  ServerName Name;
  ServiceName Service;
  /// Weight version that its engine last reported; 0 for plain servers or if
  /// unknown.
  WeightVersion Version = 0;
  /// Maximum number of concurrent requests, as known to the daemon.
  std::uint32_t Slots = 1;
  /// True if the daemon accepts new work for it.
  bool Serving = true;
  bool operator==(const ServerStatus &) const = default;
};

/// One process of the system. An immutable value.
struct Member {
  InstanceName Instance;
  DomainName Domain;
  Role Kind = Role::Daemon;
  Incarnation Life = 0;
  /// Address on which it accepts request frames (daemons only).
  Address Requests;
  /// Address on which it accepts control frames.
  Address Control;
  /// Address of its HTTP server for status, metrics and time line.
  Address Admin;
  Health State = Health::Alive;
  /// Version of the member's own state, incremented by the member; the greater
  /// one wins.
  std::uint64_t Stamp = 0;
  std::vector<ServerStatus> Servers;
  bool operator==(const Member &) const = default;
};

/// All known members, including this process. An immutable value that is
/// published as a whole.
struct View {
  std::map<InstanceName, Member> Members;
  InstanceName Self;
  /// True while most members seem unreachable, so that this process may be
  /// isolated. It then declares no member dead and acquires no new claim.
  bool MayBeIsolated = false;
  bool operator==(const View &) const = default;
};

/// Returns true if new work may be sent to this member. Pure.
inline bool takesWork(const Member &Info) {
  return Info.State == Health::Alive || Info.State == Health::Suspect;
}

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_VIEW_H
