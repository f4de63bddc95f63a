/// \file
/// What connections hold for their peers, and which of them give way.
#include "Wasabi/Adapters/Http/HttpConnection.h"

#include "Wasabi/Adapters/Http/HttpWire.h"

#include <algorithm>

namespace wasabi::http {

using ErrorCode = boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Memory of an open connection, without its buffer.
constexpr std::uint64_t ConnectionBytes = 8192;

} // namespace

//===--- Slow readers -----------------------------------------------------===//

void Connection::holdResponse(std::uint64_t Bytes) {
  HeldCounts &held = Owner->Held;
  held.ResponseBytes += Bytes - ResponseBytes;
  ResponseBytes = Bytes;
}

/// Sets the size of the body that is received or handled.
void Connection::holdBody(std::uint64_t Bytes) {
  HeldTotals totals = addBody(removeBody(Owner->totals(), BodyBytes), Bytes);
  Owner->Held.RequestBytes = totals.RequestBytes;
  Owner->Held.LargeRequestBytes = totals.LargeRequestBytes;
  BodyBytes = Bytes;
}

/// Holds a body if it fits, if need be in place of bodies that lag. Returns
/// false if the request has to be refused.
bool Connection::reserveBody(std::uint64_t Bytes) {
  HeldTotals others = removeBody(Owner->totals(), BodyBytes);
  if (!fitsRequestBody(others, Bytes) &&
      !Owner->makeRoomForBody(Bytes, this, monotonicNow()))
    return false;
  holdBody(Bytes);
  return true;
}

void Connection::updateHeld() {
  std::uint64_t handled =
      CurrentPhase == Phase::Answering ? HandledRequestBytes : 0;
  hold(ConnectionBytes + Buffer.capacity() + HeadBytes + BodyBytes +
       ResponseBytes + handled);
}

HeldResponse Connection::observeHeld(TimePoint Now) {
  if (ResponseBytes > 0)
    Progress = observeQueue(Progress, countUnacknowledged(Socket), true, Now);
  return {ResponseBytes, Progress.LastProgress};
}

/// Resets the connection if its peer has stalled. Returns true if it did.
bool Connection::enforceProgress(TimePoint Now) {
  // A lingering connection is closed at its deadline.
  if (!Progress.Pending || !Socket.is_open() ||
      CurrentPhase == Phase::Lingering)
    return false;
  Progress = observeQueue(Progress, countUnacknowledged(Socket),
                          ResponseBytes > 0, Now);
  Millis timeout =
      std::min(Owner->Limits.ReadStallTimeout, Owner->Client.IdleTimeout);
  if (!isStalled(Progress, timeout, Now))
    return false;
  ++Owner->Held.StalledResets;
  ++Owner->Report.StalledResets;
  resetSlowReader(Now);
  return true;
}

void Connection::resetForMemory(TimePoint Now) {
  ++Owner->Held.MemoryResets;
  ++Owner->Report.MemoryResets;
  resetSlowReader(Now);
}

void Connection::recordPeer() {
  ErrorCode ec;
  Tcp::endpoint peer = Socket.remote_endpoint(ec);
  if (!ec)
    Owner->Report.LastPeer =
        toText(Address{peer.address().to_string(), peer.port()});
}

void Connection::resetSlowReader(TimePoint Now) {
  SlowReaderReport &report = Owner->Report;
  report.ResetBytes += ResponseBytes;
  report.LongestStall =
      std::max(report.LongestStall,
               std::chrono::duration_cast<Millis>(Now - Progress.LastProgress));
  recordPeer();
  // The cancelled write releases its memory in the next turn of the event loop.
  holdResponse(0);
  abort();
}

//===--- Peers that give way ----------------------------------------------===//

PeerLoad Connection::observe(TimePoint Now) {
  PeerLoad load{PeerActivity::Pending, heldBytes(),
                std::chrono::duration_cast<Millis>(Now - PacedUntil)};
  if (ChecksHead || (CurrentPhase == Phase::Answering && ResponseBytes == 0))
    return {PeerActivity::Working, heldBytes(), Millis(0)};
  if (CurrentPhase == Phase::Answering) {
    load.Lag =
        std::chrono::duration_cast<Millis>(Now - observeHeld(Now).LastProgress);
    return load;
  }
  if (CurrentPhase == Phase::Idle && HasAnswered)
    load.Activity = PeerActivity::Idle;
  // What was sent and not yet read is not the peer's delay.
  ErrorCode ec;
  if (Socket.available(ec) > 0)
    load.Lag = Millis(0);
  return load;
}

void Connection::yield(TimePoint Now) {
  ++Owner->Held.YieldedConnections;
  ++Owner->Report.YieldedConnections;
  if (ResponseBytes > 0) {
    resetSlowReader(Now);
    return;
  }
  recordPeer();
  holdBody(0);
  abort();
}

std::uint64_t Connection::arrivingBodyBytes() const {
  return ReadsBody && !BodyGivenUp && BodyBytes > SmallBodyBytes ? BodyBytes
                                                                 : 0;
}

void Connection::giveUpBody() {
  BodyGivenUp = true;
  ++Owner->Held.GivenUpBodies;
  ++Owner->Report.GivenUpBodies;
  recordPeer();
  holdBody(0);
  ErrorCode ec;
  Socket.cancel(ec);
}

bool ServerState::makeRoomForBody(std::uint64_t BodyBytes,
                                  const Connection *Growing, TimePoint Now) {
  HeldTotals left = totals();
  std::vector<Connection *> connections;
  std::vector<PeerLoad> loads;
  for (Connection *it : Open) {
    if (it == Growing) {
      left = removeBody(left, it->arrivingBodyBytes());
      continue;
    }
    std::uint64_t bytes = it->arrivingBodyBytes();
    if (bytes == 0)
      continue;
    connections.push_back(it);
    loads.push_back(it->observe(Now));
    loads.back().Bytes = bytes;
  }
  std::vector<Connection *> yielding;
  for (std::size_t it : orderToYield(loads, MinPeerLag)) {
    if (fitsRequestBody(left, BodyBytes))
      break;
    left = removeBody(left, loads[it].Bytes);
    yielding.push_back(connections[it]);
  }
  if (!fitsRequestBody(left, BodyBytes))
    return false;
  for (Connection *it : yielding)
    it->giveUpBody();
  return true;
}

bool ServerState::hasRoomForConnection(TimePoint Now) {
  if (Open.size() >= Limits.MaxConnections) {
    yieldConnections(Now);
    return false;
  }
  return !Limits.Memory ||
         Limits.Memory->hasRoomForConnection(Limits.ReservedConnections, Now);
}

void ServerState::yieldConnections(TimePoint Now) {
  if (Now < NextSearch)
    return;
  NextSearch = Now + PeerSearchInterval;
  std::vector<std::shared_ptr<Connection>> connections;
  std::vector<PeerLoad> loads;
  for (Connection *it : Open) {
    connections.push_back(it->shared_from_this());
    loads.push_back(it->observe(Now));
  }
  for (std::size_t it :
       chooseToYield(loads, {0, ConnectionsPerSearch}, MinPeerLag))
    connections[it]->yield(Now);
}

void ServerState::relieve(const Connection *Growing, TimePoint Now) {
  if (Limits.MaxHeldBytes > 0 && Held.ResponseBytes > Limits.MaxHeldBytes) {
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<HeldResponse> held;
    std::optional<std::size_t> kept;
    for (Connection *it : Open) {
      HeldResponse response = it->observeHeld(Now);
      if (response.Bytes == 0)
        continue;
      if (it == Growing)
        kept = held.size();
      held.push_back(response);
      connections.push_back(it->shared_from_this());
    }
    for (std::size_t it : chooseResets(held, Limits.MaxHeldBytes, kept))
      connections[it]->resetForMemory(Now);
  }
  Held.MaxResponseBytes = std::max(Held.MaxResponseBytes, Held.ResponseBytes);
}

void ServerState::endLongOverload(TimePoint Now) {
  if (Limits.MaxHeldBytes == 0 || Held.ResponseBytes <= Limits.MaxHeldBytes) {
    OverloadedSince.reset();
    return;
  }
  if (!OverloadedSince)
    OverloadedSince = Now;
  if (Now - *OverloadedSince >= Limits.ReadStallTimeout)
    relieve(nullptr, Now);
}

} // namespace wasabi::http
