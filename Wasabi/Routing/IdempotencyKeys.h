/// \file
/// Records of requests that carry an `Idempotency-Key`, kept by each daemon so
/// that a request repeated by its caller runs at most once
/// (docs/design/idempotency-keys.md).
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

/// Returns the candidate that handles all requests with `Key`, chosen by
/// rendezvous hashing: the same at each entry that has the same view. Empty if
/// there are no candidates. Pure.
std::optional<Candidate>
findHomeCandidate(std::string_view Key,
                  const std::vector<Candidate> &Candidates);

/// Returns the daemons, without `Runner`, that must record a key before its
/// request runs: by rendezvous hashing the first two that take work, and the
/// leaving daemons ranked before the second, which still hold records. A single
/// change of the view keeps at least one witness. Pure.
std::vector<Member> findWitnesses(std::string_view Key, const View &Members,
                                  const InstanceName &Runner);

/// Adapts the refusal of a request whose key was not looked up: an earlier
/// request with the key may have run, so `NotRun` becomes `MayHaveRun` with a
/// retry delay. `BadInput` and `Conflict` are returned unchanged, as the
/// request cannot run under its key. Pure.
Failure downgradeUnprovenFailure(Failure Why);

/// Identifies a process that runs requests.
struct Runner {
  InstanceName Instance;
  Incarnation Life = 0;
  auto operator<=>(const Runner &) const = default;
};

/// Record of a key that was reserved or used, as witnesses hold it.
struct KeyRecord {
  std::string Key;
  std::uint64_t Fingerprint = 0;
  Runner Who;
  /// Number of the reservation, counted by the runner.
  std::uint64_t Turn = 0;
  bool operator==(const KeyRecord &) const = default;
};

/// How to handle a request that carries a key.
enum class KeyAction : std::uint8_t {
  /// The key is new: the request may run here.
  Run,
  /// The first request is running here: wait until it ends and try again.
  Wait,
  /// The answer of the first request is stored.
  Answer,
  /// The request must not run; `Why` is the reason and verdict.
  Refuse,
};

struct KeyDecision {
  KeyAction Action = KeyAction::Run;
  http::Response Answer;
  Failure Why;
};

/// Bounded table of one daemon's keys. The caller passes the time. Not
/// thread-safe.
class IdempotencyKeys {
public:
  struct Settings {
    Runner Self;
    /// Maximum number of keys. Further keys are refused with `NotRun`, as
    /// dropping an old key would let its request run twice.
    std::size_t Capacity = 100000;
    /// Maximum total size of stored answers; beyond it only verdicts are
    /// stored.
    std::size_t MaxAnswerBytes = 64u << 20;
    /// Maximum size of one stored answer.
    std::size_t MaxSingleAnswerBytes = 256u << 10;
    /// Time that a key is kept after its first request.
    Millis KeyRetention{15 * 60 * 1000};
  };

  explicit IdempotencyKeys(Settings Setup) : Setup(std::move(Setup)) {}

  /// Decides how to handle a request that arrives with a key. `Fingerprint` is
  /// a hash of its method, target and body. On `Run` the key is recorded as
  /// running here.
  KeyDecision begin(const std::string &Key, std::uint64_t Fingerprint,
                    TimePoint Now);
  /// Records that the request did not run; frees the key.
  void recordNotRun(const std::string &Key);
  /// Records the complete answer of a request that ran.
  void recordAnswer(const std::string &Key, const http::Response &Answer);
  /// Records that the request failed. Frees the key if `Why.Run` is `NotRun`.
  void recordFailure(const std::string &Key, const Failure &Why);

  /// Reserves the key for another daemon that is about to run its request.
  /// Returns an empty value on success, otherwise the reason. The holder of the
  /// key may reserve it again; others are refused with `MayHaveRun`.
  /// `ReservationNumber` counts the reservations of the runner; the highest one
  /// holds the key.
  std::optional<Failure> reserve(const std::string &Key,
                                 std::uint64_t Fingerprint, const Runner &Owner,
                                 TimePoint Now,
                                 std::uint64_t ReservationNumber = 0);
  /// Frees the key if reservation `ReservationNumber` of `Owner` holds it.
  /// Precondition: nothing ran under that reservation.
  void release(const std::string &Key, const Runner &Owner,
               std::uint64_t ReservationNumber);

  /// Returns all records, to hand them over when this process leaves.
  std::vector<KeyRecord> records() const;

  std::size_t size() const { return Records.size(); }

private:
  enum class Stage : std::uint8_t { Running, Answered, Broken };
  struct Entry {
    Runner Owner;
    std::uint64_t Fingerprint = 0;
    Stage State = Stage::Running;
    /// Set if the request was answered and the answer is within the size
    /// limits.
    std::optional<http::Response> Answer;
    Failure Why;
    TimePoint Since;
    /// At a witness: number of the runner's newest reservation.
    std::uint64_t ReservationNumber = 0;
  };

  KeyDecision decide(const Entry &Known, std::uint64_t Fingerprint) const;
  /// Returns false if the table is full.
  bool insert(const std::string &Key, Entry NewEntry, TimePoint Now);
  void expire(TimePoint Now);
  void eraseKey(const std::string &Key);

  const Settings Setup;
  std::unordered_map<std::string, Entry> Records;
  /// Keys by age. A key that was erased and inserted again appears twice.
  struct ExpiryEntry {
    std::string Key;
    TimePoint Since;
  };
  std::deque<ExpiryEntry> ExpiryQueue;
  std::size_t AnswerBytes = 0;
};

} // namespace wasabi

#endif // WASABI_ROUTING_IDEMPOTENCYKEYS_H
