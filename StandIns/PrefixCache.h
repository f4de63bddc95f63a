/// \file
/// Simulates an engine's cache of prompt prefixes in limited memory.
#ifndef WASABI_STANDINS_PREFIXCACHE_H
#define WASABI_STANDINS_PREFIXCACHE_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi::standins {

/// Published event: a prefix was stored or evicted.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  std::string Prefix;
  bool Stored = false;
  TimePoint VisibleAt;
};

/// LRU cache of prompts by their first bytes. Not thread-safe.
class PrefixCache {
public:
  struct Settings {
    /// Maximum number of cached prompts.
    std::size_t Entries = 256;
    /// Delay before an event is published.
    Millis EventDelay{200};
    /// Share of events that are dropped.
    double EventLossPercent = 5;
    std::uint64_t Seed = 1;
  };

  explicit PrefixCache(Settings Limits) : Limits(Limits), Random(Limits.Seed) {}

  /// Returns the number of the prompt's bytes that were cached, and caches the
  /// prompt.
  std::size_t matchAndInsert(std::string_view Prompt, TimePoint Now);
  /// Returns the published events with a sequence number of at least `From`.
  std::vector<CacheEvent> eventsSince(std::uint64_t From, TimePoint Now) const;
  /// Returns the sequence number of the next event.
  std::uint64_t nextSequence() const { return Next; }

private:
  struct Entry {
    std::string Name;
    std::string Prompt;
  };
  void publish(const std::string &Name, bool Stored, TimePoint Now);

  const Settings Limits;
  std::minstd_rand Random;
  /// Most recently used first.
  std::list<Entry> Held;
  std::map<std::string, std::list<Entry>::iterator> ByName;
  std::deque<CacheEvent> Events;
  std::uint64_t Next = 0;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_PREFIXCACHE_H
