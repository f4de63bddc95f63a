#include "Wasabi/Routing/PrefixHints.h"

#include <xxhash.h>

namespace wasabi {

std::uint64_t hashPromptPrefix(std::string_view Prompt) {
  std::string_view head = Prompt.substr(0, PrefixBytes);
  return XXH64(head.data(), head.size(), 0);
}

void PrefixHints::place(std::uint64_t Prefix, const ServerKey &Where,
                        TimePoint Now) {
  std::unordered_map<std::uint64_t, std::list<Hint>::iterator>::iterator it =
      Index.find(Prefix);
  if (it != Index.end()) {
    it->second->Where = Where;
    it->second->At = Now;
    Order.splice(Order.begin(), Order, it->second);
    return;
  }
  if (Index.size() >= Limits.Capacity) {
    Index.erase(Order.back().Prefix);
    Order.pop_back();
  }
  Order.push_front(Hint{Prefix, Where, Now});
  Index.emplace(Prefix, Order.begin());
}

std::optional<ServerKey> PrefixHints::find(std::uint64_t Prefix,
                                           TimePoint Now) const {
  std::unordered_map<std::uint64_t, std::list<Hint>::iterator>::const_iterator
      it = Index.find(Prefix);
  if (it == Index.end() || Now - it->second->At > Limits.Span)
    return std::nullopt;
  return it->second->Where;
}

} // namespace wasabi
