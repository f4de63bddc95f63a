#include "Wasabi/Replay/TraceExpectations.h"

#include "Wasabi/Replay/Rules.h"

#include <boost/json.hpp>

#include <algorithm>
#include <initializer_list>

namespace wasabi::replay {

namespace {

namespace json = boost::json;

Result<void> checkMembersKnown(const json::object &value,
                               std::initializer_list<std::string_view> known,
                               const std::string &place) {
  for (const json::key_value_pair &it : value) {
    const std::string_view key(it.key().data(), it.key().size());
    if (std::find(known.begin(), known.end(), key) == known.end())
      return badInput(place + std::string(key), "unknown member");
  }
  return {};
}

Result<double> readNumber(const json::value &value, const std::string &place) {
  json::error_code ec;
  const double number = value.to_number<double>(ec);
  if (ec || number < 0)
    return badInput(place, "not a number of 0 or more");
  return number;
}

Result<std::uint64_t> readCount(const json::value &value,
                                const std::string &place) {
  json::error_code ec;
  const std::uint64_t number = value.to_number<std::uint64_t>(ec);
  if (ec)
    return badInput(place, "not a count");
  return number;
}

Result<std::vector<std::string>> readRules(const json::value &value,
                                           const std::string &place) {
  if (!value.is_array())
    return badInput(place, "not an array");
  std::vector<std::string> rules;
  for (const json::value &it : value.as_array()) {
    const std::string at = place + "/" + std::to_string(rules.size());
    if (!it.is_string())
      return badInput(at, "not a text");
    const std::string name(it.as_string());
    if (findRule(name) == nullptr)
      return badInput(at, "no rule \"" + name +
                              "\"; there are: " + listRuleNames());
    rules.push_back(name);
  }
  return rules;
}

Result<Bounds> readBounds(const json::value &value, const std::string &place) {
  if (!value.is_object())
    return badInput(place, "not an object");
  const json::object &members = value.as_object();
  BOOST_LEAF_CHECK(checkMembersKnown(
      members, {"idle_share", "staleness_max", "leaving_grace_ms"},
      place + "/"));
  Bounds limits;
  if (const json::value *it = members.if_contains("idle_share")) {
    BOOST_LEAF_AUTO(share, readNumber(*it, place + "/idle_share"));
    limits.IdleShare = share;
  }
  if (const json::value *it = members.if_contains("staleness_max")) {
    BOOST_LEAF_AUTO(maxStaleness, readCount(*it, place + "/staleness_max"));
    limits.MaxStaleness = maxStaleness;
  }
  if (const json::value *it = members.if_contains("leaving_grace_ms")) {
    BOOST_LEAF_AUTO(grace, readCount(*it, place + "/leaving_grace_ms"));
    limits.LeavingGracePeriod = Millis(grace);
  }
  return limits;
}

Result<ExpectedEvent> readExpected(const json::value &value,
                                   const std::string &place) {
  if (!value.is_object())
    return badInput(place, "not an object");
  const json::object &members = value.as_object();
  BOOST_LEAF_CHECK(
      checkMembersKnown(members, {"kind", "fields", "at_least"}, place + "/"));
  const json::value *kind = members.if_contains("kind");
  if (kind == nullptr || !kind->is_string())
    return badInput(place + "/kind", "not a text");
  ExpectedEvent expected;
  expected.Kind = std::string(kind->as_string());
  if (const json::value *it = members.if_contains("at_least")) {
    BOOST_LEAF_AUTO(minCount, readCount(*it, place + "/at_least"));
    expected.MinCount = minCount;
  }
  const json::value *fields = members.if_contains("fields");
  if (fields == nullptr)
    return expected;
  if (!fields->is_object())
    return badInput(place + "/fields", "not an object");
  for (const json::key_value_pair &it : fields->as_object()) {
    if (!it.value().is_string())
      return badInput(place + "/fields/" + std::string(it.key()), "not a text");
    expected.Fields.push_back(
        {std::string(it.key()), std::string(it.value().as_string())});
  }
  return expected;
}

} // namespace

Result<TraceExpectations> readExpectations(std::string_view File,
                                           std::string_view Text) {
  const std::string place = std::string(File) + ": ";
  json::error_code ec;
  const json::value parsed = json::parse(Text, ec);
  if (ec)
    return badInput(place + "/", "not JSON: " + ec.message());
  if (!parsed.is_object())
    return badInput(place + "/", "not an object");
  const json::object &members = parsed.as_object();
  BOOST_LEAF_CHECK(
      checkMembersKnown(members, {"rules", "bounds", "expect"}, place + "/"));
  TraceExpectations expectations;
  if (const json::value *it = members.if_contains("rules")) {
    BOOST_LEAF_AUTO(rules, readRules(*it, place + "/rules"));
    expectations.Rules = std::move(rules);
  }
  if (const json::value *it = members.if_contains("bounds")) {
    BOOST_LEAF_AUTO(limits, readBounds(*it, place + "/bounds"));
    expectations.Limits = limits;
  }
  const json::value *expect = members.if_contains("expect");
  if (expect == nullptr)
    return expectations;
  if (!expect->is_array())
    return badInput(place + "/expect", "not an array");
  for (const json::value &it : expect->as_array()) {
    const std::string at =
        place + "/expect/" + std::to_string(expectations.Events.size());
    BOOST_LEAF_AUTO(expected, readExpected(it, at));
    expectations.Events.push_back(std::move(expected));
  }
  return expectations;
}

} // namespace wasabi::replay
