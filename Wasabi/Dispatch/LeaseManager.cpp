#include "Wasabi/Dispatch/LeaseManager.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

bool isLeaseFree(const LeaseState &Lease, const StoreContact &Contact,
                 const LeaseSettings &Limits, Millis ClaimJitter,
                 TimePoint Now) {
  if (Contact.Lost)
    return false;
  if (!Lease.Holder || Lease.Released)
    return true;
  // A holder of the same instance with another incarnation is a process that
  // has ended; this process is its successor.
  if (Lease.Holder->Instance == Limits.Self.Instance)
    return Lease.Holder->Life != Limits.Self.Life;
  // The holder cannot renew while the store is unreachable, so the timeout
  // starts again when the store returns.
  TimePoint lastSeen = std::max(Lease.Seen, Contact.ReachableSince);
  return Now - lastSeen >= Limits.LeaseTimeout + ClaimJitter;
}

Millis claimDelay(double CpuShare) {
  // Half a core is enough for a dispatcher, which took 0.12 of a core with 40
  // engines, and a tenth is too little; the delay grows with what is missing.
  constexpr double SufficientCores = 0.5;
  constexpr double MillisPerCore = 2500;
  double missing = std::max(0.0, SufficientCores - CpuShare);
  return Millis(static_cast<std::int64_t>(missing * MillisPerCore));
}

LeaseManager::LeaseManager(asio::any_io_executor Executor,
                           std::shared_ptr<RolloutLog> Log,
                           std::shared_ptr<DecisionLog> Decisions,
                           LeaseSettings Limits, Callbacks Handlers)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Log(std::move(Log)), Decisions(std::move(Decisions)),
      Handlers(std::move(Handlers)), Random(this->Limits.Self.Life),
      ClaimJitter(makeClaimJitter()) {}

std::shared_ptr<LeaseManager>
LeaseManager::create(asio::any_io_executor Executor,
                     std::shared_ptr<RolloutLog> Log,
                     std::shared_ptr<DecisionLog> Decisions,
                     LeaseSettings Limits, Callbacks Handlers) {
  return std::shared_ptr<LeaseManager>(new LeaseManager(
      std::move(Executor), std::move(Log), std::move(Decisions),
      std::move(Limits), std::move(Handlers)));
}

void LeaseManager::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->renewLoop(); },
      asio::detached);
}

Millis LeaseManager::makeClaimJitter() {
  return Millis(Random() % (Limits.MaxClaimJitter.count() + 1));
}

/// Updates `Held` from the lease in the topic and reports a change.
void LeaseManager::updateHeld() {
  const LeaseState &lease = Log->fold().Lease;
  bool isHolder =
      lease.Holder && *lease.Holder == Limits.Self && !lease.Released;
  if (Held && (!isHolder || lease.Term != Term)) {
    Held = false;
    Decisions->line(
        "duty.lost",
        {{"term", std::to_string(Term)},
         {"holder", lease.Holder ? lease.Holder->Instance.Text : ""},
         {"new_term", std::to_string(lease.Term)}});
    Handlers.OnLost();
  }
  if (!Held && isHolder && !ClaimingStopped) {
    Held = true;
    Term = lease.Term;
    Proof = makeLeaseProof(Term, HasPredecessor, monotonicNow());
    Decisions->line("duty.gained", {{"term", std::to_string(Term)}});
    Handlers.OnAcquired();
  }
  if (Held)
    confirmRenewals(Proof, lease);
}

std::optional<LeasePermit> LeaseManager::permit() const {
  if (!Held || ClaimingStopped)
    return std::nullopt;
  return computePermit(Proof, {Limits.LeaseTimeout, Limits.TakeoverDelay});
}

/// Claims the lease unless another process has claimed it meanwhile. Hundreds
/// of processes may find the lease free within a few milliseconds; each of them
/// reads, and few append.
asio::awaitable<void> LeaseManager::claim() {
  Outcome<Done> current = co_await Log->refresh();
  if (!current) {
    co_await pauseFor(Executor, Limits.RenewInterval);
    co_return;
  }
  updateHeld();
  if (!mayClaim())
    co_return;
  LeaseState before = Log->fold().Lease;
  TimePoint sent = monotonicNow();
  ClaimJitter = makeClaimJitter();
  LeaseClaim claim{Limits.Self};
  if (before.Holder)
    claim.After = before.LastRecordOffset;
  // An earlier holder may be unknown.
  HasPredecessor = before.Holder.has_value() || Log->fold().KnownFrom > 0;
  std::vector<std::string> records{encodeRecord(claim)};
  LastRenewal = sent;
  Outcome<Offset> appended = co_await Log->append(std::move(records));
  Decisions->line(
      "duty.claim",
      {{"after", claim.After ? std::to_string(*claim.After) : ""},
       {"before", before.Holder ? before.Holder->Instance.Text : ""},
       {"result", appended ? "appended" : describe(appended.failure())}});
  // The append may succeed without winning the lease: the topic decides.
  Outcome<Done> refreshed = co_await Log->refresh();
  if (!appended || !refreshed)
    co_await pauseFor(Executor, Limits.RenewInterval);
}

asio::awaitable<void> LeaseManager::renew() {
  LastRenewal = monotonicNow();
  std::vector<std::string> records{
      encodeRecord(LeaseRenewal{Term, Limits.Self})};
  FencingToken term = Term;
  TimePoint sent = LastRenewal;
  Outcome<Offset> appended = co_await Log->append(std::move(records));
  if (appended && Held && term == Term) {
    noteRenewal(Proof, *appended, sent);
    // The renewal counts once it has been read back.
    co_await Log->refresh();
  }
  updateHeld();
  if (!appended)
    Decisions->line("duty.renewal_failed",
                    {{"term", std::to_string(Term)},
                     {"reason", describe(appended.failure())}});
}

/// Returns true if the lease has been free for at least `ClaimDelay`.
bool LeaseManager::mayClaim() {
  TimePoint now = monotonicNow();
  bool free =
      !Held && !ClaimingStopped && Log->caughtUp() &&
      isLeaseFree(Log->fold().Lease, Log->contact(), Limits, ClaimJitter, now);
  if (!free) {
    FreeSince.reset();
    return false;
  }
  if (!FreeSince)
    FreeSince = now;
  return now - *FreeSince >= Limits.ClaimDelay + ClaimJitter;
}

asio::awaitable<void> LeaseManager::renewLoop() {
  for (;;) {
    updateHeld();
    TimePoint now = monotonicNow();
    bool due = Held && now - LastRenewal >= Limits.RenewInterval;
    bool claimDue = mayClaim();
    TimePoint next = now + Limits.RenewInterval;
    if (FreeSince)
      next = std::max(now, *FreeSince + Limits.ClaimDelay + ClaimJitter);
    if (due)
      co_await renew();
    else if (claimDue)
      co_await claim();
    else
      co_await Log->changes().wait(Held ? LastRenewal + Limits.RenewInterval
                                        : next);
  }
}

asio::awaitable<void> LeaseManager::release() {
  std::shared_ptr<LeaseManager> self = shared_from_this();
  ClaimingStopped = true;
  if (!Held)
    co_return;
  Held = false;
  std::vector<std::string> records{encodeRecord(LeaseRelease{Term})};
  Outcome<Offset> appended = co_await Log->append(std::move(records));
  Decisions->line(
      "duty.release",
      {{"term", std::to_string(Term)},
       {"result", appended ? "taken" : describe(appended.failure())}});
}

} // namespace wasabi
