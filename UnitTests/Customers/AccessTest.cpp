#include "Wasabi/Customers/Access.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const TimePoint Now{Millis(100000)};

struct AccessCase {
  KeyDigester Keys = KeyDigester::create().value();
  std::optional<CustomerTable> Known;
  StoreContact Contact;
  AccessSettings Limits;

  AccessCase() {
    CustomerTable::Entry anna;
    anna.Who = {CustomerName("anna"), 3};
    anna.Keys = {Keys.digest("known")};
    Known = CustomerTable::create({anna});
    noteAnswer(Contact, Now);
  }
  AccessDecision decide(const std::string &Key, bool Public) const {
    AccessRequest ask;
    if (!Key.empty())
      ask.Key = Keys.digest(Key);
    ask.Public = Public;
    return decideAccess(Known, ask, Contact, Limits, Now);
  }
  void loseStore(Millis For) {
    Contact.Lost = true;
    Contact.LastAnswer = Now - For;
  }
};

} // namespace

TEST_CASE("A key that is known passes and names its customer", "[customers]") {
  AccessCase it;
  AccessDecision got = it.decide("known", false);
  CHECK(got.Verdict == AccessVerdict::Granted);
  REQUIRE(got.By);
  CHECK(got.By->Name.Text == "anna");
  CHECK(priorityOf(got.By, 7) == 3);
  CHECK(priorityOf(std::nullopt, 7) == 7);
  CHECK(priorityOf(Customer{CustomerName("bert"), std::nullopt}, 7) == 7);
}

TEST_CASE("Without a known key only public routes are open", "[customers]") {
  AccessCase it;
  for (const char *key : {"", "other"}) {
    CHECK(it.decide(key, false).Verdict == AccessVerdict::UnknownKey);
    AccessDecision open = it.decide(key, true);
    CHECK(open.Verdict == AccessVerdict::Granted);
    CHECK_FALSE(open.By);
  }
  CHECK(it.decide("known", true).By->Name.Text == "anna");
  it.Known.reset();
  CHECK(it.decide("", false).Verdict == AccessVerdict::Granted);
  // Nobody is a customer where there are none.
  it.Known = CustomerTable();
  CHECK(it.decide("known", false).Verdict == AccessVerdict::UnknownKey);
}

TEST_CASE("Out of reach of the store a new key is not refused for good",
          "[customers]") {
  AccessCase it;
  it.loseStore(Millis(600));
  CHECK(it.decide("other", false).Verdict == AccessVerdict::Uncertain);
  CHECK(it.decide("", false).Verdict == AccessVerdict::UnknownKey);
  CHECK(it.decide("other", true).Verdict == AccessVerdict::Granted);
  CHECK(it.decide("known", false).Verdict == AccessVerdict::Granted);
}

TEST_CASE("Where withdrawals are strict, a known key passes only for so long "
          "without the store",
          "[customers]") {
  AccessCase it;
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
