#include "Wasabi/Replay/Trace.h"

#include "Wasabi/Replay/EventReader.h"

#include <algorithm>
#include <tuple>

namespace wasabi::replay {

namespace {

bool isBefore(const TimelineEvent &left, const TimelineEvent &right) {
  return std::tie(left.At, left.Instance, left.Sequence) <
         std::tie(right.At, right.Instance, right.Sequence);
}

} // namespace

Trace makeTrace(std::vector<TimelineEvent> Events) {
  std::stable_sort(Events.begin(), Events.end(), isBefore);
  return Trace{std::move(Events)};
}

Result<Trace> readTrace(std::string_view File, std::string_view Text) {
  std::vector<TimelineEvent> events;
  std::size_t number = 0;
  while (!Text.empty()) {
    const std::size_t end = Text.find('\n');
    const std::string_view line = Text.substr(0, end);
    Text.remove_prefix(end == std::string_view::npos ? Text.size() : end + 1);
    ++number;
    if (line.find_first_not_of(" \t\r") == std::string_view::npos)
      continue;
    const std::string place = std::string(File) + ":" + std::to_string(number);
    BOOST_LEAF_AUTO(event, readEvent(line, place));
    events.push_back(std::move(event));
  }
  return makeTrace(std::move(events));
}

std::string describeEvent(const TimelineEvent &Event) {
  std::string text = std::to_string(Event.At.Wall);
  text += "." + std::to_string(Event.At.Count);
  text += " " + Event.Instance + "#" + std::to_string(Event.Sequence);
  text += " " + Event.Kind;
  for (const EventField &it : Event.Fields)
    text += " " + it.Key + "=" + it.Value;
  return text;
}

} // namespace wasabi::replay
