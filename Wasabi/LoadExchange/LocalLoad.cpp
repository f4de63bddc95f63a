#include "Wasabi/LoadExchange/LocalLoad.h"

#include <algorithm>
#include <cmath>

namespace wasabi {

namespace {

std::int64_t quarterOf(TimePoint Now) {
  constexpr Millis Quarter{250};
  return Now.time_since_epoch() / Quarter;
}

/// Returns the arrivals of a customer that count at `Now`.
double decayedArrivals(const LocalLoad::Settings &Limits,
                       const LocalCustomer &Customer, TimePoint Now) {
  double age = std::chrono::duration<double>(Now - Customer.LastArrival) /
               std::chrono::duration<double>(Limits.RateTime);
  return Customer.DecayedArrivals * std::exp(-std::max(age, 0.0));
}

/// Forgets the customers and servers that have been idle for long.
void forgetIdle(const LocalLoad::Settings &Limits, LocalService &Service,
                TimePoint Now) {
  std::erase_if(Service.Customers, [&](const auto &It) {
    return It.second.InFlight == 0 &&
           Now - It.second.LastArrival > Limits.MemoryTime;
  });
  std::erase_if(Service.Servers, [&](const auto &It) {
    return Now - It.second.LastAnswer > Limits.MemoryTime;
  });
}

bool areUneven(const LocalLoad::Settings &Limits, const LocalServer &Left,
               const LocalServer &Right, TimePoint Now) {
  auto [low, high] = std::minmax(Left.LatencyMs, Right.LatencyMs);
  return high > low * Limits.UnevenFactor &&
         recentEvents(Right.Answers, Now) >= Limits.UnevenSamples;
}

bool differs(double Value, double Known, double Change) {
  return Known <= 0 || std::abs(Value - Known) >= Change * Known;
}

/// Returns the latency of a server in a map; 0 if it is unknown.
template <typename Map>
double latencyIn(const Map &Servers, const ServerIncarnation &Id) {
  auto it = Servers.find(Id);
  return it != Servers.end() ? it->second.LatencyMs : 0;
}

} // namespace

void recordEvent(RecentCount &Count, TimePoint Now) {
  std::int64_t quarter = quarterOf(Now);
  std::size_t part = static_cast<std::size_t>(quarter) % RecentCount::Parts;
  if (Count.Quarters[part] != quarter)
    Count.Counts[part] = 0;
  Count.Quarters[part] = quarter;
  ++Count.Counts[part];
}

std::uint32_t recentEvents(const RecentCount &Count, TimePoint Now) {
  std::int64_t quarter = quarterOf(Now);
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < RecentCount::Parts; ++i) {
    std::int64_t age = quarter - Count.Quarters[i];
    if (age >= 0 && age < static_cast<std::int64_t>(RecentCount::Parts))
      sum += Count.Counts[i];
  }
  return sum;
}

std::string_view toText(StrainCause Cause) {
  switch (Cause) {
  case StrainCause::Refusal:
    return "refusal";
  case StrainCause::LateAnswer:
    return "late_answer";
  case StrainCause::UnevenServers:
    return "uneven_servers";
  }
  return "unknown";
}

void noteArrival(LocalLoad &Load, const ServiceName &Service,
                 const CustomerName &Customer, TimePoint Now) {
  LocalService &local = Load.Services[Service];
  auto [it, isNew] = local.Customers.try_emplace(Customer);
  LocalCustomer &customer = it->second;
  customer.DecayedArrivals =
      isNew ? 1 : decayedArrivals(Load.Limits, customer, Now) + 1;
  customer.LastArrival = Now;
  ++customer.InFlight;
  if (isNew)
    forgetIdle(Load.Limits, local, Now);
}

void noteEnd(LocalLoad &Load, const ServiceName &Service,
             const CustomerName &Customer) {
  auto service = Load.Services.find(Service);
  if (service == Load.Services.end())
    return;
  auto it = service->second.Customers.find(Customer);
  if (it != service->second.Customers.end() && it->second.InFlight > 0)
    --it->second.InFlight;
}

bool noteLatency(LocalLoad &Load, const ServiceName &Service,
                 const ServerIncarnation &Server, double LatencyMs,
                 TimePoint Now) {
  LocalService &local = Load.Services[Service];
  auto [it, isNew] = local.Servers.try_emplace(Server);
  LocalServer &server = it->second;
  double weight = LatencyMs > server.LatencyMs ? Load.Limits.RiseWeight
                                               : Load.Limits.FallWeight;
  server.LatencyMs =
      isNew ? LatencyMs
            : server.LatencyMs + weight * (LatencyMs - server.LatencyMs);
  server.LastAnswer = Now;
  recordEvent(server.Answers, Now);
  if (isNew)
    forgetIdle(Load.Limits, local, Now);
  if (recentEvents(server.Answers, Now) < Load.Limits.UnevenSamples)
    return false;
  return std::any_of(local.Servers.begin(), local.Servers.end(),
                     [&](const auto &It) {
                       return areUneven(Load.Limits, server, It.second, Now);
                     });
}

bool noteStrain(LocalLoad &Load, const ServiceName &Service, TimePoint Now) {
  LocalService &local = Load.Services[Service];
  local.StrainedUntil = Now + Load.Limits.StrainTime;
  if (local.StrainedSince)
    return false;
  local.StrainedSince = Now;
  return true;
}

std::vector<EndedStrain> endStrains(LocalLoad &Load, TimePoint Now) {
  std::vector<EndedStrain> ended;
  for (auto &[name, service] : Load.Services) {
    if (!service.StrainedSince || Now < service.StrainedUntil)
      continue;
    ended.push_back({name, std::chrono::duration_cast<Millis>(
                               Now - *service.StrainedSince)});
    service.StrainedSince.reset();
  }
  return ended;
}

bool isStrained(const LocalLoad &Load, const ServiceName &Service) {
  auto it = Load.Services.find(Service);
  return it != Load.Services.end() && it->second.StrainedSince.has_value();
}

bool hasStrain(const LocalLoad &Load) {
  return std::any_of(
      Load.Services.begin(), Load.Services.end(),
      [](const auto &It) { return It.second.StrainedSince.has_value(); });
}

LoadReport makeReport(const LocalLoad &Load, TimePoint Now) {
  // A tenth of a request per second is the smallest rate of a report.
  constexpr double MinRate = 0.1;
  double rateTime = std::chrono::duration<double>(Load.Limits.RateTime).count();
  LoadReport report;
  for (const auto &[name, service] : Load.Services) {
    if (!service.StrainedSince)
      continue;
    ReportedService &reported = report.Services[name];
    for (const auto &[customer, local] : service.Customers) {
      double rate = decayedArrivals(Load.Limits, local, Now) / rateTime;
      if (local.InFlight > 0 || rate >= MinRate)
        reported.Customers[customer] = {rate, local.InFlight};
    }
    for (const auto &[id, local] : service.Servers) {
      std::uint32_t samples = recentEvents(local.Answers, Now);
      if (samples > 0)
        reported.Servers[id] = {local.LatencyMs, samples, 0};
    }
  }
  return report;
}

bool isUrgent(const LocalLoad::Settings &Limits, const LoadReport &Current,
              const LoadReport &Last,
              const std::map<ServiceName, ServiceLoad> &Others) {
  for (const auto &[name, service] : Current.Services) {
    auto last = Last.Services.find(name);
    if (last == Last.Services.end())
      return true;
    auto others = Others.find(name);
    for (const auto &[id, server] : service.Servers) {
      if (server.Samples < Limits.UrgentSamples)
        continue;
      double merged =
          others != Others.end() ? latencyIn(others->second.Servers, id) : 0;
      if (differs(server.LatencyMs, latencyIn(last->second.Servers, id),
                  Limits.UrgentChange) &&
          differs(server.LatencyMs, merged, Limits.UrgentChange))
        return true;
    }
  }
  return false;
}

} // namespace wasabi
