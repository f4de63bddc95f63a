/// \file
/// Fences off orders of former owners, for the engines that check no tokens
/// themselves: their daemon is their only road.
#ifndef WASABI_WEIGHTS_FENCINGGUARD_H
#define WASABI_WEIGHTS_FENCINGGUARD_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <map>
#include <optional>
#include <string>

namespace wasabi {

/// The greatest fencing token seen per server and resource. Not thread-safe.
/// It starts empty: a daemon that starts anew learns the tokens from the
/// orders that come, and from what its engines report.
class FencingGuard {
public:
  /// Takes note of an order's token; a failure (`StaleFence`, `NotRun`) when a
  /// greater one was seen.
  std::optional<Failure> admit(const ServerName &Server,
                               const std::string &Resource, FencingToken Token);
  /// The greatest token seen; 0 for none.
  FencingToken seen(const ServerName &Server,
                    const std::string &Resource) const;

private:
  struct GuardedResource {
    ServerName Server;
    std::string Resource;
    auto operator<=>(const GuardedResource &) const = default;
  };
  std::map<GuardedResource, FencingToken> Greatest;
};

} // namespace wasabi

#endif // WASABI_WEIGHTS_FENCINGGUARD_H
