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

/// An author that lags behind the log by what it has read.
struct Author {
  RecordId Id;
  /// Offset before which it has folded.
  Offset Read = 0;
  /// Its last record, which it may append again.
  std::string Last;
};

/// What an author of the history does next; all numbers are drawn.
struct Action {
  int Kind = 0;
  int Who = 0;
  int Key = 0;
  int Other = 0;
  int Lag = 0;
};

std::vector<Action> drawActions() {
  return *rc::gen::container<std::vector<Action>>(rc::gen::build<Action>(
      rc::gen::set(&Action::Kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&Action::Who, rc::gen::inRange(0, 4)),
      rc::gen::set(&Action::Key, rc::gen::inRange(0, 5)),
      rc::gen::set(&Action::Other, rc::gen::inRange(0, 5)),
      rc::gen::set(&Action::Lag, rc::gen::inRange(0, 6))));
}

/// Any interleaving of authors, with duplicates, restarts and bad records.
class Interleaving {
public:
  explicit Interleaving(const std::vector<Action> &Actions) {
    for (int i = 0; i < 4; ++i)
      Authors.push_back({{"author" + std::to_string(i), 1, 0}, 0, ""});
    for (const Action &it : Actions)
      act(it);
  }

  FoldedLog Log;

private:
  std::vector<Author> Authors;

  static std::string name(int Key) { return std::string(1, char('a' + Key)); }

  void append(Author &Who, wasabi::RecordBody Body) {
    ++Who.Id.Sequence;
    Who.Last = wasabi::encodeRecord({Who.Id, std::move(Body)});
    Log.appendText(Who.Last);
  }

  void act(const Action &What) {
    Author &who = Authors[static_cast<std::size_t>(What.Who)];
    Offset end = Log.Log.size();
    Offset lag = static_cast<Offset>(What.Lag);
    who.Read = std::max(who.Read, end > lag ? end - lag : 0);
    const std::string preset = "preset/" + name(What.Key);
    switch (What.Kind) {
    case 0:
    case 1:
    case 2:
      append(who, ConfigChange{who.Read,
                               {"limit/" + name(What.Other)},
                               {limit(name(What.Key), What.Lag + 1)},
                               who.Id.Author,
                               ""});
      break;
    case 3:
      append(who, ConfigChange{who.Read,
                               {},
                               {{"limit/" + name(What.Key), std::nullopt}},
                               who.Id.Author,
                               ""});
      break;
    case 4:
      append(who,
             ConfigChange{who.Read,
                          {},
                          {{preset, R"({"kind":"preset","name":")" +
                                        name(What.Key) + "\"}"},
                           {"switch/preset",
                            R"({"kind":"switch","name":"preset","preset":")" +
                                name(What.Other) + "\"}"}},
                          who.Id.Author,
                          ""});
      break;
    case 5:
      append(who, ConfigChange{who.Read,
                               {"switch/preset"},
                               {{preset, std::nullopt}},
                               who.Id.Author,
                               ""});
      break;
    case 6:
      if (!who.Last.empty())
        Log.appendText(who.Last);
      break;
    case 7:
      who.Id.Life += 1;
      who.Id.Sequence = 0;
      break;
    case 8:
      append(who, wasabi::makeClaimAcquire("snapshots", Log.claim("snapshots"),
                                           Millis(10)));
      break;
    case 9:
      append(who, wasabi::ClaimRenew{"snapshots", token()});
      break;
    case 10:
      append(who, makeSnapshot(Log.State, token()));
      break;
    default:
      Log.appendText(who.Last.substr(0, who.Last.size() / 2));
    }
  }

  wasabi::FencingToken token() const {
    const wasabi::Claim *claim = Log.claim("snapshots");
    return claim ? claim->Token : 0;
  }
};

/// The changes of a log with their fates, for an independent judge.
struct Judged {
  Offset At = 0;
  Record What;
  ControlStateChange Done;
};

std::vector<Judged> judgedChanges(const FoldedLog &Log) {
  std::vector<Judged> out;
  for (const LogEntry &it : Log.Log) {
    wasabi::Outcome<Record> what = wasabi::toOutcome<Record>(
        [&] { return wasabi::decodeRecord(it.Text); });
    if (what && std::holds_alternative<ConfigChange>(what->Body))
      out.push_back({it.At, *what, Log.Fates[it.At]});
  }
  return out;
}

std::set<std::string> writtenKeys(const ConfigChange &Change) {
  std::set<std::string> out;
  for (const ObjectWrite &it : Change.Writes)
    out.insert(it.Key);
  return out;
}

/// Whether an accepted change at or after `Change.Base` touched its keys.
bool conflicts(const std::vector<Judged> &Before, const ConfigChange &Change) {
  std::set<std::string> keys = writtenKeys(Change);
  keys.insert(Change.Reads.begin(), Change.Reads.end());
  for (const Judged &it : Before) {
    if (it.At < Change.Base || it.Done.ApplyStatus != RecordStatus::Accepted)
      continue;
    for (const std::string &key :
         writtenKeys(std::get<ConfigChange>(it.What.Body)))
      if (keys.contains(key))
        return true;
  }
  return false;
}

} // namespace

TEST_CASE("Property: any restart point gives the same state and verdicts") {
  holds([] {
    Interleaving history(drawActions());
    const FoldedLog &log = history.Log;
    Offset cut = *rc::gen::inRange<Offset>(0, log.Log.size() + 1);
    FoldState state;
    for (Offset at = 0; at < log.Log.size(); ++at) {
      if (at == cut)
        state = wasabi::foldtest::reloadState(state);
      ControlStateChange done = apply(state, at, log.Log[at].Text);
      RC_ASSERT(done.ApplyStatus == log.Fates[at].ApplyStatus);
      RC_ASSERT(done.Reason == log.Fates[at].Reason);
      RC_ASSERT(!done.Diverged);
    }
    RC_ASSERT(encodeState(state) == encodeState(log.State));
    RC_ASSERT(*state.Config == *log.State.Config);
  });
}

TEST_CASE("Property: any tail that holds a snapshot recovers the same state") {
  holds([] {
    Interleaving history(drawActions());
    const FoldedLog &log = history.Log;
    Offset first = *rc::gen::inRange<Offset>(0, log.Log.size() + 1);
    std::vector<LogEntry> kept(
        log.Log.begin() + static_cast<std::ptrdiff_t>(first), log.Log.end());
    wasabi::Outcome<FoldState> state = wasabi::foldtest::recovered(kept);
    RC_PRE(bool(state) && !kept.empty());
    RC_ASSERT(encodeState(*state) == encodeState(log.State));
  });
}

TEST_CASE("Property: exactly conflicting or invalid changes are refused") {
  holds([] {
    Interleaving history(drawActions());
    std::vector<Judged> before;
    for (const Judged &it : judgedChanges(history.Log)) {
      const ConfigChange &change = std::get<ConfigChange>(it.What.Body);
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

TEST_CASE("Property: no accepted change is lost, repeated or reverted") {
  holds([] {
    Interleaving history(drawActions());
    std::map<std::string, std::string> objects;
    std::set<RecordId> accepted;
    for (const Judged &it : judgedChanges(history.Log)) {
      if (it.Done.ApplyStatus != RecordStatus::Accepted)
        continue;
      RC_ASSERT(accepted.insert(it.What.Id).second);
      for (const ObjectWrite &write :
           std::get<ConfigChange>(it.What.Body).Writes) {
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
    wasabi::Outcome<wasabi::Configuration> anew =
        wasabi::toOutcome<wasabi::Configuration>(
            [&] { return wasabi::buildConfiguration(objects); });
    RC_ASSERT(bool(anew));
    RC_ASSERT(*anew == *state.Config);
  });
}

TEST_CASE("Property: tokens grow, and a claim passes from hand to hand") {
  holds([] {
    Interleaving history(drawActions());
    wasabi::FencingToken last = 0;
    for (const LogEntry &it : history.Log.Log) {
      const ControlStateChange &done = history.Log.Fates[it.At];
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
