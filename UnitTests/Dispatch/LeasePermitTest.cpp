/// \file
/// Simulates processes that freeze, are disconnected or restarted, lose replies
/// and append late. Calls under a permit must never violate the required order.
#include "Wasabi/Dispatch/LeasePermit.h"
#include "UnitTests/Core/Property.h"
#include "Wasabi/Dispatch/LeaseManager.h"

#include <algorithm>
#include <set>

namespace wasabi {

namespace {

constexpr std::size_t ProcessCount = 3;
constexpr Millis Step{50};
constexpr int StepCount = 600;
constexpr Millis MaxCallDuration{1000};

/// Fault of a process for a period of time.
enum class FaultKind : std::uint8_t {
  /// The process is suspended and resumes where it was.
  Frozen,
  /// The process does not reach the store.
  Disconnected,
  /// Its appends succeed, but their replies are lost.
  RepliesLost,
  /// Its appends take effect seconds later.
  LateAppends,
  /// Its appends succeed, but its reads return nothing.
  ReadsEmpty,
  /// The process is killed and restarts.
  Restarted,
  Count,
};

struct FaultPeriod {
  int From = 0;
  int Duration = 0;
  std::size_t Process = 0;
  FaultKind Kind = FaultKind::Frozen;
};

/// Rule by which a process decides that it may call.
enum class CallRule : std::uint8_t {
  /// The permit, as in production.
  Permit,
  /// The permit, but an acknowledged renewal counts as confirmed.
  TrustAcknowledgement,
  /// The permit, but without the delay after a takeover.
  NoTakeoverDelay,
  /// The process calls while the topic shows it as the holder.
  HeldInTopic,
};

struct Call {
  TimePoint At;
  std::size_t Holder = 0;
  FencingToken Token = 0;
};

struct DelayedAppend {
  TimePoint At;
  BatchRecord Record;
};

/// A simulated process that uses the production code of the lease.
struct SimulatedProcess {
  LeaseHolder Self;
  BatchState Fold;
  StoreContact Contact;
  bool Held = false;
  LeaseProof Proof;
  bool HasPredecessor = true;
  TimePoint LastSent;
};

class Simulation {
public:
  Simulation(std::vector<FaultPeriod> Faults, CallRule Rule, std::uint64_t Seed)
      : Faults(std::move(Faults)), Rule(Rule), Random(Seed) {
    for (std::size_t i = 0; i < ProcessCount; ++i)
      start(i, TimePoint(Millis(1)));
  }

  std::vector<Call> run() {
    for (int i = 0; i < StepCount; ++i) {
      TimePoint now(Step * (i + 1));
      applyLateAppends(now);
      for (std::size_t index = 0; index < ProcessCount; ++index)
        step(index, i, now);
    }
    std::stable_sort(Calls.begin(), Calls.end(),
                     [](const Call &L, const Call &R) { return L.At < R.At; });
    return Calls;
  }

private:
  void start(std::size_t Index, TimePoint Now) {
    SimulatedProcess fresh;
    fresh.Self =
        LeaseHolder{InstanceName(std::to_string(Index)), ++LastIncarnation};
    fresh.Contact.ReachableSince = Now;
    Members[Index] = std::move(fresh);
  }

  bool hasFault(std::size_t Index, int At, FaultKind Kind) const {
    return std::any_of(Faults.begin(), Faults.end(),
                       [&](const FaultPeriod &It) {
                         return It.Process == Index && It.Kind == Kind &&
                                At >= It.From && At < It.From + It.Duration;
                       });
  }

  void applyLateAppends(TimePoint Now) {
    for (auto it = PendingAppends.begin(); it != PendingAppends.end();) {
      bool due = it->At <= Now;
      if (due)
        Topic.push_back(it->Record);
      it = due ? PendingAppends.erase(it) : std::next(it);
    }
  }

  /// Appends a record. Returns its offset if the append is acknowledged.
  std::optional<Offset> append(std::size_t Index, int At, TimePoint Now,
                               const BatchRecord &Record) {
    if (hasFault(Index, At, FaultKind::Disconnected))
      return std::nullopt;
    if (hasFault(Index, At, FaultKind::LateAppends)) {
      PendingAppends.push_back({Now + Millis(1000 + Random() % 5000), Record});
      return std::nullopt;
    }
    Topic.push_back(Record);
    if (hasFault(Index, At, FaultKind::RepliesLost))
      return std::nullopt;
    return Topic.size() - 1;
  }

  void step(std::size_t Index, int At, TimePoint Now) {
    if (hasFault(Index, At, FaultKind::Restarted)) {
      start(Index, Now);
      return;
    }
    if (hasFault(Index, At, FaultKind::Frozen))
      return;
    SimulatedProcess &it = Members[Index];
    if (hasFault(Index, At, FaultKind::Disconnected))
      noteFailure(it.Contact, Now);
    else
      noteAnswer(it.Contact, Now);
    bool reads = !hasFault(Index, At, FaultKind::Disconnected) &&
                 !hasFault(Index, At, FaultKind::ReadsEmpty);
    for (Offset i = it.Fold.Next; reads && i < Topic.size(); ++i)
      apply(it.Fold, i, Topic[i], Now);
    updateHeld(it, Now);
    call(it, Index, Now);
    renewOrClaim(it, Index, At, Now);
  }

  void updateHeld(SimulatedProcess &Process, TimePoint Now) {
    const LeaseState &lease = Process.Fold.Lease;
    bool isHolder =
        lease.Holder && *lease.Holder == Process.Self && !lease.Released;
    if (Process.Held && (!isHolder || lease.Term != Process.Proof.Term))
      Process.Held = false;
    if (!Process.Held && isHolder) {
      Process.Held = true;
      Process.Proof = makeLeaseProof(lease.Term, Process.HasPredecessor, Now);
    }
    if (Process.Held)
      confirmRenewals(Process.Proof, lease);
  }

  void call(const SimulatedProcess &Process, std::size_t Index, TimePoint Now) {
    if (!Process.Held)
      return;
    std::optional<LeasePermit> permit =
        computePermit(Process.Proof, PermitSettings());
    bool mayCall = permit && permit->From <= Now && Now < permit->Until;
    if (Rule == CallRule::NoTakeoverDelay)
      mayCall = permit && Now < permit->Until;
    if (Rule == CallRule::HeldInTopic)
      mayCall = true;
    if (mayCall)
      Calls.push_back({Now + Millis(Random() % MaxCallDuration.count()), Index,
                       Process.Proof.Term + 1});
  }

  void renewOrClaim(SimulatedProcess &Process, std::size_t Index, int At,
                    TimePoint Now) {
    LeaseSettings limits;
    limits.Self = Process.Self;
    if (Now - Process.LastSent < limits.RenewInterval)
      return;
    if (Process.Held) {
      Process.LastSent = Now;
      std::optional<Offset> offset = append(
          Index, At, Now, LeaseRenewal{Process.Proof.Term, Process.Self});
      if (offset)
        noteRenewal(Process.Proof, *offset, Now);
      if (offset && Rule == CallRule::TrustAcknowledgement)
        Process.Proof.LastConfirmed = Now;
    } else if (isLeaseFree(Process.Fold.Lease, Process.Contact, limits,
                           Millis(0), Now)) {
      Process.LastSent = Now;
      LeaseClaim claim{Process.Self};
      Process.HasPredecessor = Process.Fold.Lease.Holder.has_value();
      if (Process.HasPredecessor)
        claim.After = Process.Fold.Lease.LastRecordOffset;
      append(Index, At, Now, claim);
    }
  }

  const std::vector<FaultPeriod> Faults;
  const CallRule Rule;
  std::mt19937_64 Random;
  std::uint64_t LastIncarnation = 0;
  std::array<SimulatedProcess, ProcessCount> Members;
  std::vector<BatchRecord> Topic;
  std::vector<DelayedAppend> PendingAppends;
  std::vector<Call> Calls;
};

/// Returns a description of the first violation of the call order; empty if
/// there is none.
std::string findViolation(const std::vector<Call> &Calls) {
  constexpr Millis Lease{3000};
  std::map<FencingToken, std::size_t> holders;
  FencingToken greatest = 0;
  for (std::size_t i = 0; i < Calls.size(); ++i) {
    const Call &it = Calls[i];
    if (it.Token < greatest)
      return "a lower token after a higher one";
    greatest = it.Token;
    if (holders.emplace(it.Token, it.Holder).first->second != it.Holder)
      return "two holders with one token";
    bool otherHolder = false;
    for (std::size_t k = i; k-- > 0 && it.At - Calls[k].At < Lease;) {
      otherHolder = otherHolder || Calls[k].Holder != it.Holder;
      if (otherHolder && Calls[k].Holder == it.Holder)
        return "calls of two holders interleave";
    }
  }
  return "";
}

std::vector<FaultPeriod> makeHistory() {
  std::vector<FaultPeriod> faults;
  int count = *rc::gen::inRange(0, 14);
  for (int i = 0; i < count; ++i) {
    FaultPeriod fault;
    fault.From = *rc::gen::inRange(0, StepCount);
    fault.Duration = *rc::gen::inRange(1, 140);
    fault.Process = *rc::gen::inRange<std::size_t>(0, ProcessCount);
    fault.Kind = static_cast<FaultKind>(
        *rc::gen::inRange(0, static_cast<int>(FaultKind::Count)));
    if (fault.Kind == FaultKind::Restarted)
      fault.Duration = 1 + fault.Duration / 10;
    faults.push_back(fault);
  }
  return faults;
}

/// Returns the first violation that random histories show under a rule; empty
/// if there is none.
std::string findFirstViolation(CallRule Rule) {
  constexpr std::uint64_t Histories = 3000;
  for (std::uint64_t seed = 0; seed < Histories; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<FaultPeriod> faults(random() % 12);
    for (FaultPeriod &it : faults) {
      it.From = static_cast<int>(random() % StepCount);
      it.Duration = 1 + static_cast<int>(random() % 140);
      it.Process = random() % ProcessCount;
      it.Kind = static_cast<FaultKind>(
          random() % static_cast<std::uint64_t>(FaultKind::Count));
    }
    std::string violation = findViolation(Simulation(faults, Rule, seed).run());
    if (!violation.empty())
      return violation;
  }
  return "";
}

} // namespace

TEST_CASE("Calls under a permit keep their order in all simulated histories",
          "[dispatch]") {
  test::holds([] {
    std::vector<FaultPeriod> faults = makeHistory();
    std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
    std::string violation =
        findViolation(Simulation(faults, CallRule::Permit, seed).run());
    RC_ASSERT(violation.empty());
  });
  CHECK(findFirstViolation(CallRule::Permit).empty());
}

TEST_CASE(
    "The simulation detects violations under weaker rules than the permit",
    "[dispatch]") {
  CHECK_FALSE(findFirstViolation(CallRule::HeldInTopic).empty());
  CHECK_FALSE(findFirstViolation(CallRule::NoTakeoverDelay).empty());
  CHECK_FALSE(findFirstViolation(CallRule::TrustAcknowledgement).empty());
}

TEST_CASE("A first holder calls soon, and a successor after the takeover delay",
          "[dispatch]") {
  std::vector<Call> undisturbed = Simulation({}, CallRule::Permit, 1).run();
  REQUIRE_FALSE(undisturbed.empty());
  CHECK(undisturbed.front().At < TimePoint(Millis(2500)));
  CHECK(undisturbed.back().At > TimePoint(Step * StepCount - Millis(100)));
  std::size_t first = undisturbed.front().Holder;
  std::vector<Call> interrupted =
      Simulation({{200, 200, first, FaultKind::Frozen}}, CallRule::Permit, 1)
          .run();
  TimePoint frozen(Step * 200);
  auto next = std::find_if(interrupted.begin(), interrupted.end(),
                           [&](const Call &It) { return It.Holder != first; });
  REQUIRE(next != interrupted.end());
  CHECK(next->At - frozen > Millis(3000));
  CHECK(next->At - frozen < Millis(7000));
}

TEST_CASE("A renewal gives a permit only after it was read from the topic",
          "[dispatch]") {
  TimePoint sent(Millis(1000));
  LeaseProof proof = makeLeaseProof(7, false, TimePoint(Millis(500)));
  CHECK_FALSE(computePermit(proof, {}));
  noteRenewal(proof, 9, sent);
  CHECK_FALSE(computePermit(proof, {}));
  LeaseState lease{LeaseHolder{InstanceName("a"), 1}, 7, 8, sent, false};
  confirmRenewals(proof, lease);
  CHECK_FALSE(computePermit(proof, {}));
  lease.LastRecordOffset = 9;
  confirmRenewals(proof, lease);
  std::optional<LeasePermit> permit = computePermit(proof, {});
  REQUIRE(permit);
  CHECK(permit->Token == 8);
  CHECK(permit->Until == sent + PermitSettings().LeaseTimeout);
  // A lease of another term confirms nothing.
  LeaseProof other = makeLeaseProof(10, true, TimePoint(Millis(500)));
  noteRenewal(other, 9, sent);
  confirmRenewals(other, lease);
  CHECK_FALSE(computePermit(other, {}));
}

} // namespace wasabi
