#include "Wasabi/Adapters/Telemetry/TimelineJson.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

#include <limits>
#include <map>

namespace wasabi {

namespace {

std::string encodeFields(const std::vector<EventField> &Fields) {
  std::string out = "{";
  for (const EventField &it : Fields) {
    if (out.size() > 1)
      out += ',';
    out += quoted(it.Key) + ":" + quoted(it.Value);
  }
  return out + "}";
}

std::vector<EventField> readFields(JsonReader &Reader) {
  std::vector<EventField> out;
  const boost::json::value *value = Reader.requiredValue("fields");
  const boost::json::object *members = value ? value->if_object() : nullptr;
  if (!members) {
    Reader.fail("fields", "must be an object");
    return out;
  }
  for (const boost::json::key_value_pair &member : *members) {
    const boost::json::string *text = member.value().if_string();
    if (!text) {
      Reader.fail("fields", "must hold strings only");
      return out;
    }
    out.push_back({std::string(member.key().data(), member.key().size()),
                   std::string(text->data(), text->size())});
  }
  return out;
}

TimelineEvent readOne(JsonReader &Reader) {
  TimelineEvent out;
  out.At.Wall = Reader.number("wall");
  out.At.Count = static_cast<std::uint32_t>(
      Reader.number("count", 0, std::numeric_limits<std::uint32_t>::max()));
  out.Sequence = Reader.number("seq");
  out.Instance = Reader.text("instance");
  out.Kind = Reader.text("kind");
  out.Fields = readFields(Reader);
  return out;
}

} // namespace

std::string encodeEvent(const TimelineEvent &What) {
  std::string out = "{\"wall\":" + std::to_string(What.At.Wall);
  out += ",\"count\":" + std::to_string(What.At.Count);
  out += ",\"seq\":" + std::to_string(What.Sequence);
  out += ",\"instance\":" + quoted(What.Instance);
  out += ",\"kind\":" + quoted(What.Kind);
  out += ",\"fields\":" + encodeFields(What.Fields);
  return out + "}";
}

std::string encodeTimelinePage(const TimelinePage &What) {
  std::string out = "{\"instance\":" + quoted(What.Instance);
  out += ",\"dropped\":" + std::to_string(What.Dropped) + ",\"events\":[";
  bool first = true;
  for (const TimelineEvent &it : What.Events) {
    if (!first)
      out += ',';
    first = false;
    out += encodeEvent(it);
  }
  return out + "]}";
}

TimelinePage makeTimelinePage(const Timeline &Of, std::uint64_t From) {
  return {Of.instance(), Of.dropped(), Of.since(From)};
}

Result<TimelinePage> decodeTimelinePage(std::string_view Text,
                                        const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader reader(value, Place);
  // A newer process may say more of itself.
  reader.allowUnknown();
  TimelinePage out;
  out.Instance = reader.text("instance");
  out.Dropped = reader.number("dropped");
  for (JsonReader &part : reader.objects("events", true)) {
    out.Events.push_back(readOne(part));
    reader.mergeError(part);
  }
  BOOST_LEAF_CHECK(reader.finish());
  return out;
}

std::string encodeChromeTrace(const std::vector<TimelineEvent> &Events) {
  std::map<std::string, std::size_t> processes;
  for (const TimelineEvent &it : Events)
    processes.try_emplace(it.Instance, processes.size() + 1);

  std::string out = "{\"traceEvents\":[";
  for (const auto &[instance, number] : processes) {
    if (out.back() != '[')
      out += ",\n";
    out += R"({"ph":"M","name":"process_name","pid":)" +
           std::to_string(number) + R"(,"args":{"name":)" + quoted(instance) +
           "}}";
  }
  for (const TimelineEvent &it : Events) {
    // One row for each domain of events: request, claim, sample …
    std::string domain = it.Kind.substr(0, it.Kind.find('.'));
    out += R"(,
{"ph":"i","s":"t","name":)" +
           quoted(it.Kind) + ",\"cat\":" + quoted(domain) +
           ",\"ts\":" + std::to_string(it.At.Wall) +
           ",\"pid\":" + std::to_string(processes.at(it.Instance)) +
           ",\"tid\":" + quoted(domain) +
           ",\"args\":" + encodeFields(it.Fields) + "}";
  }
  return out + "]}\n";
}

} // namespace wasabi
