/// \file
/// Helpers for the tests of the fold that make records and states.
#ifndef WASABI_UNITTESTS_STATE_FOLDFIXTURE_H
#define WASABI_UNITTESTS_STATE_FOLDFIXTURE_H

#include "Wasabi/State/Claims.h"
#include "Wasabi/State/Fold.h"
#include "Wasabi/State/Recovery.h"

#include <string>
#include <vector>

namespace wasabi::foldtest {

/// Returns the canonical text of a limit.
inline std::string limitText(const std::string &Name, int Burst) {
  return R"({"burst":)" + std::to_string(Burst) +
         R"(,"kind":"limit","name":")" + Name + R"("})";
}

inline ObjectWrite limit(const std::string &Name, int Burst) {
  return {"limit/" + Name, limitText(Name, Burst)};
}

/// A log and the state folded from it.
struct FoldedLog {
  std::vector<LogEntry> Log;
  FoldState State;
  std::vector<ControlStateChange> Results;
  std::uint64_t Sequence = 0;

  const ControlStateChange &appendText(const std::string &Text) {
    Offset at = Log.size();
    Log.push_back({at, Text});
    Results.push_back(apply(State, at, Text));
    return Results.back();
  }
  const ControlStateChange &add(const RecordId &Id, RecordBody Body) {
    return appendText(encodeRecord({Id, std::move(Body)}));
  }
  /// Appends a record of an author with the next sequence number.
  const ControlStateChange &by(const std::string &Author, RecordBody Body,
                               Incarnation Life = 1) {
    return add({Author, Life, ++Sequence}, std::move(Body));
  }
  const ControlStateChange &change(const std::string &Author, Offset Base,
                                   std::vector<ObjectWrite> Writes,
                                   std::vector<std::string> Reads = {}) {
    return by(Author, ConfigChange{Base, std::move(Reads), std::move(Writes),
                                   Author, "a test"});
  }
  const Claim *claim(const std::string &Resource) const {
    auto it = State.Claims.find(Resource);
    return it == State.Claims.end() ? nullptr : &it->second;
  }
};

/// Encodes and decodes a valid state.
inline FoldState reloadState(const FoldState &State) {
  return *toOutcome<FoldState>([&] { return decodeState(encodeState(State)); });
}

inline Outcome<FoldState>
tryRecoverState(const std::vector<LogEntry> &Records) {
  return toOutcome<FoldState>([&] { return recoverState(Records); });
}

} // namespace wasabi::foldtest

#endif // WASABI_UNITTESTS_STATE_FOLDFIXTURE_H
