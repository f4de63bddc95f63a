#include "Wasabi/Adapters/Peers/PeerLoad.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

namespace {

/// What a peer holds, times the time for which it keeps others from it.
std::uint64_t computeCost(const PeerLoad &Load) {
  return Load.Bytes * static_cast<std::uint64_t>(Load.Lag.count() + 1);
}

} // namespace

TimePoint advancePace(TimePoint PacedUntil, std::uint64_t Bytes,
                      TimePoint Now) {
  constexpr std::uint64_t MicrosPerSecond = 1000000;
  TimePoint paced =
      PacedUntil + Micros(Bytes * MicrosPerSecond / MinBytesPerSecond);
  return std::min(paced, Now);
}

std::vector<std::size_t> orderToYield(const std::vector<PeerLoad> &Peers,
                                      Millis MinLag) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < Peers.size(); ++i) {
    if (Peers[i].Activity != PeerActivity::Working && Peers[i].Lag >= MinLag)
      order.push_back(i);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&Peers](std::size_t Left, std::size_t Right) {
                     const PeerLoad &left = Peers[Left];
                     const PeerLoad &right = Peers[Right];
                     bool leftIdle = left.Activity == PeerActivity::Idle;
                     bool rightIdle = right.Activity == PeerActivity::Idle;
                     if (leftIdle != rightIdle)
                       return rightIdle;
                     return computeCost(left) > computeCost(right);
                   });
  return order;
}

std::vector<std::size_t> chooseToYield(const std::vector<PeerLoad> &Peers,
                                       PeerExcess Excess, Millis MinLag) {
  // Pending peers that do not lag yet will soon have moved or lag.
  PeerExcess pending;
  for (const PeerLoad &it : Peers) {
    if (it.Activity != PeerActivity::Pending)
      continue;
    pending.Bytes += it.Bytes;
    ++pending.Connections;
  }
  bool sparesIdle = pending.Bytes >= Excess.Bytes &&
                    pending.Connections >= Excess.Connections;
  std::vector<std::size_t> chosen;
  std::uint64_t bytes = 0;
  for (std::size_t it : orderToYield(Peers, MinLag)) {
    bool isIdle = Peers[it].Activity == PeerActivity::Idle;
    if ((isIdle && sparesIdle) ||
        (bytes >= Excess.Bytes && chosen.size() >= Excess.Connections))
      break;
    bytes += Peers[it].Bytes;
    chosen.push_back(it);
  }
  return chosen;
}

} // namespace wasabi
