#include "Wasabi/Replay/TraceExpectations.h"

#include "Wasabi/Replay/Rules.h"

#include <boost/json.hpp>

#include <algorithm>
#include <initializer_list>

namespace wasabi::replay {

namespace {

namespace json = boost::json;

Result<void> onlyKnown(const json::object &from,
                       std::initializer_list<std::string_view> known,
                       const std::string &place) {
  for (const json::key_value_pair &it : from) {
    const std::string_view key(it.key().data(), it.key().size());
    if (std::find(known.begin(), known.end(), key) == known.end())
      return badInput(place + std::string(key), "unknown member");
  }
  return {};
}

Result<double> readNumber(const json::value &from, const std::string &place) {
  json::error_code ec;
  const double number = from.to_number<double>(ec);
  if (ec || number < 0)
    return badInput(place, "not a number of 0 or more");
  return number;
}

Result<std::uint64_t> readCount(const json::value &from,
                                const std::string &place) {
  json::error_code ec;
  const std::uint64_t number = from.to_number<std::uint64_t>(ec);
  if (ec)
    return badInput(place, "not a count");
  return number;
}

Result<std::vector<std::string>> readRules(const json::value &from,
                                           const std::string &place) {
  if (!from.is_array())
    return badInput(place, "not an array");
  std::vector<std::string> rules;
  for (const json::value &it : from.as_array()) {
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

Result<Bounds> readBounds(const json::value &from, const std::string &place) {
  if (!from.is_object())
    return badInput(place, "not an object");
  const json::object &members = from.as_object();
  BOOST_LEAF_CHECK(
      onlyKnown(members, {"idle_share", "staleness_max", "leaving_grace_ms"},
                place + "/"));
  Bounds limits;
  if (const json::value *it = members.if_contains("idle_share")) {
    BOOST_LEAF_AUTO(share, readNumber(*it, place + "/idle_share"));
    limits.IdleShare = share;
  }
  if (const json::value *it = members.if_contains("staleness_max")) {
    BOOST_LEAF_AUTO(most, readCount(*it, place + "/staleness_max"));
    limits.StalenessMax = most;
  }
  if (const json::value *it = members.if_contains("leaving_grace_ms")) {
    BOOST_LEAF_AUTO(grace, readCount(*it, place + "/leaving_grace_ms"));
    limits.LeavingGracePeriod = Millis(grace);
  }
  return limits;
}

Result<ExpectedEvent> readExpected(const json::value &from,
                                   const std::string &place) {
  if (!from.is_object())
    return badInput(place, "not an object");
  const json::object &members = from.as_object();
  BOOST_LEAF_CHECK(
      onlyKnown(members, {"kind", "fields", "at_least"}, place + "/"));
  const json::value *kind = members.if_contains("kind");
  if (kind == nullptr || !kind->is_string())
    return badInput(place + "/kind", "not a text");
  ExpectedEvent expected;
  expected.Kind = std::string(kind->as_string());
  if (const json::value *it = members.if_contains("at_least")) {
    BOOST_LEAF_AUTO(fewest, readCount(*it, place + "/at_least"));
    expected.MinCount = fewest;
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
  const json::value whole = json::parse(Text, ec);
  if (ec)
    return badInput(place + "/", "not JSON: " + ec.message());
  if (!whole.is_object())
    return badInput(place + "/", "not an object");
  const json::object &members = whole.as_object();
  BOOST_LEAF_CHECK(
      onlyKnown(members, {"rules", "bounds", "expect"}, place + "/"));
  TraceExpectations outcomes;
  if (const json::value *it = members.if_contains("rules")) {
    BOOST_LEAF_AUTO(rules, readRules(*it, place + "/rules"));
    outcomes.Rules = std::move(rules);
  }
  if (const json::value *it = members.if_contains("bounds")) {
    BOOST_LEAF_AUTO(limits, readBounds(*it, place + "/bounds"));
    outcomes.Limits = limits;
  }
  const json::value *expect = members.if_contains("expect");
  if (expect == nullptr)
    return outcomes;
  if (!expect->is_array())
    return badInput(place + "/expect", "not an array");
  for (const json::value &it : expect->as_array()) {
    const std::string at =
        place + "/expect/" + std::to_string(outcomes.Expect.size());
    BOOST_LEAF_AUTO(expected, readExpected(it, at));
    outcomes.Expect.push_back(std::move(expected));
  }
  return outcomes;
}

} // namespace wasabi::replay
