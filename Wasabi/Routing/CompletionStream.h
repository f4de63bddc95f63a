/// \file
/// Tracks the progress of an engine's event stream, so that a broken stream can
/// be resumed on another engine and a truncated stream is detected.
#ifndef WASABI_ROUTING_COMPLETIONSTREAM_H
#define WASABI_ROUTING_COMPLETIONSTREAM_H

#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Splits a byte stream into complete server-sent events. Not thread-safe.
class EventSplitter {
public:
  /// Appends `Bytes` and returns the events that they complete, each with its
  /// terminating blank line.
  std::vector<std::string> feed(std::string_view Bytes);
  /// True if bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return !Buffer.empty(); }

private:
  std::string Buffer;
};

/// Progress of a completion. A value.
struct CompletionProgress {
  /// Tokens received so far, including those of the request's own `resume`.
  std::uint64_t Position = 0;
  /// Text of these tokens.
  std::string Text;
  /// True if the engine's final token count matches `Position`.
  bool CountConfirmed = false;
  /// True if the terminating `[DONE]` was received.
  bool Done = false;
  bool operator==(const CompletionProgress &) const = default;
};

/// Returns the progress at the start of a stream: that of the request's own
/// `resume`, if it has one.
/// Failures: `BadInput`, `NotRun`. Pure.
Outcome<CompletionProgress> parseInitialProgress(std::string_view RequestBody);

/// Applies one complete event. Failures: `ConnectionLost`, `Ran`, for an event
/// out of order or a token count that does not match; the event must not be
/// passed on to the caller then. Pure.
Outcome<CompletionProgress> applyStreamEvent(CompletionProgress Progress,
                                             std::string_view Event);

/// Returns the request body that continues the completion from `Progress`.
/// Precondition: `parseInitialProgress(RequestBody)` succeeded. Pure.
std::string makeResumeBody(std::string_view RequestBody,
                           const CompletionProgress &Progress);

} // namespace wasabi

#endif // WASABI_ROUTING_COMPLETIONSTREAM_H
