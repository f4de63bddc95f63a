#include "Wasabi/Rollout/StreamParser.h"

#include "Wasabi/Rollout/SampleJson.h"

namespace wasabi {

namespace {

constexpr char Place[] = "engine stream";
constexpr std::string_view Prefix = "data: ";
constexpr std::string_view Separator = "\n\n";

Result<std::uint32_t> countMember(const boost::json::object &Parser,
                                  std::string_view Member) {
  BOOST_LEAF_AUTO(n, numberMember(Parser, Member, Place));
  if (n > UINT32_MAX)
    return badInput(std::string(Place) + "/" + std::string(Member),
                    "too large");
  return static_cast<std::uint32_t>(n);
}

Result<StreamItem> readEvent(std::string_view Data) {
  if (Data == "[DONE]")
    return StreamItem(StreamEnd());
  BOOST_LEAF_AUTO(object, parseObject(Data, Place));
  if (object.contains("done")) {
    BOOST_LEAF_AUTO(tokens, countMember(object, "tokens"));
    return StreamItem(StreamDone{tokens});
  }
  Chunk chunk;
  BOOST_LEAF_ASSIGN(chunk.Position, countMember(object, "position"));
  BOOST_LEAF_ASSIGN(chunk.Tokens, countMember(object, "tokens"));
  BOOST_LEAF_ASSIGN(chunk.Text, textMember(object, "text", Place));
  // Engines that do not know their version omit the member.
  if (object.contains("weights_version")) {
    BOOST_LEAF_AUTO(version, numberMember(object, "weights_version", Place));
    chunk.Version = version;
  }
  return StreamItem(std::move(chunk));
}

Result<std::vector<StreamItem>> readEvents(StreamParser &Parser) {
  std::vector<StreamItem> items;
  std::size_t start = 0;
  while (true) {
    std::size_t end = Parser.Buffer.find(Separator, start);
    if (end == std::string::npos)
      break;
    std::string_view event(Parser.Buffer.data() + start, end - start);
    start = end + Separator.size();
    if (!event.starts_with(Prefix))
      return badInput(Place, "an event does not begin with 'data: '");
    event.remove_prefix(Prefix.size());
    BOOST_LEAF_AUTO(item, readEvent(event));
    items.push_back(std::move(item));
  }
  Parser.Buffer.erase(0, start);
  return items;
}

} // namespace

Outcome<std::vector<StreamItem>> parse(StreamParser &Parser,
                                       std::string_view Bytes) {
  Parser.Buffer += Bytes;
  return toOutcome<std::vector<StreamItem>>([&] { return readEvents(Parser); });
}

} // namespace wasabi
