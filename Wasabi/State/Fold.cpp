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

/// Returns the size of an entry that counts towards `MaxHistoryBytes`.
std::size_t sizeOf(const HistoryEntry &Entry) {
  std::size_t out = Entry.Id.Author.size() + Entry.Operator.size() +
                    Entry.Message.size() + Entry.Reason.size();
  for (const std::string &key : Entry.Keys)
    out += key.size();
  return out;
}

/// Context for applying one record.
struct ApplyContext {
  FoldState &State;
  Offset At = 0;
  const RecordId &Id;
  ControlStateChange Applied;
  /// Encodings of the changed entries, for the chain hash.
  std::string Effects;
};

void refuse(ApplyContext &Context, std::string Reason) {
  Context.Applied.ApplyStatus = RecordStatus::Refused;
  Context.Applied.Reason = std::move(Reason);
}

/// Returns whether the id is newer than the author's last one. Ids of earlier
/// incarnations and lower sequence numbers count as applied.
bool isNewId(const AuthorLogProgress &Progress, const RecordId &Id) {
  if (Id.Life != Progress.Life)
    return Id.Life > Progress.Life;
  return Id.Sequence > Progress.Sequence;
}

void reportDuplicate(ApplyContext &Context, const AuthorLogProgress &Progress) {
  Context.Applied.ApplyStatus = RecordStatus::Duplicate;
  Context.Applied.PriorOffset = Progress.At;
  Context.Applied.PriorStatus = Progress.ApplyStatus;
  Context.Applied.IsSameId = Context.Id.Life == Progress.Life &&
                             Context.Id.Sequence == Progress.Sequence;
  Context.Applied.Reason =
      Context.Applied.IsSameId
          ? "this id was taken at offset " + std::to_string(Progress.At) +
                ": " + std::string(toText(Progress.ApplyStatus))
          : "older than what its author appended at offset " +
                std::to_string(Progress.At);
}

void updateAuthorProgress(ApplyContext &Context) {
  AuthorLogProgress &progress = Context.State.Authors[Context.Id.Author];
  progress = AuthorLogProgress{Context.Id.Life, Context.Id.Sequence, Context.At,
                               Context.Applied.ApplyStatus};
  Context.Effects += encodeAuthor(Context.Id.Author, progress);
}

std::string formatConflict(const std::string &Key, Offset At,
                           const std::string &Operator, std::string_view Verb) {
  return Key + " was " + std::string(Verb) + " at offset " +
         std::to_string(At) + " by " +
         (Operator.empty() ? "(unnamed)" : Operator);
}

/// Describes the conflict of one key with changes accepted at or after `Base`;
/// empty if there is none.
std::string describeConflict(const FoldState &State, const std::string &Key,
                             Offset Base) {
  auto object = State.Objects.find(Key);
  if (object != State.Objects.end() && object->second.WriteOffset >= Base)
    return formatConflict(Key, object->second.WriteOffset,
                          object->second.Operator, "changed");
  auto removed = State.Removed.find(Key);
  if (removed != State.Removed.end() && removed->second.At >= Base)
    return formatConflict(Key, removed->second.At, removed->second.Operator,
                          "removed");
  return {};
}

/// Describes the conflicts of a change in key order, at most `MaxNamed` of them
/// by name; empty if there are none.
std::string describeConflicts(const FoldState &State,
                              const ConfigChange &Change) {
  std::string out;
  std::size_t named = 0;
  std::size_t found = 0;
  constexpr std::size_t MaxNamed = 5;
  std::set<std::string_view> keys(Change.Reads.begin(), Change.Reads.end());
  for (const ObjectWrite &write : Change.Writes)
    keys.insert(write.Key);
  for (std::string_view key : keys) {
    std::string conflict =
        describeConflict(State, std::string(key), Change.Base);
    if (conflict.empty())
      continue;
    ++found;
    if (named == MaxNamed)
      continue;
    out += (named++ ? "; " : "conflict: ") + conflict;
  }
  if (found > named)
    out += "; and " + std::to_string(found - named) + " more";
  return out;
}

/// Objects that a change writes, as canonical texts, and keys that it removes.
struct ChangeParts {
  ObjectTexts Written;
  std::vector<std::string> Removed;
};

Result<ChangeParts> splitChange(const FoldState &State,
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

/// Returns the total size of all declarations after the change.
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

/// Checks a change and builds the resulting configuration; the state is
/// unchanged.
Result<Configuration> buildChangedConfiguration(const FoldState &State,
                                                const ChangeParts &Parts) {
  if (objectBytesAfter(State, Parts) > MaxTotalObjectBytes)
    return badInput("declarations", "more than " +
                                        std::to_string(MaxTotalObjectBytes) +
                                        " bytes in all");
  return changeConfiguration(*State.Config, Parts.Written, Parts.Removed);
}

/// Commits a checked change to the state.
void commitChange(ApplyContext &Context, const ConfigChange &Change,
                  const ChangeParts &Parts, Configuration Config) {
  FoldState &state = Context.State;
  for (const std::string &key : Parts.Removed) {
    state.Objects.erase(key);
    RemovedObject &removed = state.Removed[key];
    removed = RemovedObject{Context.At, Change.Operator};
    Context.Effects += encodeRemoved(key, removed);
  }
  for (const auto &[key, text] : Parts.Written) {
    state.Removed.erase(key);
    StoredObject &stored = state.Objects[key];
    stored = StoredObject{text, Context.At, Change.Operator};
    Context.Effects += encodeObject(key, stored);
  }
  state.Config = std::make_shared<const Configuration>(std::move(Config));
  state.ConfigRevision = Context.At + 1;
  Context.Applied.ConfigChanged = true;
}

/// Commits a change if it is valid, and refuses it otherwise.
void commitOrRefuse(ApplyContext &Context, const ConfigChange &Change) {
  ChangeParts parts;
  Outcome<Configuration> config =
      toOutcome<Configuration>([&]() -> Result<Configuration> {
        BOOST_LEAF_ASSIGN(parts, splitChange(Context.State, Change));
        return buildChangedConfiguration(Context.State, parts);
      });
  if (!config) {
    refuse(Context, "invalid: " + config.failure().Place + ": " +
                        config.failure().Reason);
    return;
  }
  commitChange(Context, Change, parts, std::move(*config));
}

void addHistory(ApplyContext &Context, const ConfigChange &Change) {
  HistoryEntry entry;
  entry.At = Context.At;
  entry.Id = Context.Id;
  entry.ApplyStatus = Context.Applied.ApplyStatus;
  entry.Operator = Change.Operator;
  entry.Message = Change.Message;
  for (const ObjectWrite &write : Change.Writes)
    entry.Keys.push_back(write.Key);
  entry.Reason = Context.Applied.Reason;
  Context.Effects += encodeHistoryEntry(entry);

  std::deque<HistoryEntry> &entries = Context.State.History;
  entries.push_back(std::move(entry));
  std::size_t bytes = 0;
  for (const HistoryEntry &kept : entries)
    bytes += sizeOf(kept);
  while (entries.size() > 1 &&
         (entries.size() > MaxHistoryEntries || bytes > MaxHistoryBytes)) {
    bytes -= sizeOf(entries.front());
    entries.pop_front();
  }
}

void applyBody(ApplyContext &Context, const ConfigChange &Change) {
  std::string conflicts;
  if (Change.Base > Context.At)
    refuse(Context, "its base " + std::to_string(Change.Base) + " lies ahead");
  else if (Change.Base + RetentionWindow < Context.At)
    refuse(Context, "its base " + std::to_string(Change.Base) +
                        " is too old to check for conflicts");
  else if (conflicts = describeConflicts(Context.State, Change);
           !conflicts.empty())
    refuse(Context, std::move(conflicts));
  else
    commitOrRefuse(Context, Change);
  addHistory(Context, Change);
}

std::string describeHolder(const Claim &Held) {
  return Held.Holder.Text + " since token " + std::to_string(Held.Token);
}

void addClaimEffect(ApplyContext &Context, const std::string &Resource,
                    const Claim &Held) {
  Context.Applied.ChangedClaimResource = Resource;
  Context.Effects += encodeClaim(Resource, Held);
}

void applyBody(ApplyContext &Context, const ClaimAcquire &Acquire) {
  auto it = Context.State.Claims.find(Acquire.Resource);
  bool exists = it != Context.State.Claims.end();
  FencingToken current = exists ? it->second.Token : 0;
  if (Acquire.ReplacedToken != current) {
    refuse(Context, exists ? Acquire.Resource + " is held by " +
                                 describeHolder(it->second)
                           : Acquire.Resource + " has no claim to replace");
    return;
  }
  if (exists && !it->second.Released &&
      Acquire.SeenRenewalOffset != it->second.RenewalOffset) {
    refuse(Context, Acquire.Resource + " was renewed by " +
                        describeHolder(it->second) + " at offset " +
                        std::to_string(it->second.RenewalOffset));
    return;
  }
  Claim &claim = Context.State.Claims[Acquire.Resource];
  claim = Claim{InstanceName(Context.Id.Author),
                Context.Id.Life,
                Context.At + 1,
                Acquire.Term,
                Context.At,
                false};
  addClaimEffect(Context, Acquire.Resource, claim);
}

/// Returns the author's active claim with this token; refuses the record and
/// returns null if there is none.
Claim *findOwnClaim(ApplyContext &Context, const std::string &Resource,
                    FencingToken Token) {
  auto it = Context.State.Claims.find(Resource);
  if (it == Context.State.Claims.end()) {
    refuse(Context, Resource + " is not claimed");
    return nullptr;
  }
  Claim &claim = it->second;
  bool own = claim.Token == Token && claim.Holder.Text == Context.Id.Author &&
             claim.HolderIncarnation == Context.Id.Life;
  if (own && !claim.Released)
    return &claim;
  refuse(Context, own ? Resource + " was released"
                      : Resource + " is held by " + describeHolder(claim));
  return nullptr;
}

void applyBody(ApplyContext &Context, const ClaimRenew &Renew) {
  Claim *claim = findOwnClaim(Context, Renew.Resource, Renew.Token);
  if (!claim)
    return;
  claim->RenewalOffset = Context.At;
  addClaimEffect(Context, Renew.Resource, *claim);
}

void applyBody(ApplyContext &Context, const ClaimRelease &Release) {
  Claim *claim = findOwnClaim(Context, Release.Resource, Release.Token);
  if (!claim)
    return;
  claim->Released = true;
  claim->RenewalOffset = Context.At;
  addClaimEffect(Context, Release.Resource, *claim);
}

/// Returns the chain hash before the record at `Before` if it is retained.
std::optional<std::uint64_t> findChainHash(const FoldState &State,
                                           Offset Before) {
  Offset back = State.Next - Before;
  if (Before > State.Next)
    return std::nullopt;
  if (back == 0)
    return State.ChainHash;
  if (back >= State.RecentChainHashes.size())
    return std::nullopt;
  return State.RecentChainHashes[State.RecentChainHashes.size() - 1 - back];
}

/// Returns whether a snapshot differs from this process' own state. Compares
/// the chain hash if it is retained, and the state's hash if the snapshot is of
/// the current state.
bool differsFromState(const FoldState &State, const SnapshotRecord &Snapshot) {
  std::optional<std::uint64_t> own = findChainHash(State, Snapshot.Before);
  if (own && *own != Snapshot.ChainHash)
    return true;
  return Snapshot.Before == State.Next && Snapshot.Hash != hashState(State);
}

void applyBody(ApplyContext &Context, const SnapshotRecord &Snapshot) {
  if (!findOwnClaim(Context, SnapshotResource, Snapshot.Token))
    return;
  if (Snapshot.Before > Context.At) {
    refuse(Context, "it stands for records that are not there yet");
    return;
  }
  if (hashText(Snapshot.State) != Snapshot.Hash) {
    refuse(Context, "its hash is not that of its state");
    return;
  }
  Context.State.SnapshotRevision = Context.At + 1;
}

/// Evicts entries older than `RetentionWindow`, at the same offsets in every
/// process.
void evictOldEntries(FoldState &State, Offset At) {
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

/// Extends the chain hash by a record and advances the state to the next
/// offset.
void extendChain(FoldState &State, std::string_view Text,
                 const ControlStateChange &Applied, std::string_view Effects) {
  std::array<std::uint64_t, 5> link = {
      State.ChainHash, State.Next,
      static_cast<std::uint64_t>(Applied.ApplyStatus),
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

/// Applies a decoded record.
ControlStateChange applyRecord(FoldState &State, Offset At,
                               const Record &Decoded, std::string &Effects) {
  ApplyContext context{State, At, Decoded.Id, {}, {}};
  auto progress = State.Authors.find(Decoded.Id.Author);
  if (progress != State.Authors.end() &&
      !isNewId(progress->second, Decoded.Id)) {
    reportDuplicate(context, progress->second);
    return context.Applied;
  }
  std::visit([&](const auto &Body) { applyBody(context, Body); }, Decoded.Body);
  updateAuthorProgress(context);
  Effects = std::move(context.Effects);
  return context.Applied;
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
  Outcome<Record> record =
      toOutcome<Record>([&] { return decodeRecord(Text); });
  if (!record && record.failure().Code == FailureCode::NewerSchema) {
    State.BlockedOffset = At;
    done.ApplyStatus = RecordStatus::NewerSchema;
    done.Reason = describe(record.failure());
    return done;
  }

  // Compare before anything changes: the snapshot may be of the current state.
  const SnapshotRecord *snapshot =
      record ? std::get_if<SnapshotRecord>(&record->Body) : nullptr;
  bool diverged = snapshot && differsFromState(State, *snapshot);
  evictOldEntries(State, At);
  std::string effects;
  if (record) {
    done = applyRecord(State, At, *record, effects);
  } else {
    done.ApplyStatus = RecordStatus::Malformed;
    done.Reason = describe(record.failure());
  }
  // Only an accepted snapshot is evidence of a divergence.
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
