#include "StandIns/TrainerSimulator.h"

#include <catch2/catch.hpp>

namespace wasabi::standins {

namespace {

/// Makes a valid sample for a slot of group `Group`, generated on `Version`.
TrainerSample sampleFor(const TrainerSimulator &Simulator, std::size_t Group,
                        std::uint64_t Index, std::uint64_t Version) {
  const TrainerGroup &group = Simulator.groups().at(Group);
  std::uint64_t seed = group.Seed + Index;
  std::uint64_t length = sampleLength(group.Prompt, seed, group.MaxTokens);
  std::vector<VersionSpan> spans{VersionSpan{0, length, Version}};
  return TrainerSample{slotName(Simulator.step(), group.Group, Index),
                       spansText(group.Prompt, seed, spans), length, spans,
                       seed};
}

TrainerSimulator bookOf(bool Checks) {
  TrainerSimulator::Settings settings;
  settings.Groups = 2;
  settings.GroupSize = 2;
  settings.StalenessBound = 1;
  settings.ChecksFences = Checks;
  TrainerSimulator book(settings);
  book.openStep(100);
  return book;
}

void fill(TrainerSimulator &Simulator, std::uint64_t Version,
          std::uint64_t NowUs) {
  for (std::size_t group = 0; group < Simulator.groups().size(); ++group) {
    for (std::uint64_t i = 0; i < Simulator.groups()[group].Samples; ++i)
      Simulator.deliver("d", 1, sampleFor(Simulator, group, i, Version), NowUs);
  }
}

} // namespace

TEST_CASE(
    "A trainer accepts each slot once and idles until the step is complete",
    "[standins]") {
  TrainerSimulator book = bookOf(true);
  CHECK(book.idleUs(130) == 30);
  fill(book, 1, 150);
  CHECK(book.isStepComplete());
  CHECK(book.idleUs(400) == 50);
  CHECK(book.trainingUs(160) == 10);
  DeliveredSample again = book.deliver("d", 1, sampleFor(book, 0, 0, 1), 160);
  CHECK(again.Fault == RejectReason::Duplicate);
  CHECK_FALSE(again.IsAccepted);

  std::string old = slotName(1, 0, 0);
  book.publish(170);
  book.openStep(170);
  CHECK(book.newest() == 2);
  TrainerSample late = sampleFor(book, 0, 0, 2);
  late.Slot = old;
  CHECK(book.deliver("d", 1, late, 180).Fault == RejectReason::Duplicate);
  late.Slot = "9/0/0";
  CHECK(book.deliver("d", 1, late, 180).Fault == RejectReason::Unknown);
  late.Slot = "2/0/7";
  CHECK(book.deliver("d", 1, late, 180).Fault == RejectReason::Unknown);
  CHECK(book.held().empty());
  CHECK(book.counts() == TrainerCounts{});
}

TEST_CASE("A sample is as old as its oldest span", "[standins]") {
  TrainerSimulator book = bookOf(true);
  book.publish(0);
  book.publish(0);
  CHECK(book.newest() == 3);
  CHECK(book.deliver("d", 1, sampleFor(book, 0, 0, 2), 1).IsAccepted);
  TrainerSample mixed = sampleFor(book, 0, 1, 3);
  mixed.Spans = {VersionSpan{0, 1, 1}, VersionSpan{1, mixed.Tokens, 3}};
  CHECK(book.deliver("d", 1, mixed, 1).Fault == RejectReason::Stale);
}

TEST_CASE("A label that does not match the text is counted", "[standins]") {
  TrainerSimulator book = bookOf(true);
  TrainerSample right = sampleFor(book, 0, 0, 1);
  TrainerSample wrong = right;
  // The labelled version did not generate the text.
  wrong.Spans[0].Version = 2;
  CHECK_FALSE(book.deliver("d", 1, wrong, 1).TextMatches);
  // The text is truncated, with a label that matches the rest.
  wrong = sampleFor(book, 0, 1, 1);
  wrong.Tokens -= 1;
  wrong.Spans[0].To -= 1;
  wrong.Text.resize(wrong.Text.size() - TokenBytes);
  CHECK_FALSE(book.deliver("d", 1, wrong, 1).TextMatches);
  // The spans have a gap.
  wrong = sampleFor(book, 1, 0, 1);
  wrong.Spans[0].From = 1;
  CHECK_FALSE(book.deliver("d", 1, wrong, 1).TextMatches);
  // The text belongs to another prompt.
  wrong = sampleFor(book, 0, 1, 1);
  wrong.Slot = slotName(1, 1, 1);
  CHECK_FALSE(book.deliver("d", 1, wrong, 1).TextMatches);
  CHECK(book.counts().Mislabelled == 4);

  TrainerSimulator other = bookOf(true);
  CHECK(other.deliver("d", 1, right, 1).TextMatches);
  CHECK(other.counts().Mislabelled == 0);
}

TEST_CASE("A trainer without checks accepts and counts all", "[standins]") {
  TrainerSimulator book = bookOf(false);
  book.publish(0);
  book.publish(0);
  TrainerSample old = sampleFor(book, 0, 0, 1);
  CHECK(book.deliver("d", 1, old, 1).IsAccepted);
  CHECK(book.deliver("d", 1, old, 1).IsAccepted);
  CHECK(book.counts().Stale == 1);
  CHECK(book.counts().Duplicates == 1);
  CHECK_FALSE(book.rejectsFencingToken(5));
  CHECK_FALSE(book.rejectsFencingToken(4));
}

TEST_CASE("A trainer with checks rejects an older token", "[standins]") {
  TrainerSimulator book = bookOf(true);
  CHECK_FALSE(book.rejectsFencingToken(5));
  CHECK(book.rejectsFencingToken(4));
  CHECK_FALSE(book.rejectsFencingToken(5));
  CHECK(book.fence() == 5);
}

} // namespace wasabi::standins
