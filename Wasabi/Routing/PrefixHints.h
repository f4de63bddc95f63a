/// \file
/// Hints on which server holds a prompt prefix in its cache. They expire, as
/// engines evict prefixes without a complete and timely report.
#ifndef WASABI_ROUTING_PREFIXHINTS_H
#define WASABI_ROUTING_PREFIXHINTS_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Routing/LoadBalancing.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace wasabi {

/// Maximum number of prompt bytes that identify a prefix, as in the engines.
inline constexpr std::size_t MaxPrefixBytes = 64;

/// Returns the hash that identifies a prompt's prefix. Pure.
std::uint64_t hashPromptPrefix(std::string_view Prompt);

/// Bounded table of prefix placements with least-recently-placed eviction. Not
/// thread-safe.
class PrefixHints {
public:
  struct Settings {
    std::size_t Capacity = 16384;
    /// Time after which a hint expires.
    Millis HintLifetime{120000};
  };

  explicit PrefixHints(Settings Limits) : Limits(Limits) {}

  /// Records that a request with the prefix was sent to `Server`.
  void place(std::uint64_t Prefix, const ServerKey &Server, TimePoint Now);
  /// Returns the server that probably holds the prefix; empty if unknown.
  std::optional<ServerKey> find(std::uint64_t Prefix, TimePoint Now) const;
  std::size_t size() const { return Index.size(); }

private:
  struct Hint {
    std::uint64_t Prefix = 0;
    ServerKey Server;
    TimePoint PlacedAt;
  };

  const Settings Limits;
  std::list<Hint> RecentlyPlaced;
  std::unordered_map<std::uint64_t, std::list<Hint>::iterator> Index;
};

} // namespace wasabi

#endif // WASABI_ROUTING_PREFIXHINTS_H
