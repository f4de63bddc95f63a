/// \file
/// The account of what peers make a process hold, over all of its listeners, in
/// bytes and in connections.
#ifndef WASABI_ADAPTERS_PEERS_PEERMEMORY_H
#define WASABI_ADAPTERS_PEERS_PEERMEMORY_H

#include "Wasabi/Adapters/Peers/PeerLoad.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

namespace wasabi {

class PeerConnection;

/// Sums what the connections of a process hold. Beyond its limits, it closes
/// those whose peers lag, and an eighth above the maximum of bytes also those
/// that move; work that has no room is refused. Not thread-safe:
/// use on the thread of its connections.
class PeerMemory {
public:
  struct Settings {
    /// Maximum number of bytes; 0 for unlimited.
    std::uint64_t MaxBytes = 0;
    /// Maximum number of connections; 0 for unlimited.
    std::size_t MaxConnections = 0;
    /// Called for each connection that is closed in favor of others.
    std::function<void()> OnYield = nullptr;
  };

  static std::shared_ptr<PeerMemory> create(Settings Limits);
  PeerMemory(const PeerMemory &) = delete;
  PeerMemory &operator=(const PeerMemory &) = delete;

  std::uint64_t heldBytes() const { return HeldBytes; }
  std::size_t connections() const { return Peers.size(); }
  /// Number of connections that were closed in favor of others.
  std::uint64_t yields() const { return Yields; }

  /// Returns true if one more connection may be opened and `Reserved` further
  /// ones after it.
  bool hasRoomForConnection(std::size_t Reserved, TimePoint Now);
  /// Returns true if `Bytes` more may be held for a request.
  bool hasRoomFor(std::uint64_t Bytes, TimePoint Now);
  /// Returns true if half of the bytes are held, or more: what is held in
  /// advance only is better not held.
  bool isTight() const;
  /// Returns memory that peers have ceased to hold to the kernel. Call at
  /// regular intervals.
  void releaseFreed(TimePoint Now);

private:
  friend class PeerConnection;
  explicit PeerMemory(Settings Limits) : Limits(std::move(Limits)) {}
  void changeHeld(PeerConnection &Peer, std::uint64_t Before,
                  std::uint64_t After);
  void relieve(PeerExcess Excess, Millis MinLag, const PeerConnection *Except,
               TimePoint Now);
  std::uint64_t hardLimit() const;

  const Settings Limits;
  std::unordered_set<PeerConnection *> Peers;
  std::uint64_t HeldBytes = 0;
  std::uint64_t Yields = 0;
  /// The most bytes held since memory was last returned to the kernel.
  std::uint64_t MaxSinceRelease = 0;
  TimePoint LastRelease;
  /// The earliest time of the next search for lagging peers.
  TimePoint NextSearch;
};

/// A connection whose peer makes the process hold something. Use on the thread
/// of its account.
class PeerConnection {
public:
  /// `Account` may be null: nothing is counted then.
  explicit PeerConnection(std::shared_ptr<PeerMemory> Account);
  virtual ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Sets what the connection holds. May close lagging connections, this one
  /// among them.
  void hold(std::uint64_t NewBytes);
  std::uint64_t heldBytes() const { return Bytes; }
  /// Returns the load; `Bytes` is filled in by the caller.
  virtual PeerLoad observe(TimePoint Now) = 0;
  /// Closes the connection, whose memory is needed for others. Must not destroy
  /// a connection.
  virtual void yield(TimePoint Now) = 0;

private:
  friend class PeerMemory;
  const std::shared_ptr<PeerMemory> Account;
  std::uint64_t Bytes = 0;
  bool Yielded = false;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PEERS_PEERMEMORY_H
