/// \file
/// The stand-in for a plain service.
#ifndef WASABI_STANDINS_SERVICEROLE_H
#define WASABI_STANDINS_SERVICEROLE_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

struct ServiceSettings {
  std::string Name = "service";
  /// Duration of one run.
  Millis Latency{0};
  /// Maximum number of concurrent runs; further ones wait. 0 for no limit.
  std::uint64_t Slots = 0;
};

/// Creates the role. Used on the executor's thread.
std::shared_ptr<Role> createServiceRole(boost::asio::any_io_executor Executor,
                                        ServiceSettings Settings);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_SERVICEROLE_H
