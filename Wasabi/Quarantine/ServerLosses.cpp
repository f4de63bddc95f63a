#include "Wasabi/Quarantine/ServerLosses.h"

#include <utility>

namespace wasabi {

namespace {

bool isValid(const ServerLosses &Losses, const ServerLoss &Loss,
             TimePoint Since, TimePoint Now) {
  return Loss.Holder == Losses.Self || Now - Since < Losses.Limits.Validity;
}

/// Removes the losses of a request for which `Condition` is true. Returns true
/// if there were any.
template <typename Predicate>
bool eraseLosses(ServerLosses &Losses, const RequestDigest &Digest,
                 Predicate Condition) {
  auto it = Losses.Requests.find(Digest);
  if (it == Losses.Requests.end())
    return false;
  std::size_t erased = std::erase_if(it->second, Condition);
  if (it->second.empty())
    Losses.Requests.erase(it);
  return erased > 0;
}

} // namespace

void addLoss(ServerLosses &Losses, const RequestDigest &Digest,
             const ServerIncarnation &Server, bool Isolated, TimePoint Now) {
  Losses.Requests[Digest][{Server, Losses.Self, Isolated}] = Now;
}

bool removeLoss(ServerLosses &Losses, const RequestDigest &Digest,
                const ServerIncarnation &Server) {
  return eraseLosses(Losses, Digest, [&](const auto &It) {
    return It.first.Server == Server && It.first.Holder == Losses.Self;
  });
}

void removeOtherLosses(ServerLosses &Losses, const RequestDigest &Digest) {
  eraseLosses(Losses, Digest,
              [&](const auto &It) { return It.first.Holder != Losses.Self; });
}

std::set<ServerIncarnation>
findNewLosses(const ServerLosses &Losses, const RequestDigest &Digest,
              const std::set<ServerLoss> &Recorded) {
  std::set<ServerIncarnation> found;
  auto known = Losses.Requests.find(Digest);
  for (const ServerLoss &it : Recorded) {
    if (it.Holder != Losses.Self &&
        (known == Losses.Requests.end() || !known->second.contains(it)))
      found.insert(it.Server);
  }
  return found;
}

bool applyLosses(ServerLosses &Losses, const RequestDigest &Digest,
                 const std::set<ServerLoss> &Recorded, TimePoint Now) {
  RequestLosses known;
  auto it = Losses.Requests.find(Digest);
  if (it != Losses.Requests.end())
    known = it->second;
  RequestLosses merged;
  bool differs = false;
  for (const auto &[loss, since] : known) {
    if (loss.Holder != Losses.Self)
      continue;
    merged.emplace(loss, since);
    differs = differs || !Recorded.contains(loss);
  }
  for (const ServerLoss &loss : Recorded) {
    auto earlier = known.find(loss);
    if (loss.Holder != Losses.Self)
      merged.emplace(loss, earlier == known.end() ? Now : earlier->second);
    else
      differs = differs || earlier == known.end();
  }
  if (merged.empty())
    Losses.Requests.erase(Digest);
  else
    Losses.Requests[Digest] = std::move(merged);
  return differs;
}

RequestLosses findLosses(const ServerLosses &Losses,
                         const RequestDigest &Digest, TimePoint Now) {
  RequestLosses found;
  auto it = Losses.Requests.find(Digest);
  if (it == Losses.Requests.end())
    return found;
  for (const auto &[loss, since] : it->second) {
    if (isValid(Losses, loss, since, Now))
      found.emplace(loss, since);
  }
  return found;
}

void evictExpiredLosses(ServerLosses &Losses, TimePoint Now) {
  for (auto it = Losses.Requests.begin(); it != Losses.Requests.end();) {
    std::erase_if(it->second, [&](const auto &Loss) {
      return !isValid(Losses, Loss.first, Loss.second, Now);
    });
    it = it->second.empty() ? Losses.Requests.erase(it) : std::next(it);
  }
}

} // namespace wasabi
