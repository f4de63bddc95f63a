#include "Wasabi/Routing/CompletionStream.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <optional>

namespace wasabi {
namespace {

namespace json = boost::json;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view DoneMarker = "[DONE]";
/// Size of the stack buffer that JSON events are parsed into.
constexpr std::size_t ParseBufferBytes = 4096;

Failure makeStreamFailure(std::string Reason) {
  return Failure{Verdict::Ran,
                 FailureCode::ConnectionLost,
                 "event stream",
                 std::move(Reason),
                 {}};
}

/// Returns the member `Name` as an unsigned number; empty if it is absent or
/// has another type.
std::optional<std::uint64_t> findCount(const json::object &Object,
                                       std::string_view Name) {
  const json::value *found = Object.if_contains(Name);
  if (!found)
    return std::nullopt;
  boost::system::error_code ec;
  std::uint64_t count = found->to_number<std::uint64_t>(ec);
  if (ec)
    return std::nullopt;
  return count;
}

Outcome<CompletionProgress> applyChunk(CompletionProgress Progress,
                                       const json::object &Chunk) {
  std::optional<std::uint64_t> position = findCount(Chunk, "position");
  std::optional<std::uint64_t> tokens = findCount(Chunk, "tokens");
  const json::value *text = Chunk.if_contains("text");
  if (!position || !tokens || !text || !text->is_string())
    return makeStreamFailure(
        "an event lacks \"position\", \"tokens\" or \"text\"");
  if (Progress.CountConfirmed || *position != Progress.Position)
    return makeStreamFailure(
        "tokens from " + std::to_string(*position) + " where token " +
        std::to_string(Progress.Position) + " was expected");
  Progress.Position += *tokens;
  Progress.Text += std::string_view(text->get_string());
  return Progress;
}

Outcome<CompletionProgress> applyFinalCount(CompletionProgress Progress,
                                            const json::object &FinalEvent) {
  std::optional<std::uint64_t> tokens = findCount(FinalEvent, "tokens");
  if (!tokens || *tokens != Progress.Position)
    return makeStreamFailure("the stream ended after " +
                             std::to_string(Progress.Position) +
                             " tokens, which differs from the engine's count");
  Progress.CountConfirmed = true;
  return Progress;
}

} // namespace

std::vector<std::string> EventSplitter::feed(std::string_view Bytes) {
  Buffer += Bytes;
  std::vector<std::string> events;
  std::size_t begin = 0;
  for (;;) {
    std::size_t end = Buffer.find(EventEnd, begin);
    if (end == std::string::npos)
      break;
    end += EventEnd.size();
    events.push_back(Buffer.substr(begin, end - begin));
    begin = end;
  }
  Buffer.erase(0, begin);
  return events;
}

Outcome<CompletionProgress> parseInitialProgress(std::string_view RequestBody) {
  Failure failure{Verdict::NotRun,
                  FailureCode::BadInput,
                  "body",
                  "the request body is not a JSON object",
                  {}};
  boost::system::error_code ec;
  json::value parsed = json::parse(RequestBody, ec);
  if (ec || !parsed.is_object())
    return failure;
  CompletionProgress progress;
  const json::value *resume = parsed.get_object().if_contains("resume");
  if (!resume || resume->is_null())
    return progress;
  if (!resume->is_object()) {
    failure.Reason = "\"resume\" is not an object";
    return failure;
  }
  progress.Position = findCount(resume->get_object(), "position").value_or(0);
  const json::value *text = resume->get_object().if_contains("text");
  if (text && text->is_string())
    progress.Text = std::string(text->get_string());
  return progress;
}

Outcome<CompletionProgress> applyStreamEvent(CompletionProgress Progress,
                                             std::string_view Event) {
  // Only data fields advance the progress; comments and other fields pass.
  if (!Event.starts_with(DataPrefix))
    return Progress;
  std::string_view data = Event.substr(DataPrefix.size());
  data = data.substr(0, data.find('\n'));
  if (data == DoneMarker) {
    if (!Progress.CountConfirmed)
      return makeStreamFailure(
          "the stream ended without the engine's token count");
    Progress.Done = true;
    return Progress;
  }
  unsigned char buf[ParseBufferBytes];
  json::monotonic_resource memory(buf);
  boost::system::error_code ec;
  json::value parsed = json::parse(data, ec, &memory);
  if (ec || !parsed.is_object())
    return makeStreamFailure("an event is not a JSON object");
  const json::object &object = parsed.get_object();
  if (object.contains("done"))
    return applyFinalCount(std::move(Progress), object);
  return applyChunk(std::move(Progress), object);
}

std::string makeResumeBody(std::string_view RequestBody,
                           const CompletionProgress &Progress) {
  boost::system::error_code ec;
  json::value parsed = json::parse(RequestBody, ec);
  if (ec || !parsed.is_object())
    return std::string(RequestBody);
  json::object &resume = parsed.get_object()["resume"].emplace_object();
  resume["position"] = Progress.Position;
  resume["text"] = Progress.Text;
  return json::serialize(parsed);
}

} // namespace wasabi
