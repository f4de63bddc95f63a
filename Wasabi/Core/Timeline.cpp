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
  std::lock_guard<std::mutex> lock(Mutex);
  LastTime = tick(LastTime, wallMicros());
  Events.push_back(TimelineEvent{LastTime, NextSequence, Instance,
                                 std::string(Kind), std::move(Fields)});
  ++NextSequence;
  // Drop the oldest event if the ring is full.
  if (Events.size() > Limits.Capacity)
    Events.pop_front();
}

void Timeline::mergeRemoteTime(HybridTime Remote) {
  std::lock_guard<std::mutex> lock(Mutex);
  LastTime = merge(LastTime, Remote, wallMicros());
}

HybridTime Timeline::now() {
  std::lock_guard<std::mutex> lock(Mutex);
  LastTime = tick(LastTime, wallMicros());
  return LastTime;
}

std::vector<TimelineEvent> Timeline::since(std::uint64_t FirstSequence) const {
  std::lock_guard<std::mutex> lock(Mutex);
  std::vector<TimelineEvent> found;
  for (const TimelineEvent &it : Events) {
    if (it.Sequence >= FirstSequence)
      found.push_back(it);
  }
  return found;
}

std::uint64_t Timeline::dropped() const {
  std::lock_guard<std::mutex> lock(Mutex);
  return NextSequence - Events.size();
}

} // namespace wasabi
