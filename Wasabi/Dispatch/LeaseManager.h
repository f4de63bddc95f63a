/// \file
/// Keeps the lease of the dispatching duty: claims it when it is free and
/// renews it. Only economy hangs on it: a second dispatcher repeats work.
#ifndef WASABI_DISPATCH_LEASEMANAGER_H
#define WASABI_DISPATCH_LEASEMANAGER_H

#include "Wasabi/Batch/RolloutLog.h"
#include "Wasabi/Dispatch/LeasePermit.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace wasabi {

/// How long the lease holds.
struct LeaseSettings {
  LeaseHolder Self;
  /// The others wait this long after they saw the holder's last record. A
  /// store that takes sixty times its usual 4 ms still gets three renewals
  /// through in this time.
  Millis LeaseTimeout{1500};
  /// Between renewals: three may be lost in a row.
  Millis RenewInterval{400};
  /// Spread of claims after an expiry, so that not all claim at once.
  Millis MaxClaimJitter{200};
  /// See `PermitSettings`.
  Millis TakeoverDelay{3000};
  /// This process waits longer by this before it claims, so that a stronger
  /// instance comes first: the holder's work grows with the whole deployment.
  Millis ClaimDelay{0};
};

/// The delay of an instance that has `CpuShare` of a processor core. Pure.
Millis claimDelay(double CpuShare);

/// Whether the lease may be claimed now. Pure.
bool isLeaseFree(const LeaseState &Lease, const StoreContact &Contact,
                 const LeaseSettings &Limits, Millis Spread, TimePoint Now);

/// Used on one thread, that of its executor.
class LeaseManager : public std::enable_shared_from_this<LeaseManager> {
public:
  struct Callbacks {
    /// The duty is this process's from now on.
    std::function<void()> Gained;
    /// Another process has it.
    std::function<void()> Lost;
  };

  static std::shared_ptr<LeaseManager>
  create(boost::asio::any_io_executor Executor, std::shared_ptr<RolloutLog> Log,
         std::shared_ptr<DecisionLog> Decisions, LeaseSettings Limits,
         Callbacks Calls);

  /// Begins to claim, for as long as the context runs.
  void start();
  /// Claims no more; what is held stays held until `release`.
  void stopClaiming() { ClaimingStopped = true; }
  /// Appends `Texts` and gives the lease back. Does nothing if it is not held.
  boost::asio::awaitable<void> release(std::vector<std::string> Texts);

  bool held() const { return Held; }

  /// When calls may be made that nothing but the lease guards; empty if this
  /// process does not hold it, or has not proved so.
  std::optional<LeasePermit> permit() const;

private:
  LeaseManager(boost::asio::any_io_executor Executor,
               std::shared_ptr<RolloutLog> Log,
               std::shared_ptr<DecisionLog> Decisions, LeaseSettings Limits,
               Callbacks Calls);
  boost::asio::awaitable<void> keep();
  boost::asio::awaitable<void> claim();
  boost::asio::awaitable<void> renew();
  void look();
  bool mayClaim();
  Millis makeClaimJitter();

  const LeaseSettings Limits;
  const boost::asio::any_io_executor Executor;
  const std::shared_ptr<RolloutLog> Log;
  const std::shared_ptr<DecisionLog> Decisions;
  const Callbacks Calls;
  std::mt19937_64 Random;
  /// This process's part of `MaxClaimJitter`, drawn anew for each claim.
  Millis Spread;
  bool ClaimingStopped = false;
  bool Held = false;
  FencingToken Term = 0;
  TimePoint LastRenewal;
  LeaseProof Proof;
  /// Whether there was a holder before this process claimed the lease.
  bool HasPredecessor = true;
  /// Since when the lease has been seen to be free; empty while it is not.
  std::optional<TimePoint> FreeSince;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_LEASEMANAGER_H
