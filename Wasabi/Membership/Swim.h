/// \file
/// Failure detection and the membership view, after SWIM (Das, Gupta and
/// Motivala 2002) with the local health of Lifeguard (Dadgar, Phillips and
/// Currey 2018).
///
/// This code performs no I/O: the caller passes events and the time, and
/// carries out the returned effects. docs/design/membership.md has the rule of
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
  /// Time between two probes; the suspicion timeout scales with it.
  Millis PeerProbeInterval{1000};
  /// Minimum suspicion timeout in probe intervals, for each factor of ten in
  /// the number of members.
  std::uint32_t MinSuspicionPeriods = 2;
  /// Ratio of the maximum to the minimum suspicion timeout.
  std::uint32_t MaxSuspicionFactor = 3;
  /// Number of distinct accusers at which a suspicion has its minimum timeout.
  std::uint32_t MinSuspicionAccusers = 3;
  /// Number of transmissions of a change, for each factor e in the number of
  /// members.
  std::uint32_t RetransmitFactor = 3;
  /// As `RetransmitFactor`, for changes of servers only. These are frequent;
  /// digest exchanges deliver them to members that gossip has missed.
  std::uint32_t ServerRetransmitFactor = 1;
  /// Maximum number of updates in one frame.
  std::size_t MaxUpdatesPerFrame = 8;
  /// Time after which a dead member is removed from the view.
  Millis DeadMemberRetention{600000};
  /// Number of recent probes considered when the process checks whether it is
  /// isolated.
  std::size_t IsolationProbeWindow = 10;
  /// A gap between two ticks longer than this counts as a pause of this
  /// process.
  Millis ProcessPauseThreshold{1500};
  /// Maximum number of probes that one event starts.
  std::size_t MaxProbes = 8;
  /// One in this many probes also probes a dead member, so that both sides find
  /// each other after a network partition.
  std::uint32_t ProbesPerDeadProbe = 5;
  bool operator==(const SwimSettings &) const = default;
};

/// State of one member as known to this process.
struct SwimMember {
  Member Info;
  /// The instances that accuse the member while it is suspect.
  std::set<InstanceName> Accusers;
  /// Time of the last change of its health.
  TimePoint HealthSince;
  /// True if the last probe by this process failed.
  bool LastProbeFailed = false;
  /// True if the platform has listed this incarnation.
  bool WasListed = false;
  /// True if the platform listed this incarnation and no longer does.
  bool RemovedFromList = false;
  /// True if the member is leaving. Final for the incarnation, also after its
  /// death.
  bool HasLeft = false;
};

/// An update that is still being transmitted.
struct PendingUpdate {
  MemberUpdate Update;
  std::uint32_t TransmitsLeft = 0;
};

/// Result of one probe, used to detect isolation of this process.
struct ProbeResult {
  InstanceName Target;
  bool Reached = false;
};

/// State of the failure detector. Created by `startSwim`.
struct SwimState {
  SwimSettings Limits;
  InstanceName Self;
  std::map<InstanceName, SwimMember> Members;
  std::map<InstanceName, PendingUpdate> PendingUpdates;
  std::vector<InstanceName> ProbeOrder;
  std::size_t NextProbeIndex = 0;
  std::uint64_t ProbeCount = 0;
  std::deque<ProbeResult> RecentProbes;
  /// Local health score of Lifeguard: 0 if healthy; each step lengthens the
  /// timeouts that this process applies to others.
  std::uint32_t LocalHealth = 0;
  bool MayBeIsolated = false;
  TimePoint LastTickTime;
  std::mt19937_64 Random;
};

// ---- Events ----

/// The next member is due to be probed.
struct ProbeDue {};
/// A probe, including its indirect probes, has ended.
struct ProbeEnded {
  InstanceName Target;
  Incarnation Life = 0;
  bool Reached = false;
  /// True if any helper answered, whatever its result.
  bool PeersAnswered = false;
};
/// Another process sent updates.
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
/// Periodic tick, expected several times a second.
struct TimePassed {};
/// The servers of this process changed.
struct ServersChanged {
  std::vector<ServerStatus> Servers;
};
/// This process starts to leave.
struct SelfLeaves {};

using SwimEvent =
    std::variant<ProbeDue, ProbeEnded, UpdatesReceived, ListRead, RequestFailed,
                 TimePassed, ServersChanged, SelfLeaves>;

// ---- Effects ----

/// A change of a member's health and the evidence for it.
struct HealthChange {
  InstanceName Instance;
  Incarnation Life = 0;
  Health State = Health::Alive;
  /// Source of the evidence: `itself`, `list`, `probe`, `peers`, `list+probe`,
  /// `leaving+probe` or `probe+peers`.
  std::string Witness;
  bool operator==(const HealthChange &) const = default;
};

struct SwimEffects {
  /// Members to probe now.
  std::vector<InstanceName> Probes;
  /// Updates to send immediately, in addition to piggybacking them on probes.
  std::vector<MemberUpdate> Urgent;
  std::vector<HealthChange> Changes;
  /// True if the view has changed.
  bool ViewChanged = false;
  /// True if the platform's list does not contain this process.
  bool SelfMissingFromList = false;
};

/// Returns the initial state of a process that knows only itself. `Self.Stamp`
/// becomes 1. Pure.
SwimState startSwim(SwimSettings Limits, Member Self, std::uint64_t Seed,
                    TimePoint Now);

/// Applies one event and returns the effects to carry out. Pure except for
/// `State`.
SwimEffects applySwimEvent(SwimState &State, const SwimEvent &Event,
                           TimePoint Now);

/// Returns the updates for a frame to `Peer`. A suspicion of the peer itself
/// comes first, so that it can refute it, then the least transmitted updates.
/// Pure except for `State`.
std::vector<MemberUpdate> takeUpdatesFor(SwimState &State,
                                         const InstanceName &Peer);

/// Returns a digest of a member's identity, incarnation, stamp and health, with
/// suspect treated as alive. Pure.
std::uint64_t computeMemberDigest(const Member &Info);
/// Returns the digests of all members. Pure.
std::vector<std::uint64_t> computeDigests(const SwimState &State);
/// Reduces the remaining transmissions of updates that a peer already knows.
/// Pure except for `State`.
void applyPeerDigests(SwimState &State,
                      const std::vector<std::uint64_t> &Digests);
/// Returns updates for all members whose digest is not among `Digests`. Pure.
std::vector<MemberUpdate>
findMissingUpdates(const SwimState &State,
                   const std::vector<std::uint64_t> &Digests);

/// Returns the suspicion timeout for the given numbers of members and accusers.
/// Pure.
Millis suspicionTimeout(const SwimSettings &Limits, std::size_t Members,
                        std::size_t Accusers, std::uint32_t LocalHealth);

/// Returns at most `Count` random alive members other than `Target` and this
/// process. Pure except for `State`.
std::vector<InstanceName> chooseRandomPeers(SwimState &State,
                                            const InstanceName &Target,
                                            std::size_t Count);

/// Returns the membership view of this state. Pure.
View makeMembershipView(const SwimState &State);

/// Returns the name of a health state: `alive`, `suspect`, `leaving` or `dead`.
/// Thread-safe.
std::string_view toText(Health State);

} // namespace wasabi

#endif // WASABI_MEMBERSHIP_SWIM_H
