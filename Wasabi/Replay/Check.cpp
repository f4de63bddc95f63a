#include "Wasabi/Replay/Check.h"

#include <algorithm>
#include <set>

namespace wasabi::replay {

namespace {

/// Maximum number of related events shown; the latest ones are kept.
constexpr std::size_t MaxRelatedEvents = 40;

bool matches(const TimelineEvent &event, const ExpectedEvent &expected) {
  if (event.Kind != expected.Kind)
    return false;
  for (const EventField &it : expected.Fields) {
    if (event.field(it.Key) != it.Value)
      return false;
  }
  return true;
}

std::optional<RuleViolation> checkExpected(const Trace &trace,
                                           const ExpectedEvent &expected) {
  std::uint64_t found = 0;
  for (const TimelineEvent &it : trace.Events)
    found += matches(it, expected) ? 1 : 0;
  if (found >= expected.MinCount)
    return std::nullopt;
  std::string reason = "expected " + std::to_string(expected.MinCount) + " " +
                       expected.Kind + ", found " + std::to_string(found) + ":";
  for (const EventField &it : expected.Fields)
    reason += " " + it.Key + "=" + it.Value;
  return RuleViolation{reason, {}};
}

/// Returns true for a non-empty field that relates events to each other.
bool linksEvents(const EventField &field) {
  static constexpr std::string_view Keys[] = {
      "request", "slot", "key", "resource", "member", "delivery", "server"};
  return !field.Value.empty() && std::find(std::begin(Keys), std::end(Keys),
                                           field.Key) != std::end(Keys);
}

std::set<std::string> findLinks(const Trace &trace,
                                const RuleViolation &violation) {
  std::set<std::string> links;
  for (const std::size_t index : violation.Events) {
    for (const EventField &it : trace.Events[index].Fields) {
      // Ignores the server, which most events name.
      if (linksEvents(it) && it.Key != "server")
        links.insert(it.Key + "=" + it.Value);
    }
  }
  return links;
}

bool isLinked(const TimelineEvent &event, const std::set<std::string> &links) {
  for (const EventField &it : event.Fields) {
    if (linksEvents(it) && links.count(it.Key + "=" + it.Value) != 0)
      return true;
  }
  return false;
}

std::vector<std::size_t> findRelatedEvents(const Trace &trace,
                                           const RuleViolation &violation) {
  if (violation.Events.empty())
    return {};
  const std::set<std::string> links = findLinks(trace, violation);
  std::vector<std::size_t> relatedEvents;
  for (std::size_t index = 0; index < violation.Events.back(); ++index) {
    const bool isOwn =
        std::find(violation.Events.begin(), violation.Events.end(), index) !=
        violation.Events.end();
    if (!isOwn && isLinked(trace.Events[index], links))
      relatedEvents.push_back(index);
  }
  if (relatedEvents.size() > MaxRelatedEvents)
    relatedEvents.erase(relatedEvents.begin(),
                        relatedEvents.end() -
                            static_cast<std::ptrdiff_t>(MaxRelatedEvents));
  return relatedEvents;
}

std::string listEvents(const Trace &trace, std::string_view title,
                       const std::vector<std::size_t> &events) {
  std::string text;
  if (!events.empty())
    text += "  " + std::string(title) + ":\n";
  for (const std::size_t it : events)
    text += "    " + describeEvent(trace.Events[it]) + "\n";
  return text;
}

} // namespace

std::optional<TraceViolation> check(const Trace &Input,
                                    const TraceExpectations &Expectations) {
  std::optional<TraceViolation> first;
  for (const std::string &it : Expectations.Rules) {
    std::optional<RuleViolation> found =
        findRule(it)(Input, Expectations.Limits);
    if (found &&
        (!first || found->Events.back() < first->Details.Events.back()))
      first = TraceViolation{it, std::move(*found), {}};
  }
  for (const ExpectedEvent &it : Expectations.Events) {
    std::optional<RuleViolation> found = checkExpected(Input, it);
    if (found && !first)
      first = TraceViolation{"expect", std::move(*found), {}};
  }
  if (first)
    first->RelatedEvents = findRelatedEvents(Input, first->Details);
  return first;
}

std::string describeViolation(const Trace &Input,
                              const TraceViolation &Violation) {
  std::string text =
      "broken: " + Violation.Rule + ": " + Violation.Details.Reason;
  text += "\n" + listEvents(Input, "events", Violation.Details.Events);
  text += listEvents(Input, "causes", Violation.RelatedEvents);
  return text;
}

} // namespace wasabi::replay
