#include "Wasabi/Rollout/SampleJson.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <cmath>

namespace wasabi {

namespace json = boost::json;

namespace {

std::string memberPath(std::string_view Place, std::string_view Member) {
  return std::string(Place) + "/" + std::string(Member);
}

} // namespace

Result<std::uint64_t> numberMember(const json::object &Object,
                                   std::string_view Member,
                                   std::string_view Place) {
  const json::value *found = Object.if_contains(Member);
  if (found == nullptr)
    return badInput(memberPath(Place, Member), "missing");
  boost::system::error_code ec;
  std::uint64_t n = found->to_number<std::uint64_t>(ec);
  if (ec || found->is_double())
    return badInput(memberPath(Place, Member), "not a non-negative integer");
  return n;
}

Result<double> realMember(const json::object &Object, std::string_view Member,
                          std::string_view Place) {
  const json::value *found = Object.if_contains(Member);
  if (found == nullptr)
    return badInput(memberPath(Place, Member), "missing");
  boost::system::error_code ec;
  double number = found->to_number<double>(ec);
  if (ec || !std::isfinite(number))
    return badInput(memberPath(Place, Member), "not a finite number");
  return number;
}

Result<std::string> textMember(const json::object &Object,
                               std::string_view Member,
                               std::string_view Place) {
  const json::value *found = Object.if_contains(Member);
  if (found == nullptr || !found->is_string())
    return badInput(memberPath(Place, Member), "missing or not a string");
  return std::string(found->get_string());
}

Result<const json::array *> arrayMember(const json::object &Object,
                                        std::string_view Member,
                                        std::string_view Place) {
  const json::value *found = Object.if_contains(Member);
  if (found == nullptr || !found->is_array())
    return badInput(memberPath(Place, Member), "missing or not an array");
  return &found->get_array();
}

Result<json::object> parseObject(std::string_view Text,
                                 std::string_view Place) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Text, ec);
  if (ec)
    return badInput(std::string(Place), "not JSON: " + ec.message());
  if (!parsed.is_object())
    return badInput(std::string(Place), "not an object");
  return std::move(parsed.get_object());
}

json::array toJson(const Label &Spans) {
  json::array array;
  for (const VersionSpan &it : Spans)
    array.push_back(json::object{
        {"from", it.From}, {"to", it.To}, {"weights_version", it.Version}});
  return array;
}

Result<Label> labelFromJson(const json::array &Json, std::string_view Place) {
  Label spans;
  for (const json::value &it : Json) {
    if (!it.is_object())
      return badInput(std::string(Place), "a span is not an object");
    const json::object &span = it.get_object();
    BOOST_LEAF_AUTO(first, numberMember(span, "from", Place));
    BOOST_LEAF_AUTO(last, numberMember(span, "to", Place));
    BOOST_LEAF_AUTO(version, numberMember(span, "weights_version", Place));
    spans.push_back(VersionSpan{static_cast<std::uint32_t>(first),
                                static_cast<std::uint32_t>(last), version});
  }
  return spans;
}

json::object toJson(const Sample &Value) {
  return json::object{
      {"slot", toText(Value.Place)}, {"text", Value.Text},
      {"tokens", Value.Tokens},      {"spans", toJson(Value.Spans)},
      {"score", Value.Score},        {"seed", Value.Seed}};
}

Result<Slot> slotFromJson(const json::value &Json, std::string_view Place) {
  if (!Json.is_string())
    return badInput(std::string(Place), "a slot is not a string");
  std::optional<Slot> slot = slotFromText(Json.get_string());
  if (!slot)
    return badInput(std::string(Place), "a slot is not STEP/GROUP/INDEX");
  return *slot;
}

Result<Sample> sampleFromJson(const json::value &Json, std::string_view Place) {
  if (!Json.is_object())
    return badInput(std::string(Place), "a sample is not an object");
  const json::object &object = Json.get_object();
  Sample sample;
  BOOST_LEAF_AUTO(slot, textMember(object, "slot", Place));
  BOOST_LEAF_ASSIGN(sample.Place, slotFromJson(json::value(slot), Place));
  BOOST_LEAF_ASSIGN(sample.Text, textMember(object, "text", Place));
  BOOST_LEAF_AUTO(tokens, numberMember(object, "tokens", Place));
  sample.Tokens = static_cast<std::uint32_t>(tokens);
  BOOST_LEAF_AUTO(spans, arrayMember(object, "spans", Place));
  BOOST_LEAF_ASSIGN(sample.Spans, labelFromJson(*spans, Place));
  BOOST_LEAF_ASSIGN(sample.Score, realMember(object, "score", Place));
  BOOST_LEAF_ASSIGN(sample.Seed, numberMember(object, "seed", Place));
  return sample;
}

json::array toJson(const std::vector<Slot> &Slots) {
  json::array array;
  for (const Slot &it : Slots)
    array.emplace_back(toText(it));
  return array;
}

Result<std::vector<Slot>> slotsFromJson(const json::array &Json,
                                        std::string_view Place) {
  std::vector<Slot> slots;
  for (const json::value &it : Json) {
    BOOST_LEAF_AUTO(slot, slotFromJson(it, Place));
    slots.push_back(slot);
  }
  return slots;
}

} // namespace wasabi
