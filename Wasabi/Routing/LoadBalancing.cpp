#include "Wasabi/Routing/LoadBalancing.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wasabi {
namespace {

/// A fresh server counts for at least this share of its limit.
constexpr double LeastSlowStartShare = 0.1;
/// Candidates drawn of the own failure domain, and of all.
constexpr std::size_t DrawnOfEach = 2;
/// Callers for whom a server is full; with more of them it is for everyone.
constexpr std::size_t MostFullFor = 64;

const ServerStats &memoryOf(const BalancerState &State, const Candidate &Who) {
  static const ServerStats Unknown;
  std::map<ServerKey, ServerStats>::const_iterator it =
      State.Servers.find(Who.Key);
  return it == State.Servers.end() ? Unknown : it->second;
}

/// What is open at the server: the own attempts as known now, and those of
/// others as the daemon last said. The report lags, so the own part of it is
/// taken out and replaced.
double openAt(const ServerStats &Memory) {
  double reported = 0;
  if (Memory.HasLoad)
    reported = static_cast<double>(Memory.Load.Running) + Memory.Load.Queued;
  double others = std::max(0.0, reported - Memory.InFlightAtLoad);
  return others + Memory.InFlight;
}

/// How many the server runs at once, as last said.
double limitOf(const ServerStats &Memory, const Candidate &Who) {
  double limit = Memory.HasLoad ? Memory.Load.Limit : Who.Slots;
  return std::max(1.0, limit);
}

/// How much of its concurrency a fresh server is given.
double slowStartShare(const BalancerSettings &Settings,
                      const ServerStats &Memory, TimePoint Now) {
  double age = std::chrono::duration<double>(Now - Memory.FirstSeen).count();
  double span = std::chrono::duration<double>(Settings.SlowStartWindow).count();
  if (span <= 0 || age >= span)
    return 1.0;
  return std::max(LeastSlowStartShare, age / span);
}

/// The part of old knowledge that still counts.
double remembered(const BalancerSettings &Settings, const ServerStats &Memory,
                  TimePoint Now) {
  double age = std::chrono::duration<double>(Now - Memory.LastSample).count();
  double life = std::chrono::duration<double>(Settings.HalfLife).count();
  return age <= 0 || life <= 0 ? 1.0 : std::exp2(-age / life);
}

/// The time of an attempt as far as it is known now, in microseconds.
double serviceMicros(const BalancerState &State, const ServerStats &Memory,
                     TimePoint Now) {
  if (Memory.ServiceMicros <= 0)
    return static_cast<double>(State.Settings.DefaultServiceTime.count());
  return Memory.ServiceMicros * remembered(State.Settings, Memory, Now);
}

/// When it may be asked again for that caller.
TimePoint avoidedUntil(const ServerStats &Memory, const std::string &Flow) {
  std::map<std::string, TimePoint>::const_iterator full =
      Memory.OverloadedUntil.find(Flow);
  return full == Memory.OverloadedUntil.end()
             ? Memory.AvoidUntil
             : std::max(Memory.AvoidUntil, full->second);
}

bool mayBeAsked(const ServerStats &Memory, TimePoint Now,
                const std::string &Flow) {
  if (Memory.Leaving || avoidedUntil(Memory, Flow) > Now)
    return false;
  return !Memory.HasLoad || Memory.Load.Serving;
}

bool wasTried(const std::vector<Candidate> &Tried, const Candidate &Who) {
  return std::any_of(Tried.begin(), Tried.end(),
                     [&](const Candidate &it) { return it.Key == Who.Key; });
}

bool domainTried(const std::vector<Candidate> &Tried, const Candidate &Who) {
  return std::any_of(Tried.begin(), Tried.end(), [&](const Candidate &it) {
    return it.Domain == Who.Domain;
  });
}

using Pool = std::vector<const Candidate *>;

/// Draws that many different ones out of `From` into `Into`.
void draw(Pool &From, std::size_t Count, Pool &Into, std::mt19937_64 &Random) {
  for (std::size_t n = 0; n < Count && !From.empty(); ++n) {
    std::uniform_int_distribution<std::size_t> any(0, From.size() - 1);
    std::swap(From[any(Random)], From.back());
    Into.push_back(From.back());
    From.pop_back();
  }
}

/// The candidates that may be asked, on an untried failure domain first.
Pool poolOf(const BalancerState &State, const std::vector<Candidate> &Of,
            const std::vector<Candidate> &Tried, TimePoint Now,
            const std::string &Flow) {
  Pool fresh;
  Pool rest;
  for (const Candidate &it : Of) {
    if (wasTried(Tried, it) || !mayBeAsked(memoryOf(State, it), Now, Flow))
      continue;
    (domainTried(Tried, it) ? rest : fresh).push_back(&it);
  }
  return fresh.empty() ? rest : fresh;
}

/// The wait as `chooseCandidate` weighs it: with the hop, and with what a
/// cached prefix saves.
double costOf(const BalancerState &State, const Candidate &Who,
              const std::optional<ServerKey> &Cached, TimePoint Now) {
  double cost = expectedWait(State, Who, Now);
  if (Who.Domain != State.Own)
    cost += static_cast<double>(State.Settings.CrossDomain.count());
  if (!Cached || *Cached != Who.Key)
    return cost;
  const ServerStats &memory = memoryOf(State, Who);
  // With a place free nothing is waited for, and the saving is for nothing.
  if (openAt(memory) + 1.0 <= limitOf(memory, Who))
    cost = 0;
  return cost -
         State.Settings.PrefixSavingShare * serviceMicros(State, memory, Now);
}

std::size_t ejectedAmong(const BalancerState &State,
                         const std::vector<Candidate> &Peers, TimePoint Now) {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const Candidate &it) {
        const ServerStats &memory = memoryOf(State, it);
        return memory.Ejected && memory.AvoidUntil > Now;
      }));
}

/// Whether a failure says something bad of the server itself.
bool countsAgainst(const Failure &Why) {
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

/// It is full for that caller: another one may have its share left. A place is
/// free long before the whole queue is gone.
void avoidFull(const BalancerState &State, ServerStats &Memory,
               const Failure &Why, TimePoint Now, const std::string &Flow) {
  TimePoint until =
      Now + std::min(Why.RetryAfter, State.Settings.MaxOverloadAvoidTime);
  std::erase_if(Memory.OverloadedUntil,
                [&](const std::pair<const std::string, TimePoint> &it) {
                  return it.second <= Now;
                });
  if (Memory.OverloadedUntil.size() < MostFullFor)
    Memory.OverloadedUntil[Flow] = until;
  else
    Memory.AvoidUntil = std::max(Memory.AvoidUntil, until);
}

void eject(BalancerState &State, ServerStats &Memory,
           const std::vector<Candidate> &Peers, TimePoint Now) {
  // A bad detector must not empty a service.
  std::size_t most = Peers.size() * State.Settings.MaxEjectionPercent / 100;
  if (ejectedAmong(State, Peers, Now) >= most)
    return;
  constexpr std::uint32_t MostDoublings = 10;
  Millis span = State.Settings.BaseEjectionTime *
                (1 << std::min(Memory.Ejections, MostDoublings));
  span = std::min(span, State.Settings.MaxEjectionTime);
  Memory.AvoidUntil = std::max(Memory.AvoidUntil, Now + span);
  Memory.Ejected = true;
  Memory.ConsecutiveFailures = 0;
  ++Memory.Ejections;
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

double expectedWait(const BalancerState &State, const Candidate &Who,
                    TimePoint Now) {
  const ServerStats &memory = memoryOf(State, Who);
  double service = serviceMicros(State, memory, Now);
  double limit =
      limitOf(memory, Who) * slowStartShare(State.Settings, memory, Now);
  return (openAt(memory) + 1.0) / limit * service;
}

std::optional<Candidate> chooseCandidate(const BalancerState &State,
                                         const std::vector<Candidate> &Of,
                                         const std::vector<Candidate> &Tried,
                                         const std::optional<ServerKey> &Cached,
                                         TimePoint Now, std::mt19937_64 &Random,
                                         const std::string &Flow) {
  Pool pool = poolOf(State, Of, Tried, Now, Flow);
  if (pool.empty())
    return std::nullopt;

  // Two of the own failure domain, two of all, and the one with the prefix: a
  // slow one among two would leave no choice at all.
  Pool own;
  const Candidate *holder = nullptr;
  for (const Candidate *it : pool) {
    if (it->Domain == State.Own)
      own.push_back(it);
    if (Cached && it->Key == *Cached)
      holder = it;
  }
  Pool drawn;
  draw(own, DrawnOfEach, drawn, Random);
  std::erase_if(pool, [&](const Candidate *it) {
    return std::find(drawn.begin(), drawn.end(), it) != drawn.end();
  });
  draw(pool, DrawnOfEach, drawn, Random);
  if (holder)
    drawn.push_back(holder);

  const Candidate *best = drawn.front();
  double least = costOf(State, *best, Cached, Now);
  for (const Candidate *it : drawn) {
    double cost = costOf(State, *it, Cached, Now);
    if (cost < least) {
      best = it;
      least = cost;
    }
  }
  return *best;
}

Millis timeUntilAvailable(const BalancerState &State,
                          const std::vector<Candidate> &Of, TimePoint Now,
                          const std::string &Flow) {
  Millis least{0};
  for (const Candidate &it : Of) {
    const ServerStats &memory = memoryOf(State, it);
    TimePoint until = avoidedUntil(memory, Flow);
    if (memory.Leaving || until <= Now)
      continue;
    Millis left = std::chrono::ceil<Millis>(until - Now);
    if (least == Millis(0) || left < least)
      least = left;
  }
  return least;
}

void noteStart(BalancerState &State, const Candidate &Who, TimePoint Now) {
  ServerStats &memory = State.Servers[Who.Key];
  if (memory.Life != Who.Life) {
    std::uint32_t open = memory.InFlight;
    memory = ServerStats();
    memory.InFlight = open;
    memory.Life = Who.Life;
    memory.FirstSeen = Now;
  }
  ++memory.InFlight;
}

namespace {

/// Ends one attempt's count.
ServerStats &endOne(BalancerState &State, const Candidate &Who) {
  ServerStats &memory = State.Servers[Who.Key];
  if (memory.InFlight > 0)
    --memory.InFlight;
  return memory;
}

} // namespace

void noteSuccess(BalancerState &State, const Candidate &Who, Micros Took,
                 TimePoint Now) {
  ServerStats &memory = endOne(State, Who);
  double sample = static_cast<double>(Took.count());
  // Old knowledge gives way to new.
  double weight = std::max(State.Settings.SampleWeight,
                           1.0 - remembered(State.Settings, memory, Now));
  memory.LastSample = Now;
  memory.ServiceMicros =
      memory.ServiceMicros <= 0
          ? sample
          : (1 - weight) * memory.ServiceMicros + weight * sample;
  memory.ConsecutiveFailures = 0;
  memory.Ejections = 0;
  memory.Ejected = false;
}

void noteFailure(BalancerState &State, const Candidate &Who, const Failure &Why,
                 const std::vector<Candidate> &Peers, TimePoint Now,
                 const std::string &Flow) {
  ServerStats &memory = endOne(State, Who);
  if (Why.Code == FailureCode::Leaving)
    memory.Leaving = true;
  // A server that says when to come back is not asked before.
  if (Why.Run == Verdict::NotRun && Why.RetryAfter > Millis(0)) {
    if (Why.Code == FailureCode::Overloaded)
      avoidFull(State, memory, Why, Now, Flow);
    else
      memory.AvoidUntil = std::max(memory.AvoidUntil, Now + Why.RetryAfter);
  }
  if (!countsAgainst(Why))
    return;
  ++memory.ConsecutiveFailures;
  if (memory.ConsecutiveFailures >= State.Settings.EjectionThreshold)
    eject(State, memory, Peers, Now);
}

void noteAbandoned(BalancerState &State, const Candidate &Who) {
  endOne(State, Who);
}

void noteLoad(BalancerState &State, const ServerKey &Who,
              const ReportedLoad &Load) {
  ServerStats &memory = State.Servers[Who];
  memory.Load = Load;
  memory.HasLoad = true;
  memory.InFlightAtLoad = memory.InFlight;
}

void noteLeaving(BalancerState &State, const InstanceName &Who) {
  for (std::pair<const ServerKey, ServerStats> &it : State.Servers) {
    if (it.first.Instance == Who)
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
      ServerStats &memory = State.Servers[it.Key];
      if (memory.Life == it.Life)
        continue;
      // Another incarnation: what was known of the last one is void.
      std::uint32_t open = memory.InFlight;
      memory = ServerStats();
      memory.InFlight = open;
      memory.Life = it.Life;
      memory.FirstSeen = Now;
    }
  }
  std::erase_if(State.Servers,
                [&](const std::pair<const ServerKey, ServerStats> &it) {
                  return it.second.InFlight == 0 && !kept.contains(it.first);
                });
}

} // namespace wasabi
