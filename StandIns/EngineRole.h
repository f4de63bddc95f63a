/// \file
/// The stand-in for a model engine with continuous batching.
#ifndef WASABI_STANDINS_ENGINEROLE_H
#define WASABI_STANDINS_ENGINEROLE_H

#include "StandIns/EngineBatch.h"
#include "StandIns/PrefixCache.h"
#include "StandIns/RoleServer.h"

namespace wasabi::standins {

struct EngineSettings {
  std::string Name = "engine";
  std::string Model = "m";
  /// Weight version served at start.
  std::uint64_t Version = 1;
  EngineBatch::Settings Batch;
  /// Generation rate of each slot.
  double TokensPerSecond = 50;
  /// Prefill time of 1,000 uncached prompt bytes.
  double PrefillMillis = 20;
  PrefixCache::Settings Cache;
  bool ChecksFences = true;
  /// Address of the weight store. If empty, a load takes `LoadTime`.
  Address Store;
  Millis LoadTime{0};
  /// Age of the reported load.
  Millis LoadReportDelay{0};
  std::uint64_t Seed = 1;
};

/// Creates an engine role. Used on the executor's thread.
std::shared_ptr<Role>
createEngineRole(const boost::asio::any_io_executor &Executor,
                 const EngineSettings &Settings);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_ENGINEROLE_H
