#include "Bench/FoldBench.h"

#include "Bench/Report.h"
#include "Wasabi/State/Claims.h"
#include "Wasabi/State/Fold.h"
#include "Wasabi/State/Recovery.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <set>

namespace wasabi::bench {

namespace {

constexpr std::uint64_t Seed = 20261202;
/// Declared objects, and the members of each that changes edit.
constexpr std::size_t Objects = 300;
constexpr std::size_t Members = 6;
constexpr double DaySeconds = 86400;
constexpr double ChangesPerDay = 1600;
/// Number of days simulated for a rejection rate.
constexpr int Days = 10;
/// A burst of changes within a limited time, as after an incident or at the
/// start of a shift.
constexpr int BurstChanges = 200;
constexpr double BurstSeconds = 60;
constexpr int Bursts = 20;
/// Time between reading the state and the append: for a direct `apply`, and for
/// a plan that a second person reviews.
constexpr double ApplySeconds = 0.5;
constexpr double ReviewSeconds = 60;
/// Number of claims in a fleet and their renewal interval.
constexpr int Claims = 10;
constexpr double RenewSeconds = 10.0 / 3;

const std::array<const char *, Members> MemberNames = {
    "caller_priority", "hedge_tail",       "on_version_change",
    "rollout_percent", "rollout_priority", "swap_percent"};
const std::array<std::array<const char *, 2>, Members> MemberValues = {
    {{"10", "20"},
     {"true", "false"},
     {"\"resume\"", "\"finish\""},
     {"100", "50"},
     {"0", "5"},
     {"34", "50"}}};

/// A member of an object that a change edits.
struct Edit {
  std::size_t Object = 0;
  std::size_t Member = 0;
  auto operator<=>(const Edit &) const = default;
};

/// One operator's change.
struct Change {
  double ReadAt = 0;
  double SentAt = 0;
  std::vector<Edit> Edits;
};

/// Values of all members of all objects.
using World = std::vector<std::array<std::uint8_t, Members>>;

std::string objectName(std::size_t Object) {
  return "p" + std::to_string(Object);
}

std::string objectText(std::size_t Object, const World &Values) {
  std::string out = R"({"kind":"preset","name":")" + objectName(Object) + "\"";
  for (std::size_t i = 0; i < Members; ++i)
    out += ",\"" + std::string(MemberNames[i]) +
           "\":" + MemberValues[i][Values[Object][i]];
  return out + "}";
}

/// Draws an object from a Zipf distribution: the n-th has a weight of 1/n.
class ObjectDraw {
public:
  ObjectDraw() {
    std::vector<double> weights;
    for (std::size_t i = 0; i < Objects; ++i)
      weights.push_back(1.0 / static_cast<double>(i + 1));
    Draw =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  }
  std::size_t operator()(std::mt19937_64 &Random) { return Draw(Random); }

private:
  std::discrete_distribution<std::size_t> Draw;
};

/// Generates changes spread evenly over a time, ordered by append time. Each
/// edits 1 to 3 objects.
std::vector<Change> drawChanges(int Count, double Seconds, double Lag,
                                std::mt19937_64 &Random) {
  std::uniform_real_distribution<double> at(0, Seconds);
  std::exponential_distribution<double> lag(1 / Lag);
  std::uniform_int_distribution<int> edits(1, 3);
  std::uniform_int_distribution<std::size_t> member(0, Members - 1);
  ObjectDraw object;
  std::vector<Change> out;
  for (int i = 0; i < Count; ++i) {
    Change change;
    change.SentAt = at(Random);
    change.ReadAt = change.SentAt - lag(Random);
    for (int left = edits(Random); left > 0; --left) {
      Edit edit{object(Random), member(Random)};
      bool known = std::any_of(
          change.Edits.begin(), change.Edits.end(),
          [&](const Edit &Other) { return Other.Object == edit.Object; });
      if (!known)
        change.Edits.push_back(edit);
    }
    out.push_back(std::move(change));
  }
  std::sort(out.begin(), out.end(),
            [](const Change &Left, const Change &Right) {
              return Left.SentAt < Right.SentAt;
            });
  return out;
}

/// Rejections by one rule over one sequence of changes.
struct Rejections {
  std::size_t Changes = 0;
  std::size_t Rejected = 0;
  /// Rejected although no accepted change since the base edited the same
  /// member.
  std::size_t Unnecessary = 0;
};

/// Records the changes that a rule has accepted, to detect unnecessary
/// rejections.
struct AcceptedEdits {
  double At = 0;
  std::vector<Edit> Edits;
};

bool editsSameMember(const std::vector<AcceptedEdits> &Accepted,
                     const Change &Candidate) {
  for (auto it = Accepted.rbegin();
       it != Accepted.rend() && it->At >= Candidate.ReadAt; ++it)
    for (const Edit &edit : it->Edits)
      if (std::find(Candidate.Edits.begin(), Candidate.Edits.end(), edit) !=
          Candidate.Edits.end())
        return true;
  return false;
}

/// Records the outcome of a change.
void recordOutcome(Rejections &Into, std::vector<AcceptedEdits> &Accepted,
                   const Change &Candidate, bool IsAccepted) {
  ++Into.Changes;
  if (IsAccepted) {
    Accepted.push_back({Candidate.SentAt, Candidate.Edits});
    return;
  }
  ++Into.Rejected;
  if (!editsSameMember(Accepted, Candidate))
    ++Into.Unnecessary;
}

/// Baseline: one version for the whole document.
Rejections runDocumentVersion(const std::vector<Change> &Changes) {
  Rejections out;
  std::vector<AcceptedEdits> accepted;
  for (const Change &it : Changes) {
    bool taken = accepted.empty() || accepted.back().At < it.ReadAt;
    recordOutcome(out, accepted, it, taken);
  }
  return out;
}

/// The product's rule: the fold detects conflicts by sets of keys.
Rejections runFold(const std::vector<Change> &Changes) {
  FoldState state;
  World world(Objects);
  std::vector<std::pair<double, Offset>> ends;
  Rejections out;
  std::vector<AcceptedEdits> accepted;
  std::uint64_t sequence = 0;
  for (const Change &it : Changes) {
    ConfigChange body;
    auto read =
        std::partition_point(ends.begin(), ends.end(), [&](const auto &End) {
          return End.first < it.ReadAt;
        });
    body.Base = read == ends.begin() ? 0 : std::prev(read)->second;
    World wanted = world;
    for (const Edit &edit : it.Edits) {
      wanted[edit.Object][edit.Member] ^= 1;
      body.Writes.push_back({"preset/" + objectName(edit.Object),
                             objectText(edit.Object, wanted)});
    }
    body.Operator = "bench";
    Record record{{"bench", 1, ++sequence}, std::move(body)};
    bool taken = apply(state, state.Next, encodeRecord(record)).ApplyStatus ==
                 RecordStatus::Accepted;
    if (taken)
      world = std::move(wanted);
    ends.emplace_back(it.SentAt, state.Next);
    recordOutcome(out, accepted, it, taken);
  }
  return out;
}

void add(Rejections &Into, const Rejections &Other) {
  Into.Changes += Other.Changes;
  Into.Rejected += Other.Rejected;
  Into.Unnecessary += Other.Unnecessary;
}

double share(std::size_t Part, std::size_t Total) {
  return Total == 0 ? 0
                    : static_cast<double>(Part) / static_cast<double>(Total);
}

/// Runs one case several times with different seeds under both rules.
void measureConflicts(const std::string &Case, int Draws, int Count,
                      double Seconds, double Lag) {
  std::mt19937_64 random(Seed);
  Rejections fold;
  Rejections byDocument;
  for (int i = 0; i < Draws; ++i) {
    std::vector<Change> changes = drawChanges(Count, Seconds, Lag, random);
    add(fold, runFold(changes));
    add(byDocument, runDocumentVersion(changes));
  }
  report({"state", "false_conflict_share_" + Case,
          share(fold.Unnecessary, fold.Changes), "share",
          share(byDocument.Unnecessary, byDocument.Changes)});
  report({"state", "refused_share_" + Case, share(fold.Rejected, fold.Changes),
          "share", share(byDocument.Rejected, byDocument.Changes)});
}

/// One day of the control stream and the state at its end.
struct Day {
  std::vector<LogEntry> Log;
  FoldState State;
  /// Offset of the snapshot that a starting process loads.
  std::size_t SnapshotAt = 0;
  double ApplyNanos = 0;
};

/// Appends and applies one record of an author with its next sequence number.
void add(Day &To, const std::string &Author, std::uint64_t Sequence,
         RecordBody Body) {
  std::string text = encodeRecord({{Author, 1, Sequence}, std::move(Body)});
  Offset at = To.State.Next;
  To.Log.push_back({at, text});
  apply(To.State, at, text);
}

void declareAll(Day &To) {
  ConfigChange body;
  World world(Objects);
  for (std::size_t i = 0; i < Objects; ++i)
    body.Writes.push_back({"preset/" + objectName(i), objectText(i, world)});
  add(To, "operator", 1, std::move(body));
}

std::string resourceName(int Claim) {
  return Claim == 0 ? "snapshots" : "trainer/t" + std::to_string(Claim);
}

std::string holderName(int Claim) { return "daemon-" + std::to_string(Claim); }

/// Generates a day of renewals with occasional changes and one snapshot before
/// the end, followed by as many records as the snapshot interval allows.
Day makeDay(std::size_t RecordsAfterSnapshot) {
  Day out;
  declareAll(out);
  for (int i = 0; i < Claims; ++i)
    add(out, holderName(i), 1,
        makeClaimAcquire(resourceName(i), nullptr, Millis(10000)));

  const std::size_t renewals =
      static_cast<std::size_t>(DaySeconds / RenewSeconds) * Claims;
  const std::size_t spacing =
      renewals / static_cast<std::size_t>(ChangesPerDay);
  World world(Objects);
  std::mt19937_64 random(Seed);
  ObjectDraw object;
  for (std::size_t i = 0; i < renewals; ++i) {
    int claim = static_cast<int>(i % Claims);
    std::uint64_t sequence = 2 + 2 * i;
    FencingToken token = out.State.Claims.at(resourceName(claim)).Token;
    add(out, holderName(claim), sequence,
        ClaimRenew{resourceName(claim), token});
    if (i + RecordsAfterSnapshot == renewals) {
      FencingToken own = out.State.Claims.at(resourceName(0)).Token;
      out.SnapshotAt = out.Log.size();
      add(out, holderName(0), sequence + 1, makeSnapshot(out.State, own));
    }
    if (i % spacing != 0)
      continue;
    std::size_t which = object(random);
    world[which][i % Members] ^= 1;
    ConfigChange body;
    body.Base = out.State.Next;
    body.Writes.push_back(
        {"preset/" + objectName(which), objectText(which, world)});
    body.Operator = "bench";
    add(out, "operator", sequence, std::move(body));
  }
  return out;
}

double millisSince(TimePoint Start) {
  return static_cast<double>((monotonicNow() - Start).count()) / 1000;
}

/// Measures the time to rebuild the state from all records and from the newest
/// snapshot.
void measureStart(const Day &Stream) {
  TimePoint start = monotonicNow();
  FoldState replayed;
  for (const LogEntry &it : Stream.Log)
    apply(replayed, it.At, it.Text);
  double replay = millisSince(start);

  std::vector<LogEntry> kept(Stream.Log.begin() +
                                 static_cast<std::ptrdiff_t>(Stream.SnapshotAt),
                             Stream.Log.end());
  start = monotonicNow();
  Outcome<FoldState> recovered =
      toOutcome<FoldState>([&] { return recoverState(kept); });
  double snapshot = millisSince(start);

  bool same = recovered && encodeState(*recovered) == encodeState(replayed);
  report({"state", "startup_replay_ms", replay, "ms", std::nullopt});
  report({"state", "startup_snapshot_ms", snapshot, "ms", replay});
  report({"state", "startup_states_differ", same ? 0.0 : 1.0, "count",
          std::nullopt});
  report({"state", "snapshot_record_bytes",
          static_cast<double>(Stream.Log[Stream.SnapshotAt].Text.size()),
          "bytes", std::nullopt});
}

/// Measures the time to apply one more change and one more renewal to the state
/// after a day.
void measureApply(const Day &Stream) {
  constexpr int Rounds = 2000;
  FoldState state = Stream.State;
  World world(Objects);
  std::vector<std::string> changes;
  std::vector<std::string> renewals;
  FencingToken token = state.Claims.at("snapshots").Token;
  for (int i = 0; i < Rounds; ++i) {
    std::uint64_t sequence = static_cast<std::uint64_t>(i) + 1;
    Offset base = state.Next + static_cast<Offset>(i);
    world[7][0] ^= 1;
    ConfigChange change{
        base, {}, {{"preset/p7", objectText(7, world)}}, "bench", ""};
    changes.push_back(encodeRecord({{"late", 2, sequence}, std::move(change)}));
    renewals.push_back(encodeRecord({{holderName(0), 1, 10000000 + sequence},
                                     ClaimRenew{"snapshots", token}}));
  }
  auto nanosEach = [&](const std::vector<std::string> &Texts) {
    TimePoint start = monotonicNow();
    for (const std::string &it : Texts)
      apply(state, state.Next, it);
    return millisSince(start) * 1e6 / Rounds;
  };
  report({"state", "apply_change_ns", nanosEach(changes), "ns", std::nullopt});
  report(
      {"state", "apply_renewal_ns", nanosEach(renewals), "ns", std::nullopt});
  TimePoint start = monotonicNow();
  hashState(state);
  report({"state", "hash_state_ms", millisSince(start), "ms", std::nullopt});
}

} // namespace

void runFoldBench() {
  const int day = static_cast<int>(ChangesPerDay);
  measureConflicts("apply_day", Days, day, DaySeconds, ApplySeconds);
  measureConflicts("reviewed_day", Days, day, DaySeconds, ReviewSeconds);
  measureConflicts("apply_burst", Bursts, BurstChanges, BurstSeconds,
                   ApplySeconds);
  measureConflicts("reviewed_burst", Bursts, BurstChanges, BurstSeconds,
                   ReviewSeconds);

  constexpr std::size_t RecordsAfterSnapshot = 1000;
  Day record = makeDay(RecordsAfterSnapshot);
  measureApply(record);
  measureStart(record);
}

} // namespace wasabi::bench
