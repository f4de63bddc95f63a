#include "Wasabi/Routing/CallerLimits.h"

#include <algorithm>
#include <cmath>

namespace wasabi {
namespace {

/// A bucket that was not used for this long is forgotten.
constexpr Millis IdleSpan{60000};
constexpr char AnyCaller[] = "*";

const CallerLimit *limitOf(const std::map<std::string, CallerLimit> &Declared,
                           const std::string &Caller) {
  std::map<std::string, CallerLimit>::const_iterator it = Declared.find(Caller);
  if (it == Declared.end())
    it = Declared.find(AnyCaller);
  return it == Declared.end() ? nullptr : &it->second;
}

} // namespace

std::size_t countLiveEntries(const View &Members) {
  std::size_t count = 0;
  for (const std::pair<const InstanceName, Member> &it : Members.Members) {
    if (it.second.Kind == Role::Entry && takesWork(it.second))
      ++count;
  }
  return std::max<std::size_t>(count, 1);
}

std::optional<Millis>
CallerLimits::take(const std::map<std::string, CallerLimit> &Declared,
                   const std::string &Caller, std::size_t Entries,
                   TimePoint Now) {
  const CallerLimit *limit = limitOf(Declared, Caller);
  if (!limit)
    return std::nullopt;
  evictIdleBuckets(Now);

  double rate = static_cast<double>(limit->RequestsPerSecond) /
                static_cast<double>(Entries);
  double burst = std::max(1.0, static_cast<double>(limit->Burst) /
                                   static_cast<double>(Entries));
  std::map<std::string, Bucket>::iterator it =
      Buckets.try_emplace(Caller, Bucket{1.0, Now}).first;
  Bucket &bucket = it->second;
  double passed = std::chrono::duration<double>(Now - bucket.At).count();
  bucket.Tokens = std::min(burst, bucket.Tokens + passed * rate);
  bucket.At = Now;
  if (bucket.Tokens >= 1.0) {
    bucket.Tokens -= 1.0;
    return std::nullopt;
  }
  constexpr double MillisPerSecond = 1000.0;
  double wait = (1.0 - bucket.Tokens) / rate * MillisPerSecond;
  return Millis(static_cast<std::int64_t>(std::ceil(wait)));
}

void CallerLimits::evictIdleBuckets(TimePoint Now) {
  if (Now - LastEviction < IdleSpan)
    return;
  LastEviction = Now;
  std::erase_if(Buckets, [&](const std::pair<const std::string, Bucket> &it) {
    return Now - it.second.At > IdleSpan;
  });
}

} // namespace wasabi
