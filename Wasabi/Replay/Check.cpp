#include "Wasabi/Replay/Check.h"

#include <algorithm>
#include <set>

namespace wasabi::replay {

namespace {

/// Most causes shown; the latest are nearest to what broke.
constexpr std::size_t MaxCauses = 40;

bool matches(const TimelineEvent &what, const ExpectedEvent &expected) {
  if (what.Kind != expected.Kind)
    return false;
  for (const EventField &it : expected.Fields) {
    if (what.field(it.Key) != it.Value)
      return false;
  }
  return true;
}

std::optional<RuleViolation> checkExpected(const Trace &from,
                                           const ExpectedEvent &expected) {
  std::uint64_t found = 0;
  for (const TimelineEvent &it : from.Events)
    found += matches(it, expected) ? 1 : 0;
  if (found >= expected.MinCount)
    return std::nullopt;
  std::string reason = "expected " + std::to_string(expected.MinCount) + " " +
                       expected.Kind + ", found " + std::to_string(found) + ":";
  for (const EventField &it : expected.Fields)
    reason += " " + it.Key + "=" + it.Value;
  return RuleViolation{reason, {}};
}

/// The fields by which one event leads to another.
bool linksEvents(const EventField &what) {
  static constexpr std::string_view Keys[] = {
      "request", "slot", "key", "resource", "member", "delivery", "server"};
  return !what.Value.empty() && std::find(std::begin(Keys), std::end(Keys),
                                          what.Key) != std::end(Keys);
}

std::set<std::string> linksOf(const Trace &from, const RuleViolation &what) {
  std::set<std::string> links;
  for (const std::size_t at : what.Events) {
    for (const EventField &it : from.Events[at].Fields) {
      // A server is in most events: it only leads on where nothing else does.
      if (linksEvents(it) && it.Key != "server")
        links.insert(it.Key + "=" + it.Value);
    }
  }
  return links;
}

bool isLinked(const TimelineEvent &what, const std::set<std::string> &links) {
  for (const EventField &it : what.Fields) {
    if (linksEvents(it) && links.count(it.Key + "=" + it.Value) != 0)
      return true;
  }
  return false;
}

std::vector<std::size_t> findCauses(const Trace &from,
                                    const RuleViolation &what) {
  if (what.Events.empty())
    return {};
  const std::set<std::string> links = linksOf(from, what);
  std::vector<std::size_t> causes;
  for (std::size_t at = 0; at < what.Events.back(); ++at) {
    const bool isOwn = std::find(what.Events.begin(), what.Events.end(), at) !=
                       what.Events.end();
    if (!isOwn && isLinked(from.Events[at], links))
      causes.push_back(at);
  }
  if (causes.size() > MaxCauses)
    causes.erase(causes.begin(),
                 causes.end() - static_cast<std::ptrdiff_t>(MaxCauses));
  return causes;
}

std::string listEvents(const Trace &from, std::string_view title,
                       const std::vector<std::size_t> &events) {
  std::string text;
  if (!events.empty())
    text += "  " + std::string(title) + ":\n";
  for (const std::size_t it : events)
    text += "    " + describeEvent(from.Events[it]) + "\n";
  return text;
}

} // namespace

std::optional<TraceViolation> check(const Trace &From,
                                    const TraceExpectations &Against) {
  std::optional<TraceViolation> first;
  for (const std::string &it : Against.Rules) {
    std::optional<RuleViolation> found = findRule(it)(From, Against.Limits);
    if (found && (!first || found->Events.back() < first->What.Events.back()))
      first = TraceViolation{it, std::move(*found), {}};
  }
  for (const ExpectedEvent &it : Against.Expect) {
    std::optional<RuleViolation> found = checkExpected(From, it);
    if (found && !first)
      first = TraceViolation{"expect", std::move(*found), {}};
  }
  if (first)
    first->RelatedEvents = findCauses(From, first->What);
  return first;
}

std::string describeViolation(const Trace &From, const TraceViolation &Broken) {
  std::string text = "broken: " + Broken.Rule + ": " + Broken.What.Reason;
  text += "\n" + listEvents(From, "events", Broken.What.Events);
  text += listEvents(From, "causes", Broken.RelatedEvents);
  return text;
}

} // namespace wasabi::replay
