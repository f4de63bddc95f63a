#include "Wasabi/Adapters/Peers/PeerMemory.h"

#include <algorithm>
#include <utility>

#include <malloc.h>

namespace wasabi {

namespace {

/// Minimum time between two releases of memory to the kernel.
constexpr Millis ReleaseInterval{1000};
/// Memory is returned to the kernel once peers have ceased to hold this many
/// bytes.
constexpr std::uint64_t MinReleaseBytes = 4u << 20;
/// Part of the maximum by which bytes are freed beyond the need.
constexpr std::uint64_t SlackDivisor = 32;

} // namespace

//===--- PeerMemory -------------------------------------------------------===//

std::shared_ptr<PeerMemory> PeerMemory::create(Settings Limits) {
  return std::shared_ptr<PeerMemory>(new PeerMemory(std::move(Limits)));
}

std::uint64_t PeerMemory::hardLimit() const {
  constexpr std::uint64_t Divisor = 8;
  return Limits.MaxBytes + Limits.MaxBytes / Divisor;
}

bool PeerMemory::isTight() const {
  return Limits.MaxBytes > 0 && HeldBytes > Limits.MaxBytes / 2;
}

void PeerMemory::changeHeld(PeerConnection &Peer, std::uint64_t Before,
                            std::uint64_t After) {
  HeldBytes += After - Before;
  MaxSinceRelease = std::max(MaxSinceRelease, HeldBytes);
  if (After <= Before || Limits.MaxBytes == 0 || HeldBytes <= Limits.MaxBytes)
    return;
  TimePoint now = monotonicNow();
  if (now >= NextSearch)
    relieve({HeldBytes - Limits.MaxBytes, 0}, MinPeerLag, &Peer, now);
  if (HeldBytes > hardLimit())
    relieve({HeldBytes - Limits.MaxBytes, 0}, Millis(0), nullptr, now);
}

bool PeerMemory::hasRoomForConnection(std::size_t Reserved, TimePoint Now) {
  std::size_t needed = Peers.size() + Reserved + 1;
  if (Limits.MaxConnections == 0 || needed <= Limits.MaxConnections)
    return true;
  if (Now >= NextSearch) {
    std::size_t excess = needed - Limits.MaxConnections;
    relieve({0, excess + ConnectionsPerSearch}, MinPeerLag, nullptr, Now);
  }
  // Closed connections are removed in a later turn of the event loop.
  return false;
}

bool PeerMemory::hasRoomFor(std::uint64_t Bytes, TimePoint Now) {
  if (Limits.MaxBytes == 0 || HeldBytes + Bytes <= Limits.MaxBytes)
    return true;
  if (Now >= NextSearch)
    relieve({HeldBytes + Bytes - Limits.MaxBytes, 0}, MinPeerLag, nullptr, Now);
  return HeldBytes + Bytes <= Limits.MaxBytes;
}

void PeerMemory::relieve(PeerExcess Excess, Millis MinLag,
                         const PeerConnection *Except, TimePoint Now) {
  if (Excess.Bytes > 0)
    Excess.Bytes += Limits.MaxBytes / SlackDivisor;
  std::vector<PeerConnection *> peers;
  std::vector<PeerLoad> loads;
  peers.reserve(Peers.size());
  loads.reserve(Peers.size());
  for (PeerConnection *it : Peers) {
    if (it == Except || it->Yielded)
      continue;
    peers.push_back(it);
    loads.push_back(it->observe(Now));
    loads.back().Bytes = it->Bytes;
  }
  std::uint64_t freed = 0;
  std::vector<std::size_t> yielding = chooseToYield(loads, Excess, MinLag);
  for (std::size_t it : yielding)
    freed += loads[it].Bytes;
  if (freed < Excess.Bytes || yielding.size() < Excess.Connections)
    NextSearch = Now + PeerSearchInterval;
  for (std::size_t it : yielding) {
    PeerConnection *peer = peers[it];
    // Closing one connection may have ended another.
    if (!Peers.contains(peer) || peer->Yielded)
      continue;
    // The memory is released in the next turn of the event loop.
    peer->hold(0);
    peer->Yielded = true;
    ++Yields;
    if (Limits.OnYield)
      Limits.OnYield();
    peer->yield(Now);
  }
}

void PeerMemory::releaseFreed(TimePoint Now) {
  if (MaxSinceRelease - HeldBytes < MinReleaseBytes ||
      Now - LastRelease < ReleaseInterval)
    return;
  LastRelease = Now;
  MaxSinceRelease = HeldBytes;
  // The allocator keeps freed blocks below others that are still in use.
  ::malloc_trim(0);
}

//===--- PeerConnection ---------------------------------------------------===//

PeerConnection::PeerConnection(std::shared_ptr<PeerMemory> Account)
    : Account(std::move(Account)) {
  if (this->Account)
    this->Account->Peers.insert(this);
}

PeerConnection::~PeerConnection() {
  if (!Account)
    return;
  hold(0);
  Account->Peers.erase(this);
}

void PeerConnection::hold(std::uint64_t NewBytes) {
  if (!Account || Yielded)
    return;
  std::uint64_t before = std::exchange(Bytes, NewBytes);
  Account->changeHeld(*this, before, NewBytes);
}

} // namespace wasabi
