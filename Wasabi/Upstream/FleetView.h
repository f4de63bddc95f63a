/// \file
/// What one process believes of the deployment, gathered in one place for the
/// parts of the process that decide by it.
#ifndef WASABI_UPSTREAM_FLEETVIEW_H
#define WASABI_UPSTREAM_FLEETVIEW_H

#include "Wasabi/Upstream/RouteTable.h"
#include "Wasabi/Upstream/StoreContact.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <map>
#include <memory>

namespace wasabi {

/// Owned by one thread.
struct FleetView {
  /// Null until a configuration is known; never replaced by an older one.
  std::shared_ptr<const RouteTable> Routes;
  UpstreamTable Servers;
  /// The newest version that each model's trainer has named.
  std::map<ModelName, WeightVersion> NewestVersions;
  StoreContact Contact;
  /// Where this process runs.
  DomainName Domain;
};

} // namespace wasabi

#endif // WASABI_UPSTREAM_FLEETVIEW_H
