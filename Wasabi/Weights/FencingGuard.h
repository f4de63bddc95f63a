/// \file
/// Rejects orders of former owners by their fencing tokens, for engines that do
/// not check tokens themselves. All orders to an engine pass its daemon.
#ifndef WASABI_WEIGHTS_FENCINGGUARD_H
#define WASABI_WEIGHTS_FENCINGGUARD_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <map>
#include <optional>
#include <string>

namespace wasabi {

/// Stores the greatest fencing token seen per server and resource. Starts
/// empty; a restarted daemon learns the tokens from the orders that it receives
/// and from the reports of its engines. Not thread-safe.
class FencingGuard {
public:
  /// Records an order's token. Returns a failure (`StaleFence`, `NotRun`) if a
  /// greater token was seen.
  std::optional<Failure> admit(const ServerName &Server,
                               const std::string &Resource, FencingToken Token);
  /// Returns the greatest token seen; 0 if none.
  FencingToken seen(const ServerName &Server,
                    const std::string &Resource) const;

private:
  struct GuardedResource {
    ServerName Server;
    std::string Resource;
    auto operator<=>(const GuardedResource &) const = default;
  };
  std::map<GuardedResource, FencingToken> NewestTokens;
};

} // namespace wasabi

#endif // WASABI_WEIGHTS_FENCINGGUARD_H
