/// \file
/// The HTTP that operators and their tools read of a process: health,
/// readiness, status, metrics and time line. On a thread of its own.
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

/// What the admin server shows. Each function is called on its thread.
struct AdminSources {
  /// Whether new work may come: `/readyz` answers 200 or 503.
  std::function<bool()> Ready;
  /// JSON objects whose members `/status` merges, the later one winning.
  std::function<std::vector<std::string>()> Status;
  /// What `/status?brief=1` shows: a JSON object without the members, which
  /// grow with the system. Operators' clients ask every process for it.
  std::function<std::string()> BriefStatus;
  /// Prometheus text for `/metrics`.
  std::function<std::string()> Metrics;
};

class AdminServer {
public:
  /// Binds and starts the thread; until `setSources` it is not ready and has
  /// nothing to tell. Errors: `Unavailable` naming the address.
  static Result<std::unique_ptr<AdminServer>> create(Address Listen,
                                                     Timeline &Events);
  /// Stops the thread.
  virtual ~AdminServer() = default;
  virtual Address address() const = 0;
  /// Begins to show. Thread-safe.
  virtual void setSources(AdminSources Sources) = 0;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_ADMIN_ADMINSERVER_H
