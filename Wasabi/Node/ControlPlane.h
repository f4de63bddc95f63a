/// \file
/// The control duty of a process, on a thread of its own: it knows the members,
/// follows the control stream, spreads both, keeps claims, and carries orders.
/// Requests never wait for it: they read what it publishes.
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

/// An order to a server, carried by the daemon in front of it.
struct Order {
  ServerName Server;
  /// The claim that authorises it, `weights/MODEL`, and its token.
  std::string Resource;
  FencingToken Token = 0;
  ModelName Model;
  WeightVersion Version = 0;
  bool operator==(const Order &) const = default;
};

/// What the daemon answers: the version that its engine then reported.
struct OrderAnswer {
  WeightVersion Version = 0;
  bool operator==(const OrderAnswer &) const = default;
};

/// A claim this process holds, as far as it may act on it.
struct HeldClaim {
  FencingToken Token = 0;
  /// Monotonic end of its authority, counted from before the last accepted
  /// renewal was sent. Checked again before each effect.
  TimePoint Until;
  bool operator==(const HeldClaim &) const = default;
};

class ControlPlane {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Role Kind = Role::Daemon;
    /// Where to take control frames; port 0 for an ephemeral one.
    Address Listen{"127.0.0.1", 0};
    /// What others are told instead of the bound address; empty for that.
    Address Advertise;
    /// This process' other addresses, as told to others.
    Address Requests;
    Address Admin;
    /// The platform.
    Address Log;
    Address Instances;
    /// Control addresses to begin with, besides the platform's list.
    std::vector<Address> Seeds;
    /// Time between two probes of a member.
    Millis ProbePeriod{1000};
    /// How long an answer to a probe may take.
    Millis ProbeTimeout{500};
    /// Term of the claims taken.
    Millis ClaimTerm{10000};
    /// Readers of the log in each failure domain.
    std::uint32_t ReadersPerDomain = 2;
    /// Time between two readings of the platform's list.
    Millis MinListReadInterval{3000};
    /// Bytes a second that a reader of the list spends on it; the others spend
    /// a third of it.
    std::int64_t ListBytesPerSecond = 1000;
    /// How long a claim must have been wanted before it is taken, so that the
    /// view has filled.
    Millis ClaimSettleDelay{1500};
    /// Seed of every random choice here.
    std::uint64_t Seed = 1;
  };

  /// What a daemon does with an order; called on the control thread, answers
  /// through the callback, from any thread, once.
  using OrderHandler =
      std::function<void(Order, std::function<void(Outcome<OrderAnswer>)>)>;

  /// Binds the control port and starts the thread. Errors: `BadInput` for
  /// settings, `Unavailable` when the port cannot be bound.
  static Result<std::unique_ptr<ControlPlane>>
  create(Settings Setup, Timeline &Events, OrderHandler Handle);

  /// Stops the thread.
  virtual ~ControlPlane() = default;

  /// The bound control address.
  virtual Address address() const = 0;
  /// The state in force here; `Next` never goes back. Thread-safe.
  virtual std::shared_ptr<const FoldState> state() const = 0;
  /// Whether a state was obtained, from the log or a peer. Thread-safe.
  virtual bool ready() const = 0;
  /// The start of this process, as others know it.
  virtual Incarnation life() const = 0;
  /// The members. Thread-safe.
  virtual std::shared_ptr<const View> view() const = 0;
  /// Tells the others of this daemon's servers when they changed.
  /// Thread-safe.
  virtual void setServers(std::vector<ServerStatus> Servers) = 0;
  /// Adds to what this process claims when it is free: the control plane takes
  /// and renews `Resource` while wanted, and only if this process ranks among
  /// the first for it by rendezvous hashing over the view. Thread-safe.
  virtual void requestClaim(std::string Resource) = 0;
  /// Gives the claim up and stops wanting it. Thread-safe.
  virtual void withdrawClaim(std::string Resource) = 0;
  /// The claim, if this process holds it and may act now. Thread-safe; checks
  /// the monotonic clock at each call.
  virtual std::optional<HeldClaim> held(const std::string &Resource) const = 0;
  /// The token of the claim that was last known to be this process' own, also
  /// past its term. While the log is down nobody can take the claim, so that
  /// the holder may go on towards targets that refuse an older token; towards
  /// targets that do not check tokens only `held` counts. Empty once a
  /// successor or a release was read. Thread-safe.
  virtual std::optional<FencingToken>
  tokenDespiteOutage(const std::string &Resource) const = 0;
  /// Tells that a request to this member could not be delivered: it is probed
  /// soon. Says nothing of its health by itself. Thread-safe.
  virtual void noteUnreachable(InstanceName Member) = 0;
  /// Sends an order to the daemon in front of a server. The callback comes on
  /// the control thread, once, within `Timeout`. Thread-safe.
  virtual void order(InstanceName Daemon, Order What, Millis Timeout,
                     std::function<void(Outcome<OrderAnswer>)> Callback) = 0;
  /// Appends a record to the control stream with an id of this process, and
  /// answers with its fate once it is read back. Thread-safe.
  virtual void
  append(RecordBody Body,
         std::function<void(Outcome<ControlStateChange>)> Callback) = 0;
  /// Tells everyone that this process is leaving, releases its claims, and
  /// calls back when told or after a bounded time. Thread-safe.
  virtual void leave(std::function<void()> Callback) = 0;
  /// A JSON object for `/status`: offset, claims, view, log's health.
  virtual std::string statusJson() const = 0;
};

} // namespace wasabi

#endif // WASABI_NODE_CONTROLPLANE_H
