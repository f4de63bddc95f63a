#include "IntegrationTests/Chaos/Observer.h"

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Waiting.h"
#include "Wasabi/Adapters/Telemetry/TimelineJson.h"

namespace wasabi::chaos {

namespace {

constexpr Millis BalancerInterval{100};
constexpr Millis ReadinessTimeout{300};
constexpr Millis TimelineInterval{300};
constexpr Millis TimelineTimeout{1000};

} // namespace

Observer::Observer(Cluster &Target, CallerLoad &Load)
    : Target(Target), Load(Load), BalancerThread([this] { balancerLoop(); }),
      TimelineThread([this] { timelineLoop(); }) {}

Observer::~Observer() { stop(); }

void Observer::stop() {
  Ending = true;
  if (BalancerThread.joinable())
    BalancerThread.join();
  if (TimelineThread.joinable())
    TimelineThread.join();
}

void Observer::balancerLoop() {
  while (!Ending) {
    std::vector<Address> ready;
    for (const std::unique_ptr<ProcessSlot> &it : Target.Entries) {
      const Address admin = Cluster::adminAddress(*it);
      if (!admin.empty() &&
          harness::getText(admin, "/readyz", ReadinessTimeout))
        ready.push_back(Cluster::httpAddress(*it));
    }
    Load.setEntries(std::move(ready));
    harness::waitUntil([this] { return Ending.load(); }, BalancerInterval);
  }
}

void Observer::timelineLoop() {
  while (!Ending) {
    for (const std::unique_ptr<ProcessSlot> &it : Target.Daemons)
      readTimeline(*it);
    for (const std::unique_ptr<ProcessSlot> &it : Target.Entries)
      readTimeline(*it);
    harness::waitUntil([this] { return Ending.load(); }, TimelineInterval);
  }
}

void Observer::readTimeline(const ProcessSlot &Slot) {
  const Address admin = Cluster::adminAddress(Slot);
  if (admin.empty())
    return;
  std::uint64_t &next = NextSequence[admin];
  const Outcome<std::string> text = harness::getText(
      admin, "/timeline?from=" + std::to_string(next), TimelineTimeout);
  if (!text)
    return;
  const Outcome<TimelinePage> page = toOutcome<TimelinePage>(
      [&] { return decodeTimelinePage(*text, Slot.Instance); });
  if (!page || page->Events.empty())
    return;
  next = page->Events.back().Sequence + 1;
  Events.insert(Events.end(), page->Events.begin(), page->Events.end());
}

std::vector<TimelineEvent> Observer::finish() {
  stop();
  for (const std::unique_ptr<ProcessSlot> &it : Target.Daemons)
    readTimeline(*it);
  for (const std::unique_ptr<ProcessSlot> &it : Target.Entries)
    readTimeline(*it);
  return Events;
}

} // namespace wasabi::chaos
