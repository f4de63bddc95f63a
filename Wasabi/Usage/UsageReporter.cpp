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

UsageReporter::UsageReporter(Parts With, Settings Limits)
    : Limits(std::move(Limits)), With(std::move(With)),
      Changed(this->With.Executor) {}

std::shared_ptr<UsageReporter> UsageReporter::create(Parts With,
                                                     Settings Limits) {
  return std::shared_ptr<UsageReporter>(
      new UsageReporter(std::move(With), std::move(Limits)));
}

void UsageReporter::start() {
  std::shared_ptr<UsageReporter> self = shared_from_this();
  asio::co_spawn(
      With.Executor, [self] { return self->followLoop(); }, asio::detached);
  asio::co_spawn(
      With.Executor, [self] { return self->reportLoop(); }, asio::detached);
}

WallTime UsageReporter::trueNow() const {
  return With.Wall.at(monotonicNow()) -
         clockSkew(Fold, Limits.Self, Limits.Windows);
}

//===--- What is known and decided ----------------------------------------===//

asio::awaitable<void> UsageReporter::followLoop() {
  for (;;) {
    if (!With.Duty->held()) {
      CaughtUp = false;
      co_await pauseFor(With.Executor, Limits.RetryDelay);
      continue;
    }
    bool read = co_await readOnce();
    if (!read)
      co_await pauseFor(With.Executor, Limits.RetryDelay);
    else if (CaughtUp)
      co_await decide();
  }
}

/// Reads a stretch of the topic; false if the store did not give it.
asio::awaitable<bool> UsageReporter::readOnce() {
  bool fresh = CaughtUp;
  TimePoint before = ReadAt;
  Outcome<LogRange> got = co_await With.Store.Read(
      UsageTopic, Fold.Next, Limits.Wait, Limits.ReadBytes);
  if (!got) {
    // What comes next may have waited for as long as the store was away.
    CaughtUp = false;
    co_return got.failure().Code == FailureCode::Cancelled;
  }
  ReadAt = monotonicNow();
  // What comes now was written since the last read, if that saw the end.
  take(*got,
       fresh ? std::chrono::ceil<Millis>(ReadAt - before) : Millis::max());
  if (fresh && !got->Entries.empty())
    co_await pauseFor(With.Executor, Limits.Pace);
  co_return true;
}

void UsageReporter::take(const LogRange &Range, Millis Age) {
  TimePoint now = monotonicNow();
  UsageReadContext when{now, With.Wall.at(now), Age};
  if (Range.First > Fold.Next) {
    With.Decisions->line("usage.records_expired",
                         {{"expected", std::to_string(Fold.Next)},
                          {"first", std::to_string(Range.First)}});
    Fold.Next = Range.First;
  }
  for (const LogEntry &it : Range.Entries) {
    Outcome<UsageRecord> record = toOutcome<UsageRecord>([&] {
      return decodeUsage(it.Text,
                         std::string(UsageTopic) + "@" + std::to_string(it.At));
    });
    if (record)
      apply(Fold, it.At, *record, when, Limits.Windows);
    else
      With.Decisions->line("usage.record_unreadable",
                           {{"reason", describe(record.failure())}});
    Fold.Next = std::max(Fold.Next, it.At + 1);
  }
  expire(Fold, now, Limits.Windows);
  CaughtUp = Fold.Next >= Range.End;
  if (Fold.Late > LateLogged)
    With.Decisions->line("usage.late",
                         {{"requests", std::to_string(Fold.Late - LateLogged)},
                          {"all", std::to_string(Fold.Late)}});
  LateLogged = Fold.Late;
  if (!Range.Entries.empty())
    Changed.notify();
}

/// Logs once for whom a window waits that could be decided else.
void UsageReporter::logMissingSources(WallTime TrueNow, TimePoint Now) {
  if (!Fold.FirstUndecided || LastLoggedWindow == Fold.FirstUndecided ||
      TrueNow < windowEnd(*Fold.FirstUndecided, Limits.Windows.Window) +
                    Limits.Windows.Settle)
    return;
  LastLoggedWindow = Fold.FirstUndecided;
  With.Decisions->line(
      "usage.waiting",
      {{"window", std::to_string(*Fold.FirstUndecided)},
       {"missing", namesOf(missingSources(Fold, *Fold.FirstUndecided, Now,
                                          Limits.Windows))}});
}

asio::awaitable<Outcome<Offset>> UsageReporter::append(UsageRecord What) {
  std::vector<std::string> records{encodeUsage(What)};
  co_return co_await With.Store.Append(UsageTopic, std::move(records),
                                       std::nullopt, Limits.AppendTimeout);
}

/// Decides the next window if it is time. Another process may have decided it
/// otherwise: what counts is read from the topic.
asio::awaitable<void> UsageReporter::decide() {
  TimePoint now = monotonicNow();
  WallTime wall = trueNow();
  std::optional<UsageWindow> due =
      findDueWindow(Fold, wall, now, With.Contact, Limits.Windows);
  if (!due) {
    logMissingSources(wall, now);
    co_return;
  }
  UsageDecision decision{*due, countsOf(Fold, *due, Limits.Windows)};
  std::vector<UsageSource> missing =
      missingSources(Fold, *due, now, Limits.Windows);
  std::uint64_t sum = sumOf(decision.Counts);
  std::size_t customers = decision.Counts.size();
  // GCC 12 destroys what is converted within a co_await twice.
  UsageRecord record = std::move(decision);
  Outcome<Offset> got = co_await append(std::move(record));
  With.Decisions->line(
      "usage.decided",
      {{"window", std::to_string(*due)},
       {"requests", std::to_string(sum)},
       {"customers", std::to_string(customers)},
       {"missing", namesOf(missing)},
       {"after_ms",
        std::to_string(
            (wall - windowEnd(*due, Limits.Windows.Window)).count())},
       {"result", got ? "appended" : describe(got.failure())}});
  if (!got)
    co_await pauseFor(With.Executor, Limits.RetryDelay);
}

//===--- What is told -----------------------------------------------------===//

asio::awaitable<void> UsageReporter::reportLoop() {
  for (;;) {
    std::optional<LeasePermit> permit = With.Duty->permit();
    TimePoint now = monotonicNow();
    bool may = permit && permit->From <= now && now < permit->Until;
    if (!may || !CaughtUp || Fold.Untold.empty()) {
      co_await Changed.wait(now + Limits.RetryDelay);
      continue;
    }
    bool told = co_await reportOldest(*permit);
    co_await pauseFor(With.Executor,
                      told ? Limits.MinReportInterval : Limits.RetryDelay);
  }
}

asio::awaitable<bool> UsageReporter::reportOldest(LeasePermit Under) {
  UsageDecision what{Fold.Untold.begin()->first, Fold.Untold.begin()->second};
  UsageWindow window = what.Window;
  std::uint64_t sum = sumOf(what.Counts);
  CallPermit stamp{Limits.Self.Instance, Under.Token, Under.Until};
  Outcome<Done> got =
      co_await With.Platform.Usage(std::move(what), stamp, Limits.CallTimeout);
  Millis after = std::chrono::duration_cast<Millis>(
      trueNow() - windowEnd(window, Limits.Windows.Window));
  With.Decisions->line("usage.report",
                       {{"window", std::to_string(window)},
                        {"token", std::to_string(Under.Token)},
                        {"requests", std::to_string(sum)},
                        {"after_ms", std::to_string(after.count())},
                        {"late", after > Limits.Windows.Due ? "yes" : "no"},
                        {"result", got ? "taken" : describe(got.failure())}});
  With.Counts
      .counter("usage_reports_total", "Reports of windows, by outcome",
               {{"outcome", got ? "taken" : "failed"}})
      .add();
  if (!got)
    co_return false;
  // Told again by a successor it does no harm; told again here it would be in
  // vain.
  Fold.Untold.erase(window);
  UsageRecord told = UsageReported{window};
  Outcome<Offset> noted = co_await append(std::move(told));
  if (!noted)
    With.Decisions->line("usage.told_not_noted",
                         {{"window", std::to_string(window)},
                          {"reason", describe(noted.failure())}});
  co_return true;
}

} // namespace wasabi
