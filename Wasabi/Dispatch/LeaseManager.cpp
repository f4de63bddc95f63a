#include "Wasabi/Dispatch/LeaseManager.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

bool isLeaseFree(const LeaseState &Lease, const StoreContact &Contact,
                 const LeaseSettings &Limits, Millis Spread, TimePoint Now) {
  if (Contact.Lost)
    return false;
  if (!Lease.Holder || Lease.Released)
    return true;
  // A process of the same instance is the successor of one that has ended.
  if (Lease.Holder->Instance == Limits.Self.Instance)
    return Lease.Holder->Life != Limits.Self.Life;
  // While the store was away nobody could renew: the holder gets its full time
  // again after the store's return.
  TimePoint heard = std::max(Lease.Seen, Contact.ReachableSince);
  return Now - heard >= Limits.LeaseTimeout + Spread;
}

Millis claimDelay(double CpuShare) {
  // A dispatcher of 40 engines took 0.12 of a core, so half a core is ample and
  // a tenth is too little; each further tenth is worth a quarter of a second.
  constexpr double Ample = 0.5;
  constexpr double MillisPerCore = 2500;
  double missing = std::max(0.0, Ample - CpuShare);
  return Millis(static_cast<std::int64_t>(missing * MillisPerCore));
}

LeaseManager::LeaseManager(asio::any_io_executor Executor,
                           std::shared_ptr<RolloutLog> Log,
                           std::shared_ptr<DecisionLog> Decisions,
                           LeaseSettings Limits, Callbacks Calls)
    : Limits(std::move(Limits)), Executor(std::move(Executor)),
      Log(std::move(Log)), Decisions(std::move(Decisions)),
      Calls(std::move(Calls)), Random(this->Limits.Self.Life),
      Spread(makeClaimJitter()) {}

std::shared_ptr<LeaseManager>
LeaseManager::create(asio::any_io_executor Executor,
                     std::shared_ptr<RolloutLog> Log,
                     std::shared_ptr<DecisionLog> Decisions,
                     LeaseSettings Limits, Callbacks Calls) {
  return std::shared_ptr<LeaseManager>(new LeaseManager(
      std::move(Executor), std::move(Log), std::move(Decisions),
      std::move(Limits), std::move(Calls)));
}

void LeaseManager::start() {
  asio::co_spawn(
      Executor, [self = shared_from_this()] { return self->keep(); },
      asio::detached);
}

Millis LeaseManager::makeClaimJitter() {
  return Millis(Random() % (Limits.MaxClaimJitter.count() + 1));
}

/// Compares what the topic says with what this process believes.
void LeaseManager::look() {
  const LeaseState &lease = Log->fold().Lease;
  bool mine = lease.Holder && *lease.Holder == Limits.Self && !lease.Released;
  if (Held && (!mine || lease.Term != Term)) {
    Held = false;
    Decisions->line(
        "duty.lost",
        {{"term", std::to_string(Term)},
         {"holder", lease.Holder ? lease.Holder->Instance.Text : ""},
         {"new_term", std::to_string(lease.Term)}});
    Calls.Lost();
  }
  if (!Held && mine && !ClaimingStopped) {
    Held = true;
    Term = lease.Term;
    Proof = makeLeaseProof(Term, HasPredecessor, monotonicNow());
    Decisions->line("duty.gained", {{"term", std::to_string(Term)}});
    Calls.Gained();
  }
  if (Held)
    confirmRenewals(Proof, lease);
}

std::optional<LeasePermit> LeaseManager::permit() const {
  if (!Held || ClaimingStopped)
    return std::nullopt;
  return computePermit(Proof, {Limits.LeaseTimeout, Limits.TakeoverDelay});
}

asio::awaitable<void> LeaseManager::claim() {
  LeaseState before = Log->fold().Lease;
  TimePoint sent = monotonicNow();
  Spread = makeClaimJitter();
  LeaseClaim claim{Limits.Self};
  if (before.Holder)
    claim.After = before.LastRecordOffset;
  HasPredecessor = before.Holder.has_value();
  std::vector<std::string> records{encodeRecord(claim)};
  LastRenewal = sent;
  Outcome<Offset> got = co_await Log->append(std::move(records));
  Decisions->line(
      "duty.claim",
      {{"after", claim.After ? std::to_string(*claim.After) : ""},
       {"before", before.Holder ? before.Holder->Instance.Text : ""},
       {"result", got ? "appended" : describe(got.failure())}});
  // What became of it is read from the topic.
  Outcome<Done> fresh = co_await Log->refresh();
  if (!fresh)
    co_await pauseFor(Executor, Limits.RenewInterval);
}

asio::awaitable<void> LeaseManager::renew() {
  LastRenewal = monotonicNow();
  std::vector<std::string> records{
      encodeRecord(LeaseRenewal{Term, Limits.Self})};
  FencingToken term = Term;
  TimePoint sent = LastRenewal;
  Outcome<Offset> got = co_await Log->append(std::move(records));
  if (got && Held && term == Term)
    noteRenewal(Proof, *got, sent);
  look();
  if (!got)
    Decisions->line(
        "duty.renewal_failed",
        {{"term", std::to_string(Term)}, {"reason", describe(got.failure())}});
}

/// Whether the lease is free and has been for as long as a stronger instance
/// would need to take it.
bool LeaseManager::mayClaim() {
  TimePoint now = monotonicNow();
  bool free =
      !Held && !ClaimingStopped && Log->caughtUp() &&
      isLeaseFree(Log->fold().Lease, Log->contact(), Limits, Spread, now);
  if (!free) {
    FreeSince.reset();
    return false;
  }
  if (!FreeSince)
    FreeSince = now;
  return now - *FreeSince >= Limits.ClaimDelay;
}

asio::awaitable<void> LeaseManager::keep() {
  for (;;) {
    look();
    TimePoint now = monotonicNow();
    bool due = Held && now - LastRenewal >= Limits.RenewInterval;
    bool wanted = mayClaim();
    // A free lease is looked at more often, for the delay to be exact.
    TimePoint next =
        now + (FreeSince ? Limits.MaxClaimJitter : Limits.RenewInterval);
    if (due)
      co_await renew();
    else if (wanted)
      co_await claim();
    else
      co_await Log->changes().wait(Held ? LastRenewal + Limits.RenewInterval
                                        : next);
  }
}

asio::awaitable<void> LeaseManager::release(std::vector<std::string> Texts) {
  std::shared_ptr<LeaseManager> self = shared_from_this();
  ClaimingStopped = true;
  if (!Held)
    co_return;
  Held = false;
  Texts.push_back(encodeRecord(LeaseRelease{Term}));
  Outcome<Offset> got = co_await Log->append(std::move(Texts));
  Decisions->line("duty.release",
                  {{"term", std::to_string(Term)},
                   {"result", got ? "taken" : describe(got.failure())}});
}

} // namespace wasabi
