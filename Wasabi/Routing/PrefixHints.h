/// \file
/// Where prompt prefixes were placed last: hints that decay, since the engines'
/// caches are small and what they say of them comes late and with gaps.
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

/// Prompt bytes that a prefix is named by, as the engines do.
inline constexpr std::size_t PrefixBytes = 64;

/// The name of a prompt's prefix. Pure.
std::uint64_t hashPromptPrefix(std::string_view Prompt);

/// A bounded table of placements, the least recently used dropped first.
/// Not thread-safe.
class PrefixHints {
public:
  struct Settings {
    std::size_t Capacity = 16384;
    /// A placement is believed this long.
    Millis Span{120000};
  };

  explicit PrefixHints(Settings Limits) : Limits(Limits) {}

  /// The prefix went to this server.
  void place(std::uint64_t Prefix, const ServerKey &Where, TimePoint Now);
  /// The server that is believed to hold the prefix.
  std::optional<ServerKey> find(std::uint64_t Prefix, TimePoint Now) const;
  std::size_t size() const { return Index.size(); }

private:
  struct Hint {
    std::uint64_t Prefix = 0;
    ServerKey Where;
    TimePoint At;
  };

  const Settings Limits;
  std::list<Hint> Order;
  std::unordered_map<std::uint64_t, std::list<Hint>::iterator> Index;
};

} // namespace wasabi

#endif // WASABI_ROUTING_PREFIXHINTS_H
