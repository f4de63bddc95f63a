/// \file
/// What a daemon remembers of requests that carry an `Idempotency-Key`, so that
/// a caller's repeat runs at most once (docs/design/idempotency-keys.md).
#ifndef WASABI_ROUTING_IDEMPOTENCYKEYS_H
#define WASABI_ROUTING_IDEMPOTENCYKEYS_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Membership/View.h"
#include "Wasabi/Routing/LoadBalancing.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wasabi {

/// The daemon and server that a key's requests all go to, by rendezvous
/// hashing: the same through every entry that holds the same view. Pure.
std::optional<Candidate> findHomeCandidate(std::string_view Key,
                                           const std::vector<Candidate> &Of);

/// The daemons besides `Runner` that must know of a key before it runs: the
/// first two of all that stay by rendezvous hashing, and those before them that
/// are leaving, which still remember. Any one change of the view leaves at
/// least one of them in place. Pure.
std::vector<Member> findWitnesses(std::string_view Key, const View &Members,
                                  const InstanceName &Runner);

/// A refusal of a request with a key that nobody looked up: an earlier request
/// with the key may have run, so `NotRun` becomes `MayHaveRun`, with a time to
/// come back. What can never run under its key is left as it is. Pure.
Failure downgradeUnprovenFailure(Failure Why);

/// One process that runs requests.
struct Runner {
  InstanceName Instance;
  Incarnation Life = 0;
  auto operator<=>(const Runner &) const = default;
};

/// That a key was reserved or run: what a witness must know.
struct KeyRecord {
  std::string Key;
  std::uint64_t Fingerprint = 0;
  Runner Who;
  /// The runner's count of its reservations.
  std::uint64_t Turn = 0;
  bool operator==(const KeyRecord &) const = default;
};

/// What to do with a request that carries a key.
enum class KeyAction : std::uint8_t {
  /// Nothing is known: it may run here.
  Run,
  /// The first one runs here now: wait for its end and ask again.
  Wait,
  /// The first one's answer is known.
  Answer,
  /// It must not run: `Why` says what is known.
  Refuse,
};

struct KeyDecision {
  KeyAction Action = KeyAction::Run;
  http::Response Answer;
  Failure Why;
};

/// The bounded table of one daemon. Not thread-safe; time is passed in.
class IdempotencyKeys {
public:
  struct Settings {
    Runner Self;
    /// Keys kept. Further ones are refused `NotRun`: dropping an old one would
    /// let it run twice.
    std::size_t Capacity = 100000;
    /// Bytes of answers kept; beyond it only the verdict is.
    std::size_t MaxAnswerBytes = 64u << 20;
    /// Largest single answer kept.
    std::size_t MaxSingleAnswerBytes = 256u << 10;
    /// How long a key is remembered.
    Millis Span{15 * 60 * 1000};
  };

  explicit IdempotencyKeys(Settings Setup) : Setup(std::move(Setup)) {}

  /// A request with a key arrives; `Fingerprint` is of its method, target and
  /// body. On `Run` the key is marked as running here.
  KeyDecision begin(const std::string &Key, std::uint64_t Fingerprint,
                    TimePoint Now);
  /// It did not run after all: the key is free again.
  void recordNotRun(const std::string &Key);
  /// It ran, and this is the whole answer.
  void recordAnswer(const std::string &Key, const http::Response &Answer);
  /// It broke: `Why.Run` says what is known.
  void recordFailure(const std::string &Key, const Failure &Why);

  /// Another daemon is about to run the key: empty when it may, else why not.
  /// A runner may ask again; another one is refused `MayHaveRun`. `Turn` counts
  /// the runner's reservations: the key is then held for its newest one.
  std::optional<Failure> reserve(const std::string &Key,
                                 std::uint64_t Fingerprint, const Runner &Who,
                                 TimePoint Now, std::uint64_t Turn = 0);
  /// That daemon proves that nothing ran under its reservation `Turn`: the key
  /// is free again, unless a newer reservation holds it.
  void release(const std::string &Key, const Runner &Who, std::uint64_t Turn);

  /// All that is remembered, for handing it over when this process leaves.
  std::vector<KeyRecord> records() const;

  std::size_t size() const { return Records.size(); }

private:
  enum class Stage : std::uint8_t { Running, Answered, Broken };
  struct Entry {
    Runner Who;
    std::uint64_t Fingerprint = 0;
    Stage State = Stage::Running;
    /// Set when answered and small enough.
    std::optional<http::Response> Answer;
    Failure Why;
    TimePoint Since;
    /// At a witness: the runner's newest reservation.
    std::uint64_t Turn = 0;
  };

  KeyDecision decide(const Entry &Known, std::uint64_t Fingerprint) const;
  /// False when the table is full.
  bool insert(const std::string &Key, Entry New, TimePoint Now);
  void expire(TimePoint Now);
  void drop(const std::string &Key);

  const Settings Setup;
  std::unordered_map<std::string, Entry> Records;
  /// Keys by age; a key that was dropped and came again is in it twice.
  struct Age {
    std::string Key;
    TimePoint Since;
  };
  std::deque<Age> ExpiryQueue;
  std::size_t AnswerBytes = 0;
};

} // namespace wasabi

#endif // WASABI_ROUTING_IDEMPOTENCYKEYS_H
