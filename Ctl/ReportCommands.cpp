#include "Ctl/Commands.h"
#include "Ctl/Fleet.h"
#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"
#include "Wasabi/Adapters/Telemetry/TimelineJson.h"
#include "Wasabi/Replay/Trace.h"

#include <iostream>

namespace wasabi::ctl {

namespace {

namespace asio = boost::asio;

Result<FoldState> readState(Session &CtlSession) {
  BOOST_LEAF_AUTO(log, CtlSession.log());
  BOOST_LEAF_AUTO(state,
                  toResult(CtlSession.run(recoverFromLog(log, std::nullopt))));
  return state;
}

void printState(const FoldState &State) {
  std::cout << "log: " << State.Next << " records, configuration revision "
            << State.ConfigRevision << ", snapshot revision "
            << State.SnapshotRevision << "\n";
  if (State.BlockedOffset)
    std::cout << "log: offset " << *State.BlockedOffset
              << " is a record of a newer program\n";
  const std::string preset = State.Config->ActivePreset.Text;
  std::cout << "preset: " << (preset.empty() ? "(defaults)" : preset) << "\n";
  std::cout << "objects: " << State.Objects.size() << "\n";
  for (const auto &[resource, claim] : State.Claims)
    std::cout << "claim: " << resource << " "
              << (claim.Released ? "free, last held by " : "held by ")
              << claim.Holder.Text << ", token " << claim.Token << "\n";
}

void printInstance(const InstanceStatus &Status) {
  std::cout << "instance: " << Status.Instance.Name << " "
            << toText(Status.Instance.Admin);
  if (Status.Instance.Leaving)
    std::cout << " leaving";
  if (Status.Problem)
    std::cout << " not seen: " << describe(*Status.Problem) << "\n";
  else
    std::cout << " next " << Status.NextOffset << " configuration "
              << Status.ConfigRevision << " in flight " << Status.InFlight
              << "\n";
}

bool matchesField(const TimelineEvent &Event, std::string_view Key,
                  const std::string &Value) {
  return Value.empty() || Event.field(Key) == Value;
}

bool matchesFilter(const TimelineEvent &Event, const Settings &Flags) {
  return matchesField(Event, "request", Flags.Request) &&
         matchesField(Event, "trainer", Flags.Trainer) &&
         matchesField(Event, "slot", Flags.Slot) &&
         matchesField(Event, "offset", Flags.Offset) &&
         (Flags.Instance.empty() || Event.Instance == Flags.Instance ||
          Event.field("instance") == Flags.Instance);
}

/// The timeline page of a process, or the failure that prevented reading it.
using Page = Outcome<TimelinePage>;

asio::awaitable<void> fetchPage(Session &CtlSession,
                                const KnownInstance &Instance, Page &Fetched) {
  Outcome<std::string> text =
      co_await fetchFromAdmin(CtlSession, Instance.Admin, "/timeline?from=0");
  if (!text) {
    Fetched = text.failure();
    co_return;
  }
  Fetched = toOutcome<TimelinePage>(
      [&] { return decodeTimelinePage(*text, Instance.Name); });
}

/// Returns the pages of all instances, in the order of `Instances`.
std::vector<Page> fetchPages(Session &CtlSession,
                             const std::vector<KnownInstance> &Instances) {
  std::vector<Page> out(Instances.size(), Page(TimelinePage()));
  CtlSession.runConcurrently(Instances.size(), [&](std::size_t Index) {
    return fetchPage(CtlSession, Instances[Index], out[Index]);
  });
  return out;
}

/// Merges the pages and prints missing pages and events on stderr.
std::vector<TimelineEvent>
mergePages(const std::vector<KnownInstance> &Instances,
           const std::vector<Page> &Pages, const Settings &Flags) {
  std::vector<TimelineEvent> out;
  for (std::size_t i = 0; i < Instances.size(); ++i) {
    const Page &page = Pages[i];
    if (!page) {
      std::cerr << Instances[i].Name
                << ": not seen: " << describe(page.failure()) << "\n";
      continue;
    }
    if (page->Dropped > 0)
      std::cerr << Instances[i].Name << ": " << page->Dropped
                << " older events were dropped\n";
    for (const TimelineEvent &it : page->Events)
      if (matchesFilter(it, Flags))
        out.push_back(it);
  }
  return replay::makeTrace(std::move(out)).Events;
}

void printEvents(const std::vector<TimelineEvent> &Events,
                 const std::string &Format) {
  if (Format == "chrome") {
    std::cout << encodeChromeTrace(Events);
    return;
  }
  for (const TimelineEvent &it : Events)
    std::cout << (Format == "json" ? encodeEvent(it)
                                   : replay::describeEvent(it))
              << "\n";
}

} // namespace

Result<ExitCode> status(Session &CtlSession) {
  Outcome<FoldState> state =
      toOutcome<FoldState>([&] { return readState(CtlSession); });
  if (state)
    printState(*state);
  else
    std::cout << "log: " << describe(state.failure()) << "\n";
  BOOST_LEAF_AUTO(known, listInstances(CtlSession));
  bool all = true;
  for (const InstanceStatus &it : fetchStatuses(CtlSession, known)) {
    printInstance(it);
    all = all && !it.Problem;
  }
  if (!state)
    return ExitCode::Unavailable;
  return all ? ExitCode::Success : NotAllInstances;
}

Result<ExitCode> history(Session &CtlSession) {
  BOOST_LEAF_AUTO(state, readState(CtlSession));
  for (const HistoryEntry &it : state.History) {
    std::cout << "offset " << it.At << " " << toText(it.ApplyStatus) << " by "
              << it.Operator;
    for (const std::string &key : it.Keys)
      std::cout << " " << key;
    if (!it.Message.empty())
      std::cout << " \"" << it.Message << "\"";
    if (!it.Reason.empty())
      std::cout << " (" << it.Reason << ")";
    std::cout << "\n";
  }
  return ExitCode::Success;
}

Result<ExitCode> timeline(Session &CtlSession) {
  const std::string &format = CtlSession.Flags.Format;
  if (format != "text" && format != "json" && format != "chrome")
    return badInput("--format", "must be text, json or chrome");
  BOOST_LEAF_AUTO(all, listInstances(CtlSession));
  std::vector<Page> pages = fetchPages(CtlSession, all);
  printEvents(mergePages(all, pages, CtlSession.Flags), format);
  for (const Page &it : pages)
    if (!it)
      return NotAllInstances;
  return ExitCode::Success;
}

Result<ExitCode> checkDrained(Session &CtlSession) {
  BOOST_LEAF_AUTO(state, readState(CtlSession));
  const PresetDeclaration &preset = state.Config->preset();
  const std::string name = "preset " + preset.Name.Text;
  if (preset.AdmitCallers)
    std::cout << name << " admits callers\n";
  if (preset.AdmitRollouts)
    std::cout << name << " admits rollouts\n";
  bool drained = !preset.AdmitCallers && !preset.AdmitRollouts;
  BOOST_LEAF_AUTO(known, listInstances(CtlSession));
  for (const InstanceStatus &it : fetchStatuses(CtlSession, known)) {
    bool idle = !it.Problem && it.InFlight == 0;
    // An instance that is behind may still admit requests that the preset
    // refuses.
    bool current = !it.Problem && it.ConfigRevision >= state.ConfigRevision;
    if (!idle || !current)
      printInstance(it);
    drained = drained && idle && current;
  }
  std::cout << (drained ? "drained\n" : "not drained\n");
  return drained ? ExitCode::Success : ExitCode::OutcomeNotMet;
}

} // namespace wasabi::ctl
