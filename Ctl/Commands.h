/// \file
/// The commands of wasabictl. Each prints on stdout and gives the exit code;
/// failures are reported by the caller.
#ifndef WASABI_CTL_COMMANDS_H
#define WASABI_CTL_COMMANDS_H

#include "Ctl/Session.h"

#include <string>

namespace wasabi::ctl {

/// Checks a folder by itself; asks nobody.
Result<ExitCode> validate(const std::string &Folder);
/// Shows what `apply` would change; writes nothing.
Result<ExitCode> plan(Session &With, const std::string &Folder);
/// Publishes a folder and waits until it is in force.
Result<ExitCode> applyFolder(Session &With, const std::string &Folder);
/// Settles a change whose fate is unknown.
Result<ExitCode> resume(Session &With);
/// Puts a preset into force.
Result<ExitCode> preset(Session &With, const std::string &Name);
/// A new change that brings the objects back as they were after an offset.
Result<ExitCode> rollback(Session &With, const std::string &At);

/// What is agreed, and how far each instance is.
Result<ExitCode> status(Session &With);
/// Changes with operator, message, fate and reason.
Result<ExitCode> history(Session &With);
/// The merged time line of all instances.
Result<ExitCode> timeline(Session &With);
/// Who reports customers' usage, and which windows are told, by the store of
/// the users' platform.
Result<ExitCode> usage(Session &With);
/// Whether no request is in flight anywhere and none is admitted.
Result<ExitCode> checkDrained(Session &With);

} // namespace wasabi::ctl

#endif // WASABI_CTL_COMMANDS_H
