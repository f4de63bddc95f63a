#include "IntegrationTests/Chaos/AnswerCheck.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <cstdio>
#include <optional>

namespace wasabi::chaos {

namespace {

namespace json = boost::json;

constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view EventEnd = "\n\n";

std::string hexOf(std::uint64_t value, int digits) {
  constexpr std::size_t Longest = 17;
  char text[Longest];
  std::snprintf(text, sizeof(text), "%0*llx", digits,
                static_cast<unsigned long long>(value));
  return text;
}

/// Returns token `position` of the text that a weight version generates for a
/// prompt and seed: docs/PLATFORM.md.
std::string tokenText(std::string_view prompt, std::uint64_t seed,
                      std::uint64_t position, std::uint64_t version) {
  std::string key(prompt);
  for (const std::uint64_t it : {seed, position, version}) {
    key += '\0';
    key += std::to_string(it);
  }
  constexpr std::uint64_t SixDigits = 0xffffff;
  return " " + hexOf(XXH64(key.data(), key.size(), 0) & SixDigits, 6);
}

std::uint64_t countAt(const json::object &from, std::string_view key) {
  const json::value *found = from.if_contains(key);
  json::error_code ec;
  const std::uint64_t count =
      found == nullptr ? 0 : found->to_number<std::uint64_t>(ec);
  return ec ? 0 : count;
}

std::string textAt(const json::object &from, std::string_view key) {
  const json::value *found = from.if_contains(key);
  if (found == nullptr || !found->is_string())
    return {};
  return std::string(found->as_string());
}

std::optional<json::object> parseObject(std::string_view text) {
  json::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.as_object());
}

std::string expectedText(std::string_view prompt, std::uint64_t seed,
                         std::uint64_t from, std::uint64_t to,
                         std::uint64_t version) {
  std::string text;
  for (std::uint64_t n = from; n < to; ++n)
    text += tokenText(prompt, seed, n, version);
  return text;
}

/// State of a completion's event stream up to the last checked event.
struct StreamState {
  std::uint64_t Position = 0;
  bool Counted = false;
  bool Done = false;
};

std::string checkChunk(StreamState &state, const json::object &chunk,
                       std::string_view prompt, std::uint64_t seed) {
  if (chunk.contains("done")) {
    state.Counted = true;
    if (countAt(chunk, "tokens") != state.Position)
      return "the count does not match the tokens";
    return {};
  }
  if (state.Counted)
    return "tokens after the count";
  const std::uint64_t from = countAt(chunk, "position");
  const std::uint64_t to = from + countAt(chunk, "tokens");
  if (from != state.Position || to == from)
    return "a gap or repeat at token " + std::to_string(state.Position);
  const std::uint64_t version = countAt(chunk, "weights_version");
  if (textAt(chunk, "text") != expectedText(prompt, seed, from, to, version))
    return "another text at token " + std::to_string(from);
  state.Position = to;
  return {};
}

std::string checkEvent(StreamState &state, std::string_view event,
                       std::string_view prompt, std::uint64_t seed) {
  if (event.substr(0, EventPrefix.size()) != EventPrefix)
    return "an event without data";
  event.remove_prefix(EventPrefix.size());
  if (state.Done)
    return "an event after the end";
  if (event == "[DONE]") {
    state.Done = true;
    return {};
  }
  const std::optional<json::object> chunk = parseObject(event);
  if (!chunk)
    return "an event that is no JSON object";
  return checkChunk(state, *chunk, prompt, seed);
}

} // namespace

std::string findPlainAnswerError(std::string_view Answer,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body) {
  const std::optional<json::object> answer = parseObject(Answer);
  if (!answer)
    return "not a JSON object";
  if (textAt(*answer, "method") != Method)
    return "another method";
  if (textAt(*answer, "path") != Path)
    return "another path: " + textAt(*answer, "path");
  constexpr int HashDigits = 16;
  if (textAt(*answer, "body_hash") !=
      hexOf(XXH64(Body.data(), Body.size(), 0), HashDigits))
    return "another body";
  return {};
}

std::string findCompletionError(std::string_view Answer,
                                std::string_view Prompt, std::uint64_t Seed) {
  const std::optional<json::object> answer = parseObject(Answer);
  if (!answer)
    return "not a JSON object";
  const json::value *spans = answer->if_contains("spans");
  if (spans == nullptr || !spans->is_array())
    return "no spans";
  std::string text;
  std::uint64_t next = 0;
  for (const json::value &it : spans->as_array()) {
    if (!it.is_object())
      return "a span that is no object";
    const std::uint64_t from = countAt(it.as_object(), "from");
    const std::uint64_t to = countAt(it.as_object(), "to");
    if (from != next)
      return "spans with a gap";
    text += expectedText(Prompt, Seed, from, to,
                         countAt(it.as_object(), "weights_version"));
    next = to;
  }
  if (next == 0 || countAt(*answer, "tokens") != next)
    return "the count does not match the spans";
  return textAt(*answer, "text") == text ? std::string() : "another text";
}

std::string findStreamError(std::string_view Events, std::string_view Prompt,
                            std::uint64_t Seed) {
  StreamState state;
  while (!Events.empty()) {
    const std::size_t end = Events.find(EventEnd);
    if (end == std::string_view::npos)
      return "it ends inside an event";
    std::string fault = checkEvent(state, Events.substr(0, end), Prompt, Seed);
    if (!fault.empty())
      return fault;
    Events.remove_prefix(end + EventEnd.size());
  }
  return state.Counted && state.Done ? std::string() : "it ends too early";
}

} // namespace wasabi::chaos
