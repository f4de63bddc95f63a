#include "Wasabi/Upstream/ServerSelection.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

double expectedCompletionMs(const UpstreamTable & /*Table*/,
                            const UpstreamServer &Server,
                            const ServiceLoad * /*Others*/, TimePoint /*Now*/) {
  // Assumed until the server's first answer.
  constexpr double DefaultLatencyMs = 30.0;
  double latencyMs = Server.SmoothedLatencyMs > 0 ? Server.SmoothedLatencyMs
                                                  : DefaultLatencyMs;
  double load = static_cast<double>(Server.InFlight + 1) /
                std::max<std::uint32_t>(Server.Entry.Slots, 1);
  return latencyMs * std::max(load, 0.5);
}

std::shared_ptr<UpstreamServer> chooseServer(const UpstreamTable &Table,
                                             const StoreContact &Contact,
                                             const ServerQuery &Query,
                                             TimePoint Now,
                                             std::mt19937_64 & /*Random*/) {
  using Rank = std::tuple<bool, double, bool>;
  std::shared_ptr<UpstreamServer> best;
  Rank bestRank;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Table, Query.Service, Contact, Now)) {
    if (Query.Excluded.contains(it->Entry.incarnation()))
      continue;
    Rank rank{it->SuspectUntil > Now,
              expectedCompletionMs(Table, *it, Query.Others, Now),
              it->Entry.Domain != Query.PreferredDomain};
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

double averageLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const StoreContact &Contact, TimePoint Now) {
  double sum = 0;
  std::uint32_t known = 0;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Table, Service, Contact, Now)) {
    if (it->SmoothedLatencyMs <= 0)
      continue;
    sum += it->SmoothedLatencyMs;
    ++known;
  }
  return known == 0 ? 0 : sum / known;
}

} // namespace wasabi
