#include "StandIns/EngineBatch.h"

#include <catch2/catch.hpp>

namespace wasabi::standins {

namespace {

EngineBatch::Job jobOf(std::uint64_t Seed, std::int64_t Priority) {
  EngineRequest ask;
  ask.Prompt = "prompt";
  ask.Seed = Seed;
  ask.MaxTokens = 64;
  ask.Priority = Priority;
  return std::make_shared<EngineJob>(ask);
}

} // namespace

TEST_CASE("Streams switch versions between two tokens", "[standins]") {
  EngineBatch batch(EngineBatch::Settings{1, 4});
  EngineBatch::Job job = jobOf(1, 0);
  REQUIRE(job->Length > 4);
  REQUIRE(batch.submit(job));
  batch.advance(Micros(2000), 1000, 7);
  batch.advance(Micros(2000), 1000, 8);
  CHECK(job->Spans == std::vector<VersionSpan>{{0, 2, 7}, {2, 4, 8}});
  batch.advance(Micros(1000000), 1000, 8);
  CHECK(job->Ended);
  CHECK(job->Position == job->Length);
  CHECK(areContiguous(job->Spans, job->Length));
  CHECK(batch.running() == 0);
}

TEST_CASE("Higher priorities leave the queue first", "[standins]") {
  EngineBatch batch(EngineBatch::Settings{1, 2});
  EngineBatch::Job first = jobOf(1, 0);
  EngineBatch::Job low = jobOf(2, 0);
  EngineBatch::Job high = jobOf(3, 5);
  CHECK(batch.submit(first));
  CHECK(batch.submit(low));
  CHECK(batch.submit(high));
  CHECK_FALSE(batch.submit(jobOf(4, 9)));
  batch.remove(first);
  batch.advance(Micros(1000), 1000, 1);
  CHECK(high->Position == 1);
  CHECK(low->Position == 0);
  CHECK(batch.queued() == 1);
}

TEST_CASE("Sample lengths are fixed, bounded and heavy-tailed", "[standins]") {
  constexpr unsigned Samples = 2000;
  unsigned longest = 0;
  unsigned shorter = 0;
  for (unsigned seed = 0; seed < Samples; ++seed) {
    std::uint64_t length = sampleLength("p", seed, 120);
    CHECK(length == sampleLength("p", seed, 120));
    REQUIRE(length >= 1);
    REQUIRE(length <= 120);
    longest += length == 120 ? 1 : 0;
    shorter += length < 30 ? 1 : 0;
  }
  CHECK(longest > Samples / 40);
  CHECK(longest < Samples / 10);
  CHECK(shorter > Samples / 2);
  CHECK(tokenText("p", 1, 2, 3).size() == TokenBytes);
  CHECK(tokenText("p", 1, 2, 3) != tokenText("p", 1, 2, 4));
}

} // namespace wasabi::standins
