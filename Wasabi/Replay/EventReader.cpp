#include "Wasabi/Replay/EventReader.h"

#include <boost/json.hpp>

#include <array>
#include <limits>

namespace wasabi::replay {

namespace {

namespace json = boost::json;

/// Large enough for a typical event; a larger one allocates on the heap.
constexpr std::size_t ScratchBytes = 8192;

Result<std::uint64_t> readCount(const json::object &object,
                                std::string_view key, std::string_view place) {
  const json::value *found = object.if_contains(key);
  if (found != nullptr && found->is_int64() && found->as_int64() >= 0)
    return static_cast<std::uint64_t>(found->as_int64());
  if (found != nullptr && found->is_uint64())
    return found->as_uint64();
  return badInput(std::string(place),
                  "\"" + std::string(key) + "\" is not a count");
}

Result<std::string> readText(const json::object &object, std::string_view key,
                             std::string_view place) {
  const json::value *found = object.if_contains(key);
  if (found != nullptr && found->is_string())
    return std::string(found->as_string());
  return badInput(std::string(place),
                  "\"" + std::string(key) + "\" is not a text");
}

Result<std::vector<EventField>> readFields(const json::object &object,
                                           std::string_view place) {
  const json::value *found = object.if_contains("fields");
  if (found == nullptr || !found->is_object())
    return badInput(std::string(place), "\"fields\" is not an object");
  std::vector<EventField> fields;
  fields.reserve(found->as_object().size());
  for (const json::key_value_pair &it : found->as_object()) {
    if (!it.value().is_string())
      return badInput(std::string(place),
                      "field \"" + std::string(it.key()) + "\" is not a text");
    fields.push_back(
        {std::string(it.key()), std::string(it.value().as_string())});
  }
  return fields;
}

} // namespace

Result<TimelineEvent> readEvent(std::string_view Line, std::string_view Place) {
  // The parsed value uses a stack buffer and must not outlive this function.
  std::array<unsigned char, ScratchBytes> scratch;
  json::monotonic_resource memory(scratch.data(), scratch.size());
  json::error_code ec;
  const json::value parsed = json::parse(Line, ec, &memory);
  if (ec)
    return badInput(std::string(Place), "not JSON: " + ec.message());
  if (!parsed.is_object())
    return badInput(std::string(Place), "not a JSON object");
  const json::object &object = parsed.as_object();
  BOOST_LEAF_AUTO(wall, readCount(object, "wall", Place));
  BOOST_LEAF_AUTO(count, readCount(object, "count", Place));
  BOOST_LEAF_AUTO(sequence, readCount(object, "seq", Place));
  BOOST_LEAF_AUTO(instance, readText(object, "instance", Place));
  BOOST_LEAF_AUTO(kind, readText(object, "kind", Place));
  BOOST_LEAF_AUTO(fields, readFields(object, Place));
  if (count > std::numeric_limits<std::uint32_t>::max())
    return badInput(std::string(Place), "\"count\" is beyond 32 bits");
  return TimelineEvent{{wall, static_cast<std::uint32_t>(count)},
                       sequence,
                       std::move(instance),
                       std::move(kind),
                       std::move(fields)};
}

} // namespace wasabi::replay
