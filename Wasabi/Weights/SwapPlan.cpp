#include "Wasabi/Weights/SwapPlan.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace {

constexpr std::uint32_t MinFetchWindow = 2;
constexpr std::uint32_t MaxDoublings = 6;

/// Number of servers of one service, and of those that are swapping.
struct ServiceSwaps {
  std::uint32_t Servers = 0;
  std::uint32_t Swapping = 0;
  /// Swapping servers whose swap is late.
  std::uint32_t Late = 0;
};

bool canSwap(const ServiceSwaps &Service, std::uint32_t Percent) {
  if (Service.Servers <= 1)
    return Service.Swapping == 0;
  // Late swaps count here, as those servers do not serve.
  if (Service.Swapping + 1 >= Service.Servers)
    return false;
  std::uint32_t maxSwapping = std::max(1U, Service.Servers * Percent / 100);
  return Service.Swapping - Service.Late < maxSwapping;
}

bool hasPrecedence(const SwapTarget *A, const SwapTarget *B) {
  return std::tie(A->Headroom, A->Unfinished, A->Server) <
         std::tie(B->Headroom, B->Unfinished, B->Server);
}

bool isEligible(const SwapPlanState &State, const SwapTarget &Target,
                const PresetDeclaration &Preset, TimePoint Now) {
  if (Target.Version == State.Newest)
    return false;
  auto it = State.Servers.find(Target.Server);
  if (it != State.Servers.end()) {
    const SwapState &known = it->second;
    const bool hasNewerVersion =
        known.ConfirmedVersion != 0 && known.ConfirmedVersion < State.Newest;
    if (known.Ordered || (Now < known.NotBefore && !hasNewerVersion))
      return false;
  }
  bool waits = Preset.OnVersionChange == VersionChange::Finish &&
               Target.Unfinished > 0 && Target.Headroom >= 0;
  return !waits;
}

void updateSwapTime(SwapPlanState &State, Micros Took) {
  constexpr int AverageSamples = 4;
  State.SwapTime =
      State.SwapTime.count() == 0
          ? Took
          : (State.SwapTime * (AverageSamples - 1) + Took) / AverageSamples;
}

/// Restores the fetch window some time after the last failure reduced it.
void restoreFetchWindow(SwapPlanState &State, TimePoint Now) {
  bool isDue = Now - State.WindowReducedAt > State.Setup.WindowRecoveryDelay;
  if (isDue)
    State.FetchWindow = std::max(State.FetchWindow, State.Setup.InitialFetches);
}

} // namespace

bool isSwapLate(const SwapPlanState &State, const SwapState &Server,
                TimePoint Now) {
  Micros limit = State.Setup.InitialLateThreshold;
  if (State.SwapTime.count() > 0)
    limit = std::max<Micros>(State.SwapTime * State.Setup.LateFactor,
                             State.Setup.MinLateThreshold);
  return Server.Ordered && Now - Server.OrderedAt > limit;
}

std::vector<SwapOrder> planSwaps(SwapPlanState &State,
                                 const std::vector<SwapTarget> &Targets,
                                 const PresetDeclaration &Preset,
                                 TimePoint Now) {
  restoreFetchWindow(State, Now);
  std::map<ServiceName, ServiceSwaps> services;
  std::vector<const SwapTarget *> waiting;
  std::uint32_t swapping = 0;
  for (const SwapTarget &it : Targets) {
    ServiceSwaps &service = services[it.Service];
    ++service.Servers;
    auto known = State.Servers.find(it.Server);
    if (known != State.Servers.end() && known->second.Ordered) {
      const bool late = isSwapLate(State, known->second, Now);
      ++service.Swapping;
      service.Late += late ? 1 : 0;
      swapping += late ? 0 : 1;
    }
    if (isEligible(State, it, Preset, Now))
      waiting.push_back(&it);
  }
  std::sort(waiting.begin(), waiting.end(), hasPrecedence);
  std::vector<SwapOrder> orders;
  for (const SwapTarget *it : waiting) {
    ServiceSwaps &service = services[it->Service];
    if (swapping >= State.FetchWindow)
      break;
    if (!canSwap(service, Preset.SwapPercent))
      continue;
    SwapState &server = State.Servers[it->Server];
    server.Ordered = true;
    server.OrderedAt = Now;
    ++service.Swapping;
    ++swapping;
    orders.push_back(SwapOrder{it->Server, it->Daemon, State.Newest});
  }
  return orders;
}

bool noteAnswer(SwapPlanState &State, const ServerName &Server,
                WeightVersion Reported, TimePoint Now) {
  if (Reported != State.Newest) {
    noteFailure(State, Server, Now);
    return false;
  }
  SwapState &server = State.Servers[Server];
  if (server.Ordered)
    updateSwapTime(State, Now - server.OrderedAt);
  server = SwapState();
  server.ConfirmedVersion = Reported;
  server.NotBefore = Now + State.Setup.MaxReportDelay;
  State.FetchWindow = std::min(State.FetchWindow + 1, State.Setup.MaxFetches);
  return true;
}

void noteFailure(SwapPlanState &State, const ServerName &Server,
                 TimePoint Now) {
  SwapState &server = State.Servers[Server];
  server.Ordered = false;
  // Makes `NotBefore` apply to any version.
  server.ConfirmedVersion = 0;
  std::uint32_t doublings = std::min(server.Failures, MaxDoublings);
  server.NotBefore =
      Now + std::min(State.Setup.InitialBackOff * (1 << doublings),
                     State.Setup.MaxBackOff);
  ++server.Failures;
  // Too many concurrent fetches may have caused the failure.
  State.FetchWindow = std::max(State.FetchWindow / 2, MinFetchWindow);
  State.WindowReducedAt = Now;
}

} // namespace wasabi
