/// \file
/// Claims of servers for the runs of suspects, so that two suspects never share
/// a server, whichever processes send them.
///
/// A claim is part of the crash record of a request. The order of the topic
/// decides between two claims of one server: the earlier one holds.
#ifndef WASABI_QUARANTINE_RUNCLAIMS_H
#define WASABI_QUARANTINE_RUNCLAIMS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Quarantine/RequestDigest.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace wasabi {

/// A claim as it is written to the topic. An immutable value.
struct RunClaim {
  ServerIncarnation Server;
  /// Identifies the claiming process.
  std::string Holder;
  bool operator==(const RunClaim &) const = default;
};

/// A claim of this process.
struct OwnClaim {
  ServerIncarnation Server;
  /// Offset at which the claim was read back; empty until then. All earlier
  /// claims are known from that time on.
  std::optional<Offset> ReadAt;
};

/// A claim of another process.
struct OtherClaim {
  RunClaim Claim;
  /// Offset of its first record. The record may be written again with the same
  /// claim, which keeps its place in the order.
  Offset At = 0;
  /// When this process has read it.
  TimePoint Since;
};

/// The claims that one process knows. Owned by one thread.
struct RunClaims {
  struct Settings {
    /// Time after which the claim of another process is ignored: its process
    /// may have ended. Covers the usual duration of a run.
    Millis Validity{2000};
  };

  Settings Limits;
  /// Holder of the claims of this process.
  std::string Self;
  std::map<RequestDigest, OwnClaim> Own;
  std::map<RequestDigest, OtherClaim> Others;
};

/// Applies the newest record of a request, which was read at offset `At`.
/// `Claim` is empty if the record has none. Returns true if the record lacks a
/// claim of this process, which has to be written again.
bool applyClaim(RunClaims &Claims, const RequestDigest &Digest,
                const std::optional<RunClaim> &Claim, Offset At, TimePoint Now);

/// Returns the servers that are claimed for any request. Pure.
std::set<ServerIncarnation> claimedServers(const RunClaims &Claims,
                                           TimePoint Now);

/// Returns true if this or another process has claimed a server for a request.
/// Pure.
bool isRunClaimed(const RunClaims &Claims, const RequestDigest &Digest,
                  TimePoint Now);

/// State of a claim of this process.
enum class ClaimStatus : std::uint8_t {
  /// It has not been read back yet, or was released.
  Pending,
  /// The server runs no other suspect.
  Held,
  /// Another process has claimed the server or the request before.
  Lost,
};

/// Returns the state of the claim of this process for a request. Pure.
ClaimStatus claimStatus(const RunClaims &Claims, const RequestDigest &Digest,
                        TimePoint Now);

} // namespace wasabi

#endif // WASABI_QUARANTINE_RUNCLAIMS_H
