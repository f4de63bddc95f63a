/// \file
/// The processes of the system as an operator's client can see them.
#ifndef WASABI_CTL_FLEET_H
#define WASABI_CTL_FLEET_H

#include "Ctl/Session.h"
#include "Wasabi/Core/Ids.h"

#include <string>
#include <vector>

namespace wasabi::ctl {

/// One process that is known of.
struct KnownInstance {
  std::string Name;
  Address Admin;
  bool Leaving = false;
};

/// What one process says of itself, or why it says nothing.
struct InstanceStatus {
  KnownInstance Who;
  std::optional<Failure> Problem;
  /// Records applied, and what is in force.
  Offset Next = 0;
  Offset ConfigRevision = 0;
  /// Requests that it carries now.
  std::uint64_t InFlight = 0;
};

/// All processes in the platform's list, in `--peers`, and in the view of one
/// of them: the list lags. Errors: `BadInput` when neither flag is given,
/// `Unavailable` when nobody answers.
Result<std::vector<KnownInstance>> listInstances(Session &With);

/// Asks all for `/status` at once.
std::vector<InstanceStatus> fetchStatuses(Session &With,
                                          const std::vector<KnownInstance> &Of);

/// Asks all until each has applied the record at `At`, or the wait is over.
std::vector<InstanceStatus>
awaitApplied(Session &With, const std::vector<KnownInstance> &Of, Offset At);

/// A GET on a process' admin address; any status but 200 is a failure.
boost::asio::awaitable<Outcome<std::string>>
fetchFromAdmin(Session &With, Address Where, std::string Target);

} // namespace wasabi::ctl

#endif // WASABI_CTL_FLEET_H
