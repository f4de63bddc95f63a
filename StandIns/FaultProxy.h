/// \file
/// A TCP proxy that injects faults between two processes.
#ifndef WASABI_STANDINS_FAULTPROXY_H
#define WASABI_STANDINS_FAULTPROXY_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

/// The proxy is a role whose faults its control server sets; `truth` counts
/// connections and bytes. Used on the context's thread only.
class FaultProxy : public Role {
public:
  struct Settings {
    Address Listen{"127.0.0.1", 0};
    /// Where it connects to for each connection that it takes.
    Address Upstream;
    std::uint64_t Seed = 1;
  };

  /// Binds and starts to accept. Errors: `Unavailable` naming the address.
  static Result<std::shared_ptr<FaultProxy>>
  create(boost::asio::io_context &Context, Settings What);

  /// The address bound.
  virtual Address address() const = 0;

protected:
  using Role::Role;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_FAULTPROXY_H
