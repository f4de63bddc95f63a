#include "Wasabi/Weights/SwapPlan.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace {

constexpr std::uint32_t MinWindow = 2;
constexpr std::uint32_t MaxDoublings = 6;

/// What a service may swap at once, and does.
struct ServiceRoom {
  std::uint32_t Servers = 0;
  std::uint32_t Swapping = 0;
  /// Of those, orders that are late.
  std::uint32_t Late = 0;
};

bool hasRoom(const ServiceRoom &Of, std::uint32_t Percent) {
  if (Of.Servers <= 1)
    return Of.Swapping == 0;
  // Late ones count where it is about the last server that serves.
  if (Of.Swapping + 1 >= Of.Servers)
    return false;
  std::uint32_t part = std::max(1U, Of.Servers * Percent / 100);
  return Of.Swapping - Of.Late < part;
}

bool isFirst(const SwapTarget *A, const SwapTarget *B) {
  return std::tie(A->Headroom, A->Unfinished, A->Server) <
         std::tie(B->Headroom, B->Unfinished, B->Server);
}

bool mayGo(const SwapPlanState &State, const SwapTarget &Which,
           const PresetDeclaration &Preset, TimePoint Now) {
  if (Which.Version == State.Newest)
    return false;
  auto it = State.Servers.find(Which.Server);
  if (it != State.Servers.end()) {
    const SwapState &known = it->second;
    const bool isOver = known.Reached != 0 && known.Reached < State.Newest;
    if (known.Ordered || (Now < known.NotBefore && !isOver))
      return false;
  }
  bool waits = Preset.OnVersionChange == VersionChange::Finish &&
               Which.Unfinished > 0 && Which.Headroom >= 0;
  return !waits;
}

void noteSwapTime(SwapPlanState &State, Micros Took) {
  constexpr int Parts = 4;
  State.SwapTime = State.SwapTime.count() == 0
                       ? Took
                       : (State.SwapTime * (Parts - 1) + Took) / Parts;
}

/// The window grows again some time after a failure cut it.
void recover(SwapPlanState &State, TimePoint Now) {
  bool forgotten = Now - State.WindowCutAt > State.Setup.WindowRecoveryDelay;
  if (forgotten)
    State.Window = std::max(State.Window, State.Setup.InitialFetches);
}

} // namespace

bool isSwapLate(const SwapPlanState &State, const SwapState &Of,
                TimePoint Now) {
  Micros limit = State.Setup.InitialLateThreshold;
  if (State.SwapTime.count() > 0)
    limit = std::max<Micros>(State.SwapTime * State.Setup.LateFactor,
                             State.Setup.MinLateThreshold);
  return Of.Ordered && Now - Of.OrderedAt > limit;
}

std::vector<SwapOrder> planSwaps(SwapPlanState &State,
                                 const std::vector<SwapTarget> &Targets,
                                 const PresetDeclaration &Preset,
                                 TimePoint Now) {
  recover(State, Now);
  std::map<ServiceName, ServiceRoom> rooms;
  std::vector<const SwapTarget *> waiting;
  std::uint32_t swapping = 0;
  for (const SwapTarget &it : Targets) {
    ServiceRoom &room = rooms[it.Service];
    ++room.Servers;
    auto known = State.Servers.find(it.Server);
    if (known != State.Servers.end() && known->second.Ordered) {
      const bool late = isSwapLate(State, known->second, Now);
      ++room.Swapping;
      room.Late += late ? 1 : 0;
      swapping += late ? 0 : 1;
    }
    if (mayGo(State, it, Preset, Now))
      waiting.push_back(&it);
  }
  std::sort(waiting.begin(), waiting.end(), isFirst);
  std::vector<SwapOrder> orders;
  for (const SwapTarget *it : waiting) {
    ServiceRoom &room = rooms[it->Service];
    if (swapping >= State.Window)
      break;
    if (!hasRoom(room, Preset.SwapPercent))
      continue;
    SwapState &server = State.Servers[it->Server];
    server.Ordered = true;
    server.OrderedAt = Now;
    ++room.Swapping;
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
    noteSwapTime(State, Now - server.OrderedAt);
  server = SwapState();
  server.Reached = Reported;
  server.NotBefore = Now + State.Setup.MaxReportDelay;
  State.Window = std::min(State.Window + 1, State.Setup.MaxFetches);
  return true;
}

void noteFailure(SwapPlanState &State, const ServerName &Server,
                 TimePoint Now) {
  SwapState &server = State.Servers[Server];
  server.Ordered = false;
  // From now on `NotBefore` is a delay for any version.
  server.Reached = 0;
  std::uint32_t doublings = std::min(server.Failures, MaxDoublings);
  server.NotBefore = Now + std::min(State.Setup.FirstBackOff * (1 << doublings),
                                    State.Setup.MaxBackOff);
  ++server.Failures;
  // Too many fetches at once is the likeliest cause that waits for us.
  State.Window = std::max(State.Window / 2, MinWindow);
  State.WindowCutAt = Now;
}

} // namespace wasabi
