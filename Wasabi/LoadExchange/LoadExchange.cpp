#include "Wasabi/LoadExchange/LoadExchange.h"

#include "Wasabi/Adapters/Telemetry/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// Maximum length of a key from the topic in a log line.
constexpr std::size_t MaxLoggedKeyBytes = 64;

} // namespace

LoadExchange::LoadExchange(Parts Dependencies, Settings Limits)
    : Limits(Limits), Deps(std::move(Dependencies)),
      Random(std::random_device()()) {
  Local.Limits = Limits.Local;
  Remote.Limits = Limits.View;
  Schedule.Limits = Limits.Schedule;
  AppendBackoff.Initial = Limits.RetryDelay;
  ReadBackoff.Initial = Limits.RetryDelay;
}

std::shared_ptr<LoadExchange> LoadExchange::create(Parts Dependencies,
                                                   Settings Limits) {
  return std::shared_ptr<LoadExchange>(
      new LoadExchange(std::move(Dependencies), Limits));
}

//===--- Observations -----------------------------------------------------===//

void LoadExchange::recordArrival(const ServiceName &Service,
                                 const CustomerName &Customer) {
  noteArrival(Local, Service, Customer, monotonicNow());
}

void LoadExchange::recordEnd(const ServiceName &Service,
                             const CustomerName &Customer) {
  noteEnd(Local, Service, Customer);
}

void LoadExchange::recordRefusal(const ServiceName &Service) {
  recordStrain(Service, StrainCause::Refusal);
}

void LoadExchange::recordAnswer(const ServiceName &Service,
                                const ServerIncarnation &Server,
                                double LatencyMs, bool Late) {
  bool uneven = noteLatency(Local, Service, Server, LatencyMs, monotonicNow());
  if (Late)
    recordStrain(Service, StrainCause::LateAnswer);
  else if (uneven)
    recordStrain(Service, StrainCause::UnevenServers);
}

void LoadExchange::recordStrain(const ServiceName &Service, StrainCause Cause) {
  TimePoint now = monotonicNow();
  bool first = !hasStrain(Local);
  if (!noteStrain(Local, Service, now))
    return;
  Deps.Decisions->line(
      "load.strain_began",
      {{"service", Service.Text}, {"cause", std::string(toText(Cause))}});
  Deps.Counts
      .counter("load_strains_total", "Periods of strain of a service, by cause",
               {{"cause", std::string(toText(Cause))}})
      .add();
  if (first)
    beginPeriod(Schedule, now, Random);
  std::shared_ptr<LoadExchange> self = shared_from_this();
  if (!IsTicking) {
    IsTicking = true;
    asio::co_spawn(
        Deps.Executor, [self] { return self->tickLoop(); }, asio::detached);
  }
  if (!IsFollowing) {
    IsFollowing = true;
    asio::co_spawn(
        Deps.Executor, [self] { return self->followLoop(); }, asio::detached);
  }
}

//===--- Results ----------------------------------------------------------===//

bool LoadExchange::areResultsFresh() const {
  return monotonicNow() - RefreshedAt < Limits.MaxResultAge;
}

const ServiceLoad *LoadExchange::findLoad(const ServiceName &Service) const {
  auto it = Loads.find(Service);
  return it != Loads.end() && areResultsFresh() ? &it->second : nullptr;
}

std::optional<FairShare>
LoadExchange::findShare(const ServiceName &Service) const {
  auto it = Shares.find(Service);
  if (it == Shares.end() || !areResultsFresh())
    return std::nullopt;
  return it->second;
}

//===--- Evaluation -------------------------------------------------------===//

/// Evaluates the load while a service is under strain.
asio::awaitable<void> LoadExchange::tickLoop() {
  for (;;) {
    tick(monotonicNow());
    if (!hasStrain(Local))
      break;
    co_await pauseFor(Deps.Executor, Limits.TickInterval);
  }
  IsTicking = false;
}

void LoadExchange::tick(TimePoint Now) {
  expireReports(Remote, Now);
  refreshLoads(Now);
  refreshShares(Now);
  // While a share is in force the servers hardly refuse requests; the strain
  // lasts until the demand fits into the room.
  for (const auto &[service, share] : Shares)
    noteStrain(Local, service, Now);
  endExpiredStrains(Now);
  logShares(Now);
  std::size_t strained = static_cast<std::size_t>(std::count_if(
      Local.Services.begin(), Local.Services.end(),
      [](const auto &It) { return It.second.StrainedSince.has_value(); }));
  Deps.Counts.gauge("load_strained_services", "Services under strain")
      .set(static_cast<double>(strained));
  Deps.Counts
      .gauge("load_reporting_processes",
             "Other processes with a valid load report")
      .set(static_cast<double>(countReports(Remote)));
  RefreshedAt = Now;
  if (strained > 0) {
    reportIfDue(Now);
    return;
  }
  if (LastAcceptedAt && !IsAppending) {
    std::shared_ptr<LoadExchange> self = shared_from_this();
    asio::co_spawn(
        Deps.Executor, [self] { return self->retract(); }, asio::detached);
  }
}

void LoadExchange::endExpiredStrains(TimePoint Now) {
  for (const EndedStrain &it : endStrains(Local, Now)) {
    Deps.Decisions->line("load.strain_ended",
                         {{"service", it.Service.Text},
                          {"ms", std::to_string(it.Duration.count())}});
    Shares.erase(it.Service);
  }
  if (hasStrain(Local))
    return;
  Loads.clear();
  Shares.clear();
}

void LoadExchange::refreshLoads(TimePoint Now) {
  Loads.clear();
  for (const ServiceName &it : reportedServices(Remote)) {
    if (std::optional<ServiceLoad> load = foldLoad(Remote, it, Now))
      Loads[it] = std::move(*load);
  }
}

/// Returns the number of requests that the usable servers of a service run.
double LoadExchange::roomOf(const ServiceName &Service, TimePoint Now) const {
  double room = 0;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Deps.View.Servers, Service, Deps.View.Contact, Now))
    room += it->Entry.Slots;
  return room;
}

void LoadExchange::refreshShares(TimePoint Now) {
  Shares.clear();
  // The others count the demand of this process as it last reported it.
  Millis interval = std::max(LastReport.Interval, Remote.Interval);
  Millis validity =
      std::max(Limits.View.MinValidity, interval * Limits.View.ValidIntervals);
  if (!LastAcceptedAt || Now - *LastAcceptedAt >= validity)
    return;
  for (const auto &[service, reported] : LastReport.Services) {
    if (!isStrained(Local, service))
      continue;
    std::optional<FairShare> share =
        findFairShare(Remote, service, reported, roomOf(service, Now), Now);
    if (share)
      Shares[service] = std::move(*share);
  }
}

void LoadExchange::logShares(TimePoint Now) {
  for (const auto &[service, share] : Shares)
    LoggedShares.try_emplace(service);
  for (auto it = LoggedShares.begin(); it != LoggedShares.end();) {
    auto &[service, logged] = *it;
    auto share = Shares.find(service);
    std::uint32_t current =
        share != Shares.end() ? share->second.Concurrency : 0;
    bool atRest = !hasStrain(Local);
    double change = std::abs(static_cast<double>(current) - logged.Concurrency);
    bool changed = (current == 0) != (logged.Concurrency == 0) ||
                   change > Limits.LoggedShareChange * logged.Concurrency;
    if (changed && (atRest || Now - logged.At >= Limits.ShareLogInterval)) {
      std::string_view event = "load.share_changed";
      if (logged.Concurrency == 0)
        event = "load.share_began";
      else if (current == 0)
        event = "load.share_ended";
      Deps.Decisions->line(
          event, {{"service", service.Text},
                  {"concurrency", std::to_string(current)},
                  {"before", std::to_string(logged.Concurrency)},
                  {"room", fmt::format("{:.0f}", roomOf(service, Now))},
                  {"processes", std::to_string(countReports(Remote) + 1)}});
      logged = {current, Now};
    }
    Deps.Counts
        .gauge("load_share",
               "Concurrency of the fair share; 0 if there is none",
               {{"service", service.Text}})
        .set(current);
    it = current == 0 && logged.Concurrency == 0 &&
                 (atRest || Now - logged.At >= Limits.ShareLogInterval)
             ? LoggedShares.erase(it)
             : std::next(it);
  }
}

//===--- Reporting --------------------------------------------------------===//

LoadReport LoadExchange::makeCurrentReport(TimePoint Now) const {
  LoadReport report = makeReport(Local, Now);
  report.Life = Deps.Life;
  report.Sequence = LastSequence + 1;
  report.Interval = reportInterval(Remote, LastBytes);
  for (auto &[name, service] : report.Services) {
    for (const std::shared_ptr<UpstreamServer> &it :
         findUsableServers(Deps.View.Servers, name, Deps.View.Contact, Now)) {
      if (it->InFlight > 0)
        service.Servers[it->Entry.incarnation()].InFlight = it->InFlight;
    }
  }
  return report;
}

void LoadExchange::reportIfDue(TimePoint Now) {
  if (IsAppending)
    return;
  LoadReport report = makeCurrentReport(Now);
  bool urgent = isUrgent(Limits.Local, report, LastReport, Loads);
  if (!isReportDue(Schedule, Remote, urgent, LastBytes, Now, Random))
    return;
  std::string text = encodeReport(report);
  LastSequence = report.Sequence;
  LastBytes = text.size() + Deps.Self.Text.size();
  noteReport(Schedule, Now, Random);
  IsAppending = true;
  std::shared_ptr<LoadExchange> self = shared_from_this();
  asio::co_spawn(
      Deps.Executor,
      [self, text = std::move(text)] { return self->append(text); },
      asio::detached);
}

asio::awaitable<void> LoadExchange::append(std::string Text) {
  std::vector<KeyedValue> values{{Deps.Self.Text, Text}};
  Outcome<Offset> got = co_await Deps.Store.AppendKeyed(
      LoadTopic, std::move(values), Limits.AppendTimeout);
  IsAppending = false;
  TimePoint now = monotonicNow();
  Deps.Counts
      .counter("load_reports_sent_total", "Appended load reports, by outcome",
               {{"outcome", got ? "accepted" : "failed"}})
      .add();
  if (!got) {
    // The append may have taken effect; the next report has a greater sequence
    // number.
    Schedule.HasReported = false;
    Schedule.FirstAt = now + nextDelay(AppendBackoff, Random);
    co_return;
  }
  noteSuccess(AppendBackoff);
  // As the others read it: rounded, and without what did not fit.
  Outcome<LoadReport> report =
      toOutcome<LoadReport>([&] { return decodeReport(Text, LoadTopic); });
  if (!report)
    co_return;
  LastReport = std::move(*report);
  LastAcceptedAt = now;
  if (!hasStrain(Local))
    co_await retract();
}

/// Deletes the last report, so that the others need not wait for its end, and
/// later readers of the topic do not receive it.
asio::awaitable<void> LoadExchange::retract() {
  LastAcceptedAt.reset();
  LastReport = LoadReport();
  IsAppending = true;
  std::vector<KeyedValue> values{{Deps.Self.Text, ""}};
  Outcome<Offset> got = co_await Deps.Store.AppendKeyed(
      LoadTopic, std::move(values), Limits.AppendTimeout);
  IsAppending = false;
  if (!got)
    Deps.Counts
        .counter("load_retractions_failed_total",
                 "Load reports that were not deleted after their strain")
        .add();
}

//===--- Reading ----------------------------------------------------------===//

/// Reads the reports while a service is under strain.
asio::awaitable<void> LoadExchange::followLoop() {
  NeedsSnapshot = true;
  LastReadAt.reset();
  while (hasStrain(Local)) {
    bool ok = co_await readOnce();
    if (ok)
      noteSuccess(ReadBackoff);
    else
      co_await pauseFor(Deps.Executor, nextDelay(ReadBackoff, Random));
  }
  Table = KeyedOffsets();
  Remote.Reports.clear();
  Remote.Traffic.clear();
  IsFollowing = false;
}

/// Reads new records, or the newest record of each process.
asio::awaitable<Outcome<KeyedRead>> LoadExchange::read() {
  if (!NeedsSnapshot)
    co_return co_await Deps.Store.ReadKeyed(LoadTopic, Table.Next,
                                            Limits.PollTimeout);
  Outcome<KeyedRange> got =
      co_await Deps.Store.Newest(LoadTopic, Limits.SnapshotTimeout);
  if (!got)
    co_return got.failure();
  co_return KeyedRead(std::move(*got));
}

/// Reads once and applies what was read. Returns false if the read failed.
asio::awaitable<bool> LoadExchange::readOnce() {
  bool isSnapshot = NeedsSnapshot;
  Outcome<KeyedRead> got = co_await read();
  // A read that was cancelled because the store is reachable again is repeated
  // without a delay.
  if (!got)
    co_return got.failure().Code == FailureCode::Cancelled;
  const KeyedRange *range = std::get_if<KeyedRange>(&*got);
  if (range == nullptr) {
    NeedsSnapshot = true;
    co_return true;
  }
  TimePoint now = monotonicNow();
  bool knownAge =
      !isSnapshot && LastReadAt && now - *LastReadAt <= Limits.MaxReadGap;
  LastReadAt = now;
  NeedsSnapshot = false;
  std::vector<KeyedRecord> changed =
      isSnapshot ? applySnapshot(Table, *range)
                 : applyNewRecords(Table, range->Records);
  for (const KeyedRecord &it : changed)
    applyRecord(it, knownAge, now);
  if (!isSnapshot && !range->Records.empty())
    co_await pauseFor(Deps.Executor, Limits.ReadDelay);
  co_return true;
}

void LoadExchange::applyRecord(const KeyedRecord &Record, bool KnownAge,
                               TimePoint Now) {
  std::size_t bytes =
      Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
  recordTraffic(Remote, bytes, Now);
  InstanceName instance(Record.Key);
  if (instance == Deps.Self)
    return;
  if (!Record.Value) {
    removeReport(Remote, instance);
    return;
  }
  if (Record.Value->size() > MaxReportBytes) {
    ignoreReport(instance, "too_large", Now);
    return;
  }
  Outcome<LoadReport> report = toOutcome<LoadReport>(
      [&] { return decodeReport(*Record.Value, LoadTopic); });
  if (!report) {
    ignoreReport(instance, "malformed", Now);
    return;
  }
  ReportEffect effect = applyReport(Remote, instance, std::move(*report), bytes,
                                    KnownAge, Now, wallMicros());
  if (effect != ReportEffect::Accepted)
    ignoreReport(instance, toText(effect), Now);
  else
    Deps.Counts.counter("load_reports_read_total", "Load reports of others")
        .add();
}

void LoadExchange::ignoreReport(const InstanceName &Instance,
                                std::string_view Reason, TimePoint Now) {
  ++IgnoredCount;
  Deps.Counts
      .counter("load_reports_ignored_total",
               "Load reports of others that were ignored, by reason",
               {{"reason", std::string(Reason)}})
      .add();
  if (IgnoredLoggedAt && Now - *IgnoredLoggedAt < Limits.IgnoredLogInterval)
    return;
  IgnoredLoggedAt = Now;
  Deps.Decisions->line(
      "load.reports_ignored",
      {{"reason", std::string(Reason)},
       {"instance", sanitizeForLog(Instance.Text, MaxLoggedKeyBytes)},
       {"all", std::to_string(IgnoredCount)}});
}

} // namespace wasabi
