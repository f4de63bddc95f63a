#include "Wasabi/Customers/Access.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const TimePoint Now{Millis(100000)};

struct AccessFixture {
  KeyDigester Keys = KeyDigester::create().value();
  std::optional<CustomerTable> Known;
  StoreContact Contact;
  AccessSettings Limits;

  AccessFixture() {
    CustomerTable::Entry anna;
    anna.Who = {CustomerName("anna"), 3};
    anna.Keys = {Keys.digest("known")};
    Known = CustomerTable::create({anna});
    noteAnswer(Contact, Now);
  }
  AccessDecision decide(const std::string &Key, bool Public) const {
    AccessRequest request;
    if (!Key.empty())
      request.Key = Keys.digest(Key);
    request.Public = Public;
    return decideAccess(Known, request, Contact, Limits, Now);
  }
  void loseStore(Millis Duration) {
    Contact.Lost = true;
    Contact.LastAnswer = Now - Duration;
  }
};

} // namespace

TEST_CASE("A known key is granted and identifies its customer", "[customers]") {
  AccessFixture it;
  AccessDecision got = it.decide("known", false);
  CHECK(got.Verdict == AccessVerdict::Granted);
  REQUIRE(got.By);
  CHECK(got.By->Name.Text == "anna");
  CHECK(priorityOf(got.By, 7) == 3);
  CHECK(priorityOf(std::nullopt, 7) == 7);
  CHECK(priorityOf(Customer{CustomerName("bert"), std::nullopt}, 7) == 7);
}

TEST_CASE("A request without a known key is granted on public routes only",
          "[customers]") {
  AccessFixture it;
  for (const char *key : {"", "other"}) {
    CHECK(it.decide(key, false).Verdict == AccessVerdict::UnknownKey);
    AccessDecision open = it.decide(key, true);
    CHECK(open.Verdict == AccessVerdict::Granted);
    CHECK_FALSE(open.By);
  }
  CHECK(it.decide("known", true).By->Name.Text == "anna");
  it.Known.reset();
  CHECK(it.decide("", false).Verdict == AccessVerdict::Granted);
  // An empty table knows no key.
  it.Known = CustomerTable();
  CHECK(it.decide("known", false).Verdict == AccessVerdict::UnknownKey);
}

TEST_CASE("An unknown key is uncertain while the store is unreachable",
          "[customers]") {
  AccessFixture it;
  it.loseStore(Millis(600));
  CHECK(it.decide("other", false).Verdict == AccessVerdict::Uncertain);
  CHECK(it.decide("", false).Verdict == AccessVerdict::UnknownKey);
  CHECK(it.decide("other", true).Verdict == AccessVerdict::Granted);
  CHECK(it.decide("known", false).Verdict == AccessVerdict::Granted);
}

TEST_CASE("Strict revocation limits how long a known key is granted during an "
          "outage of the store",
          "[customers]") {
  AccessFixture it;
  it.Limits.StrictRevocation = true;
  it.loseStore(it.Limits.MaxRevocationDelay - Millis(1));
  CHECK(it.decide("known", false).Verdict == AccessVerdict::Granted);
  it.loseStore(it.Limits.MaxRevocationDelay + Millis(1));
  CHECK(it.decide("known", false).Verdict == AccessVerdict::Uncertain);
  AccessDecision open = it.decide("known", true);
  CHECK(open.Verdict == AccessVerdict::Granted);
  CHECK_FALSE(open.By);
}

} // namespace wasabi
