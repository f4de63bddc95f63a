#include "Wasabi/LoadExchange/LoadView.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wasabi {

namespace {

bool isValid(const LoadView &View, const HeldReport &Held, TimePoint Now) {
  Millis interval = std::max(Held.Report.Interval, View.Interval);
  Millis validity =
      std::max(View.Limits.MinValidity, interval * View.Limits.ValidIntervals);
  return Held.Valid && Now - Held.ArrivedAt < validity;
}

/// Returns true if no process can have written the report by now.
bool isFromFuture(const LoadView::Settings &Limits, const LoadReport &Report,
                  std::uint64_t WallNow) {
  std::uint64_t latest =
      WallNow + static_cast<std::uint64_t>(Limits.MaxClockSkew.count());
  if (Report.Life > latest)
    return true;
  std::uint64_t gap = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Micros>(Limits.MinReportGap).count());
  return Report.Sequence > (latest - Report.Life) / gap + 1;
}

/// Makes place for one more process. Returns false if all known ones have a
/// valid report.
bool makePlace(LoadView &View) {
  if (View.Reports.size() < View.Limits.MaxProcesses)
    return true;
  return std::erase_if(View.Reports,
                       [](const auto &It) { return !It.second.Valid; }) > 0;
}

/// Returns the part of a report on a service; null if it has none.
const ReportedService *findService(const HeldReport &Held,
                                   const ServiceName &Service) {
  if (!Held.Valid)
    return nullptr;
  auto it = Held.Report.Services.find(Service);
  return it != Held.Report.Services.end() ? &it->second : nullptr;
}

} // namespace

std::string_view toText(ReportEffect Effect) {
  switch (Effect) {
  case ReportEffect::Accepted:
    return "accepted";
  case ReportEffect::OlderIncarnation:
    return "older_incarnation";
  case ReportEffect::LowerSequence:
    return "lower_sequence";
  case ReportEffect::FromFuture:
    return "from_future";
  case ReportEffect::TooManyProcesses:
    return "too_many_processes";
  }
  return "unknown";
}

ReportEffect applyReport(LoadView &View, const InstanceName &Instance,
                         LoadReport Report, std::size_t Bytes, bool Valid,
                         TimePoint Now, std::uint64_t WallNow) {
  if (isFromFuture(View.Limits, Report, WallNow))
    return ReportEffect::FromFuture;
  auto known = View.Reports.find(Instance);
  if (known != View.Reports.end()) {
    const LoadReport &last = known->second.Report;
    if (Report.Life < last.Life)
      return ReportEffect::OlderIncarnation;
    if (Report.Life == last.Life && Report.Sequence <= last.Sequence)
      return ReportEffect::LowerSequence;
  } else if (!makePlace(View)) {
    return ReportEffect::TooManyProcesses;
  }
  View.Reports[Instance] = HeldReport{std::move(Report), Bytes, Now, Valid};
  return ReportEffect::Accepted;
}

void removeReport(LoadView &View, const InstanceName &Instance) {
  View.Reports.erase(Instance);
}

void expireReports(LoadView &View, TimePoint Now) {
  View.Interval = reportInterval(View, 0);
  for (auto &[instance, held] : View.Reports) {
    if (!held.Valid || isValid(View, held, Now))
      continue;
    held.Valid = false;
    held.Report.Services.clear();
  }
  std::erase_if(View.Reports, [&](const auto &It) {
    return !It.second.Valid &&
           Now - It.second.ArrivedAt >= View.Limits.MemoryTime;
  });
}

void recordTraffic(LoadView &View, std::size_t Bytes, TimePoint Now) {
  constexpr std::chrono::seconds Window{1};
  while (!View.Traffic.empty() && Now - View.Traffic.front().first >= Window)
    View.Traffic.pop_front();
  View.Traffic.emplace_back(Now, Bytes);
}

std::size_t recentTraffic(const LoadView &View, TimePoint Now) {
  constexpr std::chrono::seconds Window{1};
  std::size_t sum = 0;
  for (const auto &[at, bytes] : View.Traffic)
    sum += Now - at < Window ? bytes : 0;
  return sum;
}

std::size_t countReports(const LoadView &View) {
  return static_cast<std::size_t>(
      std::count_if(View.Reports.begin(), View.Reports.end(),
                    [](const auto &It) { return It.second.Valid; }));
}

Millis reportInterval(const LoadView &View, std::size_t OwnBytes) {
  constexpr double MillisPerSecond = 1000;
  std::size_t bytes = OwnBytes;
  for (const auto &[instance, held] : View.Reports)
    bytes += held.Valid ? held.Bytes : 0;
  Millis forBytes(std::llround(MillisPerSecond * static_cast<double>(bytes) /
                               View.Limits.PeriodicBytesPerSecond));
  Millis forCount = View.Limits.IntervalPerProcess *
                    static_cast<std::int64_t>(countReports(View) + 1);
  return std::min(std::max({View.Limits.MinInterval, forCount, forBytes}),
                  View.Limits.MaxInterval);
}

std::optional<ServiceLoad> foldLoad(const LoadView &View,
                                    const ServiceName &Service, TimePoint Now) {
  ServiceLoad load;
  std::map<ServerIncarnation, double> weighted;
  double halfLife =
      std::chrono::duration<double>(View.Limits.EstimateHalfLife).count();
  for (const auto &[instance, held] : View.Reports) {
    const ReportedService *service = findService(held, Service);
    if (service == nullptr || !isValid(View, held, Now))
      continue;
    ++load.Processes;
    double age = std::chrono::duration<double>(Now - held.ArrivedAt).count();
    double decay = std::exp2(-std::max(age, 0.0) / halfLife);
    for (const auto &[id, reported] : service->Servers) {
      ServerLoad &server = load.Servers[id];
      double weight = reported.LatencyMs > 0 ? reported.Samples * decay : 0.0;
      weighted[id] += reported.LatencyMs * weight;
      server.Samples += weight;
      server.InFlight += reported.InFlight;
      server.MeasuredAt = std::max(server.MeasuredAt, held.ArrivedAt);
    }
  }
  if (load.Processes == 0)
    return std::nullopt;
  for (auto &[id, server] : load.Servers)
    server.LatencyMs = server.Samples > 0 ? weighted[id] / server.Samples : 0;
  return load;
}

std::vector<ServiceName> reportedServices(const LoadView &View) {
  std::set<ServiceName> names;
  for (const auto &[instance, held] : View.Reports) {
    for (const auto &[name, service] : held.Report.Services) {
      if (held.Valid)
        names.insert(name);
    }
  }
  return {names.begin(), names.end()};
}

ServiceDemand demandOf(const ReportedService &Service, double LatencyMs) {
  constexpr double MillisPerSecond = 1000;
  auto demandOfLoad = [&](const CustomerLoad &Load) {
    return std::max<double>(Load.InFlight,
                            Load.ArrivalRate * LatencyMs / MillisPerSecond);
  };
  ServiceDemand demand;
  for (const auto &[customer, load] : Service.Customers)
    demand.Customers[customer] = demandOfLoad(load);
  demand.OtherCustomers = Service.OtherCustomers;
  demand.Others = demandOfLoad(Service.Others);
  return demand;
}

double meanLatencyMs(const LoadView &View, const ServiceName &Service,
                     const ReportedService &Own) {
  double sum = 0;
  double samples = 0;
  auto add = [&](const ReportedService &Reported) {
    for (const auto &[id, server] : Reported.Servers) {
      if (server.LatencyMs <= 0)
        continue;
      sum += server.LatencyMs * server.Samples;
      samples += server.Samples;
    }
  };
  add(Own);
  for (const auto &[instance, held] : View.Reports) {
    if (const ReportedService *service = findService(held, Service))
      add(*service);
  }
  return samples > 0 ? sum / samples : 0;
}

std::optional<FairShare> findFairShare(const LoadView &View,
                                       const ServiceName &Service,
                                       const ReportedService &Own, double Room,
                                       TimePoint Now) {
  std::size_t reporting = countReports(View) + 1;
  if (Room <= 0 || reporting > View.Limits.MaxSharingProcesses)
    return std::nullopt;
  double latencyMs = meanLatencyMs(View, Service, Own);
  bool isFresh = false;
  std::vector<ServiceDemand> others;
  for (const auto &[instance, held] : View.Reports) {
    const ReportedService *service = findService(held, Service);
    if (service == nullptr || !isValid(View, held, Now))
      continue;
    isFresh = isFresh || Now - held.ArrivedAt < View.Limits.MaxShareAge;
    others.push_back(demandOf(*service, latencyMs));
  }
  if (!isFresh)
    return std::nullopt;
  return fairShareOf(demandOf(Own, latencyMs), others, Room);
}

} // namespace wasabi
