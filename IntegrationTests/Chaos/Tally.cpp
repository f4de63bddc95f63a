#include "IntegrationTests/Chaos/Tally.h"

#include <algorithm>
#include <unordered_map>

namespace wasabi::chaos {

namespace {

using RunsByMark =
    std::unordered_map<std::string, std::vector<const UpstreamRun *>>;

RunsByMark groupByMark(const std::vector<UpstreamRun> &runs) {
  RunsByMark found;
  for (const UpstreamRun &it : runs)
    found[it.Mark].push_back(&it);
  return found;
}

std::string describe(const CallerRecord &record) {
  return record.Mark + " status=" + std::to_string(record.Status) +
         " begun_us=" + std::to_string(record.Begun) +
         " ended_us=" + std::to_string(record.Ended) + " " + record.Note;
}

void count(Tally &sum, const CallerRecord &record) {
  ++sum.Requests;
  switch (record.End) {
  case CallOutcome::Whole:
    ++sum.Whole;
    break;
  case CallOutcome::Wrong:
    ++sum.WrongAnswers;
    sum.Violations.push_back("wrong answer: " + describe(record));
    break;
  case CallOutcome::NotRun:
    ++sum.NotRun;
    break;
  case CallOutcome::MayHaveRun:
    ++sum.MayHaveRun;
    break;
  }
}

/// Counts a false "not run" verdict: the request ran before the caller received
/// the verdict, or at any time if no other attempt is in doubt.
void checkNotRun(Tally &sum, const std::vector<const CallerRecord *> &attempts,
                 const std::vector<const UpstreamRun *> &runs) {
  for (const CallerRecord *it : attempts) {
    // An earlier attempt with the same key may run at any later time.
    if (it->End != CallOutcome::NotRun)
      break;
    const bool isLast = it == attempts.back();
    for (const UpstreamRun *run : runs) {
      if (!isLast && run->Started > it->Ended)
        continue;
      ++sum.FalseNotRun;
      sum.Violations.push_back("false not-run: " + describe(*it) + " ran on " +
                               run->Server + " at " +
                               std::to_string(run->Started));
      return;
    }
  }
}

} // namespace

void checkCallers(Tally &Sum, const std::vector<CallerRecord> &Seen,
                  const std::vector<UpstreamRun> &Runs) {
  const RunsByMark runs = groupByMark(Runs);
  std::unordered_map<std::string, std::vector<const CallerRecord *>> attempts;
  for (const CallerRecord &it : Seen) {
    count(Sum, it);
    attempts[it.Mark].push_back(&it);
  }
  for (const auto &[mark, sent] : attempts) {
    const auto found = runs.find(mark);
    if (found == runs.end())
      continue;
    checkNotRun(Sum, sent, found->second);
    if (isIdempotent(sent.front()->Kind) || found->second.size() < 2)
      continue;
    ++Sum.DoubleRuns;
    Sum.Violations.push_back("double run: " + describe(*sent.front()) +
                             " ran " + std::to_string(found->second.size()) +
                             " times");
  }
}

void checkPlannedStops(Tally &Sum, const std::vector<PlannedStop> &Stops,
                       const std::vector<CallerRecord> &Asked,
                       const std::vector<UpstreamRun> &Runs) {
  for (const PlannedStop &stop : Stops) {
    for (const CallerRecord &it : Asked) {
      const bool isInterrupted = it.End == CallOutcome::MayHaveRun &&
                                 it.Ended >= stop.SignalMicros &&
                                 it.Begun <= stop.Ended;
      if (!stop.WithoutOtherFaults || !isInterrupted)
        continue;
      ++Sum.InterruptedByPlannedStop;
      Sum.Violations.push_back("cut by a planned stop: " + describe(it));
    }
    for (const UpstreamRun &it : Runs) {
      const bool isMine = std::find(stop.Servers.begin(), stop.Servers.end(),
                                    it.Server) != stop.Servers.end();
      if (!isMine || it.Started <= stop.SignalMicros + DrainGraceMicros ||
          it.Started >= stop.Ended)
        continue;
      ++Sum.RunsAfterDrain;
      Sum.Violations.push_back("work to a leaving upstream: " + it.Mark +
                               " on " + it.Server + " at " +
                               std::to_string(it.Started));
    }
    if (stop.WithoutOtherFaults && !stop.ExitedCleanly)
      Sum.Violations.push_back("a planned stop did not end in order, at " +
                               std::to_string(stop.SignalMicros));
  }
}

void checkTrainerTruth(Tally &Sum, const TrainerTruth &Truth) {
  Sum.Samples += Truth.Samples;
  Sum.Duplicates += Truth.Duplicates;
  Sum.Stale += Truth.Stale;
  Sum.Mislabelled += Truth.Mislabelled;
  // The last step may still be in progress.
  if (Truth.StepsOpened > Truth.StepsComplete + 1)
    Sum.Missing += Truth.StepsOpened - Truth.StepsComplete - 1;
}

bool hasNoViolations(const Tally &Sum) {
  const std::uint64_t wrong =
      Sum.FalseNotRun + Sum.DoubleRuns + Sum.WrongAnswers +
      Sum.InterruptedByPlannedStop + Sum.Duplicates + Sum.Missing +
      Sum.Mislabelled + Sum.Stale + Sum.ConfigReverts + Sum.RunsAfterDrain;
  return wrong == 0 && Sum.Violations.empty();
}

std::string describe(const Tally &Sum) {
  std::string text;
  const auto add = [&text](std::string_view name, std::uint64_t value) {
    text += text.empty() ? "" : " ";
    text += name;
    text += "=" + std::to_string(value);
  };
  add("requests", Sum.Requests);
  add("whole", Sum.Whole);
  add("not_run", Sum.NotRun);
  add("may_have_run", Sum.MayHaveRun);
  add("false_not_run", Sum.FalseNotRun);
  add("double_runs", Sum.DoubleRuns);
  add("wrong_answers", Sum.WrongAnswers);
  add("cut_by_planned_stop", Sum.InterruptedByPlannedStop);
  add("samples", Sum.Samples);
  add("duplicates", Sum.Duplicates);
  add("missing", Sum.Missing);
  add("mislabelled", Sum.Mislabelled);
  add("stale", Sum.Stale);
  add("config_reverts", Sum.ConfigReverts);
  add("late_to_leaving", Sum.RunsAfterDrain);
  return text;
}

} // namespace wasabi::chaos
