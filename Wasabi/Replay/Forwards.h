/// \file
/// Which attempts of a trace went on to an upstream, and how they ended.
#ifndef WASABI_REPLAY_FORWARDS_H
#define WASABI_REPLAY_FORWARDS_H

#include "Wasabi/Replay/Trace.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabi::replay {

/// One attempt that a daemon forwarded.
struct Forward {
  /// Position of `attempt.forward`.
  std::size_t At = 0;
  /// Position of its `attempt.end`.
  std::optional<std::size_t> End;
  /// The end proves that the upstream did not run it.
  bool ProvedNotRun = false;
};

/// Forwards by request, in the order of the trace.
using ForwardsByRequest = std::unordered_map<std::string, std::vector<Forward>>;

/// Pure, thread-safe.
ForwardsByRequest findForwards(const Trace &From);

} // namespace wasabi::replay

#endif // WASABI_REPLAY_FORWARDS_H
