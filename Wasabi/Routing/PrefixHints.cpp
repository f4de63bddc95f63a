#include "Wasabi/Routing/PrefixHints.h"

#include <xxhash.h>

namespace wasabi {

std::uint64_t hashPromptPrefix(std::string_view Prompt) {
  std::string_view head = Prompt.substr(0, MaxPrefixBytes);
  return XXH64(head.data(), head.size(), 0);
}

void PrefixHints::place(std::uint64_t Prefix, const ServerKey &Server,
                        TimePoint Now) {
  std::unordered_map<std::uint64_t, std::list<Hint>::iterator>::iterator it =
      Index.find(Prefix);
  if (it != Index.end()) {
    it->second->Server = Server;
    it->second->PlacedAt = Now;
    RecentlyPlaced.splice(RecentlyPlaced.begin(), RecentlyPlaced, it->second);
    return;
  }
  if (Index.size() >= Limits.Capacity) {
    Index.erase(RecentlyPlaced.back().Prefix);
    RecentlyPlaced.pop_back();
  }
  RecentlyPlaced.push_front(Hint{Prefix, Server, Now});
  Index.emplace(Prefix, RecentlyPlaced.begin());
}

std::optional<ServerKey> PrefixHints::find(std::uint64_t Prefix,
                                           TimePoint Now) const {
  std::unordered_map<std::uint64_t, std::list<Hint>::iterator>::const_iterator
      it = Index.find(Prefix);
  if (it == Index.end() || Now - it->second->PlacedAt > Limits.HintLifetime)
    return std::nullopt;
  return it->second->Server;
}

} // namespace wasabi
