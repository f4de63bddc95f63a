#include "Wasabi/Dispatch/EngineTopics.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace wasabi {

namespace json = boost::json;

namespace {

/// Delay between two reads of a topic, short compared to a weight load.
constexpr Millis TopicPollDelay{30};

/// Returns the start, or 0 for records of older releases, which have none.
ServerStartTime readStart(JsonReader &Record) {
  return Record.has("start") ? Record.number("start") : 0;
}

} // namespace

std::string encodeWanted(const WantedWeights &Weights) {
  return json::serialize(json::object{
      {"model", Weights.Model.Text},
      {"version", Weights.Version},
      {"mode", Weights.Mode == SwapMode::Finish ? "finish" : "continue"},
      {"start", Weights.Start}});
}

std::string encodeHeld(const HeldWeights &Weights) {
  json::array models;
  for (const auto &[model, version] : Weights.Models)
    models.push_back({{"name", model.Text}, {"version", version}});
  return json::serialize(json::object{{"models", std::move(models)},
                                      {"loading", Weights.Loading},
                                      {"start", Weights.Start}});
}

Result<WantedWeights> decodeWanted(std::string_view Text,
                                   const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader root(value, Place);
  root.allowUnknown();
  WantedWeights wanted;
  wanted.Model = ModelName(root.text("model"));
  wanted.Version = root.number("version");
  bool finish = root.enumIndex("mode", {"continue", "finish"}, true) == 1;
  wanted.Mode = finish ? SwapMode::Finish : SwapMode::Continue;
  wanted.Start = readStart(root);
  BOOST_LEAF_CHECK(root.finish());
  return wanted;
}

Result<HeldWeights> decodeHeld(std::string_view Text,
                               const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader root(value, Place);
  root.allowUnknown();
  HeldWeights held;
  for (JsonReader &it : root.objects("models", false)) {
    it.allowUnknown();
    ModelName name(it.text("name"));
    held.Models[name] = it.number("version");
    root.mergeError(it);
  }
  held.Loading = root.boolean("loading", false);
  held.Start = readStart(root);
  BOOST_LEAF_CHECK(root.finish());
  return held;
}

std::shared_ptr<KeyedFollower> followWanted(
    const FeedContext &Parts,
    std::function<void(const ServerName &, WantedWeights, Offset)> OnChange) {
  return startFeed(
      Parts, WantedTopic, TopicPollDelay,
      [OnChange =
           std::move(OnChange)](const KeyedRecord &Record) -> Result<void> {
        if (!Record.Value)
          return {};
        BOOST_LEAF_AUTO(wanted, decodeWanted(*Record.Value, Record.Key));
        OnChange(ServerName(Record.Key), std::move(wanted), Record.At);
        return {};
      });
}

std::shared_ptr<KeyedFollower> followHeld(
    const FeedContext &Parts,
    std::function<void(const ServerName &, const HeldWeights &)> OnChange) {
  return startFeed(Parts, HeldTopic, TopicPollDelay,
                   [OnChange = std::move(OnChange)](
                       const KeyedRecord &Record) -> Result<void> {
                     if (!Record.Value)
                       return {};
                     BOOST_LEAF_AUTO(held,
                                     decodeHeld(*Record.Value, Record.Key));
                     OnChange(ServerName(Record.Key), held);
                     return {};
                   });
}

} // namespace wasabi
