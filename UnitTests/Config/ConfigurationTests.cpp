#include "Wasabi/Config/Configuration.h"

#include <catch2/catch.hpp>

using wasabi::buildConfiguration;
using wasabi::Configuration;
using wasabi::ObjectTexts;
using wasabi::Outcome;
using wasabi::toOutcome;

namespace {

constexpr char Service[] =
    R"({"kind":"service","name":"s","type":"engines","model":"m",
        "placements":[{"domain":"lulea-hall","servers":3}],
        "routes":[{"method":"POST","path_prefix":"/v1/","idempotent":true},
                  {"path_prefix":"/","idempotent":false}]})";
constexpr char Trainer[] =
    R"({"kind":"trainer","name":"t","model":"m","endpoint":"10.0.0.1:7"})";
constexpr char Attached[] =
    R"({"kind":"attachment","name":"a","trainer":"t","service":"s"})";

Outcome<ObjectTexts> parse(const std::string &Text) {
  return toOutcome<ObjectTexts>(
      [&] { return wasabi::parseDeclarations("f.json", Text); });
}

Outcome<Configuration> build(const std::string &Text) {
  return toOutcome<Configuration>([&]() -> wasabi::Result<Configuration> {
    BOOST_LEAF_AUTO(texts, wasabi::parseDeclarations("f.json", Text));
    return buildConfiguration(texts);
  });
}

std::string list(std::initializer_list<std::string> Items) {
  std::string out;
  for (const std::string &item : Items)
    out += (out.empty() ? "[" : ",") + item;
  return out + "]";
}

struct BadText {
  std::string Text;
  std::string Place;
  std::string Reason;
};

} // namespace

TEST_CASE("A declaration is read with its defaults and its routes") {
  Outcome<Configuration> config = build(list({Service, Trainer, Attached}));
  REQUIRE(config);
  const wasabi::ServiceDeclaration &service =
      config->Services.at(wasabi::ServiceName("s"));
  CHECK(service.Placements.at(0).Servers == 3);
  CHECK(service.DefaultDeadline == wasabi::Millis(60000));
  CHECK(service.ChecksFences);
  CHECK(wasabi::isIdempotent(service, "POST", "/v1/completions"));
  CHECK_FALSE(wasabi::isIdempotent(service, "GET", "/other"));
  CHECK(wasabi::isIdempotent({}, "GET", "/other"));
  CHECK_FALSE(wasabi::isIdempotent({}, "POST", "/other"));
  CHECK(config->Trainers.at(wasabi::TrainerName("t")).Endpoint ==
        wasabi::Address{"10.0.0.1", 7});
  CHECK(config->preset() == wasabi::PresetDeclaration());
}

TEST_CASE(
    "The canonical text is independent of order, whitespace and escapes") {
  Outcome<ObjectTexts> one =
      parse(R"({"kind":"limit","name":"*","burst":5,"requests_per_second":7})");
  Outcome<ObjectTexts> two = parse(
      R"([ {"requests_per_second": 7, "burst": 5, "name":"\u002a",
            "kind":"limit"} ])");
  REQUIRE(one);
  REQUIRE(two);
  CHECK(*one == *two);
  CHECK(one->at("limit/*") ==
        R"({"burst":5,"kind":"limit","name":"*","requests_per_second":7})");
}

TEST_CASE("The error of an invalid declaration has its place and reason") {
  const BadText bad[] = {
      {"{", "f.json: /", "is not JSON"},
      {"[1]", "f.json: /0", "must be an object"},
      {R"({"kind":"limits","name":"x"})", "f.json: /kind", "one of service"},
      {R"({"name":"x"})", "f.json: /kind", "is missing"},
      {R"({"kind":"limit","name":"a b"})", "f.json: /name", "must be 1 to 128"},
      {R"({"kind":"limit","name":"x","burst":0})", "f.json: /burst",
       "1 to 1000000"},
      {R"({"kind":"limit","name":"x","burst":1.5})", "f.json: /burst",
       "whole number"},
      {R"({"kind":"limit","name":"x","speed":1})", "f.json: /speed",
       "not a known member"},
      {R"({"kind":"preset","name":"x","hedge_tail":1})", "f.json: /hedge_tail",
       "true or false"},
      {R"({"kind":"service","name":"s","type":"plain","model":"m"})",
       "f.json: /model", "engines only"},
      {R"({"kind":"service","name":"s","type":"engines"})", "f.json: /model",
       "is missing"},
      {R"([{"kind":"service","name":"s","type":"plain","placements":[
            {"domain":"d","servers":1},{"domain":"d","servers":2}]}])",
       "f.json: /0/placements/1/domain", "placed twice"},
      {R"({"kind":"trainer","name":"t","model":"m","endpoint":"host:1"})",
       "f.json: /endpoint", "not an IP number"},
      {R"({"kind":"switch","name":"other","preset":"p"})", "f.json: /name",
       "only switch"},
      {R"([{"kind":"limit","name":"x"},{"kind":"limit","name":"x"}])",
       "f.json: /1/name", "declared twice"},
      {R"({"kind":"limit","name":"x","burst":1,"burst":2})", "f.json: /burst",
       "given twice"},
      {R"([{},{"routes":[[],{"a":{"b":"","c":{},"b":1}}]}])",
       "f.json: /1/routes/1/a/b", "given twice"},
  };
  for (const BadText &it : bad) {
    INFO(it.Text);
    Outcome<ObjectTexts> read = parse(it.Text);
    REQUIRE_FALSE(read);
    CHECK(read.failure().Place == it.Place);
    CHECK_THAT(read.failure().Reason, Catch::Contains(it.Reason));
    CHECK(read.failure().Run == wasabi::Verdict::NotRun);
  }
}

TEST_CASE("References between objects are checked") {
  const std::string plain = R"({"kind":"service","name":"s","type":"plain"})";
  const std::string other =
      R"({"kind":"trainer","name":"t","model":"n","endpoint":"10.0.0.1:7"})";
  const std::string again =
      R"({"kind":"attachment","name":"b","trainer":"t","service":"s"})";
  const BadText bad[] = {
      {list({Service, Attached}), "attachment/a: /trainer", "no trainer/t"},
      {list({Trainer, Attached}), "attachment/a: /service", "no service/s"},
      {list({plain, Trainer, Attached}), "attachment/a: /service",
       "has no engines"},
      {list({Service, other, Attached}), "attachment/a: /service",
       "holds model m, but trainer/t trains n"},
      {list({Service, Trainer, Attached, again}), "attachment/b: /",
       "attachment/a already"},
      {R"({"kind":"switch","name":"preset","preset":"peak"})",
       "switch/preset: /preset", "no preset/peak"},
  };
  for (const BadText &it : bad) {
    INFO(it.Text);
    Outcome<Configuration> config = build(it.Text);
    REQUIRE_FALSE(config);
    CHECK(config.failure().Place == it.Place);
    CHECK_THAT(config.failure().Reason, Catch::Contains(it.Reason));
  }
}

TEST_CASE("An incremental change gives the same result as a full build") {
  Outcome<ObjectTexts> all = parse(list({Service, Trainer, Attached}));
  REQUIRE(all);
  Outcome<Configuration> base =
      toOutcome<Configuration>([&] { return buildConfiguration(*all); });
  REQUIRE(base);

  ObjectTexts fewer = *all;
  fewer.erase("attachment/a");
  fewer.erase("trainer/t");
  CHECK(*toOutcome<Configuration>([&] {
    return wasabi::changeConfiguration(*base, {},
                                       {"attachment/a", "trainer/t"});
  }) == *toOutcome<Configuration>([&] { return buildConfiguration(fewer); }));
  CHECK_FALSE(toOutcome<Configuration>(
      [&] { return wasabi::changeConfiguration(*base, {}, {"trainer/t"}); }));
}
