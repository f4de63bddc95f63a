/// \file
/// Tests of the tracking of an engine's event stream.
#include "Wasabi/Routing/CompletionStream.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace wasabi {
namespace {

std::string makeChunk(std::uint64_t Position, std::uint64_t Tokens,
                      const std::string &Text) {
  return "data: {\"position\":" + std::to_string(Position) +
         ",\"tokens\":" + std::to_string(Tokens) + ",\"text\":\"" + Text +
         "\",\"weights_version\":3}\n\n";
}

std::string makeFinalCount(std::uint64_t Tokens) {
  return "data: {\"done\":true,\"tokens\":" + std::to_string(Tokens) +
         ",\"finish\":\"length\"}\n\n";
}

const std::string DoneEvent = "data: [DONE]\n\n";

Outcome<CompletionProgress> follow(const std::vector<std::string> &Events) {
  CompletionProgress progress;
  for (const std::string &it : Events) {
    Outcome<CompletionProgress> next = applyStreamEvent(progress, it);
    if (!next)
      return next.failure();
    progress = *next;
  }
  return progress;
}

} // namespace

TEST_CASE("A complete stream is followed to its end", "[stream]") {
  Outcome<CompletionProgress> end =
      follow({makeChunk(0, 2, "ab"), makeChunk(2, 1, "c"), ": comment\n\n",
              makeFinalCount(3), DoneEvent});
  REQUIRE(end);
  CHECK(end->Position == 3);
  CHECK(end->Text == "abc");
  CHECK(end->Done);
}

TEST_CASE("Events out of order, incomplete or invalid are failures",
          "[stream]") {
  CHECK_FALSE(follow({makeChunk(0, 2, "ab"), makeChunk(3, 1, "c")}));
  CHECK_FALSE(follow({makeChunk(0, 2, "ab"), makeChunk(0, 2, "ab")}));
  CHECK_FALSE(follow({makeChunk(0, 2, "ab"), makeFinalCount(3)}));
  CHECK_FALSE(follow({makeChunk(0, 2, "ab"), DoneEvent}));
  CHECK_FALSE(
      follow({makeChunk(0, 1, "a"), makeFinalCount(1), makeChunk(1, 1, "b")}));
  CHECK_FALSE(follow({"data: nonsense\n\n"}));
  CHECK_FALSE(follow({"data: {\"position\":0}\n\n"}));
}

TEST_CASE("A resumed request continues from the last complete position",
          "[stream]") {
  std::string body = R"({"model":"m","prompt":"p","seed":7,"stream":true,)"
                     R"("resume":{"position":2,"text":"xy"}})";
  Outcome<CompletionProgress> start = parseInitialProgress(body);
  REQUIRE(start);
  CHECK(start->Position == 2);
  Outcome<CompletionProgress> next =
      applyStreamEvent(*start, makeChunk(2, 1, "z"));
  REQUIRE(next);
  boost::json::value resumed = boost::json::parse(makeResumeBody(body, *next));
  CHECK(resumed.at("seed").as_int64() == 7);
  CHECK(resumed.at("resume").at("position").as_int64() == 3);
  CHECK(resumed.at("resume").at("text").as_string() == "xyz");
  CHECK_FALSE(parseInitialProgress("[]"));
  CHECK_FALSE(parseInitialProgress(R"({"resume":3})"));
}

TEST_CASE("Events are split identically for any chunking of the bytes",
          "[stream]") {
  std::string all = makeChunk(0, 1, "a") + makeChunk(1, 1, "b") +
                    makeFinalCount(2) + DoneEvent;
  rc::check([&](std::vector<std::uint8_t> ChunkSizes) {
    EventSplitter splitter;
    std::vector<std::string> events;
    std::string_view remaining = all;
    std::size_t n = 0;
    while (!remaining.empty()) {
      std::size_t size =
          ChunkSizes.empty() ? 7 : ChunkSizes[n++ % ChunkSizes.size()] % 40 + 1;
      for (std::string &it : splitter.feed(remaining.substr(0, size)))
        events.push_back(std::move(it));
      remaining.remove_prefix(std::min(size, remaining.size()));
    }
    RC_ASSERT(events.size() == 4u);
    RC_ASSERT(!splitter.hasPartialEvent());
    RC_ASSERT(static_cast<bool>(follow(events)));
  });
}

} // namespace wasabi
