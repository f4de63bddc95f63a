/// \file
/// libFuzzer target: parsers of records (with the fold), declarations, states,
/// traces and outcomes. The first input byte selects the parser.
#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Replay/Check.h"
#include "Wasabi/State/Fold.h"
#include "Wasabi/State/Record.h"

#include <cstdint>
#include <cstdlib>

using namespace wasabi;

namespace {

/// Checks that a parsed record survives a round trip.
void fuzzRecord(std::string_view text) {
  FoldState state;
  apply(state, 0, text);
  const Outcome<Record> read =
      toOutcome<Record>([&] { return decodeRecord(text); });
  if (!read)
    return;
  const Outcome<Record> again =
      toOutcome<Record>([&] { return decodeRecord(encodeRecord(*read)); });
  if (!again || !(*again == *read))
    std::abort();
}

void fuzzDeclarations(std::string_view text) {
  const Outcome<ObjectTexts> read =
      toOutcome<ObjectTexts>([&] { return parseDeclarations("f.json", text); });
  if (read)
    toOutcome<Configuration>([&] { return buildConfiguration(*read); });
}

/// Checks that a parsed state has one canonical text.
void fuzzState(std::string_view text) {
  const Outcome<FoldState> read =
      toOutcome<FoldState>([&] { return decodeState(text); });
  if (!read)
    return;
  const std::string once = encodeState(*read);
  const Outcome<FoldState> again =
      toOutcome<FoldState>([&] { return decodeState(once); });
  if (!again || encodeState(*again) != once)
    std::abort();
}

void fuzzTrace(std::string_view text) {
  const Outcome<replay::Trace> trace =
      toOutcome<replay::Trace>([&] { return replay::readTrace("t", text); });
  if (!trace)
    return;
  replay::TraceExpectations all;
  all.Rules = {"sample-once",
               "label-true",
               "fresh",
               "config-never-reverts",
               "answer-whole",
               "not-run-is-true",
               "at-most-once",
               "leaving-gets-no-new-work",
               "planned-stop-cuts-nothing",
               "fences-never-go-back",
               "idle-share"};
  all.Limits.IdleShare = 0;
  const std::optional<replay::TraceViolation> broken =
      replay::check(*trace, all);
  if (broken)
    replay::describeViolation(*trace, *broken);
}

void fuzzOutcomes(std::string_view text) {
  toOutcome<replay::TraceExpectations>(
      [&] { return replay::readExpectations("o", text); });
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  const std::string_view text(reinterpret_cast<const char *>(Data) + 1,
                              Size - 1);
  switch (Data[0] % 5) {
  case 0:
    fuzzRecord(text);
    break;
  case 1:
    fuzzDeclarations(text);
    break;
  case 2:
    fuzzState(text);
    break;
  case 3:
    fuzzTrace(text);
    break;
  default:
    fuzzOutcomes(text);
    break;
  }
  return 0;
}
