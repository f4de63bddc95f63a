/// \file
/// Histories of holders that freeze, are cut off, lose answers and read late:
/// no call under a permit may break the order that the platform relies on.
#include "Wasabi/Dispatch/LeasePermit.h"
#include "UnitTests/Core/Property.h"
#include "Wasabi/Dispatch/LeaseManager.h"

#include <algorithm>
#include <set>

namespace wasabi {

namespace {

constexpr std::size_t Processes = 3;
constexpr Millis Step{50};
constexpr int Steps = 600;
constexpr Millis LongestCall{1000};

/// What befalls a process for a while.
enum class Trouble : std::uint8_t {
  /// It stands still, and goes on where it stood.
  Frozen,
  /// It does not reach the store.
  Cut,
  /// Its appends are done, and their answers lost.
  AnswersLost,
  /// Its appends are done seconds later.
  Late,
  /// Its appends are answered, and its reads bring nothing.
  ReadsNothing,
  /// It is killed and starts again.
  Killed,
  Count,
};

struct Event {
  int From = 0;
  int For = 0;
  std::size_t Process = 0;
  Trouble Kind = Trouble::Frozen;
};

/// How a process tells that it may call.
enum class Way : std::uint8_t {
  /// By the permit.
  Permit,
  /// As by the permit, but an answered renewal proves the lease.
  AnswerProves,
  /// As by the permit, but without the pause after a takeover.
  NoPause,
  /// As long as the topic names it the holder.
  HeldInTopic,
};

struct Call {
  TimePoint At;
  std::size_t Holder = 0;
  FencingToken Token = 0;
};

struct LateAppend {
  TimePoint At;
  BatchRecord What;
};

/// One process, whose parts are the product's own.
struct ModelProcess {
  LeaseHolder Self;
  BatchState Fold;
  StoreContact Contact;
  bool Held = false;
  LeaseProof Proof;
  bool HasPredecessor = true;
  TimePoint LastSent;
};

class Model {
public:
  Model(std::vector<Event> Events, Way How, std::uint64_t Seed)
      : Events(std::move(Events)), How(How), Random(Seed) {
    for (std::size_t i = 0; i < Processes; ++i)
      start(i, TimePoint(Millis(1)));
  }

  std::vector<Call> run() {
    for (int i = 0; i < Steps; ++i) {
      TimePoint now(Step * (i + 1));
      carryOutLate(now);
      for (std::size_t who = 0; who < Processes; ++who)
        step(who, i, now);
    }
    std::stable_sort(Calls.begin(), Calls.end(),
                     [](const Call &L, const Call &R) { return L.At < R.At; });
    return Calls;
  }

private:
  void start(std::size_t Who, TimePoint Now) {
    ModelProcess fresh;
    fresh.Self = LeaseHolder{InstanceName(std::to_string(Who)), ++Lives};
    fresh.Contact.ReachableSince = Now;
    All[Who] = std::move(fresh);
  }

  bool suffers(std::size_t Who, int At, Trouble Kind) const {
    return std::any_of(Events.begin(), Events.end(), [&](const Event &It) {
      return It.Process == Who && It.Kind == Kind && At >= It.From &&
             At < It.From + It.For;
    });
  }

  void carryOutLate(TimePoint Now) {
    for (auto it = Waiting.begin(); it != Waiting.end();) {
      bool due = it->At <= Now;
      if (due)
        Topic.push_back(it->What);
      it = due ? Waiting.erase(it) : std::next(it);
    }
  }

  /// The offset of an append that is answered; empty for any other.
  std::optional<Offset> append(std::size_t Who, int At, TimePoint Now,
                               const BatchRecord &What) {
    if (suffers(Who, At, Trouble::Cut))
      return std::nullopt;
    if (suffers(Who, At, Trouble::Late)) {
      Waiting.push_back({Now + Millis(1000 + Random() % 5000), What});
      return std::nullopt;
    }
    Topic.push_back(What);
    if (suffers(Who, At, Trouble::AnswersLost))
      return std::nullopt;
    return Topic.size() - 1;
  }

  void step(std::size_t Who, int At, TimePoint Now) {
    if (suffers(Who, At, Trouble::Killed)) {
      start(Who, Now);
      return;
    }
    if (suffers(Who, At, Trouble::Frozen))
      return;
    ModelProcess &it = All[Who];
    if (suffers(Who, At, Trouble::Cut))
      noteFailure(it.Contact, Now);
    else
      noteAnswer(it.Contact, Now);
    bool reads = !suffers(Who, At, Trouble::Cut) &&
                 !suffers(Who, At, Trouble::ReadsNothing);
    for (Offset i = it.Fold.Next; reads && i < Topic.size(); ++i)
      apply(it.Fold, i, Topic[i], Now);
    look(it, Now);
    call(it, Who, Now);
    keep(it, Who, At, Now);
  }

  void look(ModelProcess &Of, TimePoint Now) {
    const LeaseState &lease = Of.Fold.Lease;
    bool mine = lease.Holder && *lease.Holder == Of.Self && !lease.Released;
    if (Of.Held && (!mine || lease.Term != Of.Proof.Term))
      Of.Held = false;
    if (!Of.Held && mine) {
      Of.Held = true;
      Of.Proof = makeLeaseProof(lease.Term, Of.HasPredecessor, Now);
    }
    if (Of.Held)
      confirmRenewals(Of.Proof, lease);
  }

  void call(const ModelProcess &Of, std::size_t Who, TimePoint Now) {
    if (!Of.Held)
      return;
    std::optional<LeasePermit> permit =
        computePermit(Of.Proof, PermitSettings());
    bool may = permit && permit->From <= Now && Now < permit->Until;
    if (How == Way::NoPause)
      may = permit && Now < permit->Until;
    if (How == Way::HeldInTopic)
      may = true;
    if (may)
      Calls.push_back({Now + Millis(Random() % LongestCall.count()), Who,
                       Of.Proof.Term + 1});
  }

  void keep(ModelProcess &Of, std::size_t Who, int At, TimePoint Now) {
    LeaseSettings limits;
    limits.Self = Of.Self;
    if (Now - Of.LastSent < limits.RenewInterval)
      return;
    if (Of.Held) {
      Of.LastSent = Now;
      std::optional<Offset> taken =
          append(Who, At, Now, LeaseRenewal{Of.Proof.Term, Of.Self});
      if (taken)
        noteRenewal(Of.Proof, *taken, Now);
      if (taken && How == Way::AnswerProves)
        Of.Proof.LastConfirmed = Now;
    } else if (isLeaseFree(Of.Fold.Lease, Of.Contact, limits, Millis(0), Now)) {
      Of.LastSent = Now;
      LeaseClaim claim{Of.Self};
      Of.HasPredecessor = Of.Fold.Lease.Holder.has_value();
      if (Of.HasPredecessor)
        claim.After = Of.Fold.Lease.LastRecordOffset;
      append(Who, At, Now, claim);
    }
  }

  const std::vector<Event> Events;
  const Way How;
  std::mt19937_64 Random;
  std::uint64_t Lives = 0;
  std::array<ModelProcess, Processes> All;
  std::vector<BatchRecord> Topic;
  std::vector<LateAppend> Waiting;
  std::vector<Call> Calls;
};

/// What the platform would object to; empty if nothing.
std::string faultOf(const std::vector<Call> &Calls) {
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
    bool another = false;
    for (std::size_t k = i; k-- > 0 && it.At - Calls[k].At < Lease;) {
      another = another || Calls[k].Holder != it.Holder;
      if (another && Calls[k].Holder == it.Holder)
        return "holders take turns";
    }
  }
  return "";
}

std::vector<Event> anyHistory() {
  std::vector<Event> events;
  int count = *rc::gen::inRange(0, 14);
  for (int i = 0; i < count; ++i) {
    Event event;
    event.From = *rc::gen::inRange(0, Steps);
    event.For = *rc::gen::inRange(1, 140);
    event.Process = *rc::gen::inRange<std::size_t>(0, Processes);
    event.Kind = static_cast<Trouble>(
        *rc::gen::inRange(0, static_cast<int>(Trouble::Count)));
    if (event.Kind == Trouble::Killed)
      event.For = 1 + event.For / 10;
    events.push_back(event);
  }
  return events;
}

/// The first fault that many histories show under a way; empty if none does.
std::string firstFault(Way How) {
  constexpr std::uint64_t Histories = 3000;
  for (std::uint64_t seed = 0; seed < Histories; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<Event> events(random() % 12);
    for (Event &it : events) {
      it.From = static_cast<int>(random() % Steps);
      it.For = 1 + static_cast<int>(random() % 140);
      it.Process = random() % Processes;
      it.Kind = static_cast<Trouble>(
          random() % static_cast<std::uint64_t>(Trouble::Count));
    }
    std::string fault = faultOf(Model(events, How, seed).run());
    if (!fault.empty())
      return fault;
  }
  return "";
}

} // namespace

TEST_CASE("No history of holders breaks the order of calls under a permit",
          "[dispatch]") {
  test::holds([] {
    std::vector<Event> events = anyHistory();
    std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
    std::string fault = faultOf(Model(events, Way::Permit, seed).run());
    RC_ASSERT(fault.empty());
  });
  CHECK(firstFault(Way::Permit).empty());
}

TEST_CASE("Looser ways to tell that a process may call are found out",
          "[dispatch]") {
  CHECK_FALSE(firstFault(Way::HeldInTopic).empty());
  CHECK_FALSE(firstFault(Way::NoPause).empty());
  CHECK_FALSE(firstFault(Way::AnswerProves).empty());
}

TEST_CASE("A holder calls soon, and a successor after the pause",
          "[dispatch]") {
  std::vector<Call> quiet = Model({}, Way::Permit, 1).run();
  REQUIRE_FALSE(quiet.empty());
  CHECK(quiet.front().At < TimePoint(Millis(2500)));
  CHECK(quiet.back().At > TimePoint(Step * Steps - Millis(100)));
  std::size_t first = quiet.front().Holder;
  std::vector<Call> killed =
      Model({{200, 200, first, Trouble::Frozen}}, Way::Permit, 1).run();
  TimePoint frozen(Step * 200);
  auto next = std::find_if(killed.begin(), killed.end(),
                           [&](const Call &It) { return It.Holder != first; });
  REQUIRE(next != killed.end());
  CHECK(next->At - frozen > Millis(3000));
  CHECK(next->At - frozen < Millis(7000));
}

TEST_CASE("A renewal that was answered and is not read proves nothing",
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
  // A lease of another term shows nothing.
  LeaseProof other = makeLeaseProof(10, true, TimePoint(Millis(500)));
  noteRenewal(other, 9, sent);
  confirmRenewals(other, lease);
  CHECK_FALSE(computePermit(other, {}));
}

} // namespace wasabi
