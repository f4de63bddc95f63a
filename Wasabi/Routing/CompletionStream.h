/// \file
/// Follows an engine's event stream, so that one that breaks can be resumed
/// elsewhere from its last whole position, and one that is short is noticed.
#ifndef WASABI_ROUTING_COMPLETIONSTREAM_H
#define WASABI_ROUTING_COMPLETIONSTREAM_H

#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Cuts bytes into whole server-sent events. Not thread-safe.
class EventSplitter {
public:
  /// The events that `Bytes` completes, each with its closing blank line.
  std::vector<std::string> feed(std::string_view Bytes);
  /// Whether bytes of an unfinished event are held.
  bool hasPartialEvent() const { return !Held.empty(); }

private:
  std::string Held;
};

/// How far a completion has come. A value.
struct CompletionProgress {
  /// Tokens known so far, those of the request's own `resume` included.
  std::uint64_t Position = 0;
  /// Their text.
  std::string Text;
  /// The engine said how many tokens there are, and that many came.
  bool Counted = false;
  /// The closing `[DONE]` was seen.
  bool Done = false;
  bool operator==(const CompletionProgress &) const = default;
};

/// The progress at the start, after the request's own `resume` if it has one.
/// Failures: `BadInput`, `NotRun`. Pure.
Outcome<CompletionProgress> parseInitialProgress(std::string_view RequestBody);

/// Takes one whole event. Failures: `ConnectionLost`, `Ran`, for one out of its
/// order or a count that does not match, after which nothing of the event may
/// be passed on. Pure.
Outcome<CompletionProgress> applyStreamEvent(CompletionProgress Progress,
                                             std::string_view Event);

/// The request's body that goes on from `Progress`.
/// Precondition: `parseInitialProgress(RequestBody)` succeeded. Pure.
std::string makeResumeBody(std::string_view RequestBody,
                           const CompletionProgress &Progress);

} // namespace wasabi

#endif // WASABI_ROUTING_COMPLETIONSTREAM_H
