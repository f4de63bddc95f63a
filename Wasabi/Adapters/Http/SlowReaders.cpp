#include "Wasabi/Adapters/Http/SlowReaders.h"

#include <algorithm>
#include <numeric>

namespace wasabi::http {

SendProgress recordSent(SendProgress Progress, std::uint64_t Bytes,
                        TimePoint Now) {
  if (!Progress.Pending)
    Progress.LastProgress = Now;
  Progress.Sent += Bytes;
  Progress.Pending = true;
  return Progress;
}

SendProgress observeQueue(SendProgress Progress, std::uint64_t Unacknowledged,
                          bool IsWriting, TimePoint Now) {
  std::uint64_t taken = Progress.Sent - std::min(Unacknowledged, Progress.Sent);
  // While the queue is empty, the server is late, not the peer.
  if (taken > Progress.Taken || Unacknowledged == 0)
    Progress.LastProgress = Now;
  Progress.Taken = std::max(Progress.Taken, taken);
  Progress.Pending = IsWriting || Unacknowledged > 0;
  return Progress;
}

bool isStalled(const SendProgress &Progress, Millis Timeout, TimePoint Now) {
  return Progress.Pending && Now - Progress.LastProgress >= Timeout;
}

std::vector<std::size_t> chooseResets(const std::vector<HeldResponse> &Held,
                                      std::uint64_t MaxBytes,
                                      std::optional<std::size_t> Kept) {
  std::uint64_t total = 0;
  for (const HeldResponse &it : Held)
    total += it.Bytes;
  std::vector<std::size_t> resets;
  if (MaxBytes == 0 || total <= MaxBytes)
    return resets;
  std::vector<std::size_t> order(Held.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&Held](std::size_t Left, std::size_t Right) {
                     const HeldResponse &left = Held[Left];
                     const HeldResponse &right = Held[Right];
                     if (left.LastProgress != right.LastProgress)
                       return left.LastProgress < right.LastProgress;
                     return left.Bytes > right.Bytes;
                   });
  for (std::size_t it : order) {
    if (total <= MaxBytes)
      break;
    if (it == Kept || Held[it].Bytes == 0)
      continue;
    total -= Held[it].Bytes;
    resets.push_back(it);
  }
  return resets;
}

namespace {

/// Part of the maximum that large bodies leave to others.
constexpr std::uint64_t ReservedDivisor = 16;

} // namespace

bool isLargeBody(const HeldTotals &Totals, std::uint64_t BodyBytes) {
  return BodyBytes > SmallBodyBytes &&
         BodyBytes > Totals.MaxBytes / ReservedDivisor;
}

HeldTotals addBody(HeldTotals Totals, std::uint64_t BodyBytes) {
  if (BodyBytes > SmallBodyBytes)
    Totals.RequestBytes += BodyBytes;
  if (isLargeBody(Totals, BodyBytes))
    Totals.LargeRequestBytes += BodyBytes;
  return Totals;
}

HeldTotals removeBody(HeldTotals Totals, std::uint64_t BodyBytes) {
  if (BodyBytes > SmallBodyBytes)
    Totals.RequestBytes -= BodyBytes;
  if (isLargeBody(Totals, BodyBytes))
    Totals.LargeRequestBytes -= BodyBytes;
  return Totals;
}

bool fitsRequestBody(const HeldTotals &Totals, std::uint64_t BodyBytes) {
  if (Totals.MaxBytes == 0 || BodyBytes <= SmallBodyBytes ||
      Totals.RequestBytes == 0)
    return true;
  std::uint64_t reserved = Totals.MaxBytes / ReservedDivisor;
  std::uint64_t sum = Totals.RequestBytes + BodyBytes;
  if (!isLargeBody(Totals, BodyBytes))
    return sum <= Totals.MaxBytes || sum - Totals.LargeRequestBytes <= reserved;
  bool isOnlyLarge = Totals.LargeRequestBytes == 0;
  return sum <= Totals.MaxBytes - (isOnlyLarge ? 0 : reserved);
}

bool shouldShed(const HeldTotals &Totals, std::uint64_t BodyBytes) {
  bool full = Totals.MaxBytes > 0 && Totals.ResponseBytes > Totals.MaxBytes;
  return full || !fitsRequestBody(Totals, BodyBytes);
}

} // namespace wasabi::http
