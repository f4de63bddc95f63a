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
  /// Weights served at start.
  std::uint64_t Version = 1;
  EngineBatch::Settings Batch;
  /// Of each slot.
  double TokensPerSecond = 50;
  /// Time that 1,000 uncached bytes of a prompt take.
  double PrefillMillis = 20;
  PrefixCache::Settings Cache;
  bool ChecksFences = true;
  /// The weight store; empty: a load takes `LoadTime`.
  Address Store;
  Millis LoadTime{0};
  /// How old the reported load is.
  Millis LoadReportDelay{0};
  std::uint64_t Seed = 1;
};

/// Used on the executor's thread.
std::shared_ptr<Role>
createEngineRole(const boost::asio::any_io_executor &Executor,
                 const EngineSettings &Settings);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_ENGINEROLE_H
