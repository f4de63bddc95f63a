/// \file
/// The stand-in for the rate-limited weight store.
#ifndef WASABI_STANDINS_WEIGHTSROLE_H
#define WASABI_STANDINS_WEIGHTSROLE_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

struct WeightsSettings {
  /// Bandwidth shared by all running fetches.
  std::uint64_t BytesPerSecond = 1000000000;
  /// Size of each version in bytes.
  std::uint64_t BlobBytes = 100000000;
  /// Maximum number of concurrent fetches.
  std::uint64_t MaxFetches = 64;
};

/// Creates the role. Used on the executor's thread.
std::shared_ptr<Role>
createWeightsRole(const boost::asio::any_io_executor &Executor,
                  const WeightsSettings &Settings);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_WEIGHTSROLE_H
