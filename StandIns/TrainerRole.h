/// \file
/// The stand-in for a trainer.
#ifndef WASABI_STANDINS_TRAINERROLE_H
#define WASABI_STANDINS_TRAINERROLE_H

#include "StandIns/RoleServer.h"
#include "StandIns/TrainerSimulator.h"

namespace wasabi::standins {

struct TrainerSettings {
  TrainerSimulator::Settings Simulator;
  /// How long training on a whole step takes.
  Millis TrainingTime{1000};
  /// Steps in all; 0: no end.
  std::uint64_t Steps = 0;
  /// The weight store; empty: it publishes nowhere.
  Address Store;
};

/// Used on the executor's thread.
std::shared_ptr<Role>
createTrainerRole(const boost::asio::any_io_executor &Executor,
                  const TrainerSettings &Settings);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_TRAINERROLE_H
