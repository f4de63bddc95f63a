#include "Wasabi/Usage/UsageRecord.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <stdexcept>

namespace wasabi {

namespace {

namespace json = boost::json;

/// Version of the encoding. Incremented when an older release could misread the
/// new one.
constexpr std::uint64_t Schema = 1;
// The first member of a record is the tag of its type.
constexpr std::string_view BatchTag = "counted";
constexpr std::string_view LeaveTag = "leave";
constexpr std::string_view DecisionTag = "window";
constexpr std::string_view ReportedTag = "told";

std::int64_t millisOf(WallTime At) { return At.time_since_epoch().count(); }

/// Encodes the time of an entry relative to `Through`, which takes fewer
/// digits.
json::value toJson(const UsageBatch &Record) {
  json::array entries;
  for (const UsageEntry &it : Record.Entries) {
    json::array entry{it.Of.Text, (Record.Through - it.At).count()};
    if (it.Count != 1)
      entry.emplace_back(it.Count);
    entries.push_back(std::move(entry));
  }
  return json::array{
      BatchTag,           Schema,          Record.Source.Instance.Text,
      Record.Source.Life, Record.Sequence, millisOf(Record.Through),
      std::move(entries)};
}

json::value toJson(const UsageLeave &Record) {
  return json::array{LeaveTag, Schema, Record.Source.Instance.Text,
                     Record.Source.Life};
}

json::value toJson(const UsageDecision &Record) {
  json::object counts;
  for (const auto &[customer, count] : Record.Counts)
    counts[customer.Text] = count;
  return json::array{DecisionTag, Schema, Record.Window, std::move(counts)};
}

json::value toJson(const UsageReported &Record) {
  return json::array{ReportedTag, Schema, Record.Window};
}

// Boost.JSON throws on a missing member or a wrong type; `decodeUsage` turns
// the exception into an error.

std::string textOf(const json::value &Value) {
  const json::string &text = Value.as_string();
  return std::string(text.data(), text.size());
}

std::uint64_t numberOf(const json::value &Value) {
  return Value.to_number<std::uint64_t>();
}

UsageSource sourceOf(const json::array &Members) {
  return {InstanceName(textOf(Members.at(2))), numberOf(Members.at(3))};
}

UsageRecord readBatch(const json::array &Members) {
  UsageBatch batch;
  batch.Source = sourceOf(Members);
  batch.Sequence = numberOf(Members.at(4));
  batch.Through = WallTime(Millis(Members.at(5).to_number<std::int64_t>()));
  for (const json::value &it : Members.at(6).as_array()) {
    const json::array &entry = it.as_array();
    Millis age(entry.at(1).to_number<std::int64_t>());
    std::int64_t count =
        entry.size() > 2 ? entry.at(2).to_number<std::int64_t>() : 1;
    batch.Entries.push_back(
        {CustomerName(textOf(entry.at(0))), batch.Through - age, count});
  }
  return batch;
}

UsageRecord readDecision(const json::array &Members) {
  UsageDecision decision;
  decision.Window = numberOf(Members.at(2));
  for (const json::key_value_pair &it : Members.at(3).as_object())
    decision.Counts[CustomerName(std::string(it.key()))] = numberOf(it.value());
  return decision;
}

UsageRecord readRecord(const json::array &Members, std::string_view Tag) {
  if (Tag == BatchTag)
    return readBatch(Members);
  if (Tag == LeaveTag)
    return UsageLeave{sourceOf(Members)};
  if (Tag == DecisionTag)
    return readDecision(Members);
  if (Tag == ReportedTag)
    return UsageReported{numberOf(Members.at(2))};
  throw std::invalid_argument("unknown kind '" + std::string(Tag) + "'");
}

} // namespace

std::string encodeUsage(const UsageRecord &Record) {
  return json::serialize(
      std::visit([](const auto &It) { return toJson(It); }, Record));
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

WallTime windowEnd(UsageWindow Window, Millis Length) {
  return WallTime(Length * static_cast<std::int64_t>(Window + 1));
}

} // namespace wasabi
