/// \file
/// Claims the dispatch lease when it is free and renews it. For dispatching, it
/// only avoids duplicate work; calls that rely on it need a `LeasePermit`. The
/// lease has a topic of its own, which all processes follow; they need not
/// follow the work of its holder.
#ifndef WASABI_DISPATCH_LEASEMANAGER_H
#define WASABI_DISPATCH_LEASEMANAGER_H

#include "Wasabi/Batch/RolloutLog.h"
#include "Wasabi/Dispatch/LeasePermit.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace wasabi {

/// Timing of claims and renewals, and the identity of this process.
struct LeaseSettings {
  LeaseHolder Self;
  /// Other processes may claim the lease this long after they read the holder's
  /// last record. A store that takes sixty times its usual 4 ms still gets
  /// three renewals through in this time.
  Millis LeaseTimeout{1500};
  /// Time between renewals.
  Millis RenewInterval{400};
  /// Upper bound of the random delay of a claim after the lease has become
  /// free. Keeps processes from claiming at the same time.
  Millis MaxClaimJitter{200};
  /// See `PermitSettings`.
  Millis TakeoverDelay{3000};
  /// Additional delay before this process claims a free lease. Instances with
  /// fewer processor cores have a longer delay, as the holder's work grows with
  /// the size of the deployment. See `claimDelay`.
  Millis ClaimDelay{0};
};

/// Returns the claim delay of an instance that may use `CpuShare` processor
/// cores. Pure.
Millis claimDelay(double CpuShare);

/// Returns true if the lease may be claimed at `Now`. `ClaimJitter` is added to
/// the timeout of an expired lease. Pure.
bool isLeaseFree(const LeaseState &Lease, const StoreContact &Contact,
                 const LeaseSettings &Limits, Millis ClaimJitter,
                 TimePoint Now);

/// Claims, renews and releases the dispatch lease. Must be used on the thread
/// of its executor only.
class LeaseManager : public std::enable_shared_from_this<LeaseManager> {
public:
  struct Callbacks {
    /// Called when this process has acquired the lease.
    std::function<void()> OnAcquired;
    /// Called when this process has lost the lease to another process.
    std::function<void()> OnLost;
  };

  static std::shared_ptr<LeaseManager>
  create(boost::asio::any_io_executor Executor, std::shared_ptr<RolloutLog> Log,
         std::shared_ptr<DecisionLog> Decisions, LeaseSettings Limits,
         Callbacks Handlers);

  /// Starts the loop that claims and renews the lease. It runs as long as the
  /// executor's context.
  void start();
  /// Stops claiming. A lease that is held stays held until `release`.
  void stopClaiming() { ClaimingStopped = true; }
  /// Releases the lease if it is held, and stops claiming.
  boost::asio::awaitable<void> release();

  bool held() const { return Held; }

  /// Returns the period in which this process may make calls that are protected
  /// by the lease only. Empty if the lease is not held, no renewal has been
  /// confirmed yet, or claiming has been stopped.
  std::optional<LeasePermit> permit() const;

private:
  LeaseManager(boost::asio::any_io_executor Executor,
               std::shared_ptr<RolloutLog> Log,
               std::shared_ptr<DecisionLog> Decisions, LeaseSettings Limits,
               Callbacks Handlers);
  boost::asio::awaitable<void> renewLoop();
  boost::asio::awaitable<void> claim();
  boost::asio::awaitable<void> renew();
  void updateHeld();
  bool mayClaim();
  Millis makeClaimJitter();

  const LeaseSettings Limits;
  const boost::asio::any_io_executor Executor;
  const std::shared_ptr<RolloutLog> Log;
  const std::shared_ptr<DecisionLog> Decisions;
  const Callbacks Handlers;
  std::mt19937_64 Random;
  /// Random delay in [0, MaxClaimJitter]; drawn again for each claim.
  Millis ClaimJitter;
  bool ClaimingStopped = false;
  bool Held = false;
  FencingToken Term = 0;
  TimePoint LastRenewal;
  LeaseProof Proof;
  /// True if the lease had a holder before this process claimed it.
  bool HasPredecessor = true;
  /// Time at which the lease was first seen to be free; empty while it is not.
  std::optional<TimePoint> FreeSince;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_LEASEMANAGER_H
