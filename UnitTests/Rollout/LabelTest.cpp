/// \file
/// Tests drafts, labels, slot names and the parser of engine streams.
#include "Wasabi/Rollout/Label.h"
#include "Wasabi/Rollout/Slot.h"
#include "Wasabi/Rollout/StreamParser.h"

#include <catch2/catch.hpp>

namespace wasabi {

TEST_CASE("chunks of one version form one span", "[label]") {
  Draft draft;
  CHECK(append(draft, Chunk{0, 2, "ab", 3}) == ChunkStatus::Appended);
  CHECK(append(draft, Chunk{2, 1, "c", 3}) == ChunkStatus::Appended);
  CHECK(append(draft, Chunk{3, 2, "de", 4}) == ChunkStatus::Appended);
  CHECK(draft.Text == "abcde");
  CHECK(toText(draft.Spans) == "0-3@3,3-5@4");
  CHECK(covers(draft.Spans, 5));
  CHECK_FALSE(covers(draft.Spans, 6));
  CHECK(oldestVersion(draft.Spans) == WeightVersion(3));
}

TEST_CASE("a misplaced or unversioned chunk is rejected", "[label]") {
  Draft draft;
  CHECK(append(draft, Chunk{0, 2, "ab", 3}) == ChunkStatus::Appended);
  Draft before = draft;
  CHECK(append(draft, Chunk{3, 1, "x", 3}) == ChunkStatus::UnexpectedPosition);
  CHECK(append(draft, Chunk{1, 1, "x", 3}) == ChunkStatus::UnexpectedPosition);
  CHECK(append(draft, Chunk{2, 1, "x", std::nullopt}) ==
        ChunkStatus::MissingVersion);
  CHECK(draft == before);
}

TEST_CASE("spans with gaps or overlaps cover nothing", "[label]") {
  CHECK(covers({}, 0));
  CHECK_FALSE(covers({{0, 2, 1}, {3, 4, 1}}, 4));
  CHECK_FALSE(covers({{0, 2, 1}, {1, 4, 1}}, 4));
  CHECK_FALSE(covers({{0, 0, 1}}, 0));
}

TEST_CASE("slots are parsed as formatted, other texts are refused", "[label]") {
  Slot slot{7, 2, 11};
  CHECK(slotFromText(toText(slot)) == slot);
  for (const char *bad : {"", "1", "1/2", "1/2/", "1/2/3/4", "a/2/3", "-1/2/3"})
    CHECK_FALSE(slotFromText(bad));
}

TEST_CASE("an engine's stream is parsed however it is split", "[label]") {
  const std::string text =
      "data: {\"position\":0,\"tokens\":2,\"text\":\" a b\","
      "\"weights_version\":5}\n\n"
      "data: {\"position\":2,\"tokens\":1,\"text\":\" c\"}\n\n"
      "data: {\"done\":true,\"tokens\":3,\"finish\":\"length\"}\n\n"
      "data: [DONE]\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    StreamParser parser;
    std::vector<StreamItem> items;
    for (const std::string &part : {text.substr(0, cut), text.substr(cut)}) {
      Outcome<std::vector<StreamItem>> got = parse(parser, part);
      REQUIRE(got);
      items.insert(items.end(), got->begin(), got->end());
    }
    REQUIRE(items.size() == 4);
    CHECK(std::get<Chunk>(items[0]) == Chunk{0, 2, " a b", 5});
    CHECK(std::get<Chunk>(items[1]) == Chunk{2, 1, " c", std::nullopt});
    CHECK(std::get<StreamDone>(items[2]).Tokens == 3);
    CHECK(std::holds_alternative<StreamEnd>(items[3]));
  }
}

TEST_CASE("the failure of a malformed event names its member", "[label]") {
  StreamParser parser;
  Outcome<std::vector<StreamItem>> got =
      parse(parser, "data: {\"position\":0,\"tokens\":-1,\"text\":\"\"}\n\n");
  REQUIRE_FALSE(got);
  CHECK(got.failure().Code == FailureCode::BadInput);
  CHECK(got.failure().Place.find("tokens") != std::string::npos);
}

} // namespace wasabi
