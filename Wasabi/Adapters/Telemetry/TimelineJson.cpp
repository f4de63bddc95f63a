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

TimelineEvent readEvent(JsonReader &Reader) {
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

std::string encodeEvent(const TimelineEvent &Event) {
  std::string out = "{\"wall\":" + std::to_string(Event.At.Wall);
  out += ",\"count\":" + std::to_string(Event.At.Count);
  out += ",\"seq\":" + std::to_string(Event.Sequence);
  out += ",\"instance\":" + quoted(Event.Instance);
  out += ",\"kind\":" + quoted(Event.Kind);
  out += ",\"fields\":" + encodeFields(Event.Fields);
  return out + "}";
}

std::string encodeTimelinePage(const TimelinePage &Page) {
  std::string out = "{\"instance\":" + quoted(Page.Instance);
  out += ",\"dropped\":" + std::to_string(Page.Dropped) + ",\"events\":[";
  bool first = true;
  for (const TimelineEvent &it : Page.Events) {
    if (!first)
      out += ',';
    first = false;
    out += encodeEvent(it);
  }
  return out + "]}";
}

TimelinePage makeTimelinePage(const Timeline &Source,
                              std::uint64_t FirstSequence) {
  return {Source.instance(), Source.dropped(), Source.since(FirstSequence)};
}

Result<TimelinePage> decodeTimelinePage(std::string_view Text,
                                        const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader reader(value, Place);
  // Newer processes may add members.
  reader.allowUnknown();
  TimelinePage out;
  out.Instance = reader.text("instance");
  out.Dropped = reader.number("dropped");
  for (JsonReader &part : reader.objects("events", true)) {
    out.Events.push_back(readEvent(part));
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
    // One row per domain of events, for example `request` or `sample`.
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
