#include "Wasabi/Routing/LoadBalancing.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wasabi {
namespace {

/// Minimum share of its limit that a new server is used with.
constexpr double MinSlowStartShare = 0.1;
/// Number of candidates drawn from the own failure domain, and from all
/// others.
constexpr std::size_t DrawsPerPool = 2;
/// Maximum number of flows that a server is avoided for individually; beyond it
/// the server is avoided for all flows.
constexpr std::size_t MaxOverloadedFlows = 64;

const ServerStats &statsOf(const BalancerState &State,
                           const Candidate &Server) {
  static const ServerStats Unknown;
  std::map<ServerKey, ServerStats>::const_iterator it =
      State.Servers.find(Server.Key);
  return it == State.Servers.end() ? Unknown : it->second;
}

/// Returns the number of attempts at the server: the own ones in flight, and
/// those of others by the last load report. As the report lags, the own
/// attempts at its receipt are subtracted from it.
double openAttempts(const ServerStats &Stats) {
  double reported = 0;
  if (Stats.HasLoad)
    reported = static_cast<double>(Stats.Load.Running) + Stats.Load.Queued;
  double others = std::max(0.0, reported - Stats.InFlightAtLoad);
  return others + Stats.InFlight;
}

/// Returns the last reported number of concurrent requests of the server.
double concurrencyOf(const ServerStats &Stats, const Candidate &Server) {
  double limit = Stats.HasLoad ? Stats.Load.Limit : Server.Slots;
  return std::max(1.0, limit);
}

/// Returns the share of its concurrency that a server is used with during its
/// slow start; 1 afterwards.
double slowStartShare(const BalancerSettings &Settings,
                      const ServerStats &Stats, TimePoint Now) {
  double age = std::chrono::duration<double>(Now - Stats.FirstSeen).count();
  double window =
      std::chrono::duration<double>(Settings.SlowStartWindow).count();
  if (window <= 0 || age >= window)
    return 1.0;
  return std::max(MinSlowStartShare, age / window);
}

/// Returns the weight that the last sample still has, by the half-life.
double retainedShare(const BalancerSettings &Settings, const ServerStats &Stats,
                     TimePoint Now) {
  double age = std::chrono::duration<double>(Now - Stats.LastSample).count();
  double halfLife = std::chrono::duration<double>(Settings.HalfLife).count();
  return age <= 0 || halfLife <= 0 ? 1.0 : std::exp2(-age / halfLife);
}

/// Returns the estimated duration of an attempt, in microseconds.
double serviceMicros(const BalancerState &State, const ServerStats &Stats,
                     TimePoint Now) {
  if (Stats.ServiceMicros <= 0)
    return static_cast<double>(State.Settings.DefaultServiceTime.count());
  return Stats.ServiceMicros * retainedShare(State.Settings, Stats, Now);
}

/// Returns the time before which the server is avoided for `Flow`.
TimePoint findAvoidUntil(const ServerStats &Stats, const std::string &Flow) {
  std::map<std::string, TimePoint>::const_iterator overloaded =
      Stats.OverloadedUntil.find(Flow);
  return overloaded == Stats.OverloadedUntil.end()
             ? Stats.AvoidUntil
             : std::max(Stats.AvoidUntil, overloaded->second);
}

bool isAvailable(const ServerStats &Stats, TimePoint Now,
                 const std::string &Flow) {
  if (Stats.Leaving || findAvoidUntil(Stats, Flow) > Now)
    return false;
  return !Stats.HasLoad || Stats.Load.Serving;
}

bool wasTried(const std::vector<Candidate> &Tried, const Candidate &Server) {
  return std::any_of(Tried.begin(), Tried.end(),
                     [&](const Candidate &it) { return it.Key == Server.Key; });
}

bool wasDomainTried(const std::vector<Candidate> &Tried,
                    const Candidate &Server) {
  return std::any_of(Tried.begin(), Tried.end(), [&](const Candidate &it) {
    return it.Domain == Server.Domain;
  });
}

using Pool = std::vector<const Candidate *>;

/// Moves up to `Count` random elements from `Remaining` to `Drawn`.
void draw(Pool &Remaining, std::size_t Count, Pool &Drawn,
          std::mt19937_64 &Random) {
  for (std::size_t n = 0; n < Count && !Remaining.empty(); ++n) {
    std::uniform_int_distribution<std::size_t> any(0, Remaining.size() - 1);
    std::swap(Remaining[any(Random)], Remaining.back());
    Drawn.push_back(Remaining.back());
    Remaining.pop_back();
  }
}

/// Returns the available untried candidates: only those in untried failure
/// domains, if there are any.
Pool makePool(const BalancerState &State,
              const std::vector<Candidate> &Candidates,
              const std::vector<Candidate> &Tried, TimePoint Now,
              const std::string &Flow) {
  Pool untriedDomains;
  Pool triedDomains;
  for (const Candidate &it : Candidates) {
    if (wasTried(Tried, it) || !isAvailable(statsOf(State, it), Now, Flow))
      continue;
    (wasDomainTried(Tried, it) ? triedDomains : untriedDomains).push_back(&it);
  }
  return untriedDomains.empty() ? triedDomains : untriedDomains;
}

/// Returns the cost that `chooseCandidate` minimizes, in microseconds: the
/// expected wait plus the cost of crossing failure domains, minus the saving by
/// a cached prefix.
double computeCost(const BalancerState &State, const Candidate &Server,
                   const std::optional<ServerKey> &Cached, TimePoint Now) {
  double cost = expectedWait(State, Server, Now);
  if (Server.Domain != State.Own)
    cost += static_cast<double>(State.Settings.CrossDomainCost.count());
  if (!Cached || *Cached != Server.Key)
    return cost;
  const ServerStats &stats = statsOf(State, Server);
  // Only the saving counts while the holder of the prefix has a free slot.
  if (openAttempts(stats) + 1.0 <= concurrencyOf(stats, Server))
    cost = 0;
  return cost -
         State.Settings.PrefixSavingShare * serviceMicros(State, stats, Now);
}

std::size_t countEjected(const BalancerState &State,
                         const std::vector<Candidate> &Peers, TimePoint Now) {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const Candidate &it) {
        const ServerStats &stats = statsOf(State, it);
        return stats.Ejected && stats.AvoidUntil > Now;
      }));
}

/// Returns true if a failure counts towards the ejection of the server.
bool isServerFault(const Failure &Why) {
  switch (Why.Code) {
  case FailureCode::Overloaded:
  case FailureCode::Cancelled:
  case FailureCode::BadInput:
  case FailureCode::Conflict:
  case FailureCode::Expired:
  case FailureCode::Leaving:
    return false;
  default:
    return true;
  }
}

/// Avoids the server for `Flow` after a refusal for overload; other flows may
/// still have room. The time is bounded, as a place in the queue becomes free
/// long before the queue is empty.
void avoidOverloaded(const BalancerState &State, ServerStats &Stats,
                     const Failure &Why, TimePoint Now,
                     const std::string &Flow) {
  TimePoint until =
      Now + std::min(Why.RetryAfter, State.Settings.MaxOverloadAvoidTime);
  std::erase_if(Stats.OverloadedUntil,
                [&](const std::pair<const std::string, TimePoint> &it) {
                  return it.second <= Now;
                });
  if (Stats.OverloadedUntil.size() < MaxOverloadedFlows)
    Stats.OverloadedUntil[Flow] = until;
  else
    Stats.AvoidUntil = std::max(Stats.AvoidUntil, until);
}

void eject(BalancerState &State, ServerStats &Stats,
           const std::vector<Candidate> &Peers, TimePoint Now) {
  // Bound the ejections so that false positives cannot empty a service.
  std::size_t maxEjected =
      Peers.size() * State.Settings.MaxEjectionPercent / 100;
  if (countEjected(State, Peers, Now) >= maxEjected)
    return;
  constexpr std::uint32_t MaxDoublings = 10;
  Millis ejectionTime = State.Settings.BaseEjectionTime *
                        (1 << std::min(Stats.Ejections, MaxDoublings));
  ejectionTime = std::min(ejectionTime, State.Settings.MaxEjectionTime);
  Stats.AvoidUntil = std::max(Stats.AvoidUntil, Now + ejectionTime);
  Stats.Ejected = true;
  Stats.ConsecutiveFailures = 0;
  ++Stats.Ejections;
}

} // namespace

std::map<ServiceName, std::vector<Candidate>>
findCandidates(const View &Members) {
  std::map<ServiceName, std::vector<Candidate>> found;
  for (const std::pair<const InstanceName, Member> &it : Members.Members) {
    const Member &member = it.second;
    if (member.Kind != Role::Daemon || !takesWork(member) ||
        member.Requests.empty())
      continue;
    for (const ServerStatus &server : member.Servers) {
      if (server.Serving)
        found[server.Service].push_back(
            Candidate{ServerKey{member.Instance, server.Name}, member.Life,
                      member.Domain, member.Requests, server.Slots});
    }
  }
  return found;
}

bool hasAllCandidates(const Configuration &Declared, const View &Members) {
  const std::map<ServiceName, std::vector<Candidate>> known =
      findCandidates(Members);
  for (const auto &[name, service] : Declared.Services) {
    if (!service.Placements.empty() && !known.contains(name))
      return false;
  }
  return true;
}

double expectedWait(const BalancerState &State, const Candidate &Server,
                    TimePoint Now) {
  const ServerStats &stats = statsOf(State, Server);
  double service = serviceMicros(State, stats, Now);
  double limit =
      concurrencyOf(stats, Server) * slowStartShare(State.Settings, stats, Now);
  return (openAttempts(stats) + 1.0) / limit * service;
}

std::optional<Candidate> chooseCandidate(
    const BalancerState &State, const std::vector<Candidate> &Candidates,
    const std::vector<Candidate> &Tried, const std::optional<ServerKey> &Cached,
    TimePoint Now, std::mt19937_64 &Random, const std::string &Flow) {
  Pool pool = makePool(State, Candidates, Tried, Now, Flow);
  if (pool.empty())
    return std::nullopt;

  // Compare two candidates of the own failure domain, two of all others, and
  // the holder of the prefix. If only two were compared, a slow one would leave
  // no choice.
  Pool own;
  const Candidate *holder = nullptr;
  for (const Candidate *it : pool) {
    if (it->Domain == State.Own)
      own.push_back(it);
    if (Cached && it->Key == *Cached)
      holder = it;
  }
  Pool drawn;
  draw(own, DrawsPerPool, drawn, Random);
  std::erase_if(pool, [&](const Candidate *it) {
    return std::find(drawn.begin(), drawn.end(), it) != drawn.end();
  });
  draw(pool, DrawsPerPool, drawn, Random);
  if (holder)
    drawn.push_back(holder);

  const Candidate *best = drawn.front();
  double lowest = computeCost(State, *best, Cached, Now);
  for (const Candidate *it : drawn) {
    double cost = computeCost(State, *it, Cached, Now);
    if (cost < lowest) {
      best = it;
      lowest = cost;
    }
  }
  return *best;
}

Millis timeUntilAvailable(const BalancerState &State,
                          const std::vector<Candidate> &Candidates,
                          TimePoint Now, const std::string &Flow) {
  Millis lowest{0};
  for (const Candidate &it : Candidates) {
    const ServerStats &stats = statsOf(State, it);
    TimePoint until = findAvoidUntil(stats, Flow);
    if (stats.Leaving || until <= Now)
      continue;
    Millis left = std::chrono::ceil<Millis>(until - Now);
    if (lowest == Millis(0) || left < lowest)
      lowest = left;
  }
  return lowest;
}

void noteStart(BalancerState &State, const Candidate &Server, TimePoint Now) {
  ServerStats &stats = State.Servers[Server.Key];
  if (stats.Life != Server.Life) {
    std::uint32_t inFlight = stats.InFlight;
    stats = ServerStats();
    stats.InFlight = inFlight;
    stats.Life = Server.Life;
    stats.FirstSeen = Now;
  }
  ++stats.InFlight;
}

namespace {

/// Removes one attempt from those in flight.
ServerStats &endAttempt(BalancerState &State, const Candidate &Server) {
  ServerStats &stats = State.Servers[Server.Key];
  if (stats.InFlight > 0)
    --stats.InFlight;
  return stats;
}

} // namespace

void noteSuccess(BalancerState &State, const Candidate &Server, Micros Took,
                 TimePoint Now) {
  ServerStats &stats = endAttempt(State, Server);
  double sample = static_cast<double>(Took.count());
  // The older the last sample is, the more weight the new one gets.
  double weight = std::max(State.Settings.SampleWeight,
                           1.0 - retainedShare(State.Settings, stats, Now));
  stats.LastSample = Now;
  stats.ServiceMicros =
      stats.ServiceMicros <= 0
          ? sample
          : (1 - weight) * stats.ServiceMicros + weight * sample;
  stats.ConsecutiveFailures = 0;
  stats.Ejections = 0;
  stats.Ejected = false;
}

void noteFailure(BalancerState &State, const Candidate &Server,
                 const Failure &Why, const std::vector<Candidate> &Peers,
                 TimePoint Now, const std::string &Flow) {
  ServerStats &stats = endAttempt(State, Server);
  if (Why.Code == FailureCode::Leaving)
    stats.Leaving = true;
  // Respect the retry delay that the server asked for.
  if (Why.Run == Verdict::NotRun && Why.RetryAfter > Millis(0)) {
    if (Why.Code == FailureCode::Overloaded)
      avoidOverloaded(State, stats, Why, Now, Flow);
    else
      stats.AvoidUntil = std::max(stats.AvoidUntil, Now + Why.RetryAfter);
  }
  if (!isServerFault(Why))
    return;
  ++stats.ConsecutiveFailures;
  if (stats.ConsecutiveFailures >= State.Settings.EjectionThreshold)
    eject(State, stats, Peers, Now);
}

void noteAbandoned(BalancerState &State, const Candidate &Server) {
  endAttempt(State, Server);
}

void noteLoad(BalancerState &State, const ServerKey &Server,
              const ReportedLoad &Load) {
  ServerStats &stats = State.Servers[Server];
  stats.Load = Load;
  stats.HasLoad = true;
  stats.InFlightAtLoad = stats.InFlight;
}

void noteLeaving(BalancerState &State, const InstanceName &Instance) {
  for (std::pair<const ServerKey, ServerStats> &it : State.Servers) {
    if (it.first.Instance == Instance)
      it.second.Leaving = true;
  }
}

void retainServers(BalancerState &State,
                   const std::map<ServiceName, std::vector<Candidate>> &Known,
                   TimePoint Now) {
  std::set<ServerKey> kept;
  for (const std::pair<const ServiceName, std::vector<Candidate>> &service :
       Known) {
    for (const Candidate &it : service.second) {
      kept.insert(it.Key);
      ServerStats &stats = State.Servers[it.Key];
      if (stats.Life == it.Life)
        continue;
      // The statistics of the previous incarnation do not apply.
      std::uint32_t inFlight = stats.InFlight;
      stats = ServerStats();
      stats.InFlight = inFlight;
      stats.Life = it.Life;
      stats.FirstSeen = Now;
    }
  }
  std::erase_if(State.Servers,
                [&](const std::pair<const ServerKey, ServerStats> &it) {
                  return it.second.InFlight == 0 && !kept.contains(it.first);
                });
}

} // namespace wasabi
