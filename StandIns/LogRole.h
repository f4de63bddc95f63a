/// \file
/// The stand-in for the platform's append-only log service.
#ifndef WASABI_STANDINS_LOGROLE_H
#define WASABI_STANDINS_LOGROLE_H

#include "StandIns/RoleServer.h"

namespace wasabi::standins {

/// Creates an empty log. Used on the executor's thread.
std::shared_ptr<Role> createLogRole(boost::asio::any_io_executor Executor);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_LOGROLE_H
