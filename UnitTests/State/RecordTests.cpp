#include "Wasabi/State/Record.h"

#include <catch2/catch.hpp>

using namespace std::string_literals;
using wasabi::FailureCode;
using wasabi::Outcome;
using wasabi::Record;
using wasabi::toOutcome;

namespace {

Outcome<Record> decode(std::string_view Text) {
  return toOutcome<Record>([&] { return wasabi::decodeRecord(Text); });
}

const std::vector<Record> &samples() {
  static const std::vector<Record> Samples = {
      {{"ctl\"1", 1764690000000000, 1},
       wasabi::ConfigChange{
           7,
           {"preset/peak"},
           {{"limit/a", "{\"kind\":\"limit\"}"}, {"limit/b", std::nullopt}},
           "åsa",
           "line one\nline two"}},
      {{"d1", 2, 3},
       wasabi::ClaimAcquire{"trainer/t", 4, wasabi::Millis(9), 5}},
      {{"d1", 2, 4}, wasabi::ClaimRenew{"weights/m", 18446744073709551615u}},
      {{"d1", 2, 5}, wasabi::ClaimRelease{"snapshots", 6}},
      {{"d1", 2, 6},
       wasabi::SnapshotRecord{8, std::string(32, 'a'), 9, "{}", 6}}};
  return Samples;
}

} // namespace

TEST_CASE("Each kind of record is decoded as it was encoded") {
  for (const Record &it : samples()) {
    Outcome<Record> back = decode(wasabi::encodeRecord(it));
    REQUIRE(back);
    CHECK(*back == it);
  }
}

TEST_CASE("A truncated record is malformed, never of a newer schema") {
  for (const Record &it : samples()) {
    std::string text = wasabi::encodeRecord(it);
    for (std::size_t size = 0; size < text.size(); ++size) {
      Outcome<Record> back = decode(std::string_view(text).substr(0, size));
      REQUIRE_FALSE(back);
      CHECK(back.failure().Code == FailureCode::BadInput);
    }
  }
}

TEST_CASE("A newer schema or kind is distinguished from a malformed record") {
  const std::string id = R"("id":{"author":"a","life":1,"sequence":1})";
  CHECK(decode(R"({"schema":2,"anything":[]})").failure().Code ==
        FailureCode::NewerSchema);
  CHECK(decode(R"({"schema":1,"kind":"merge","body":{},)" + id + "}")
            .failure()
            .Code == FailureCode::NewerSchema);
  const std::string malformed[] = {
      "null"s,
      "{}"s,
      R"({"kind":"merge"})"s,
      R"({"schema":0,"kind":"claim_renew","body":{},)" + id + "}",
      R"({"schema":1,"kind":"claim_renew","body":{"resource":"x","token":1},)" +
          id + "}",
      R"({"schema":1,"kind":"claim_renew","body":{"resource":"snapshots",)"
      R"("token":-1},)" +
          id + "}",
      R"({"schema":1,"kind":"claim_renew","body":{"resource":"snapshots",)"
      R"("token":1,"more":1},)" +
          id + "}",
      R"({"schema":1,"kind":"config_change","body":{"base":0,"reads":[],)"
      R"("writes":[],"operator":"o","message":""},)" +
          id + "}"};
  for (const std::string &it : malformed) {
    INFO(it);
    Outcome<Record> read = decode(it);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Code == FailureCode::BadInput);
    CHECK_THAT(read.failure().Place, Catch::StartsWith("record"));
  }
}
