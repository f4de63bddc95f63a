/// \file
/// Failure detection and the members' view, after SWIM (Das, Gupta and Motivala
/// 2002) with the local health of Lifeguard (Dadgar, Phillips and Currey 2018).
///
/// All here decides and nothing here sends: the caller passes events and the
/// time, and carries out the effects. docs/design/membership.md has the rule of
/// which witness may say what.
#ifndef WASABI_MEMBERSHIP_SWIM_H
#define WASABI_MEMBERSHIP_SWIM_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Membership/ListedInstance.h"
#include "Wasabi/Membership/MemberUpdate.h"
#include "Wasabi/Membership/View.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabi {

struct SwimSettings {
  /// Time between two probes; suspicion scales with it.
  Millis ProbePeriod{1000};
  /// Shortest suspicion, in probe periods for each factor of ten of members.
  std::uint32_t MinSuspicionPeriods = 2;
  /// The longest suspicion is this many times the shortest.
  std::uint32_t MaxSuspicionFactor = 3;
  /// This many accusers shorten a suspicion to its least.
  std::uint32_t Accusers = 3;
  /// Each change is told this many times for each factor e of members.
  std::uint32_t RetransmitFactor = 3;
  /// The same of a change of servers alone, which is frequent; exchanges of
  /// digests bring it to whom the few tellings missed.
  std::uint32_t ServerRetransmitFactor = 1;
  /// Most news that one frame carries.
  std::size_t MaxUpdatesPerFrame = 8;
  /// A dead member is forgotten after this.
  Millis DeadMemberRetention{600000};
  /// Recent probes by which a process judges itself.
  std::size_t IsolationProbeWindow = 10;
  /// A step of the clock longer than this was a pause of this process.
  Millis ProcessPauseThreshold{1500};
  /// Most probes that one event may start at once.
  std::size_t MaxProbes = 8;
  /// Every n-th probe tries a dead member, so that a healed cut is noticed.
  std::uint32_t ProbesPerDeadProbe = 5;
  bool operator==(const SwimSettings &) const = default;
};

/// What is held on one member.
struct SwimMember {
  Member Who;
  /// While suspect: who accuses it, since when.
  std::set<InstanceName> Accusers;
  /// Since when it has its present health.
  TimePoint Since;
  /// Whether the last probe from here failed.
  bool LastProbeFailed = false;
  /// Whether the platform has listed this incarnation.
  bool Listed = false;
  /// Whether the platform listed this incarnation and no longer does.
  bool Unlisted = false;
  /// Whether it said that it leaves: final for the incarnation, also once dead.
  bool Left = false;
};

/// News that is still being told.
struct PendingUpdate {
  MemberUpdate News;
  std::uint32_t TransmitsLeft = 0;
};

/// One probe's end, as a process judges itself by.
struct ProbeResult {
  InstanceName Target;
  bool Reached = false;
};

/// All that the decisions depend on. Made by `startSwim`.
struct SwimState {
  SwimSettings Limits;
  InstanceName Self;
  std::map<InstanceName, SwimMember> Members;
  std::map<InstanceName, PendingUpdate> PendingUpdates;
  std::vector<InstanceName> ProbeOrder;
  std::size_t ProbeAt = 0;
  std::uint64_t ProbeCount = 0;
  std::deque<ProbeResult> Recent;
  /// 0 is well; each step makes this process more patient with others.
  std::uint32_t LocalHealth = 0;
  bool MayBeIsolated = false;
  TimePoint LastTime;
  std::mt19937_64 Random;
};

// ---- events ----

/// It is time to probe the next member.
struct ProbeDue {};
/// A probe, direct and through others, has ended.
struct ProbeEnded {
  InstanceName Target;
  Incarnation Life = 0;
  bool Reached = false;
  /// Whether any asked peer answered that it did not reach the target either.
  bool PeersAnswered = false;
};
/// Another process told news.
struct UpdatesReceived {
  InstanceName From;
  std::vector<MemberUpdate> Updates;
};
/// The platform's list was read.
struct ListRead {
  std::vector<ListedInstance> Lines;
};
/// A request to this member could not be delivered.
struct RequestFailed {
  InstanceName Target;
};
/// Time has passed; to be given a few times a second.
struct TimePassed {};
/// This process' servers changed.
struct ServersChanged {
  std::vector<ServerStatus> Servers;
};
/// This process begins to leave.
struct SelfLeaves {};

using SwimEvent =
    std::variant<ProbeDue, ProbeEnded, UpdatesReceived, ListRead, RequestFailed,
                 TimePassed, ServersChanged, SelfLeaves>;

// ---- effects ----

/// A member's health changed here, by which witness.
struct HealthChange {
  InstanceName Instance;
  Incarnation Life = 0;
  Health Now = Health::Alive;
  /// `itself`, `list`, `probe`, `peers`, or two of them.
  std::string Witness;
  bool operator==(const HealthChange &) const = default;
};

struct SwimEffects {
  /// Members to probe now.
  std::vector<InstanceName> Probes;
  /// News to pass on at once, besides being carried by probes.
  std::vector<MemberUpdate> Urgent;
  std::vector<HealthChange> Changes;
  /// Whether the view differs from before.
  bool ViewChanged = false;
  /// Whether the platform's list lacks this process.
  bool SelfMissingFromList = false;
};

/// The state of a process that knows only itself. `Self.Stamp` becomes 1. Pure.
SwimState startSwim(SwimSettings Limits, Member Self, std::uint64_t Seed,
                    TimePoint Now);

/// Decides on one event. Pure but for `State`.
SwimEffects decide(SwimState &State, const SwimEvent &Event, TimePoint Now);

/// News for a frame to `Peer`: first what is held against the peer itself, so
/// that it can refute it, then what was told least. Pure but for `State`.
std::vector<MemberUpdate> takeUpdatesFor(SwimState &State,
                                         const InstanceName &Peer);

/// 64 bits that differ when what is known of a member differs; a suspect counts
/// as alive. Pure.
std::uint64_t digestOf(const Member &Who);
/// The digests of all members. Pure.
std::vector<std::uint64_t> computeDigests(const SwimState &State);
/// Takes note of what a peer knows, which needs less telling. Pure but for
/// `State`.
void applyPeerDigests(SwimState &State,
                      const std::vector<std::uint64_t> &Digests);
/// News of all members that the other side knows otherwise. Pure.
std::vector<MemberUpdate>
findMissingUpdates(const SwimState &State,
                   const std::vector<std::uint64_t> &Digests);

/// How long a suspicion lasts with so many members and accusers. Pure.
Millis suspicionTimeout(const SwimSettings &Limits, std::size_t Members,
                        std::size_t Accusers, std::uint32_t LocalHealth);

/// Members that a probe of `Target` may be sent through, at most `Count`. Pure
/// but for `State`.
std::vector<InstanceName> chooseRandomPeers(SwimState &State,
                                            const InstanceName &Target,
                                            std::size_t Count);

/// The view as others read it. Pure.
View viewOf(const SwimState &State);

/// The word for a health: `alive`, `suspect`, `leaving`, `dead`. Thread-safe.
std::string_view toText(Health State);

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_SWIM_H
