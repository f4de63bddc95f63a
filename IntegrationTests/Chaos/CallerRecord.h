/// \file
/// What a caller asked and what it saw: to be held against the upstreams'
/// truth.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_CALLERRECORD_H
#define WASABI_INTEGRATIONTESTS_CHAOS_CALLERRECORD_H

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// What callers send.
enum class CallKind : std::uint8_t {
  CompletionWhole,
  CompletionStreamed,
  Read,
  /// Not idempotent, without a key: sent once.
  Write,
  /// Not idempotent, with an `Idempotency-Key`: sent again when in doubt.
  KeyedWrite,
};

/// How an ask ended for its caller.
enum class CallOutcome : std::uint8_t {
  /// A whole answer, and the right one.
  Whole,
  /// A whole answer that is not its own request's.
  Wrong,
  /// Refused with the word that it did not run, or never sent.
  NotRun,
  /// Anything else: it may have run.
  MayHaveRun,
};

/// One ask; a repeat with the same key is another. An immutable value.
struct CallerRecord {
  /// The path or prompt that is this request's alone.
  std::string Mark;
  CallKind Kind = CallKind::Read;
  CallOutcome End = CallOutcome::MayHaveRun;
  unsigned Status = 0;
  /// Wall microseconds.
  std::uint64_t Begun = 0;
  std::uint64_t Ended = 0;
  /// For a person: the entry, the reason.
  std::string Note;
};

inline bool isIdempotent(CallKind Kind) {
  return Kind != CallKind::Write && Kind != CallKind::KeyedWrite;
}

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_CALLERRECORD_H
