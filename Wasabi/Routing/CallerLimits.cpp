#include "Wasabi/Routing/CallerLimits.h"

#include <algorithm>
#include <cmath>

namespace wasabi {
namespace {

/// Buckets that are unused for longer are removed.
constexpr Millis BucketIdleTimeout{60000};
constexpr char AnyCaller[] = "*";

const CallerLimit *findLimit(const std::map<std::string, CallerLimit> &Declared,
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
  const CallerLimit *limit = findLimit(Declared, Caller);
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
  double elapsedSeconds =
      std::chrono::duration<double>(Now - bucket.RefilledAt).count();
  bucket.Tokens = std::min(burst, bucket.Tokens + elapsedSeconds * rate);
  bucket.RefilledAt = Now;
  if (bucket.Tokens >= 1.0) {
    bucket.Tokens -= 1.0;
    return std::nullopt;
  }
  constexpr double MillisPerSecond = 1000.0;
  double wait = (1.0 - bucket.Tokens) / rate * MillisPerSecond;
  return Millis(static_cast<std::int64_t>(std::ceil(wait)));
}

void CallerLimits::evictIdleBuckets(TimePoint Now) {
  if (Now - LastEviction < BucketIdleTimeout)
    return;
  LastEviction = Now;
  std::erase_if(Buckets, [&](const std::pair<const std::string, Bucket> &it) {
    return Now - it.second.RefilledAt > BucketIdleTimeout;
  });
}

} // namespace wasabi
