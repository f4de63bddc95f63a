/// \file
/// One process's view of the deployment: routes, upstream servers, weight
/// versions and the state of the store connection.
#ifndef WASABI_UPSTREAM_FLEETVIEW_H
#define WASABI_UPSTREAM_FLEETVIEW_H

#include "Wasabi/Upstream/RouteTable.h"
#include "Wasabi/Upstream/StoreContact.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <map>
#include <memory>

namespace wasabi {

/// The state on which routing and dispatch decisions are based. Owned by one
/// thread.
struct FleetView {
  /// Null until a configuration has been read; never replaced by an older one.
  std::shared_ptr<const RouteTable> Routes;
  UpstreamTable Servers;
  /// Newest weight version that each model's trainer has named.
  std::map<ModelName, WeightVersion> NewestVersions;
  StoreContact Contact;
  /// Failure domain in which this process runs.
  DomainName Domain;
};

} // namespace wasabi

#endif // WASABI_UPSTREAM_FLEETVIEW_H
