/// \file
/// Lost connections of requests whose servers may have crashed, until that is
/// known.
///
/// An unresolved loss counts at once, like a crash, for the isolation of the
/// request and for the number of servers that it may crash. It is part of the
/// crash record of the request, so that all processes count it. Its holder, the
/// process that lost the connection, replaces it by a crash or withdraws it.
#ifndef WASABI_QUARANTINE_SERVERLOSSES_H
#define WASABI_QUARANTINE_SERVERLOSSES_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Quarantine/RequestDigest.h"

#include <compare>
#include <map>
#include <set>
#include <string>

namespace wasabi {

/// A lost connection to a server. An immutable value.
struct ServerLoss {
  ServerIncarnation Server;
  /// Identifies the process that lost the connection.
  std::string Holder;
  /// True if no other suspect ran on the server.
  bool Isolated = false;
  auto operator<=>(const ServerLoss &) const = default;
};

/// The unresolved losses of one request, and when this process learned of them.
using RequestLosses = std::map<ServerLoss, TimePoint>;

/// The unresolved losses that one process knows. Owned by one thread.
struct ServerLosses {
  struct Settings {
    /// Time after which a loss of another process is ignored. That process may
    /// have ended.
    Millis Validity{5000};
  };

  Settings Limits;
  /// Holder of the losses of this process.
  std::string Self;
  std::map<RequestDigest, RequestLosses> Requests;
};

/// Adds a loss of this process.
void addLoss(ServerLosses &Losses, const RequestDigest &Digest,
             const ServerIncarnation &Server, bool Isolated, TimePoint Now);

/// Removes the losses of a server by this process. Returns true if there was
/// one.
bool removeLoss(ServerLosses &Losses, const RequestDigest &Digest,
                const ServerIncarnation &Server);

/// Removes the losses of other processes under a request.
void removeOtherLosses(ServerLosses &Losses, const RequestDigest &Digest);

/// Returns the servers of the recorded losses of other processes that this
/// process doesn't know yet. Pure.
std::set<ServerIncarnation> findNewLosses(const ServerLosses &Losses,
                                          const RequestDigest &Digest,
                                          const std::set<ServerLoss> &Recorded);

/// Applies the losses of the newest record of a request. Returns true if those
/// of this process differ from it and have to be written again.
bool applyLosses(ServerLosses &Losses, const RequestDigest &Digest,
                 const std::set<ServerLoss> &Recorded, TimePoint Now);

/// Returns the losses that are valid. Pure.
RequestLosses findLosses(const ServerLosses &Losses,
                         const RequestDigest &Digest, TimePoint Now);

/// Removes the losses that are no longer valid.
void evictExpiredLosses(ServerLosses &Losses, TimePoint Now);

} // namespace wasabi

#endif // WASABI_QUARANTINE_SERVERLOSSES_H
