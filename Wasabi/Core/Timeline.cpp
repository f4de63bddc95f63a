#include "Wasabi/Core/Timeline.h"

namespace wasabi {

std::string_view TimelineEvent::field(std::string_view Key) const {
  for (const EventField &it : Fields) {
    if (it.Key == Key)
      return it.Value;
  }
  return {};
}

Timeline::Timeline(std::string Instance, Settings Limits)
    : Instance(std::move(Instance)), Limits(Limits) {}

void Timeline::record(std::string_view Kind, std::vector<EventField> Fields) {
  std::lock_guard<std::mutex> lock(Guard);
  Last = tick(Last, wallMicros());
  Kept.push_back(TimelineEvent{Last, Next, Instance, std::string(Kind),
                               std::move(Fields)});
  ++Next;
  // The ring drops its oldest: what is recent explains the present.
  if (Kept.size() > Limits.Capacity)
    Kept.pop_front();
}

void Timeline::mergeRemoteTime(HybridTime Remote) {
  std::lock_guard<std::mutex> lock(Guard);
  Last = merge(Last, Remote, wallMicros());
}

HybridTime Timeline::now() {
  std::lock_guard<std::mutex> lock(Guard);
  Last = tick(Last, wallMicros());
  return Last;
}

std::vector<TimelineEvent> Timeline::since(std::uint64_t From) const {
  std::lock_guard<std::mutex> lock(Guard);
  std::vector<TimelineEvent> found;
  for (const TimelineEvent &it : Kept) {
    if (it.Sequence >= From)
      found.push_back(it);
  }
  return found;
}

std::uint64_t Timeline::dropped() const {
  std::lock_guard<std::mutex> lock(Guard);
  return Next - Kept.size();
}

} // namespace wasabi
