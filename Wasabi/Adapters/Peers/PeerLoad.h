/// \file
/// Decisions on peers that make a process hold memory or descriptors: how far
/// they move, and which of them give way. Plain functions without a network.
#ifndef WASABI_ADAPTERS_PEERS_PEERLOAD_H
#define WASABI_ADAPTERS_PEERS_PEERLOAD_H

#include "Wasabi/Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabi {

/// What a connection waits for.
enum class PeerActivity : std::uint8_t {
  /// For the process, which works on a request: the connection never gives way.
  Working,
  /// For the next request; the last one was answered.
  Idle,
  /// For the peer, which has to send or to read.
  Pending,
};

/// What a connection holds, and how far its peer lags. An immutable value.
struct PeerLoad {
  PeerActivity Activity = PeerActivity::Working;
  std::uint64_t Bytes = 0;
  /// Time by which the peer is behind the minimum rate; for an idle connection,
  /// the time since its last response.
  Millis Lag{0};
  bool operator==(const PeerLoad &) const = default;
};

/// A peer that sends this many bytes per second, or more, never lags.
inline constexpr std::uint64_t MinBytesPerSecond = 16384;

/// A peer gives way to others only if it lags by this much.
inline constexpr Millis MinPeerLag{250};

/// Time until the next search for lagging peers, which looks at all
/// connections, after one that did not find enough of them.
inline constexpr Millis PeerSearchInterval{20};

/// Connections beyond the need that give way at once, so that a crowd does not
/// cause a search for each of its connections.
inline constexpr std::size_t ConnectionsPerSearch = 16;

/// Returns the time up to which a peer has kept the minimum rate, after it has
/// sent `Bytes` more bytes. A peer that is faster saves up nothing. Pure.
TimePoint advancePace(TimePoint PacedUntil, std::uint64_t Bytes, TimePoint Now);

/// What peers have to give way by.
struct PeerExcess {
  std::uint64_t Bytes = 0;
  std::size_t Connections = 0;
  bool operator==(const PeerExcess &) const = default;
};

/// Returns the indices of the peers that may give way, in the order in which
/// they do: those that hold most for their lag first, idle ones last. `MinLag`
/// spares peers that move. Pure.
std::vector<std::size_t> orderToYield(const std::vector<PeerLoad> &Peers,
                                      Millis MinLag);

/// Returns as many peers of `orderToYield` as cover the excess, or all of them.
/// Idle ones are spared as long as the pending ones, once they lag, cover it.
/// Pure.
std::vector<std::size_t> chooseToYield(const std::vector<PeerLoad> &Peers,
                                       PeerExcess Excess, Millis MinLag);

} // namespace wasabi

#endif // WASABI_ADAPTERS_PEERS_PEERLOAD_H
