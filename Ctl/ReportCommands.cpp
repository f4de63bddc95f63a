#include "Ctl/Commands.h"
#include "Ctl/Fleet.h"
#include "Wasabi/Adapters/PlatformLog/LogRecovery.h"
#include "Wasabi/Adapters/Telemetry/TimelineJson.h"
#include "Wasabi/Replay/Trace.h"

#include <iostream>

namespace wasabi::ctl {

namespace {

namespace asio = boost::asio;

Result<FoldState> readState(Session &With) {
  BOOST_LEAF_AUTO(log, With.log());
  BOOST_LEAF_AUTO(state, toResult(With.run(recoverFromLog(log, std::nullopt))));
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

void printInstance(const InstanceStatus &It) {
  std::cout << "instance: " << It.Who.Name << " " << toText(It.Who.Admin);
  if (It.Who.Leaving)
    std::cout << " leaving";
  if (It.Problem)
    std::cout << " not seen: " << describe(*It.Problem) << "\n";
  else
    std::cout << " next " << It.Next << " configuration " << It.ConfigRevision
              << " in flight " << It.InFlight << "\n";
}

bool hasValue(const TimelineEvent &What, std::string_view Key,
              const std::string &Wanted) {
  return Wanted.empty() || What.field(Key) == Wanted;
}

bool isWanted(const TimelineEvent &What, const Settings &Given) {
  return hasValue(What, "request", Given.Request) &&
         hasValue(What, "trainer", Given.Trainer) &&
         hasValue(What, "slot", Given.Slot) &&
         hasValue(What, "offset", Given.Offset) &&
         (Given.Instance.empty() || What.Instance == Given.Instance ||
          What.field("instance") == Given.Instance);
}

/// A process' page, or why there is none.
using Page = Outcome<TimelinePage>;

asio::awaitable<void> askPage(Session &With, const KnownInstance &Who,
                              Page &Into) {
  Outcome<std::string> text =
      co_await fetchFromAdmin(With, Who.Admin, "/timeline?from=0");
  if (!text) {
    Into = text.failure();
    co_return;
  }
  Into = toOutcome<TimelinePage>(
      [&] { return decodeTimelinePage(*text, Who.Name); });
}

/// The pages of all, in their order.
std::vector<Page> askPages(Session &With,
                           const std::vector<KnownInstance> &All) {
  std::vector<Page> out(All.size(), Page(TimelinePage()));
  With.runConcurrently(All.size(), [&](std::size_t Index) {
    return askPage(With, All[Index], out[Index]);
  });
  return out;
}

/// Merges the pages; says on stderr what is missing.
std::vector<TimelineEvent> mergePages(const std::vector<KnownInstance> &All,
                                      const std::vector<Page> &Pages,
                                      const Settings &Given) {
  std::vector<TimelineEvent> out;
  for (std::size_t i = 0; i < All.size(); ++i) {
    const Page &page = Pages[i];
    if (!page) {
      std::cerr << All[i].Name << ": not seen: " << describe(page.failure())
                << "\n";
      continue;
    }
    if (page->Dropped > 0)
      std::cerr << All[i].Name << ": " << page->Dropped
                << " older events were dropped\n";
    for (const TimelineEvent &it : page->Events)
      if (isWanted(it, Given))
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

Result<ExitCode> status(Session &With) {
  Outcome<FoldState> state =
      toOutcome<FoldState>([&] { return readState(With); });
  if (state)
    printState(*state);
  else
    std::cout << "log: " << describe(state.failure()) << "\n";
  BOOST_LEAF_AUTO(known, listInstances(With));
  bool all = true;
  for (const InstanceStatus &it : fetchStatuses(With, known)) {
    printInstance(it);
    all = all && !it.Problem;
  }
  if (!state)
    return ExitCode::Unavailable;
  return all ? ExitCode::Success : NotAllInstances;
}

Result<ExitCode> history(Session &With) {
  BOOST_LEAF_AUTO(state, readState(With));
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

Result<ExitCode> timeline(Session &With) {
  const std::string &format = With.Given.Format;
  if (format != "text" && format != "json" && format != "chrome")
    return badInput("--format", "must be text, json or chrome");
  BOOST_LEAF_AUTO(all, listInstances(With));
  std::vector<Page> pages = askPages(With, all);
  printEvents(mergePages(all, pages, With.Given), format);
  for (const Page &it : pages)
    if (!it)
      return NotAllInstances;
  return ExitCode::Success;
}

Result<ExitCode> checkDrained(Session &With) {
  BOOST_LEAF_AUTO(state, readState(With));
  const PresetDeclaration &preset = state.Config->preset();
  const std::string name = "preset " + preset.Name.Text;
  if (preset.AdmitCallers)
    std::cout << name << " admits callers\n";
  if (preset.AdmitRollouts)
    std::cout << name << " admits rollouts\n";
  bool drained = !preset.AdmitCallers && !preset.AdmitRollouts;
  BOOST_LEAF_AUTO(known, listInstances(With));
  for (const InstanceStatus &it : fetchStatuses(With, known)) {
    bool idle = !it.Problem && it.InFlight == 0;
    // An instance that lags may still admit what the preset refuses.
    bool current = !it.Problem && it.ConfigRevision >= state.ConfigRevision;
    if (!idle || !current)
      printInstance(it);
    drained = drained && idle && current;
  }
  std::cout << (drained ? "drained\n" : "not drained\n");
  return drained ? ExitCode::Success : ExitCode::OutcomeNotMet;
}

} // namespace wasabi::ctl
