/// \file
/// A caller's requests and their outcomes, to be compared with the upstreams'
/// records.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_CALLERRECORD_H
#define WASABI_INTEGRATIONTESTS_CHAOS_CALLERRECORD_H

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// Kinds of requests that callers send.
enum class CallKind : std::uint8_t {
  CompletionWhole,
  CompletionStreamed,
  Read,
  /// Not idempotent, without a key: sent once.
  Write,
  /// Not idempotent, with an `Idempotency-Key`: retried if the outcome is
  /// unknown.
  KeyedWrite,
};

/// Outcome of a request as its caller sees it.
enum class CallOutcome : std::uint8_t {
  /// A complete and correct response.
  Whole,
  /// A complete response that belongs to another request.
  Wrong,
  /// Refused with the verdict that it did not run, or never sent.
  NotRun,
  /// Any other outcome: the request may have run.
  MayHaveRun,
};

/// One attempt of a request; a retry with the same key has its own record. An
/// immutable value.
struct CallerRecord {
  /// Path or prompt that identifies this request.
  std::string Mark;
  CallKind Kind = CallKind::Read;
  CallOutcome End = CallOutcome::MayHaveRun;
  unsigned Status = 0;
  /// Wall-clock time in microseconds.
  std::uint64_t Begun = 0;
  std::uint64_t Ended = 0;
  /// Entry and reason, for diagnostics only.
  std::string Note;
};

inline bool isIdempotent(CallKind Kind) {
  return Kind != CallKind::Write && Kind != CallKind::KeyedWrite;
}

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_CALLERRECORD_H
