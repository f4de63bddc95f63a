/// \file
/// Finds the attempts of a trace that were forwarded to an upstream, and how
/// they ended.
#ifndef WASABI_REPLAY_FORWARDS_H
#define WASABI_REPLAY_FORWARDS_H

#include "Wasabi/Replay/Trace.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabi::replay {

/// An attempt that a daemon forwarded.
struct ForwardedAttempt {
  /// Position of `attempt.forward`.
  std::size_t At = 0;
  /// Position of its `attempt.end`.
  std::optional<std::size_t> End;
  /// True if the end proves that the upstream did not run the attempt.
  bool ProvedNotRun = false;
};

/// Forwarded attempts by request, in the order of the trace.
using ForwardsByRequest =
    std::unordered_map<std::string, std::vector<ForwardedAttempt>>;

/// Returns the forwarded attempts of a trace. Pure, thread-safe.
ForwardsByRequest findForwards(const Trace &Input);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_FORWARDS_H
