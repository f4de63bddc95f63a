#include "IntegrationTests/Chaos/Observer.h"

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Adapters/Telemetry/TimelineJson.h"

namespace wasabi::chaos {

namespace {

constexpr Millis BalancerPeriod{100};
constexpr Millis BalancerPatience{300};
constexpr Millis GatherPeriod{300};
constexpr Millis GatherPatience{1000};

} // namespace

Observer::Observer(Cluster &Of, CallerLoad &Load)
    : Of(Of), Load(Load), Balancer([this] { balancerLoop(); }),
      TimelineThread([this] { timelineLoop(); }) {}

Observer::~Observer() { stop(); }

void Observer::stop() {
  Ending = true;
  if (Balancer.joinable())
    Balancer.join();
  if (TimelineThread.joinable())
    TimelineThread.join();
}

void Observer::balancerLoop() {
  while (!Ending) {
    std::vector<Address> ready;
    for (const std::unique_ptr<Slot> &it : Of.Entries) {
      const Address admin = Cluster::adminAddress(*it);
      if (!admin.empty() &&
          harness::getText(admin, "/readyz", BalancerPatience))
        ready.push_back(Cluster::httpAddress(*it));
    }
    Load.setEntries(std::move(ready));
    harness::waitUntil([this] { return Ending.load(); }, BalancerPeriod);
  }
}

void Observer::timelineLoop() {
  while (!Ending) {
    for (const std::unique_ptr<Slot> &it : Of.Daemons)
      gather(*it);
    for (const std::unique_ptr<Slot> &it : Of.Entries)
      gather(*it);
    harness::waitUntil([this] { return Ending.load(); }, GatherPeriod);
  }
}

void Observer::gather(const Slot &Which) {
  const Address admin = Cluster::adminAddress(Which);
  if (admin.empty())
    return;
  std::uint64_t &next = Next[admin];
  const Outcome<std::string> text = harness::getText(
      admin, "/timeline?from=" + std::to_string(next), GatherPatience);
  if (!text)
    return;
  const Outcome<TimelinePage> page = toOutcome<TimelinePage>(
      [&] { return decodeTimelinePage(*text, Which.Instance); });
  if (!page || page->Events.empty())
    return;
  next = page->Events.back().Sequence + 1;
  Events.insert(Events.end(), page->Events.begin(), page->Events.end());
}

std::vector<TimelineEvent> Observer::finish() {
  stop();
  for (const std::unique_ptr<Slot> &it : Of.Daemons)
    gather(*it);
  for (const std::unique_ptr<Slot> &it : Of.Entries)
    gather(*it);
  return Events;
}

} // namespace wasabi::chaos
