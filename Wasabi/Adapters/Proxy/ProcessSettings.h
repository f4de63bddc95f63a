/// \file
/// Settings that entries and daemons share, and what both announce at start.
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

/// The shared flags as given. An immutable value.
struct ProcessFlags {
  std::string Instance;
  std::string FailureDomain;
  std::string Control;
  std::string Admin;
  std::string AdvertiseControl;
  std::string Log;
  std::string Instances;
  std::string Seeds;
};

/// The shared flags as read.
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
  /// Seed of the process' random choices, from its name and life.
  std::uint64_t Seed = 1;
};

/// Reads an address that may be left out. Errors: `BadInput`.
Result<Address> parseOptionalAddress(std::string_view Text,
                                     std::string_view Place);

/// Reads `IP:PORT,IP:PORT`. Errors: `BadInput`.
Result<std::vector<Address>> parseAddresses(std::string_view Text,
                                            std::string_view Place);

/// Reads and checks the shared flags; `Life` is this start. Errors: `BadInput`
/// naming the flag.
Result<ProcessSettings> parseProcessSettings(const ProcessFlags &Flags,
                                             Incarnation Life);

/// The control plane's settings of a process with these addresses.
ControlPlane::Settings makeControlPlaneSettings(const ProcessSettings &From,
                                                Role Kind, Address Requests,
                                                Address Admin);

/// A JSON object for `/status` of what every process tells.
struct ProcessStatus {
  ProcessSettings Settings;
  Role Kind = Role::Daemon;
  bool Ready = false;
  bool Leaving = false;
  std::size_t InFlight = 0;
  Offset Next = 0;
  Offset ConfigRevision = 0;
};
std::string statusJson(const ProcessStatus &What);

/// A JSON object for `/status` of a daemon's servers and their load.
std::string encodeServerLoads(const std::vector<ReportedLoad> &Loads);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_PROCESSSETTINGS_H
