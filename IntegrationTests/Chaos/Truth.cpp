#include "IntegrationTests/Chaos/Truth.h"

#include <boost/json.hpp>

namespace wasabi::chaos {

namespace {

namespace json = boost::json;

std::uint64_t countAt(const json::value &from, std::string_view key) {
  const json::value *found =
      from.is_object() ? from.as_object().if_contains(key) : nullptr;
  json::error_code ec;
  const std::uint64_t count =
      found == nullptr ? 0 : found->to_number<std::uint64_t>(ec);
  return ec ? 0 : count;
}

std::string textAt(const json::value &from, std::string_view key) {
  const json::value *found =
      from.is_object() ? from.as_object().if_contains(key) : nullptr;
  if (found == nullptr || !found->is_string())
    return {};
  return std::string(found->as_string());
}

const json::array &arrayAt(const json::value &from, std::string_view key) {
  static const json::array None;
  const json::value *found =
      from.is_object() ? from.as_object().if_contains(key) : nullptr;
  return found != nullptr && found->is_array() ? found->as_array() : None;
}

} // namespace

std::vector<UpstreamRun> parseUpstreamRuns(const json::value &Truth,
                                           const std::string &Server) {
  std::vector<UpstreamRun> runs;
  for (const json::value &it : arrayAt(Truth, "runs"))
    runs.push_back({textAt(it, "path"), Server, countAt(it, "started_us")});
  for (const json::value &it : arrayAt(Truth, "completions"))
    runs.push_back({textAt(it, "prompt"), Server, countAt(it, "started_us")});
  return runs;
}

TrainerTruth parseTrainerTruth(const json::value &Truth) {
  TrainerTruth truth;
  truth.Samples = arrayAt(Truth, "deliveries").size();
  truth.Duplicates = countAt(Truth, "duplicates");
  truth.Stale = countAt(Truth, "stale");
  truth.Mislabelled = countAt(Truth, "mislabelled");
  for (const json::value &it : arrayAt(Truth, "steps")) {
    ++truth.StepsOpened;
    truth.StepsComplete += countAt(it, "whole_us") > 0 ? 1 : 0;
  }
  return truth;
}

} // namespace wasabi::chaos
