#include "UnitTests/Core/Property.h"
#include "UnitTests/State/FoldFixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using wasabi::ClaimAcquire;
using wasabi::ConfigChange;
using wasabi::ControlStateChange;
using wasabi::FoldState;
using wasabi::LogEntry;
using wasabi::Millis;
using wasabi::ObjectWrite;
using wasabi::Offset;
using wasabi::Record;
using wasabi::RecordId;
using wasabi::RecordStatus;
using wasabi::foldtest::FoldedLog;
using wasabi::foldtest::limit;
using wasabi::test::holds;

namespace {

/// An author that has read the log up to an earlier offset.
struct Author {
  RecordId Id;
  /// The author has folded all records before this offset.
  Offset ReadOffset = 0;
  /// Text of its last record, which it may append again.
  std::string LastText;
};

/// Next action of an author, with random values.
struct Action {
  int Kind = 0;
  int AuthorIndex = 0;
  int Key = 0;
  int OtherKey = 0;
  int Lag = 0;
};

std::vector<Action> drawActions() {
  return *rc::gen::container<std::vector<Action>>(rc::gen::build<Action>(
      rc::gen::set(&Action::Kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&Action::AuthorIndex, rc::gen::inRange(0, 4)),
      rc::gen::set(&Action::Key, rc::gen::inRange(0, 5)),
      rc::gen::set(&Action::OtherKey, rc::gen::inRange(0, 5)),
      rc::gen::set(&Action::Lag, rc::gen::inRange(0, 6))));
}

/// A random interleaving of authors with duplicates, restarts and malformed
/// records.
class Interleaving {
public:
  explicit Interleaving(const std::vector<Action> &Actions) {
    for (int i = 0; i < 4; ++i)
      Authors.push_back({{"author" + std::to_string(i), 1, 0}, 0, ""});
    for (const Action &it : Actions)
      perform(it);
  }

  FoldedLog Log;

private:
  std::vector<Author> Authors;

  static std::string name(int Key) { return std::string(1, char('a' + Key)); }

  void append(Author &Writer, wasabi::RecordBody Body) {
    ++Writer.Id.Sequence;
    Writer.LastText = wasabi::encodeRecord({Writer.Id, std::move(Body)});
    Log.appendText(Writer.LastText);
  }

  void perform(const Action &Next) {
    Author &author = Authors[static_cast<std::size_t>(Next.AuthorIndex)];
    Offset end = Log.Log.size();
    Offset lag = static_cast<Offset>(Next.Lag);
    author.ReadOffset = std::max(author.ReadOffset, end > lag ? end - lag : 0);
    const std::string preset = "preset/" + name(Next.Key);
    switch (Next.Kind) {
    case 0:
    case 1:
    case 2:
      append(author, ConfigChange{author.ReadOffset,
                                  {"limit/" + name(Next.OtherKey)},
                                  {limit(name(Next.Key), Next.Lag + 1)},
                                  author.Id.Author,
                                  ""});
      break;
    case 3:
      append(author, ConfigChange{author.ReadOffset,
                                  {},
                                  {{"limit/" + name(Next.Key), std::nullopt}},
                                  author.Id.Author,
                                  ""});
      break;
    case 4:
      append(author,
             ConfigChange{author.ReadOffset,
                          {},
                          {{preset, R"({"kind":"preset","name":")" +
                                        name(Next.Key) + "\"}"},
                           {"switch/preset",
                            R"({"kind":"switch","name":"preset","preset":")" +
                                name(Next.OtherKey) + "\"}"}},
                          author.Id.Author,
                          ""});
      break;
    case 5:
      append(author, ConfigChange{author.ReadOffset,
                                  {"switch/preset"},
                                  {{preset, std::nullopt}},
                                  author.Id.Author,
                                  ""});
      break;
    case 6:
      if (!author.LastText.empty())
        Log.appendText(author.LastText);
      break;
    case 7:
      author.Id.Life += 1;
      author.Id.Sequence = 0;
      break;
    case 8:
      append(author, wasabi::makeClaimAcquire(
                         "snapshots", Log.claim("snapshots"), Millis(10)));
      break;
    case 9:
      append(author, wasabi::ClaimRenew{"snapshots", token()});
      break;
    case 10:
      append(author, makeSnapshot(Log.State, token()));
      break;
    default:
      Log.appendText(author.LastText.substr(0, author.LastText.size() / 2));
    }
  }

  wasabi::FencingToken token() const {
    const wasabi::Claim *claim = Log.claim("snapshots");
    return claim ? claim->Token : 0;
  }
};

/// A configuration change with its result, for an independent check of the
/// rules.
struct AppliedChange {
  Offset At = 0;
  Record Source;
  ControlStateChange Done;
};

std::vector<AppliedChange> listChanges(const FoldedLog &Log) {
  std::vector<AppliedChange> out;
  for (const LogEntry &it : Log.Log) {
    wasabi::Outcome<Record> what = wasabi::toOutcome<Record>(
        [&] { return wasabi::decodeRecord(it.Text); });
    if (what && std::holds_alternative<ConfigChange>(what->Body))
      out.push_back({it.At, *what, Log.Results[it.At]});
  }
  return out;
}

std::set<std::string> writtenKeys(const ConfigChange &Change) {
  std::set<std::string> out;
  for (const ObjectWrite &it : Change.Writes)
    out.insert(it.Key);
  return out;
}

/// Returns whether an accepted change at or after `Change.Base` wrote one of
/// its keys.
bool conflicts(const std::vector<AppliedChange> &Before,
               const ConfigChange &Change) {
  std::set<std::string> keys = writtenKeys(Change);
  keys.insert(Change.Reads.begin(), Change.Reads.end());
  for (const AppliedChange &it : Before) {
    if (it.At < Change.Base || it.Done.ApplyStatus != RecordStatus::Accepted)
      continue;
    for (const std::string &key :
         writtenKeys(std::get<ConfigChange>(it.Source.Body)))
      if (keys.contains(key))
        return true;
  }
  return false;
}

} // namespace

TEST_CASE("Property: any restart point gives the same state and results") {
  holds([] {
    Interleaving history(drawActions());
    const FoldedLog &log = history.Log;
    Offset restartOffset = *rc::gen::inRange<Offset>(0, log.Log.size() + 1);
    FoldState state;
    for (Offset at = 0; at < log.Log.size(); ++at) {
      if (at == restartOffset)
        state = wasabi::foldtest::reloadState(state);
      ControlStateChange done = apply(state, at, log.Log[at].Text);
      RC_ASSERT(done.ApplyStatus == log.Results[at].ApplyStatus);
      RC_ASSERT(done.Reason == log.Results[at].Reason);
      RC_ASSERT(!done.Diverged);
    }
    RC_ASSERT(encodeState(state) == encodeState(log.State));
    RC_ASSERT(*state.Config == *log.State.Config);
  });
}

TEST_CASE("Property: any recoverable tail of the log gives the same state") {
  holds([] {
    Interleaving history(drawActions());
    const FoldedLog &log = history.Log;
    Offset first = *rc::gen::inRange<Offset>(0, log.Log.size() + 1);
    std::vector<LogEntry> kept(
        log.Log.begin() + static_cast<std::ptrdiff_t>(first), log.Log.end());
    wasabi::Outcome<FoldState> state = wasabi::foldtest::tryRecoverState(kept);
    RC_PRE(bool(state) && !kept.empty());
    RC_ASSERT(encodeState(*state) == encodeState(log.State));
  });
}

TEST_CASE("Property: exactly conflicting or invalid changes are refused") {
  holds([] {
    Interleaving history(drawActions());
    std::vector<AppliedChange> before;
    for (const AppliedChange &it : listChanges(history.Log)) {
      const ConfigChange &change = std::get<ConfigChange>(it.Source.Body);
      if (it.Done.ApplyStatus != RecordStatus::Duplicate) {
        bool conflict = conflicts(before, change);
        RC_ASSERT(conflict == it.Done.Reason.starts_with("conflict: "));
        if (!conflict && it.Done.ApplyStatus == RecordStatus::Refused)
          RC_ASSERT(it.Done.Reason.starts_with("invalid: "));
      }
      before.push_back(it);
    }
  });
}

TEST_CASE("Property: no accepted change is lost, applied twice or reverted") {
  holds([] {
    Interleaving history(drawActions());
    std::map<std::string, std::string> objects;
    std::set<RecordId> accepted;
    for (const AppliedChange &it : listChanges(history.Log)) {
      if (it.Done.ApplyStatus != RecordStatus::Accepted)
        continue;
      RC_ASSERT(accepted.insert(it.Source.Id).second);
      for (const ObjectWrite &write :
           std::get<ConfigChange>(it.Source.Body).Writes) {
        if (write.Text)
          objects[write.Key] = *write.Text;
        else
          objects.erase(write.Key);
      }
    }
    const FoldState &state = history.Log.State;
    RC_ASSERT(state.Objects.size() == objects.size());
    for (const auto &[key, text] : objects)
      RC_ASSERT(state.Objects.at(key).Text == text);
    wasabi::Outcome<wasabi::Configuration> rebuilt =
        wasabi::toOutcome<wasabi::Configuration>(
            [&] { return wasabi::buildConfiguration(objects); });
    RC_ASSERT(bool(rebuilt));
    RC_ASSERT(*rebuilt == *state.Config);
  });
}

TEST_CASE(
    "Property: tokens increase, and each acquisition replaces the last one") {
  holds([] {
    Interleaving history(drawActions());
    wasabi::FencingToken last = 0;
    for (const LogEntry &it : history.Log.Log) {
      const ControlStateChange &done = history.Log.Results[it.At];
      if (done.ChangedClaimResource.empty())
        continue;
      Record what = *wasabi::toOutcome<Record>(
          [&] { return wasabi::decodeRecord(it.Text); });
      if (const ClaimAcquire *take = std::get_if<ClaimAcquire>(&what.Body)) {
        RC_ASSERT(take->ReplacedToken == last);
        RC_ASSERT(it.At + 1 > last);
        last = it.At + 1;
      } else if (const wasabi::ClaimRenew *renew =
                     std::get_if<wasabi::ClaimRenew>(&what.Body)) {
        RC_ASSERT(renew->Token == last);
      }
    }
  });
}
