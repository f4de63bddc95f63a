/// \file
/// The commands of wasabictl. Each prints its result on stdout and returns the
/// exit code; the caller prints failures.
#ifndef WASABI_CTL_COMMANDS_H
#define WASABI_CTL_COMMANDS_H

#include "Ctl/Session.h"

#include <string>

namespace wasabi::ctl {

/// Checks the declarations in a folder without calling any process.
Result<ExitCode> validate(const std::string &Folder);
/// Prints the changes that `apply` would make; writes nothing.
Result<ExitCode> plan(Session &CtlSession, const std::string &Folder);
/// Publishes a folder and waits until it is in force.
Result<ExitCode> applyFolder(Session &CtlSession, const std::string &Folder);
/// Settles a change whose outcome is unknown.
Result<ExitCode> resume(Session &CtlSession);
/// Activates a preset.
Result<ExitCode> preset(Session &CtlSession, const std::string &Name);
/// Commits a new change that restores the objects as they were after an offset.
Result<ExitCode> rollback(Session &CtlSession, const std::string &At);

/// Prints the state in the log and the progress of each instance.
Result<ExitCode> status(Session &CtlSession);
/// Prints all changes with operator, message, result and reason.
Result<ExitCode> history(Session &CtlSession);
/// Prints the merged timeline of all instances.
Result<ExitCode> timeline(Session &CtlSession);
/// Prints the process that reports the customers' usage, and the windows that
/// it has reported, from the store of the users' platform.
Result<ExitCode> usage(Session &CtlSession);
/// Checks that no instance has a request in flight and that the preset admits
/// none.
Result<ExitCode> checkDrained(Session &CtlSession);

} // namespace wasabi::ctl

#endif // WASABI_CTL_COMMANDS_H
