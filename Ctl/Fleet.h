/// \file
/// Finds the processes of the system and reads their status.
#ifndef WASABI_CTL_FLEET_H
#define WASABI_CTL_FLEET_H

#include "Ctl/Session.h"
#include "Wasabi/Core/Ids.h"

#include <string>
#include <vector>

namespace wasabi::ctl {

/// A process and its admin address.
struct KnownInstance {
  std::string Name;
  Address Admin;
  bool Leaving = false;
};

/// The status of a process, or the failure that prevented reading it.
struct InstanceStatus {
  KnownInstance Instance;
  std::optional<Failure> Problem;
  /// Offset after the last applied record.
  Offset NextOffset = 0;
  Offset ConfigRevision = 0;
  /// Number of requests in flight.
  std::uint64_t InFlight = 0;
};

/// Returns all processes in the platform's list, in `--peers`, and in the
/// member view of the first process that answers, because the list lags.
/// Errors: `BadInput` when neither flag is given, `Unavailable` when no source
/// can be read.
Result<std::vector<KnownInstance>> listInstances(Session &CtlSession);

/// Reads the status of all instances concurrently.
std::vector<InstanceStatus>
fetchStatuses(Session &CtlSession, const std::vector<KnownInstance> &Instances);

/// Polls all instances until each has applied the record at `At` or the timeout
/// has expired.
std::vector<InstanceStatus>
awaitApplied(Session &CtlSession, const std::vector<KnownInstance> &Instances,
             Offset At);

/// Sends a GET request to an admin address; any status but 200 is a failure.
boost::asio::awaitable<Outcome<std::string>>
fetchFromAdmin(Session &CtlSession, Address Endpoint, std::string Target);

} // namespace wasabi::ctl

#endif // WASABI_CTL_FLEET_H
