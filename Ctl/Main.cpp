/// \file
/// wasabictl: publishes configuration and shows the state of the system.
#include "Ctl/Commands.h"
#include "Wasabi/Core/SettingChecks.h"

#include <gflags/gflags.h>

DEFINE_string(log, "", "IP:PORT of the platform's log.");
DEFINE_string(store, "", "IP:PORT of the users' platform's store.");
DEFINE_string(instances, "", "IP:PORT of the platform's list of instances.");
DEFINE_string(peers, "", "Admin addresses IP:PORT,... of processes to ask.");
DEFINE_string(operator, "", "Name of the operator, for the history.");
DEFINE_string(message, "", "Reason for the change, for the history.");
DEFINE_bool(prune, false, "Remove objects that are not in the folder.");
DEFINE_string(resume, "", "With apply: the id of a change to settle.");
DEFINE_int32(wait_ms, 10000,
             "Milliseconds to commit, and to wait until in force.");
DEFINE_string(format, "text", "Format of the timeline: text, json or chrome.");
DEFINE_string(request, "", "Only events of this request.");
DEFINE_string(trainer, "", "Only events of this trainer.");
DEFINE_string(slot, "", "Only events of this slot.");
DEFINE_string(instance, "", "Only events of or about this instance.");
DEFINE_string(offset, "", "Only events of this offset of the log.");

namespace {

using wasabi::Address;
using wasabi::badInput;
using wasabi::ExitCode;
using wasabi::Result;
using wasabi::ctl::Session;
using wasabi::ctl::Settings;

constexpr int MaxWaitMs = 3600 * 1000;

const wasabi::ProgramDescription About{
    "wasabictl", "COMMAND [ARGUMENT]",
    "Commands:\n"
    "  validate DIR     check the declarations of a folder\n"
    "  plan DIR         show what apply would change; writes nothing\n"
    "  apply DIR        publish it and wait until in force (--prune)\n"
    "  apply --resume ID  settle a change whose outcome is unknown\n"
    "  preset NAME      activate a preset\n"
    "  rollback OFFSET  commit a change that restores the state after OFFSET\n"
    "  status           the state in the log and the progress of each "
    "instance\n"
    "  history          all changes with operator, result and reason\n"
    "  timeline         the merged timeline of all instances\n"
    "  usage            the usage reporter and the reported windows (--store)\n"
    "  drain-check      check that no request is in flight or admitted\n"
    "Exit codes besides those below: 1 also for a refused change,\n"
    "5 accepted, but not confirmed in force on all instances, 6 unknown "
    "outcome."};

Result<Address> optionalAddress(const char *Flag, const std::string &Text) {
  if (Text.empty())
    return Address{};
  return wasabi::checkAddress(Flag, Text);
}

Result<Settings> readSettings() {
  Settings out;
  BOOST_LEAF_ASSIGN(out.Log, optionalAddress("--log", FLAGS_log));
  BOOST_LEAF_ASSIGN(out.Store, optionalAddress("--store", FLAGS_store));
  BOOST_LEAF_ASSIGN(out.Instances,
                    optionalAddress("--instances", FLAGS_instances));
  BOOST_LEAF_ASSIGN(out.Peers, wasabi::checkAddresses("--peers", FLAGS_peers));
  BOOST_LEAF_AUTO(timeout,
                  wasabi::checkRange("--wait_ms", FLAGS_wait_ms, 1, MaxWaitMs));
  out.Timeout = wasabi::Millis(timeout);
  out.Operator = FLAGS_operator;
  out.Message = FLAGS_message;
  out.Prune = FLAGS_prune;
  out.ResumeId = FLAGS_resume;
  out.Format = FLAGS_format;
  out.Request = FLAGS_request;
  out.Trainer = FLAGS_trainer;
  out.Slot = FLAGS_slot;
  out.Instance = FLAGS_instance;
  out.Offset = FLAGS_offset;
  return out;
}

/// A command that takes one argument.
using ArgumentCommand = Result<ExitCode> (*)(Session &, const std::string &);
/// A command that takes none.
using PlainCommand = Result<ExitCode> (*)(Session &);

struct NamedArgumentCommand {
  std::string_view Name;
  ArgumentCommand Run;
};
struct NamedPlainCommand {
  std::string_view Name;
  PlainCommand Run;
};

Result<ExitCode> validateOnly(Session &, const std::string &Folder) {
  return wasabi::ctl::validate(Folder);
}

constexpr NamedArgumentCommand ArgumentCommands[] = {
    {"validate", validateOnly},
    {"plan", wasabi::ctl::plan},
    {"apply", wasabi::ctl::applyFolder},
    {"preset", wasabi::ctl::preset},
    {"rollback", wasabi::ctl::rollback}};

constexpr NamedPlainCommand PlainCommands[] = {
    {"status", wasabi::ctl::status},
    {"history", wasabi::ctl::history},
    {"timeline", wasabi::ctl::timeline},
    {"usage", wasabi::ctl::usage},
    {"drain-check", wasabi::ctl::checkDrained}};

Result<ExitCode> runCommand(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return badInput("COMMAND", "is missing; see --help");
  BOOST_LEAF_AUTO(settings, readSettings());
  Session session(std::move(settings));
  const std::string &name = Arguments.front();
  if (name == "apply" && Arguments.size() == 1 &&
      !session.Flags.ResumeId.empty())
    return wasabi::ctl::resume(session);
  for (const NamedArgumentCommand &it : ArgumentCommands) {
    if (it.Name != name)
      continue;
    if (Arguments.size() != 2)
      return badInput(name, "takes one argument; see --help");
    return it.Run(session, Arguments[1]);
  }
  for (const NamedPlainCommand &it : PlainCommands) {
    if (it.Name != name)
      continue;
    if (Arguments.size() != 1)
      return badInput(name, "takes no argument; see --help");
    return it.Run(session);
  }
  return badInput(name, "is not a command; see --help");
}

} // namespace

int main(int argc, char **argv) {
  const wasabi::ProgramStart start = wasabi::startProgram(About, argc, argv);
  if (start.Exit)
    return static_cast<int>(*start.Exit);
  return wasabi::runProgram(About, [&] { return runCommand(start.Arguments); });
}
