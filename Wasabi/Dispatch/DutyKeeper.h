/// \file
/// Keeps the lease of the dispatching duty: claims it when it is free, renews
/// it, and says what its holder may do.
#ifndef WASABI_DISPATCH_DUTYKEEPER_H
#define WASABI_DISPATCH_DUTYKEEPER_H

#include "Wasabi/Batch/RolloutLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace wasabi {

/// How long the lease holds and how its holder and the others count.
struct DutySettings {
  LeaseHolder Self;
  /// The holder acts for this long after it sent its last renewal that was
  /// taken.
  Millis HolderTime{1500};
  /// The others wait this long after they saw its last record. Longer than
  /// `HolderTime`, so that clocks that run 10% apart do no harm.
  Millis OthersTime{1800};
  /// Between renewals: three may be lost in a row.
  Millis RenewEvery{400};
  /// Spread of claims after an expiry, so that not all claim at once.
  Millis ClaimSpread{200};
  /// Two holders' orders to servers lie at least this far apart; the
  /// deployment's own bound replaces it.
  Millis OrderGap{3000};
};

/// Whether the lease may be claimed now. Pure.
bool leaseFree(const LeaseState &Lease, const StoreContact &Contact,
               const DutySettings &Limits, Millis Spread, TimePoint Now);

/// From when a holder that claims now may give orders. Pure.
TimePoint ordersFrom(const LeaseState &Before, const DutySettings &Limits,
                     TimePoint Now);

/// Used on one thread, that of its executor.
class DutyKeeper : public std::enable_shared_from_this<DutyKeeper> {
public:
  struct Callbacks {
    /// The duty is this process's from now on.
    std::function<void()> Gained;
    /// Another process has it.
    std::function<void()> Lost;
  };

  static std::shared_ptr<DutyKeeper>
  create(boost::asio::any_io_executor Executor, std::shared_ptr<RolloutLog> Log,
         std::shared_ptr<DecisionLog> Decisions, DutySettings Limits,
         Callbacks Calls);

  /// Begins to claim, for as long as the context runs.
  void start();
  /// Claims no more; what is held stays held until `release`.
  void retire() { Retired = true; }
  /// Appends `Texts` and gives the lease back. Does nothing if it is not held.
  boost::asio::awaitable<void> release(std::vector<std::string> Texts);

  bool held() const { return Held; }
  FencingToken term() const { return Term; }
  const LeaseHolder &self() const { return Limits.Self; }
  /// Whether an order may be given now. The clock is read here, since a frozen
  /// process wakes up anywhere.
  bool mayOrder() const;
  /// Notes that an order is being given.
  void noteOrder() { LastOrder = monotonicNow(); }

private:
  DutyKeeper(boost::asio::any_io_executor Executor,
             std::shared_ptr<RolloutLog> Log,
             std::shared_ptr<DecisionLog> Decisions, DutySettings Limits,
             Callbacks Calls);
  boost::asio::awaitable<void> keep();
  boost::asio::awaitable<void> claim();
  boost::asio::awaitable<void> renew();
  void look();
  void countRenewal();

  /// A renewal that the store has taken.
  struct RenewalMark {
    Offset At = 0;
    TimePoint Sent;
  };

  const DutySettings Limits;
  const boost::asio::any_io_executor Executor;
  const std::shared_ptr<RolloutLog> Log;
  const std::shared_ptr<DecisionLog> Decisions;
  const Callbacks Calls;
  std::mt19937_64 Random;
  Millis Spread{0};
  bool Retired = false;
  bool Held = false;
  FencingToken Term = 0;
  TimePoint ValidUntil;
  TimePoint OrdersFrom;
  std::optional<TimePoint> LastOrder;
  TimePoint LastRenewal;
  /// The newest renewal that the topic has not been read up to.
  std::optional<RenewalMark> Appended;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_DUTYKEEPER_H
