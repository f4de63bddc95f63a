/// \file
/// The stand-in for a service that scores samples.
#ifndef WASABI_STANDINS_SCORERROLE_H
#define WASABI_STANDINS_SCORERROLE_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

/// Creates the role. Used on one thread.
std::shared_ptr<Role> createScorerRole();

/// Returns the score of a text, in the range [0, 1). Thread-safe.
double computeScore(std::string_view Text);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_SCORERROLE_H
