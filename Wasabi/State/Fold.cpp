#include "Wasabi/State/Fold.h"

#include "Wasabi/Config/JsonReader.h"
#include "Wasabi/State/StateText.h"

#include <boost/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <set>

namespace wasabi {

namespace {

constexpr char SnapshotResource[] = "snapshots";

/// Bytes that a line counts against `MaxHistoryBytes`.
std::size_t sizeOf(const HistoryEntry &Line) {
  std::size_t out = Line.Id.Author.size() + Line.Operator.size() +
                    Line.Message.size() + Line.Reason.size();
  for (const std::string &key : Line.Keys)
    out += key.size();
  return out;
}

/// One record on its way into a state.
struct Step {
  FoldState &State;
  Offset At = 0;
  const RecordId &Id;
  ControlStateChange Done;
  /// Encodings of what changed, for the chain.
  std::string Effects;
};

void refuse(Step &On, std::string Reason) {
  On.Done.ApplyStatus = RecordStatus::Refused;
  On.Done.Reason = std::move(Reason);
}

/// Whether the id is new; marks of older lives and numbers were taken.
bool isFresh(const AuthorLogProgress &Mark, const RecordId &Id) {
  if (Id.Life != Mark.Life)
    return Id.Life > Mark.Life;
  return Id.Sequence > Mark.Sequence;
}

void noteRepeat(Step &On, const AuthorLogProgress &Mark) {
  On.Done.ApplyStatus = RecordStatus::Duplicate;
  On.Done.PriorOffset = Mark.At;
  On.Done.PriorStatus = Mark.ApplyStatus;
  On.Done.IsSameId = On.Id.Life == Mark.Life && On.Id.Sequence == Mark.Sequence;
  On.Done.Reason = On.Done.IsSameId
                       ? "this id was taken at offset " +
                             std::to_string(Mark.At) + ": " +
                             std::string(toText(Mark.ApplyStatus))
                       : "older than what its author appended at offset " +
                             std::to_string(Mark.At);
}

void markAuthor(Step &On) {
  AuthorLogProgress &mark = On.State.Authors[On.Id.Author];
  mark =
      AuthorLogProgress{On.Id.Life, On.Id.Sequence, On.At, On.Done.ApplyStatus};
  On.Effects += encodeAuthor(On.Id.Author, mark);
}

std::string conflictText(const std::string &Key, Offset At,
                         const std::string &By, std::string_view Verb) {
  return Key + " was " + std::string(Verb) + " at offset " +
         std::to_string(At) + " by " + (By.empty() ? "(unnamed)" : By);
}

/// The conflict of one key with what was accepted at or after `Base`; empty
/// for none.
std::string conflictOf(const FoldState &State, const std::string &Key,
                       Offset Base) {
  auto object = State.Objects.find(Key);
  if (object != State.Objects.end() && object->second.WriteOffset >= Base)
    return conflictText(Key, object->second.WriteOffset, object->second.By,
                        "changed");
  auto removed = State.Removed.find(Key);
  if (removed != State.Removed.end() && removed->second.At >= Base)
    return conflictText(Key, removed->second.At, removed->second.By, "removed");
  return {};
}

/// All conflicts of a change, in the order of its keys; empty for none.
std::string conflictsOf(const FoldState &State, const ConfigChange &Change) {
  std::string out;
  std::size_t named = 0;
  std::size_t found = 0;
  constexpr std::size_t MaxNamed = 5;
  std::set<std::string_view> keys(Change.Reads.begin(), Change.Reads.end());
  for (const ObjectWrite &write : Change.Writes)
    keys.insert(write.Key);
  for (std::string_view key : keys) {
    std::string one = conflictOf(State, std::string(key), Change.Base);
    if (one.empty())
      continue;
    ++found;
    if (named == MaxNamed)
      continue;
    out += (named++ ? "; " : "conflict: ") + one;
  }
  if (found > named)
    out += "; and " + std::to_string(found - named) + " more";
  return out;
}

/// What a change writes and removes, as canonical texts.
struct ChangeParts {
  ObjectTexts Written;
  std::vector<std::string> Removed;
};

Result<ChangeParts> partsOf(const FoldState &State,
                            const ConfigChange &Change) {
  ChangeParts out;
  for (const ObjectWrite &write : Change.Writes) {
    if (!write.Text) {
      if (!State.Objects.contains(write.Key))
        return badInput(write.Key, "there is no such object to remove");
      out.Removed.push_back(write.Key);
      continue;
    }
    BOOST_LEAF_AUTO(value, parseJson(*write.Text, write.Key));
    BOOST_LEAF_AUTO(text, canonicalText(value, write.Key));
    out.Written.emplace(write.Key, std::move(text));
  }
  return out;
}

std::size_t objectBytes(const FoldState &State) {
  std::size_t out = 0;
  for (const auto &[key, object] : State.Objects)
    out += key.size() + object.Text.size();
  return out;
}

/// Bytes of all declarations once `Parts` is in.
std::size_t objectBytesAfter(const FoldState &State, const ChangeParts &Parts) {
  std::size_t out = objectBytes(State);
  auto drop = [&](const std::string &Key) {
    auto it = State.Objects.find(Key);
    if (it != State.Objects.end())
      out -= Key.size() + it->second.Text.size();
  };
  for (const std::string &key : Parts.Removed)
    drop(key);
  for (const auto &[key, text] : Parts.Written) {
    drop(key);
    out += key.size() + text.size();
  }
  return out;
}

/// Checks a change and builds what it gives; nothing is touched yet.
Result<Configuration> buildChanged(const FoldState &State,
                                   const ChangeParts &Parts) {
  if (objectBytesAfter(State, Parts) > MaxTotalObjectBytes)
    return badInput("declarations", "more than " +
                                        std::to_string(MaxTotalObjectBytes) +
                                        " bytes in all");
  return changeConfiguration(*State.Config, Parts.Written, Parts.Removed);
}

/// Puts a checked change into force.
void commitChange(Step &On, const ConfigChange &Change,
                  const ChangeParts &Parts, Configuration Whole) {
  FoldState &state = On.State;
  for (const std::string &key : Parts.Removed) {
    state.Objects.erase(key);
    RemovedObject &gone = state.Removed[key];
    gone = RemovedObject{On.At, Change.Operator};
    On.Effects += encodeRemoved(key, gone);
  }
  for (const auto &[key, text] : Parts.Written) {
    state.Removed.erase(key);
    StoredObject &stored = state.Objects[key];
    stored = StoredObject{text, On.At, Change.Operator};
    On.Effects += encodeObject(key, stored);
  }
  state.Config = std::make_shared<const Configuration>(std::move(Whole));
  state.ConfigRevision = On.At + 1;
  On.Done.ConfigChanged = true;
}

/// Refuses for a failure, or commits.
void commitOrRefuse(Step &On, const ConfigChange &Change) {
  ChangeParts parts;
  Outcome<Configuration> whole =
      toOutcome<Configuration>([&]() -> Result<Configuration> {
        BOOST_LEAF_ASSIGN(parts, partsOf(On.State, Change));
        return buildChanged(On.State, parts);
      });
  if (!whole) {
    refuse(On,
           "invalid: " + whole.failure().Place + ": " + whole.failure().Reason);
    return;
  }
  commitChange(On, Change, parts, std::move(*whole));
}

void addHistory(Step &On, const ConfigChange &Change) {
  HistoryEntry line;
  line.At = On.At;
  line.Id = On.Id;
  line.ApplyStatus = On.Done.ApplyStatus;
  line.Operator = Change.Operator;
  line.Message = Change.Message;
  for (const ObjectWrite &write : Change.Writes)
    line.Keys.push_back(write.Key);
  line.Reason = On.Done.Reason;
  On.Effects += encodeHistoryEntry(line);

  std::deque<HistoryEntry> &lines = On.State.History;
  lines.push_back(std::move(line));
  std::size_t bytes = 0;
  for (const HistoryEntry &kept : lines)
    bytes += sizeOf(kept);
  while (lines.size() > 1 &&
         (lines.size() > MaxHistoryEntries || bytes > MaxHistoryBytes)) {
    bytes -= sizeOf(lines.front());
    lines.pop_front();
  }
}

void applyBody(Step &On, const ConfigChange &Change) {
  std::string conflicts;
  if (Change.Base > On.At)
    refuse(On, "its base " + std::to_string(Change.Base) + " lies ahead");
  else if (Change.Base + RetentionWindow < On.At)
    refuse(On, "its base " + std::to_string(Change.Base) +
                   " is too old to check for conflicts");
  else if (conflicts = conflictsOf(On.State, Change); !conflicts.empty())
    refuse(On, std::move(conflicts));
  else
    commitOrRefuse(On, Change);
  addHistory(On, Change);
}

std::string holderText(const Claim &What) {
  return What.Holder.Text + " since token " + std::to_string(What.Token);
}

void noteClaim(Step &On, const std::string &Resource, const Claim &What) {
  On.Done.ChangedClaimResource = Resource;
  On.Effects += encodeClaim(Resource, What);
}

void applyBody(Step &On, const ClaimAcquire &Take) {
  auto it = On.State.Claims.find(Take.Resource);
  bool exists = it != On.State.Claims.end();
  FencingToken current = exists ? it->second.Token : 0;
  if (Take.ReplacedToken != current) {
    refuse(On, exists ? Take.Resource + " is held by " + holderText(it->second)
                      : Take.Resource + " has no claim to replace");
    return;
  }
  if (exists && !it->second.Released && Take.Seen != it->second.RenewalOffset) {
    refuse(On, Take.Resource + " was renewed by " + holderText(it->second) +
                   " at offset " + std::to_string(it->second.RenewalOffset));
    return;
  }
  Claim &claim = On.State.Claims[Take.Resource];
  claim = Claim{InstanceName(On.Id.Author),
                On.Id.Life,
                On.At + 1,
                Take.Term,
                On.At,
                false};
  noteClaim(On, Take.Resource, claim);
}

/// The author's own claim with this token, or null and refused.
Claim *ownClaim(Step &On, const std::string &Resource, FencingToken Token) {
  auto it = On.State.Claims.find(Resource);
  if (it == On.State.Claims.end()) {
    refuse(On, Resource + " is not claimed");
    return nullptr;
  }
  Claim &claim = it->second;
  bool own = claim.Token == Token && claim.Holder.Text == On.Id.Author &&
             claim.HolderIncarnation == On.Id.Life;
  if (own && !claim.Released)
    return &claim;
  refuse(On, own ? Resource + " was released"
                 : Resource + " is held by " + holderText(claim));
  return nullptr;
}

void applyBody(Step &On, const ClaimRenew &Renew) {
  Claim *claim = ownClaim(On, Renew.Resource, Renew.Token);
  if (!claim)
    return;
  claim->RenewalOffset = On.At;
  noteClaim(On, Renew.Resource, *claim);
}

void applyBody(Step &On, const ClaimRelease &Release) {
  Claim *claim = ownClaim(On, Release.Resource, Release.Token);
  if (!claim)
    return;
  claim->Released = true;
  claim->RenewalOffset = On.At;
  noteClaim(On, Release.Resource, *claim);
}

/// The chain before the record at `Before`, if it is still kept.
std::optional<std::uint64_t> chainAt(const FoldState &State, Offset Before) {
  Offset back = State.Next - Before;
  if (Before > State.Next)
    return std::nullopt;
  if (back == 0)
    return State.ChainHash;
  if (back >= State.RecentChainHashes.size())
    return std::nullopt;
  return State.RecentChainHashes[State.RecentChainHashes.size() - 1 - back];
}

/// Whether a snapshot differs from this process' own state: by the chain, and
/// by the whole text too while that is at hand.
bool differs(const FoldState &State, const SnapshotRecord &Snapshot) {
  std::optional<std::uint64_t> own = chainAt(State, Snapshot.Before);
  if (own && *own != Snapshot.ChainHash)
    return true;
  return Snapshot.Before == State.Next && Snapshot.Hash != hashState(State);
}

void applyBody(Step &On, const SnapshotRecord &Snapshot) {
  if (!ownClaim(On, SnapshotResource, Snapshot.Token))
    return;
  if (Snapshot.Before > On.At) {
    refuse(On, "it stands for records that are not there yet");
    return;
  }
  if (hashText(Snapshot.State) != Snapshot.Hash) {
    refuse(On, "its hash is not that of its state");
    return;
  }
  On.State.SnapshotRevision = On.At + 1;
}

/// Forgets what is older than the window. The same offsets do it everywhere.
void sweep(FoldState &State, Offset At) {
  if (At % EvictionInterval != 0 || At < RetentionWindow)
    return;
  Offset oldest = At - RetentionWindow;
  std::erase_if(State.Removed,
                [&](const auto &Entry) { return Entry.second.At < oldest; });
  std::erase_if(State.Authors,
                [&](const auto &Entry) { return Entry.second.At < oldest; });
  std::erase_if(State.Claims, [&](const auto &Entry) {
    return Entry.second.Released && Entry.second.RenewalOffset < oldest;
  });
}

/// Moves the chain over a record, and the state to the next offset.
void extendChain(FoldState &State, std::string_view Text,
                 const ControlStateChange &Done, std::string_view Effects) {
  std::array<std::uint64_t, 5> link = {
      State.ChainHash, State.Next, static_cast<std::uint64_t>(Done.ApplyStatus),
      XXH3_64bits(Text.data(), Text.size()),
      XXH3_64bits(Effects.data(), Effects.size())};
  if (State.RecentChainHashes.empty())
    State.RecentChainHashes.push_back(State.ChainHash);
  State.ChainHash = XXH3_64bits(link.data(), sizeof(link));
  State.RecentChainHashes.push_back(State.ChainHash);
  if (State.RecentChainHashes.size() > MaxRecentChainHashes)
    State.RecentChainHashes.pop_front();
  ++State.Next;
}

/// Applies a record that could be read.
ControlStateChange applyRecord(FoldState &State, Offset At, const Record &What,
                               std::string &Effects) {
  Step step{State, At, What.Id, {}, {}};
  auto mark = State.Authors.find(What.Id.Author);
  if (mark != State.Authors.end() && !isFresh(mark->second, What.Id)) {
    noteRepeat(step, mark->second);
    return step.Done;
  }
  std::visit([&](const auto &Body) { applyBody(step, Body); }, What.Body);
  markAuthor(step);
  Effects = std::move(step.Effects);
  return step.Done;
}

} // namespace

ControlStateChange apply(FoldState &State, Offset At, std::string_view Text) {
  assert(At == State.Next);
  ControlStateChange done;
  if (State.BlockedOffset) {
    done.ApplyStatus = RecordStatus::NewerSchema;
    done.Reason = "stopped at offset " + std::to_string(*State.BlockedOffset);
    return done;
  }
  Outcome<Record> what = toOutcome<Record>([&] { return decodeRecord(Text); });
  if (!what && what.failure().Code == FailureCode::NewerSchema) {
    State.BlockedOffset = At;
    done.ApplyStatus = RecordStatus::NewerSchema;
    done.Reason = describe(what.failure());
    return done;
  }

  // Compared before anything changes: it may stand for the state right here.
  const SnapshotRecord *snapshot =
      what ? std::get_if<SnapshotRecord>(&what->Body) : nullptr;
  bool diverged = snapshot && differs(State, *snapshot);
  sweep(State, At);
  std::string effects;
  if (what) {
    done = applyRecord(State, At, *what, effects);
  } else {
    done.ApplyStatus = RecordStatus::Malformed;
    done.Reason = describe(what.failure());
  }
  // A refused snapshot is no witness.
  done.Diverged = diverged && done.ApplyStatus == RecordStatus::Accepted;
  extendChain(State, Text, done, effects);
  return done;
}

std::string hashText(std::string_view Text) {
  XXH128_hash_t hash = XXH3_128bits(Text.data(), Text.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits.data();
}

std::string hashState(const FoldState &State) {
  return hashText(encodeState(State));
}

SnapshotRecord makeSnapshot(const FoldState &State, FencingToken Token) {
  SnapshotRecord out;
  out.Before = State.Next;
  out.State = encodeState(State);
  out.Hash = hashText(out.State);
  out.ChainHash = State.ChainHash;
  out.Token = Token;
  return out;
}

} // namespace wasabi
