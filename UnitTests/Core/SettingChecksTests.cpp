#include "Wasabi/Core/SettingChecks.h"

#include <catch2/catch.hpp>

using wasabi::Address;
using wasabi::Outcome;

namespace {

Outcome<std::string> named(std::string_view Value) {
  return wasabi::toOutcome<std::string>(
      [&] { return wasabi::checkName("instance", Value); });
}

Outcome<std::vector<Address>> listed(std::string_view Value) {
  return wasabi::toOutcome<std::vector<Address>>(
      [&] { return wasabi::checkAddresses("seeds", Value); });
}

} // namespace

TEST_CASE("A range is inclusive, and an error outside of it names the flag") {
  for (std::int64_t it : {1, 5}) {
    CHECK(wasabi::checkRange("slots", it, 1, 5).value() == it);
  }
  Outcome<std::int64_t> out = wasabi::toOutcome<std::int64_t>(
      [] { return wasabi::checkRange("slots", 6, 1, 5); });
  REQUIRE_FALSE(out);
  CHECK(out.failure().Place == "--slots");
  CHECK(out.failure().Reason == "6 is not within 1 to 5");
}

TEST_CASE("A name is short, in lower case and starts with a letter or digit") {
  CHECK(named("lulea-hall.1_a"));
  CHECK(named(std::string(wasabi::MaxNameLength, 'a')));
  for (const char *it : {"", "-a", "Lulea", "a b", "å"}) {
    CHECK_FALSE(named(it));
  }
  CHECK_FALSE(named(std::string(wasabi::MaxNameLength + 1, 'a')));
}

TEST_CASE("A list of addresses is rejected if one of them is invalid") {
  Outcome<std::vector<Address>> two = listed("127.0.0.1:1,[::1]:2");
  REQUIRE(two);
  CHECK(*two == std::vector<Address>{{"127.0.0.1", 1}, {"::1", 2}});
  CHECK(listed("")->empty());
  Outcome<std::vector<Address>> bad = listed("127.0.0.1:1,localhost:2");
  REQUIRE_FALSE(bad);
  CHECK(bad.failure().Place == "--seeds");
}
