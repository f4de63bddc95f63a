/// \file
/// A TCP proxy that injects faults between two processes.
#ifndef WASABI_STANDINS_FAULTPROXY_H
#define WASABI_STANDINS_FAULTPROXY_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

/// A role whose faults are set through its control server. Its `truth` counts
/// connections and bytes. Used on the context's thread only.
class FaultProxy : public Role {
public:
  struct Settings {
    Address Listen{"127.0.0.1", 0};
    /// Upstream address for each accepted connection.
    Address Upstream;
    std::uint64_t Seed = 1;
  };

  /// Binds and starts accepting. Errors: `Unavailable` naming the address.
  static Result<std::shared_ptr<FaultProxy>>
  create(boost::asio::io_context &Context, Settings Config);

  /// Returns the bound address.
  virtual Address address() const = 0;

protected:
  using Role::Role;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_FAULTPROXY_H
