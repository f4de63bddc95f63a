#include "Wasabi/Upstream/ServerSelection.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace wasabi {

namespace {

/// Assumed until the first answer of a service.
constexpr double DefaultLatencyMs = 30.0;
/// Weight of a sample above the estimate, and minimum weight of one below it.
/// Slowness is to be noticed at once, whereas one fast answer doesn't prove a
/// recovery.
constexpr double RiseWeight = 0.5;
constexpr double FallWeight = 0.2;
/// Maximum estimate as a multiple of the typical latency. A server that is
/// slower gets no less work, but would take longer to be used again.
constexpr double MaxSlowness = 8.0;
/// Time in which an estimate loses half of its distance to the baseline
/// latency: that of this many answers of the service to this process, within
/// the limits. A process that sends one request in some seconds would otherwise
/// forget which servers are slow from one request to the next.
constexpr double AnswersPerHalfLife = 4;
constexpr double MinHalfLifeMs = 1000;
constexpr double MaxHalfLifeMs = 10'000;
/// Half-life of the distance between the baseline and a greater typical
/// latency. Longer than the load peaks that servers with room have to absorb.
constexpr double BaselineRiseHalfLifeMs = 30'000;
/// Weight of a lower typical latency in the baseline, and number of answers
/// until the typical latency is precise enough for a baseline of its own.
constexpr double BaselineFallWeight = 0.1;
constexpr std::uint64_t MinBaselineAnswers = 20;
/// Servers within this factor of the best one are chosen at random.
constexpr double CloseFactor = 1.5;
/// All requests stay in the preferred domain while its best server is within
/// the first factor of the best one elsewhere, and none do beyond the second.
constexpr double LocalFactor = 1.2;
constexpr double SpillFactor = 1.8;
/// Cost of a request to another failure domain in milliseconds: the round trip,
/// and a surcharge because bytes between domains are charged.
constexpr double CrossDomainCostMs = 5.0;
/// A server is treated as slow above the first factor of the typical latency,
/// and no longer below the second.
constexpr double SlowFactor = 2.0;
constexpr double RecoveredFactor = 1.5;
/// Minimum time between two changes of whether a server is treated as slow.
constexpr Millis MinSlowChangeInterval{1000};
/// Number of in-flight requests that count as samples. With `RiseWeight`, more
/// of them would change the estimate by less than a hundredth.
constexpr std::size_t MaxAgeSamples = 8;

/// Reports beyond these limits are ignored as absurd.
constexpr double MaxLatencyMs = 60'000;
constexpr double MaxReportedSamples = 10'000;
/// Maximum number of samples that a report counts for. Further ones hardly make
/// it more exact, and would outweigh local samples that are newer.
constexpr double MaxReportWeight = 3;
/// In-flight requests per slot. Servers queue some four requests per slot.
constexpr std::uint32_t MaxReportedLoad = 32;
/// Age after which reported in-flight requests are ignored; the shortest
/// validity of a report.
constexpr Millis MaxInFlightAge{3000};
/// Number of times that reported in-flight requests lose half of their weight
/// within the latency of their server.
constexpr double HalvingsPerLatency = 4;
/// Minimum number of servers that this process and others have measured, to
/// relate their latencies to each other.
constexpr std::size_t MinCommonServers = 3;

/// What the estimates of all servers of one service have in common.
struct EstimateBasis {
  double TypicalMs = DefaultLatencyMs;
  /// Latency that is assumed of a server without recent answers. The typical
  /// latency would make an idle server look as slow as the saturated ones.
  double BaselineMs = DefaultLatencyMs;
  double HalfLifeMs = MinHalfLifeMs;
  /// Factor by which others' latencies are multiplied. Processes send requests
  /// of unlike work, so their latencies differ at the same server.
  double OthersScale = 1;
};

/// A latency and the number of samples that it stands for.
struct WeightedLatency {
  double Ms = 0;
  double Samples = 0;
};

double millisBetween(TimePoint Start, TimePoint End) {
  return std::chrono::duration<double, std::milli>(End - Start).count();
}

/// Returns the part of a measurement that remains after `AgeMs`, from 0 to 1.
double remainingPart(double AgeMs, double HalfLifeMs) {
  return std::exp2(-std::max(AgeMs, 0.0) / HalfLifeMs);
}

double halfLifeMs(const TypicalLatency &Typical) {
  return std::clamp(Typical.IntervalMs * AnswersPerHalfLife, MinHalfLifeMs,
                    MaxHalfLifeMs);
}

/// Returns the latency that is assumed of a server without recent answers.
double baselineMs(const UpstreamTable &Table, const ServiceName &Service,
                  double TypicalMs) {
  auto it = Table.TypicalLatencies.find(Service);
  return it == Table.TypicalLatencies.end() || it->second.BaselineMs <= 0
             ? TypicalMs
             : std::min(it->second.BaselineMs, TypicalMs);
}

/// Returns the half-life of the estimates of a service.
double halfLifeMs(const UpstreamTable &Table, const ServiceName &Service) {
  auto it = Table.TypicalLatencies.find(Service);
  return it == Table.TypicalLatencies.end() ? MinHalfLifeMs
                                            : halfLifeMs(it->second);
}

bool isPlausible(const ServerLoad &Load) {
  return std::isfinite(Load.LatencyMs) && Load.LatencyMs > 0 &&
         Load.LatencyMs <= MaxLatencyMs && std::isfinite(Load.Samples) &&
         Load.Samples > 0 && Load.Samples <= MaxReportedSamples;
}

/// Returns the estimate after a sample. `Remaining` is the part of the former
/// estimate that its age has left, from 0 to 1. A sample that shows a recovery
/// counts as much as the estimate has lost, so that the few samples of a rarely
/// used server suffice.
double addSample(double EstimateMs, double SampleMs, double Remaining) {
  double weight =
      SampleMs > EstimateMs ? RiseWeight : std::max(FallWeight, 1 - Remaining);
  return EstimateMs + weight * (SampleMs - EstimateMs);
}

/// Returns the local estimate of a server, aged toward the baseline latency.
WeightedLatency agedLatency(const UpstreamServer &Server,
                            const EstimateBasis &Basis, TimePoint Now) {
  if (Server.SmoothedLatencyMs <= 0)
    return {Basis.BaselineMs, 0};
  if (!Server.LatencyMeasuredAt)
    return {Server.SmoothedLatencyMs, 1};
  double part = remainingPart(millisBetween(*Server.LatencyMeasuredAt, Now),
                              Basis.HalfLifeMs);
  return {Basis.BaselineMs +
              part * (Server.SmoothedLatencyMs - Basis.BaselineMs),
          part * Server.LatencySamples};
}

const ServerLoad *findReport(const UpstreamServer &Server,
                             const ServiceLoad *Others, TimePoint Now) {
  if (Others == nullptr)
    return nullptr;
  auto it = Others->Servers.find(Server.Entry.incarnation());
  return it == Others->Servers.end() || it->second.MeasuredAt > Now
             ? nullptr
             : &it->second;
}

WeightedLatency agedReport(const ServerLoad *Report, const EstimateBasis &Basis,
                           TimePoint Now) {
  if (Report == nullptr || !isPlausible(*Report))
    return {Basis.BaselineMs, 0};
  double part =
      remainingPart(millisBetween(Report->MeasuredAt, Now), MinHalfLifeMs);
  double latencyMs = std::min(Report->LatencyMs * Basis.OthersScale,
                              Basis.TypicalMs * MaxSlowness);
  return {Basis.BaselineMs + part * (latencyMs - Basis.BaselineMs),
          part * std::min(Report->Samples, MaxReportWeight)};
}

std::uint32_t slotsOf(const UpstreamServer &Server) {
  return std::max<std::uint32_t>(Server.Entry.Slots, 1);
}

/// Returns the upper median. Precondition: there is a value.
double medianOf(std::vector<double> Values) {
  auto middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), middle, Values.end());
  return *middle;
}

EstimateBasis makeBasis(const UpstreamTable &Table, const ServiceName &Service,
                        const ServiceLoad *Others, TimePoint Now) {
  EstimateBasis basis;
  basis.TypicalMs = typicalLatencyMs(Table, Service, Others);
  basis.BaselineMs = baselineMs(Table, Service, basis.TypicalMs);
  basis.HalfLifeMs = halfLifeMs(Table, Service);
  if (Others == nullptr)
    return basis;
  std::vector<double> ratios;
  for (const auto &[id, server] : Table.Servers) {
    if (server->Entry.Service != Service || server->SmoothedLatencyMs <= 0)
      continue;
    const ServerLoad *report = findReport(*server, Others, Now);
    if (report != nullptr && isPlausible(*report))
      ratios.push_back(server->SmoothedLatencyMs / report->LatencyMs);
  }
  if (ratios.size() >= MinCommonServers)
    basis.OthersScale = medianOf(std::move(ratios));
  return basis;
}

double estimateLatencyMs(const EstimateBasis &Basis,
                         const UpstreamServer &Server,
                         const ServiceLoad *Others, TimePoint Now) {
  WeightedLatency local = agedLatency(Server, Basis, Now);
  WeightedLatency other =
      agedReport(findReport(Server, Others, Now), Basis, Now);
  double samples = local.Samples + other.Samples;
  double result =
      samples > 0
          ? (local.Ms * local.Samples + other.Ms * other.Samples) / samples
          : Basis.BaselineMs;
  // In order of age, the oldest first.
  std::size_t counted = 0;
  for (TimePoint it : Server.AttemptStarts) {
    double ageMs = millisBetween(it, Now);
    if (ageMs <= result || ++counted > MaxAgeSamples)
      break;
    result = addSample(result, ageMs, 1);
  }
  return result;
}

/// Returns the number of all processes' requests that are expected to be in
/// flight at a server. Those that others have reported end within about one
/// latency. If they counted for longer, all processes that have read the same
/// report would send to the server that was idle then.
double inFlightAt(const UpstreamServer &Server, double LatencyMs,
                  const ServiceLoad *Others, TimePoint Now) {
  const ServerLoad *report = findReport(Server, Others, Now);
  if (report == nullptr || Now - report->MeasuredAt > MaxInFlightAge ||
      report->InFlight / MaxReportedLoad > slotsOf(Server))
    return Server.InFlight;
  double ageMs = millisBetween(report->MeasuredAt, Now);
  double part =
      std::exp2(-HalvingsPerLatency * ageMs / std::max(LatencyMs, 1.0));
  return Server.InFlight + part * report->InFlight;
}

double completionMs(double LatencyMs, double InFlight,
                    const UpstreamServer &Server) {
  double load = (InFlight + 1) / slotsOf(Server);
  return LatencyMs * std::max(load, 1.0);
}

/// A server that may be chosen.
struct Candidate {
  std::shared_ptr<UpstreamServer> Server;
  double LatencyMs = 0;
  /// Expected completion time plus the cost of crossing domains.
  double CostMs = 0;
  double InFlight = 0;
  bool Local = false;
};

bool costsLess(const Candidate &Left, const Candidate &Right) {
  return Left.CostMs < Right.CostMs;
}

std::vector<Candidate> findCandidates(const UpstreamTable &Table,
                                      const StoreContact &Contact,
                                      const ServerQuery &Query, TimePoint Now) {
  EstimateBasis basis = makeBasis(Table, Query.Service, Query.Others, Now);
  std::vector<Candidate> healthy;
  std::vector<Candidate> suspect;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Table, Query.Service, Contact, Now)) {
    if (Query.Excluded.contains(it->Entry.incarnation()) ||
        nextAttemptTime(Table, *it, Query.IsRepeatable) > Now)
      continue;
    Candidate found;
    found.Server = it;
    found.LatencyMs = estimateLatencyMs(basis, *it, Query.Others, Now);
    found.InFlight = inFlightAt(*it, found.LatencyMs, Query.Others, Now);
    found.Local = it->Entry.Domain == Query.PreferredDomain;
    found.CostMs = completionMs(found.LatencyMs, found.InFlight, *it) +
                   (found.Local ? 0 : CrossDomainCostMs);
    (it->SuspectUntil > Now ? suspect : healthy).push_back(std::move(found));
  }
  return healthy.empty() ? suspect : healthy;
}

/// Returns the slow server that was measured least recently and has no request
/// of this process in flight; null if there is none.
const Candidate *findTrial(const std::vector<Candidate> &Candidates,
                           TimePoint Now) {
  auto fastest =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [](const Candidate &Left, const Candidate &Right) {
                         return Left.LatencyMs < Right.LatencyMs;
                       });
  const Candidate *oldest = nullptr;
  for (const Candidate &it : Candidates) {
    bool looksSlow = it.LatencyMs > fastest->LatencyMs * CloseFactor;
    if (!looksSlow || it.Server->InFlight > 0 ||
        it.Server->SuspectUntil > Now || it.InFlight >= slotsOf(*it.Server))
      continue;
    if (oldest == nullptr ||
        it.Server->LatencyMeasuredAt < oldest->Server->LatencyMeasuredAt)
      oldest = &it;
  }
  return oldest;
}

/// Returns true if nothing is known yet that tells the servers apart.
bool isAtRest(const std::vector<Candidate> &Candidates,
              const ServiceLoad *Others) {
  return Others == nullptr &&
         std::all_of(Candidates.begin(), Candidates.end(),
                     [](const Candidate &It) {
                       return It.Server->SmoothedLatencyMs <= 0 &&
                              It.Server->InFlight == 0;
                     });
}

/// Returns the first of the candidates with the least cost. Precondition: there
/// is a candidate.
const Candidate &firstInOrder(const std::vector<Candidate> &Candidates) {
  return *std::min_element(Candidates.begin(), Candidates.end(), costsLess);
}

/// Returns the probability with which a request leaves the preferred domain. It
/// rises with the cost there, so that processes which see the same load do not
/// all leave at once.
double spillProbability(const std::vector<Candidate> &Local,
                        const std::vector<Candidate> &Other) {
  if (Local.empty() || Other.empty())
    return Local.empty() ? 1 : 0;
  double ratio = firstInOrder(Local).CostMs / firstInOrder(Other).CostMs;
  return std::clamp((ratio - LocalFactor) / (SpillFactor - LocalFactor), 0.0,
                    1.0);
}

/// Chooses at random among the candidates that are close to the best one, by
/// their free slots and inverse cost. Precondition: there is a candidate.
const Candidate &chooseAmongClose(const std::vector<Candidate> &Candidates,
                                  std::mt19937_64 &Random) {
  const Candidate &best = firstInOrder(Candidates);
  std::vector<double> weights;
  std::vector<double> weightsFull;
  for (const Candidate &it : Candidates) {
    double freeSlots = std::max(slotsOf(*it.Server) - it.InFlight, 0.0);
    double weight = it.CostMs <= best.CostMs * CloseFactor ? 1 / it.CostMs : 0;
    weights.push_back(weight * freeSlots);
    weightsFull.push_back(weight);
  }
  bool anyFree = std::any_of(weights.begin(), weights.end(),
                             [](double It) { return It > 0; });
  const std::vector<double> &used = anyFree ? weights : weightsFull;
  std::discrete_distribution<std::size_t> pick(used.begin(), used.end());
  return Candidates[pick(Random)];
}

} // namespace

double typicalLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const ServiceLoad *Others) {
  auto local = Table.TypicalLatencies.find(Service);
  if (local != Table.TypicalLatencies.end() && local->second.Ms > 0)
    return local->second.Ms;
  std::vector<double> reported;
  if (Others != nullptr) {
    for (const auto &[id, load] : Others->Servers) {
      if (isPlausible(load))
        reported.push_back(load.LatencyMs);
    }
  }
  return reported.empty() ? DefaultLatencyMs : medianOf(std::move(reported));
}

double estimateLatencyMs(const UpstreamTable &Table,
                         const UpstreamServer &Server,
                         const ServiceLoad *Others, TimePoint Now) {
  EstimateBasis basis = makeBasis(Table, Server.Entry.Service, Others, Now);
  return estimateLatencyMs(basis, Server, Others, Now);
}

double expectedCompletionMs(const UpstreamTable &Table,
                            const UpstreamServer &Server,
                            const ServiceLoad *Others, TimePoint Now) {
  EstimateBasis basis = makeBasis(Table, Server.Entry.Service, Others, Now);
  double latencyMs = estimateLatencyMs(basis, Server, Others, Now);
  return completionMs(latencyMs, inFlightAt(Server, latencyMs, Others, Now),
                      Server);
}

ServerChoice selectServer(const UpstreamTable &Table,
                          const StoreContact &Contact, const ServerQuery &Query,
                          TimePoint Now, std::mt19937_64 &Random) {
  std::vector<Candidate> candidates =
      findCandidates(Table, Contact, Query, Now);
  if (candidates.empty())
    return {};
  const Candidate *trial =
      Query.MayTrial ? findTrial(candidates, Now) : nullptr;
  if (trial != nullptr)
    return {trial->Server, true, false};
  if (isAtRest(candidates, Query.Others))
    return {firstInOrder(candidates).Server, false, false};
  auto firstOther =
      std::stable_partition(candidates.begin(), candidates.end(),
                            [](const Candidate &It) { return It.Local; });
  std::vector<Candidate> local(candidates.begin(), firstOther);
  std::vector<Candidate> other(firstOther, candidates.end());
  bool spill = std::uniform_real_distribution<>()(Random) <
               spillProbability(local, other);
  const Candidate &chosen = chooseAmongClose(spill ? other : local, Random);
  return {chosen.Server, false, spill && !local.empty()};
}

std::shared_ptr<UpstreamServer>
chooseServer(const UpstreamTable &Table, const StoreContact &Contact,
             const ServerQuery &Query, TimePoint Now, std::mt19937_64 &Random) {
  return selectServer(Table, Contact, Query, Now, Random).Server;
}

double averageLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const StoreContact &Contact, TimePoint Now) {
  EstimateBasis basis = makeBasis(Table, Service, nullptr, Now);
  double sum = 0;
  std::uint32_t known = 0;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Table, Service, Contact, Now)) {
    if (it->SmoothedLatencyMs <= 0)
      continue;
    sum += agedLatency(*it, basis, Now).Ms;
    ++known;
  }
  return known == 0 ? 0 : sum / known;
}

void beginAttempt(UpstreamServer &Server, TimePoint Now) {
  ++Server.InFlight;
  Server.AttemptStarts.insert(Now);
}

void endAttempt(UpstreamServer &Server, TimePoint StartedAt) {
  --Server.InFlight;
  auto it = Server.AttemptStarts.find(StartedAt);
  if (it != Server.AttemptStarts.end())
    Server.AttemptStarts.erase(it);
}

namespace {

/// Moves the baseline toward the typical latency, `ElapsedMs` after the answer
/// before.
void updateBaseline(TypicalLatency &Typical, double ElapsedMs) {
  double weight = BaselineFallWeight;
  if (Typical.Samples < MinBaselineAnswers)
    weight = 1;
  else if (Typical.Ms > Typical.BaselineMs)
    weight = 1 - remainingPart(ElapsedMs, BaselineRiseHalfLifeMs);
  Typical.BaselineMs += weight * (Typical.Ms - Typical.BaselineMs);
}

/// Moves the typical latency toward a sample by a bounded factor, so that it
/// follows the median and a few very long answers hardly change it.
void updateTypical(TypicalLatency &Typical, double LatencyMs, TimePoint Now) {
  constexpr double MinStep = 0.05;
  constexpr double IntervalWeight = 0.1;
  double elapsedMs = 0;
  if (Typical.LastAnswer) {
    elapsedMs = millisBetween(*Typical.LastAnswer, Now);
    Typical.IntervalMs += IntervalWeight * (elapsedMs - Typical.IntervalMs);
  }
  Typical.LastAnswer = Now;
  ++Typical.Samples;
  if (Typical.Ms <= 0) {
    Typical.Ms = LatencyMs;
    Typical.BaselineMs = LatencyMs;
    return;
  }
  double step = std::max(MinStep, 1.0 / static_cast<double>(Typical.Samples));
  Typical.Ms =
      std::clamp(LatencyMs, Typical.Ms / (1 + step), Typical.Ms * (1 + step));
  updateBaseline(Typical, elapsedMs);
}

void updateLatency(UpstreamServer &Server, const EstimateBasis &Basis,
                   double SampleMs, TimePoint Now) {
  WeightedLatency aged = agedLatency(Server, Basis, Now);
  double ageMs = millisBetween(Server.LatencyMeasuredAt.value_or(Now), Now);
  Server.SmoothedLatencyMs =
      addSample(aged.Ms, std::min(SampleMs, Basis.TypicalMs * MaxSlowness),
                remainingPart(ageMs, Basis.HalfLifeMs));
  Server.LatencySamples = aged.Samples + 1;
  Server.LatencyMeasuredAt = Now;
}

} // namespace

void recordAnswer(UpstreamTable &Table, UpstreamServer &Server,
                  double LatencyMs, TimePoint Now) {
  Server.Failures = 0;
  Server.SuspectUntil = TimePoint();
  if (!std::isfinite(LatencyMs) || LatencyMs <= 0)
    return;
  TypicalLatency &typical = Table.TypicalLatencies[Server.Entry.Service];
  updateTypical(typical, LatencyMs, Now);
  updateLatency(Server, makeBasis(Table, Server.Entry.Service, nullptr, Now),
                LatencyMs, Now);
}

void recordUnanswered(const UpstreamTable &Table, UpstreamServer &Server,
                      double AgeMs, TimePoint Now) {
  EstimateBasis basis = makeBasis(Table, Server.Entry.Service, nullptr, Now);
  if (std::isfinite(AgeMs) && AgeMs > agedLatency(Server, basis, Now).Ms)
    updateLatency(Server, basis, AgeMs, Now);
}

std::vector<std::shared_ptr<UpstreamServer>>
updateSlowServers(const UpstreamTable &Table, const ServiceName &Service,
                  const ServiceLoad *Others, TimePoint Now) {
  EstimateBasis basis = makeBasis(Table, Service, Others, Now);
  std::vector<std::shared_ptr<UpstreamServer>> changed;
  for (const auto &[id, server] : Table.Servers) {
    if (server->Entry.Service != Service ||
        (server->SlowChangedAt &&
         Now - *server->SlowChangedAt < MinSlowChangeInterval))
      continue;
    double latencyMs = estimateLatencyMs(basis, *server, Others, Now);
    double factor = server->Slow ? RecoveredFactor : SlowFactor;
    bool slow = latencyMs > basis.TypicalMs * factor;
    if (slow == server->Slow)
      continue;
    server->Slow = slow;
    server->SlowChangedAt = Now;
    changed.push_back(server);
  }
  return changed;
}

} // namespace wasabi
