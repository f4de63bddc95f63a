/// \file
/// Parsing of traces and expectations: errors name the place of the fault.
#include "Wasabi/Replay/Trace.h"
#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/TraceExpectations.h"

#include <catch2/catch.hpp>

using namespace wasabi;
using namespace wasabi::replay;

namespace {

constexpr char GoodLine[] =
    R"({"wall":5,"count":1,"seq":2,"instance":"a","kind":"k","fields":{"x":"1"}})";

Failure readTraceFailure(const std::string &text) {
  const Outcome<Trace> read =
      toOutcome<Trace>([&] { return readTrace("t.jsonl", text); });
  REQUIRE_FALSE(read);
  return read.failure();
}

Failure readExpectationsFailure(const std::string &text) {
  const Outcome<TraceExpectations> read = toOutcome<TraceExpectations>(
      [&] { return readExpectations("o.json", text); });
  REQUIRE_FALSE(read);
  return read.failure();
}

} // namespace

TEST_CASE("A trace is sorted by hybrid logical time") {
  const std::string later =
      R"({"wall":5,"count":2,"seq":0,"instance":"a","kind":"l","fields":{}})";
  const Outcome<Trace> read = toOutcome<Trace>(
      [&] { return readTrace("t", later + "\n\n" + GoodLine + "\r\n"); });
  REQUIRE(read);
  REQUIRE(read->Events.size() == 2);
  CHECK(read->Events[0].Kind == "k");
  CHECK(read->Events[0].field("x") == "1");
  CHECK(read->Events[1].Kind == "l");
}

TEST_CASE("An error in a trace names its line number") {
  for (
      const std::string bad :
      {"{", "[]", "{}", R"({"wall":-1})",
       R"({"wall":1,"count":1,"seq":1,"instance":"a","kind":3,"fields":{}})",
       R"({"wall":1,"count":1,"seq":1,"instance":"a","kind":"k"})",
       R"({"wall":1,"count":1,"seq":1,"instance":"a","kind":"k","fields":{"x":1}})",
       R"({"wall":1,"count":5000000000,"seq":1,"instance":"a","kind":"k","fields":{}})"}) {
    const Failure why =
        readTraceFailure(std::string(GoodLine) + "\n" + bad + "\n");
    INFO(bad);
    CHECK(why.Code == FailureCode::BadInput);
    CHECK(why.Place == "t.jsonl:2");
    CHECK_FALSE(why.Reason.empty());
  }
}

TEST_CASE("An error in the expectations names its JSON path") {
  CHECK(readExpectationsFailure("{").Place == "o.json: /");
  CHECK(readExpectationsFailure(R"({"rule":[]})").Place == "o.json: /rule");
  CHECK(readExpectationsFailure(R"({"rules":["fresh","new"]})").Place ==
        "o.json: /rules/1");
  CHECK(readExpectationsFailure(R"({"bounds":{"idle_share":"x"}})").Place ==
        "o.json: /bounds/idle_share");
  CHECK(
      readExpectationsFailure(R"({"bounds":{"leaving_grace_ms":-1}})").Place ==
      "o.json: /bounds/leaving_grace_ms");
  CHECK(readExpectationsFailure(R"({"expect":[{"fields":{}}]})").Place ==
        "o.json: /expect/0/kind");
  CHECK(readExpectationsFailure(R"({"expect":[{"kind":"k","fields":{"a":1}}]})")
            .Place == "o.json: /expect/0/fields/a");
}

TEST_CASE("A label with a gap, an overlap or an empty span is malformed") {
  const std::optional<Label> label = readLabel("0-12@3,12-40@4");
  REQUIRE(label);
  CHECK(*label == Label{{0, 12, 3}, {12, 40, 4}});
  CHECK(oldestVersion(*label).value() == 3);
  for (const std::string_view bad :
       {"", "0-12", "0-12@", "1-12@3", "0-12@3,13-40@4", "0-12@3,11-40@4",
        "0-0@3", "0-12@3,", "-12@3", "0-12@x", "@0-12"})
    CHECK_FALSE(readLabel(bad));
}
