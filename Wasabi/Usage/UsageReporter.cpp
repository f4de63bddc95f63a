#include "Wasabi/Usage/UsageReporter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace wasabi {

namespace asio = boost::asio;

namespace {

std::uint64_t sumOf(const UsageCounts &Counts) {
  std::uint64_t sum = 0;
  for (const auto &[customer, count] : Counts)
    sum += count;
  return sum;
}

std::string namesOf(const std::vector<UsageSource> &Sources) {
  std::vector<std::string> names;
  names.reserve(Sources.size());
  for (const UsageSource &it : Sources)
    names.push_back(it.Instance.Text);
  return fmt::format("{}", fmt::join(names, ","));
}

} // namespace

UsageReporter::UsageReporter(Parts Deps, Settings Limits)
    : Limits(std::move(Limits)), Deps(std::move(Deps)),
      Changed(this->Deps.Executor) {}

std::shared_ptr<UsageReporter> UsageReporter::create(Parts Deps,
                                                     Settings Limits) {
  return std::shared_ptr<UsageReporter>(
      new UsageReporter(std::move(Deps), std::move(Limits)));
}

void UsageReporter::start() {
  std::shared_ptr<UsageReporter> self = shared_from_this();
  asio::co_spawn(
      Deps.Executor, [self] { return self->followLoop(); }, asio::detached);
  asio::co_spawn(
      Deps.Executor, [self] { return self->reportLoop(); }, asio::detached);
}

WallTime UsageReporter::trueNow() const {
  return Deps.Wall.at(monotonicNow()) -
         clockSkew(State, Limits.Self, Limits.Windows);
}

//===--- Reading and deciding ---------------------------------------------===//

asio::awaitable<void> UsageReporter::followLoop() {
  for (;;) {
    if (!Deps.Lease->held()) {
      CaughtUp = false;
      co_await pauseFor(Deps.Executor, Limits.RetryDelay);
      continue;
    }
    bool read = co_await readOnce();
    if (!read)
      co_await pauseFor(Deps.Executor, Limits.RetryDelay);
    else if (CaughtUp)
      co_await decide();
  }
}

/// Reads the next range of the topic; returns false if the read failed.
asio::awaitable<bool> UsageReporter::readOnce() {
  bool wasCaughtUp = CaughtUp;
  TimePoint before = ReadAt;
  Outcome<LogRead> got = co_await Deps.Store.Read(
      UsageTopic, State.Next, Limits.ReadTimeout, Limits.MaxReadBytes);
  if (!got) {
    // The next records may have been delayed for the whole outage.
    CaughtUp = false;
    co_return got.failure().Code == FailureCode::Cancelled;
  }
  const LogRange *range = std::get_if<LogRange>(&*got);
  if (range == nullptr) {
    skipExpired(std::get<ExpiredOffset>(*got));
    co_return true;
  }
  ReadAt = monotonicNow();
  // If the last read reached the end, these records were written since then.
  applyRange(*range, wasCaughtUp ? std::chrono::ceil<Millis>(ReadAt - before)
                                 : Millis::max());
  if (wasCaughtUp && !range->Entries.empty())
    co_await pauseFor(Deps.Executor, Limits.ReadDelay);
  co_return true;
}

/// Starts anew at the first retained record. What was decided or reported
/// before is unknown, and no window may be decided before the topic has been
/// read to its end.
void UsageReporter::skipExpired(const ExpiredOffset &Expired) {
  Deps.Decisions->line("usage.records_expired",
                       {{"expected", std::to_string(State.Next)},
                        {"first", std::to_string(Expired.First)}});
  State = UsageState();
  State.Next = Expired.First;
  LateLogged = 0;
  CaughtUp = false;
}

void UsageReporter::applyRange(const LogRange &Range, Millis Age) {
  TimePoint now = monotonicNow();
  UsageReadContext context{now, Deps.Wall.at(now), Age};
  for (const LogEntry &it : Range.Entries) {
    Outcome<UsageRecord> record = toOutcome<UsageRecord>([&] {
      return decodeUsage(it.Text,
                         std::string(UsageTopic) + "@" + std::to_string(it.At));
    });
    if (record)
      apply(State, it.At, *record, context, Limits.Windows);
    else
      Deps.Decisions->line("usage.record_unreadable",
                           {{"reason", describe(record.failure())}});
    State.Next = std::max(State.Next, it.At + 1);
  }
  expire(State, now, Limits.Windows);
  CaughtUp = State.Next >= Range.End;
  if (State.Late > LateLogged)
    Deps.Decisions->line("usage.late",
                         {{"requests", std::to_string(State.Late - LateLogged)},
                          {"all", std::to_string(State.Late)}});
  LateLogged = State.Late;
  if (!Range.Entries.empty())
    Changed.notify();
}

/// Logs the processes whose counts are missing for the next window, once per
/// window, if its settle delay has passed.
void UsageReporter::logMissingSources(WallTime TrueNow, TimePoint Now) {
  if (!State.FirstUndecided || LastLoggedWindow == State.FirstUndecided ||
      TrueNow < windowEnd(*State.FirstUndecided, Limits.Windows.Window) +
                    Limits.Windows.SettleDelay)
    return;
  LastLoggedWindow = State.FirstUndecided;
  Deps.Decisions->line(
      "usage.waiting",
      {{"window", std::to_string(*State.FirstUndecided)},
       {"missing", namesOf(missingSources(State, *State.FirstUndecided, Now,
                                          Limits.Windows))}});
}

asio::awaitable<Outcome<Offset>> UsageReporter::append(UsageRecord Record) {
  std::vector<std::string> records{encodeUsage(Record)};
  co_return co_await Deps.Store.Append(UsageTopic, std::move(records),
                                       std::nullopt, Limits.AppendTimeout);
}

/// Decides the next window if it is due. Another process may append a different
/// decision; the first one in the topic is valid.
asio::awaitable<void> UsageReporter::decide() {
  TimePoint now = monotonicNow();
  WallTime trueTime = trueNow();
  std::optional<UsageWindow> due =
      findDueWindow(State, trueTime, now, Deps.Contact, Limits.Windows);
  if (!due) {
    logMissingSources(trueTime, now);
    co_return;
  }
  UsageDecision decision{*due, countsOf(State, *due, Limits.Windows)};
  std::vector<UsageSource> missing =
      missingSources(State, *due, now, Limits.Windows);
  std::uint64_t sum = sumOf(decision.Counts);
  std::size_t customers = decision.Counts.size();
  // GCC 12 destroys a temporary twice if it is converted within a co_await
  // expression.
  UsageRecord record = std::move(decision);
  Outcome<Offset> got = co_await append(std::move(record));
  Deps.Decisions->line(
      "usage.decided",
      {{"window", std::to_string(*due)},
       {"requests", std::to_string(sum)},
       {"customers", std::to_string(customers)},
       {"missing", namesOf(missing)},
       {"after_ms",
        std::to_string(
            (trueTime - windowEnd(*due, Limits.Windows.Window)).count())},
       {"result", got ? "appended" : describe(got.failure())}});
  if (!got)
    co_await pauseFor(Deps.Executor, Limits.RetryDelay);
}

//===--- Reporting --------------------------------------------------------===//

asio::awaitable<void> UsageReporter::reportLoop() {
  for (;;) {
    std::optional<LeasePermit> permit = Deps.Lease->permit();
    TimePoint now = monotonicNow();
    bool permitted = permit && permit->From <= now && now < permit->Until;
    if (!permitted || !CaughtUp || State.Untold.empty()) {
      co_await Changed.wait(now + Limits.RetryDelay);
      continue;
    }
    bool reported = co_await reportOldest(*permit);
    co_await pauseFor(Deps.Executor,
                      reported ? Limits.MinReportInterval : Limits.RetryDelay);
  }
}

asio::awaitable<bool> UsageReporter::reportOldest(LeasePermit Permit) {
  UsageDecision decision{State.Untold.begin()->first,
                         State.Untold.begin()->second};
  UsageWindow window = decision.Window;
  std::uint64_t sum = sumOf(decision.Counts);
  CallPermit stamp{Limits.Self.Instance, Permit.Token, Permit.Until};
  Outcome<Done> got = co_await Deps.Platform.Usage(std::move(decision), stamp,
                                                   Limits.CallTimeout);
  Millis after = std::chrono::duration_cast<Millis>(
      trueNow() - windowEnd(window, Limits.Windows.Window));
  Deps.Decisions->line("usage.report",
                       {{"window", std::to_string(window)},
                        {"token", std::to_string(Permit.Token)},
                        {"requests", std::to_string(sum)},
                        {"after_ms", std::to_string(after.count())},
                        {"late", after > Limits.Windows.Due ? "yes" : "no"},
                        {"result", got ? "taken" : describe(got.failure())}});
  Deps.Counts
      .counter("usage_reports_total", "Reports of windows, by outcome",
               {{"outcome", got ? "taken" : "failed"}})
      .add();
  if (!got)
    co_return false;
  // A report that a successor repeats is harmless; this process does not repeat
  // it.
  State.Untold.erase(window);
  UsageRecord reported = UsageReported{window};
  Outcome<Offset> appended = co_await append(std::move(reported));
  if (!appended)
    Deps.Decisions->line("usage.told_not_noted",
                         {{"window", std::to_string(window)},
                          {"reason", describe(appended.failure())}});
  co_return true;
}

} // namespace wasabi
