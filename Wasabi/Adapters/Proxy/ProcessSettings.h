/// \file
/// Settings that entries and daemons share, and their status as JSON.
#ifndef WASABI_ADAPTERS_PROXY_PROCESSSETTINGS_H
#define WASABI_ADAPTERS_PROXY_PROCESSSETTINGS_H

#include "Wasabi/Adapters/Frames/RequestClient.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Node/ControlPlane.h"

#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Unparsed values of the shared flags. An immutable value.
struct ProcessFlags {
  std::string Instance;
  std::string FailureDomain;
  std::string Control;
  std::string Admin;
  std::string AdvertiseControl;
  std::string Log;
  std::string Instances;
  std::string Seeds;
  /// Memory that the process may use, in MiB.
  std::uint32_t MemoryMb = 256;
};

/// Parsed and checked values of the shared flags.
struct ProcessSettings {
  InstanceName Instance;
  DomainName Domain;
  Incarnation Life = 0;
  Address Control;
  Address Admin;
  Address AdvertiseControl;
  Address Log;
  Address Instances;
  std::vector<Address> Seeds;
  /// Memory that the process may use, in bytes.
  std::uint64_t MemoryBytes = 0;
  /// Seed of the process's random choices, derived from its name and
  /// incarnation.
  std::uint64_t Seed = 1;
};

/// Parses an address; empty text gives an empty address. Errors: `BadInput`.
Result<Address> parseOptionalAddress(std::string_view Text,
                                     std::string_view Place);

/// Parses `IP:PORT,IP:PORT`. Errors: `BadInput`.
Result<std::vector<Address>> parseAddresses(std::string_view Text,
                                            std::string_view Place);

/// Parses and checks the shared flags; `Life` is the incarnation of this
/// process. Errors: `BadInput` naming the flag.
Result<ProcessSettings> parseProcessSettings(const ProcessFlags &Flags,
                                             Incarnation Life);

/// Returns the control plane settings of a process. `Requests` and `Admin` are
/// the addresses that the process announces.
ControlPlane::Settings makeControlPlaneSettings(const ProcessSettings &Process,
                                                Role Kind, Address Requests,
                                                Address Admin);

/// Returns the account of what callers, or daemons that forward for them, make
/// the process hold: a third of its memory and half of its descriptors.
/// `OnYield` is called for each connection that is closed in favor of others.
std::shared_ptr<PeerMemory> makePeerMemory(const ProcessSettings &Process,
                                           std::function<void()> OnYield);

/// Status common to entries and daemons.
struct ProcessStatus {
  ProcessSettings Settings;
  Role Kind = Role::Daemon;
  bool Ready = false;
  bool Leaving = false;
  std::size_t InFlight = 0;
  Offset Next = 0;
  Offset ConfigRevision = 0;
};
/// Returns the common status as a JSON object for `/status`.
std::string encodeProcessStatus(const ProcessStatus &Status);

/// Returns the load of a daemon's servers as a JSON object for `/status`.
std::string encodeServerLoads(const std::vector<ReportedLoad> &Loads);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_PROCESSSETTINGS_H
