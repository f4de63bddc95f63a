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
/// Events up to about this size are parsed without the heap.
constexpr std::size_t ParseBytes = 4096;

Failure outOfOrder(std::string Reason) {
  return Failure{Verdict::Ran,
                 FailureCode::ConnectionLost,
                 "event stream",
                 std::move(Reason),
                 {}};
}

/// The count of a member; empty when absent or no count.
std::optional<std::uint64_t> countMember(const json::object &From,
                                         std::string_view Name) {
  const json::value *found = From.if_contains(Name);
  if (!found)
    return std::nullopt;
  boost::system::error_code ec;
  std::uint64_t count = found->to_number<std::uint64_t>(ec);
  if (ec)
    return std::nullopt;
  return count;
}

Outcome<CompletionProgress> takeChunk(CompletionProgress Progress,
                                      const json::object &Chunk) {
  std::optional<std::uint64_t> position = countMember(Chunk, "position");
  std::optional<std::uint64_t> tokens = countMember(Chunk, "tokens");
  const json::value *text = Chunk.if_contains("text");
  if (!position || !tokens || !text || !text->is_string())
    return outOfOrder("an event without position, tokens or text");
  if (Progress.Counted || *position != Progress.Position)
    return outOfOrder("tokens from " + std::to_string(*position) + " where " +
                      std::to_string(Progress.Position) + " was due");
  Progress.Position += *tokens;
  Progress.Text += std::string_view(text->get_string());
  return Progress;
}

Outcome<CompletionProgress> takeCount(CompletionProgress Progress,
                                      const json::object &Last) {
  std::optional<std::uint64_t> tokens = countMember(Last, "tokens");
  if (!tokens || *tokens != Progress.Position)
    return outOfOrder("it ended after " + std::to_string(Progress.Position) +
                      " tokens, which is not the engine's count");
  Progress.Counted = true;
  return Progress;
}

} // namespace

std::vector<std::string> EventSplitter::feed(std::string_view Bytes) {
  Held += Bytes;
  std::vector<std::string> events;
  std::size_t begin = 0;
  for (;;) {
    std::size_t end = Held.find(EventEnd, begin);
    if (end == std::string::npos)
      break;
    end += EventEnd.size();
    events.push_back(Held.substr(begin, end - begin));
    begin = end;
  }
  Held.erase(0, begin);
  return events;
}

Outcome<CompletionProgress> parseInitialProgress(std::string_view RequestBody) {
  Failure bad{Verdict::NotRun,
              FailureCode::BadInput,
              "body",
              "it is not a JSON object",
              {}};
  boost::system::error_code ec;
  json::value parsed = json::parse(RequestBody, ec);
  if (ec || !parsed.is_object())
    return bad;
  CompletionProgress progress;
  const json::value *resume = parsed.get_object().if_contains("resume");
  if (!resume || resume->is_null())
    return progress;
  if (!resume->is_object()) {
    bad.Reason = "resume is not an object";
    return bad;
  }
  progress.Position = countMember(resume->get_object(), "position").value_or(0);
  const json::value *text = resume->get_object().if_contains("text");
  if (text && text->is_string())
    progress.Text = std::string(text->get_string());
  return progress;
}

Outcome<CompletionProgress> applyStreamEvent(CompletionProgress Progress,
                                             std::string_view Event) {
  // Comments and other fields of an event carry nothing that is counted.
  if (!Event.starts_with(DataPrefix))
    return Progress;
  std::string_view data = Event.substr(DataPrefix.size());
  data = data.substr(0, data.find('\n'));
  if (data == DoneMarker) {
    if (!Progress.Counted)
      return outOfOrder("it ended without a count");
    Progress.Done = true;
    return Progress;
  }
  unsigned char buf[ParseBytes];
  json::monotonic_resource memory(buf);
  boost::system::error_code ec;
  json::value parsed = json::parse(data, ec, &memory);
  if (ec || !parsed.is_object())
    return outOfOrder("an event that is not a JSON object");
  const json::object &object = parsed.get_object();
  if (object.contains("done"))
    return takeCount(std::move(Progress), object);
  return takeChunk(std::move(Progress), object);
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
