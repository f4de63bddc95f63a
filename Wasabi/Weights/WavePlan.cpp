#include "Wasabi/Weights/WavePlan.h"

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
  /// Of these, those whose answer is overdue.
  std::uint32_t Overdue = 0;
};

bool hasRoom(const ServiceRoom &Of, std::uint32_t Percent) {
  std::uint32_t most = std::max(1U, Of.Servers - 1);
  std::uint32_t part =
      std::clamp<std::uint32_t>(Of.Servers * Percent / 100, 1, most);
  return Of.Swapping < most && Of.Swapping - Of.Overdue < part;
}

/// How many times the mean swap an answer may take.
constexpr int PatienceFactor = 5;

bool isOverdue(const WaveState &State, const SwapState &Of, TimePoint Now) {
  Micros patience = std::max<Micros>(State.Setup.MinPatience,
                                     State.MeanSwap * PatienceFactor);
  return Of.Ordered && Now - Of.OrderedAt > patience;
}

void noteSwap(WaveState &State, const SwapState &Of, TimePoint Now) {
  if (!Of.Ordered)
    return;
  Micros took = Now - Of.OrderedAt;
  State.MeanSwap =
      State.MeanSwap.count() == 0 ? took : (State.MeanSwap * 3 + took) / 4;
}

bool isFirst(const SwapTarget *A, const SwapTarget *B) {
  return std::tie(A->Headroom, A->Unfinished, A->Server) <
         std::tie(B->Headroom, B->Unfinished, B->Server);
}

bool mayGo(const WaveState &State, const SwapTarget &Which,
           const PresetDeclaration &Preset, TimePoint Now) {
  if (Which.Version == State.Newest)
    return false;
  auto it = State.Servers.find(Which.Server);
  if (it != State.Servers.end() &&
      (it->second.Ordered || Now < it->second.NotBefore))
    return false;
  bool waits = Preset.OnVersionChange == VersionChange::Finish &&
               Which.Unfinished > 0 && Which.Headroom >= 0;
  return !waits;
}

/// The window grows again some time after a failure cut it.
void recover(WaveState &State, TimePoint Now) {
  bool forgotten = Now - State.WindowCutAt > State.Setup.ForgetLimit;
  if (forgotten)
    State.Window = std::max(State.Window, State.Setup.FirstFetches);
}

} // namespace

std::vector<SwapOrder> planWave(WaveState &State,
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
      ++room.Swapping;
      ++swapping;
      room.Overdue += isOverdue(State, known->second, Now) ? 1 : 0;
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

bool noteAnswer(WaveState &State, const ServerName &Server,
                WeightVersion Reported, TimePoint Now) {
  if (Reported != State.Newest) {
    noteFailure(State, Server, Now);
    return false;
  }
  noteSwap(State, State.Servers[Server], Now);
  State.Servers[Server] = SwapState();
  State.Window = std::min(State.Window + 1, State.Setup.MaxFetches);
  return true;
}

void noteFailure(WaveState &State, const ServerName &Server, TimePoint Now) {
  SwapState &server = State.Servers[Server];
  server.Ordered = false;
  std::uint32_t doublings = std::min(server.Failures, MaxDoublings);
  server.NotBefore = Now + std::min(State.Setup.FirstBackOff * (1 << doublings),
                                    State.Setup.MaxBackOff);
  ++server.Failures;
  // Too many fetches at once is the likeliest cause that waits for us.
  State.Window = std::max(State.Window / 2, MinWindow);
  State.WindowCutAt = Now;
}

} // namespace wasabi
