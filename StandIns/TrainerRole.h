/// \file
/// The stand-in for a trainer.
#ifndef WASABI_STANDINS_TRAINERROLE_H
#define WASABI_STANDINS_TRAINERROLE_H

#include "StandIns/RoleServer.h"
#include "StandIns/TrainerSimulator.h"

namespace wasabi::standins {

struct TrainerSettings {
  TrainerSimulator::Settings Simulator;
  /// Duration of training on a complete step.
  Millis TrainingTime{1000};
  /// Maximum number of steps; 0 for no limit.
  std::uint64_t Steps = 0;
  /// Address of the weight store. If empty, versions are not published to a
  /// store.
  Address Store;
};

/// Creates the role. Used on the executor's thread.
std::shared_ptr<Role>
createTrainerRole(const boost::asio::any_io_executor &Executor,
                  const TrainerSettings &Settings);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_TRAINERROLE_H
