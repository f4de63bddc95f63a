#include "StandIns/PrefixCache.h"

#include "StandIns/TokenText.h"

#include <algorithm>

namespace wasabi::standins {

namespace {

/// Maximum number of retained events.
constexpr std::size_t MaxEvents = 10000;

std::size_t commonLength(std::string_view Left, std::string_view Right) {
  std::size_t most = std::min(Left.size(), Right.size());
  std::size_t n = 0;
  while (n < most && Left[n] == Right[n])
    ++n;
  return n;
}

} // namespace

std::size_t PrefixCache::matchAndInsert(std::string_view Prompt,
                                        TimePoint Now) {
  std::string name = prefixName(Prompt);
  const std::map<std::string, std::list<Entry>::iterator>::iterator known =
      ByName.find(name);
  if (known != ByName.end()) {
    std::size_t held = commonLength(known->second->Prompt, Prompt);
    known->second->Prompt = std::string(Prompt);
    Held.splice(Held.begin(), Held, known->second);
    return held;
  }
  Held.push_front(Entry{name, std::string(Prompt)});
  ByName[name] = Held.begin();
  publish(name, true, Now);
  if (Held.size() > Limits.Entries) {
    std::string evicted = Held.back().Name;
    ByName.erase(evicted);
    Held.pop_back();
    publish(evicted, false, Now);
  }
  return 0;
}

void PrefixCache::publish(const std::string &Name, bool Stored, TimePoint Now) {
  constexpr double Percent = 100;
  std::uint64_t sequence = Next++;
  // A dropped event leaves a gap in the sequence numbers.
  std::uniform_real_distribution<double> share(0, Percent);
  if (share(Random) < Limits.EventLossPercent)
    return;
  Events.push_back(CacheEvent{sequence, Name, Stored, Now + Limits.EventDelay});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

std::vector<CacheEvent> PrefixCache::eventsSince(std::uint64_t From,
                                                 TimePoint Now) const {
  std::vector<CacheEvent> found;
  for (const CacheEvent &it : Events) {
    if (it.Sequence >= From && it.VisibleAt <= Now)
      found.push_back(it);
  }
  return found;
}

} // namespace wasabi::standins
