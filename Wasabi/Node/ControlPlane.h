/// \file
/// The control plane of a process, which runs on its own thread. It maintains
/// the membership view, follows the control stream, distributes both, holds
/// claims and delivers orders. Requests never wait for it: they read the state
/// that it publishes.
#ifndef WASABI_NODE_CONTROLPLANE_H
#define WASABI_NODE_CONTROLPLANE_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Membership/View.h"
#include "Wasabi/State/Fold.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// An order to a server, executed by the daemon in front of it.
struct Order {
  ServerName Server;
  /// The claim that authorizes the order, `weights/MODEL`, and its token.
  std::string Resource;
  FencingToken Token = 0;
  ModelName Model;
  WeightVersion Version = 0;
  bool operator==(const Order &) const = default;
};

/// The daemon's answer: the version that its engine reported after the order.
struct OrderAnswer {
  WeightVersion Version = 0;
  bool operator==(const OrderAnswer &) const = default;
};

/// A claim that this process holds and may act on until `Until`.
struct HeldClaim {
  FencingToken Token = 0;
  /// End of the authority on the monotonic clock, counted from before the last
  /// accepted renewal was sent. To be checked again before each effect.
  TimePoint Until;
  bool operator==(const HeldClaim &) const = default;
};

class ControlPlane {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Role Kind = Role::Daemon;
    /// Address on which to accept control frames; port 0 for an ephemeral port.
    Address Listen{"127.0.0.1", 0};
    /// Control address announced to others; empty for the bound address.
    Address Advertise;
    /// Further addresses of this process, announced to others.
    Address Requests;
    Address Admin;
    /// Addresses of the platform's log and instance list.
    Address Log;
    Address Instances;
    /// Control addresses of initial peers, in addition to the platform's list.
    std::vector<Address> Seeds;
    /// Time between two probes.
    Millis PeerProbeInterval{1000};
    /// Time limit for the answer to a probe.
    Millis ProbeTimeout{500};
    /// Term of acquired claims.
    Millis ClaimTerm{10000};
    /// Number of log readers in each failure domain.
    std::uint32_t ReadersPerDomain = 2;
    /// Minimum time between two reads of the platform's list.
    Millis MinListReadInterval{3000};
    /// Bytes per second that a log reader spends on the list; other processes
    /// spend a third of it.
    std::int64_t ListBytesPerSecond = 1000;
    /// Minimum time between the request for a claim and its acquisition, which
    /// lets the membership view fill.
    Millis ClaimSettleDelay{1500};
    /// Maximum number of bytes that connections of peers hold; 0 for no
    /// maximum.
    std::uint64_t MaxPeerBytes = 0;
    /// Seed of all random choices of the control plane.
    std::uint64_t Seed = 1;
  };

  /// Executes an order on a daemon. Called on the control thread; calls the
  /// callback once, from any thread.
  using OrderHandler =
      std::function<void(Order, std::function<void(Outcome<OrderAnswer>)>)>;

  /// Binds the control port and starts the thread. Errors: `BadInput` for
  /// invalid settings, `Unavailable` if the port cannot be bound.
  static Result<std::unique_ptr<ControlPlane>>
  create(Settings Setup, Timeline &Events, OrderHandler Handle);

  /// Stops the thread.
  virtual ~ControlPlane() = default;

  /// Returns the bound control address.
  virtual Address address() const = 0;
  /// Returns the current folded state; `Next` never decreases. Thread-safe.
  virtual std::shared_ptr<const FoldState> state() const = 0;
  /// Returns true once a state was obtained from the log or a peer.
  /// Thread-safe.
  virtual bool ready() const = 0;
  /// Returns the incarnation of this process, as known to others.
  virtual Incarnation life() const = 0;
  /// Returns the membership view. Thread-safe.
  virtual std::shared_ptr<const View> view() const = 0;
  /// Announces this daemon's servers to the other members if they have changed.
  /// Thread-safe.
  virtual void setServers(std::vector<ServerStatus> Servers) = 0;
  /// Requests a claim. The control plane acquires and renews `Resource` while
  /// it is requested. Members acquire a free claim in the order of their rank
  /// by rendezvous hashing over the view. Thread-safe.
  virtual void requestClaim(std::string Resource) = 0;
  /// Releases the claim and stops requesting it. Thread-safe.
  virtual void withdrawClaim(std::string Resource) = 0;
  /// Returns the claim if this process holds it and may act now. Checks the
  /// monotonic clock at each call. Thread-safe.
  virtual std::optional<HeldClaim> held(const std::string &Resource) const = 0;
  /// Returns the token of the claim that this process was last known to hold,
  /// also after its term has expired. While the log is unreachable no other
  /// process can acquire the claim, so the holder may continue towards targets
  /// that reject older tokens; towards targets that do not check tokens only
  /// `held` applies. Empty once a successor's acquisition or a release was
  /// read. Thread-safe.
  virtual std::optional<FencingToken>
  tokenDespiteOutage(const std::string &Resource) const = 0;
  /// Reports that a request to this member could not be delivered, so that it
  /// is probed soon. This alone does not change its health. Thread-safe.
  virtual void noteUnreachable(InstanceName Target) = 0;
  /// Sends an order to the daemon in front of a server. The callback is called
  /// once on the control thread, within `Timeout`. Thread-safe.
  virtual void order(InstanceName Daemon, Order Command, Millis Timeout,
                     std::function<void(Outcome<OrderAnswer>)> Callback) = 0;
  /// Appends a record to the control stream with an id of this process, and
  /// reports the result once the record is read back. Thread-safe.
  virtual void
  append(RecordBody Body,
         std::function<void(Outcome<ControlStateChange>)> Callback) = 0;
  /// Announces that this process is leaving, releases its claims, and calls
  /// back when this is done or after a bounded time. Thread-safe.
  virtual void leave(std::function<void()> Callback) = 0;
  /// Returns a JSON object for `/status` with offset, claims, view and the
  /// reachability of the log.
  virtual std::string statusJson() const = 0;
};

} // namespace wasabi

#endif // WASABI_NODE_CONTROLPLANE_H
