#include "Wasabi/Usage/UsageRecord.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <stdexcept>

namespace wasabi {

namespace {

namespace json = boost::json;

/// Raised when an older release could misread what a newer one writes.
constexpr std::uint64_t Schema = 1;
// First member of each record.
constexpr std::string_view BatchTag = "counted";
constexpr std::string_view LeaveTag = "leave";
constexpr std::string_view DecisionTag = "window";
constexpr std::string_view ToldTag = "told";

std::int64_t millisOf(WallTime At) { return At.time_since_epoch().count(); }

/// Entries tell their time as the difference to the batch's: some digits in
/// place of thirteen.
json::value valueOf(const UsageBatch &What) {
  json::array entries;
  for (const UsageEntry &it : What.Entries) {
    json::array entry{it.Of.Text, (What.Through - it.At).count()};
    if (it.Count != 1)
      entry.emplace_back(it.Count);
    entries.push_back(std::move(entry));
  }
  return json::array{BatchTag,          Schema,        What.From.Instance.Text,
                     What.From.Life,    What.Sequence, millisOf(What.Through),
                     std::move(entries)};
}

json::value valueOf(const UsageLeave &What) {
  return json::array{LeaveTag, Schema, What.From.Instance.Text, What.From.Life};
}

json::value valueOf(const UsageDecision &What) {
  json::object counts;
  for (const auto &[customer, count] : What.Counts)
    counts[customer.Text] = count;
  return json::array{DecisionTag, Schema, What.Window, std::move(counts)};
}

json::value valueOf(const UsageReported &What) {
  return json::array{ToldTag, Schema, What.Window};
}

// Missing or mistyped members throw inside of Boost.JSON; `decodeUsage` turns
// that into a result.

std::string textOf(const json::value &From) {
  const json::string &text = From.as_string();
  return std::string(text.data(), text.size());
}

std::uint64_t numberOf(const json::value &From) {
  return From.to_number<std::uint64_t>();
}

UsageSource sourceOf(const json::array &From) {
  return {InstanceName(textOf(From.at(2))), numberOf(From.at(3))};
}

UsageRecord readBatch(const json::array &From) {
  UsageBatch batch;
  batch.From = sourceOf(From);
  batch.Sequence = numberOf(From.at(4));
  batch.Through = WallTime(Millis(From.at(5).to_number<std::int64_t>()));
  for (const json::value &it : From.at(6).as_array()) {
    const json::array &entry = it.as_array();
    Millis before(entry.at(1).to_number<std::int64_t>());
    std::int64_t count =
        entry.size() > 2 ? entry.at(2).to_number<std::int64_t>() : 1;
    batch.Entries.push_back(
        {CustomerName(textOf(entry.at(0))), batch.Through - before, count});
  }
  return batch;
}

UsageRecord readDecision(const json::array &From) {
  UsageDecision decision;
  decision.Window = numberOf(From.at(2));
  for (const json::key_value_pair &it : From.at(3).as_object())
    decision.Counts[CustomerName(std::string(it.key()))] = numberOf(it.value());
  return decision;
}

UsageRecord readRecord(const json::array &From, std::string_view Tag) {
  if (Tag == BatchTag)
    return readBatch(From);
  if (Tag == LeaveTag)
    return UsageLeave{sourceOf(From)};
  if (Tag == DecisionTag)
    return readDecision(From);
  if (Tag == ToldTag)
    return UsageReported{numberOf(From.at(2))};
  throw std::invalid_argument("unknown kind '" + std::string(Tag) + "'");
}

} // namespace

std::string encodeUsage(const UsageRecord &What) {
  return json::serialize(
      std::visit([](const auto &Kind) { return valueOf(Kind); }, What));
}

Result<UsageRecord> decodeUsage(std::string_view Text,
                                const std::string &Place) {
  try {
    json::value value = json::parse({Text.data(), Text.size()});
    const json::array &members = value.as_array();
    std::string tag = textOf(members.at(0));
    if (numberOf(members.at(1)) > Schema)
      return boost::leaf::new_error(Failure{Verdict::NotRun,
                                            FailureCode::NewerSchema,
                                            Place,
                                            "written by a later release",
                                            {}});
    return readRecord(members, tag);
  } catch (const std::exception &Caught) {
    return badInput(Place, Caught.what());
  }
}

UsageWindow windowOf(WallTime At, Millis Length) {
  return static_cast<UsageWindow>(At.time_since_epoch() / Length);
}

WallTime windowEnd(UsageWindow Of, Millis Length) {
  return WallTime(Length * static_cast<std::int64_t>(Of + 1));
}

} // namespace wasabi
