/// \file
/// The HTTP server for operators and their tools: health, readiness, status,
/// metrics and time line of one process, served on its own thread.
#ifndef WASABI_ADAPTERS_ADMIN_ADMINSERVER_H
#define WASABI_ADAPTERS_ADMIN_ADMINSERVER_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Verdict.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

class Timeline;

/// Callbacks that supply the responses of the admin server. Each one is called
/// on the thread of the server.
struct AdminSources {
  /// True if the process accepts new work: `/readyz` responds with 200 or 503.
  std::function<bool()> Ready;
  /// JSON objects whose members `/status` merges; a later member replaces an
  /// earlier one of the same name.
  std::function<std::vector<std::string>()> Status;
  /// The JSON object for `/status?brief=1`, without the members that grow with
  /// the size of the system.
  std::function<std::string()> BriefStatus;
  /// Text for `/metrics` in the Prometheus format.
  std::function<std::string()> Metrics;
};

class AdminServer {
public:
  /// Binds the address and starts the thread. Until `setSources` is called, the
  /// server reports that it is not ready and has no status or metrics. Errors:
  /// `Unavailable` naming the address.
  static Result<std::unique_ptr<AdminServer>> create(Address Listen,
                                                     Timeline &Events);
  /// Stops the thread.
  virtual ~AdminServer() = default;
  virtual Address address() const = 0;
  /// Replaces the sources of the responses. Thread-safe.
  virtual void setSources(AdminSources Sources) = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_ADMIN_ADMINSERVER_H
