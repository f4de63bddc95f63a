/// \file
/// Chooses the server of the next attempt of a request from the servers'
/// expected completion times.
#ifndef WASABI_UPSTREAM_SERVERSELECTION_H
#define WASABI_UPSTREAM_SERVERSELECTION_H

#include "Wasabi/LoadExchange/ServiceLoad.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <memory>
#include <random>
#include <set>

namespace wasabi {

/// What a request needs of a server.
struct ServerQuery {
  ServiceName Service;
  /// Failure domain that is preferred to others.
  DomainName PreferredDomain;
  /// Servers that are not chosen.
  std::set<ServerIncarnation> Excluded;
  /// Load that other processes report; null if unknown. Outlives the call.
  const ServiceLoad *Others = nullptr;
  /// True if the request may be sent to a server that looks slow, to find out
  /// whether it has recovered.
  bool MayTrial = false;
};

/// Returns the time in milliseconds in which a server is expected to complete
/// one more request. Pure.
double expectedCompletionMs(const UpstreamTable &Table,
                            const UpstreamServer &Server,
                            const ServiceLoad *Others, TimePoint Now);

/// Returns the best usable server for one more request, or null if there is
/// none outside of `Query.Excluded`. Prefers servers that are not suspect, then
/// the shortest expected completion time, then the preferred failure domain.
/// Pure except for `Random`.
std::shared_ptr<UpstreamServer>
chooseServer(const UpstreamTable &Table, const StoreContact &Contact,
             const ServerQuery &Query, TimePoint Now, std::mt19937_64 &Random);

/// Returns the mean of the smoothed latencies of a service's usable servers, in
/// milliseconds; 0 if none is known yet. Pure.
double averageLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const StoreContact &Contact, TimePoint Now);

} // namespace wasabi

#endif // WASABI_UPSTREAM_SERVERSELECTION_H
