/// \file
/// The prompt prefixes that an engine holds in its limited memory.
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

/// A prefix stored or evicted, as the engine publishes it.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  std::string Prefix;
  bool Stored = false;
  TimePoint VisibleAt;
};

/// Least recently used prompts, by their first bytes. Not thread-safe.
class PrefixCache {
public:
  struct Settings {
    /// Prompts held.
    std::size_t Entries = 256;
    /// How late an event is published.
    Millis EventDelay{200};
    /// Share of events that are never published.
    double EventLossPercent = 5;
    std::uint64_t Seed = 1;
  };

  explicit PrefixCache(Settings Limits) : Limits(Limits), Random(Limits.Seed) {}

  /// How many of the prompt's bytes are held already; it is held from now on.
  std::size_t use(std::string_view Prompt, TimePoint Now);
  /// The published events with a sequence number of `From` or more.
  std::vector<CacheEvent> eventsSince(std::uint64_t From, TimePoint Now) const;
  /// One more than the last event's number.
  std::uint64_t end() const { return Next; }

private:
  struct Entry {
    std::string Name;
    std::string Prompt;
  };
  void publish(const std::string &Name, bool Stored, TimePoint Now);

  const Settings Limits;
  std::minstd_rand Random;
  /// The last one used comes first.
  std::list<Entry> Held;
  std::map<std::string, std::list<Entry>::iterator> ByName;
  std::deque<CacheEvent> Events;
  std::uint64_t Next = 0;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_PREFIXCACHE_H
