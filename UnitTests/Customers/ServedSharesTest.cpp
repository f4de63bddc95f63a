#include "Wasabi/Customers/ServedShares.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const CustomerName Anna("anna");
const CustomerName Bert("bert");

TimePoint at(std::int64_t Ms) { return TimePoint(Millis(Ms)); }

void note(ServedShares &Of, const CustomerName &Who, int Times, int Served,
          TimePoint Now) {
  for (int i = 0; i < Times; ++i)
    recordOutcome(Of, Who, i < Served, Now);
}

} // namespace

TEST_CASE("A customer that is served much less often than all is behind",
          "[customers]") {
  ServedShares shares;
  note(shares, Bert, 40, 20, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
  // A few refusals say nothing yet.
  note(shares, Anna, 3, 0, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
  note(shares, Anna, 7, 0, at(0));
  CHECK(isUnderserved(shares, Anna));
  CHECK_FALSE(isUnderserved(shares, Bert));
  note(shares, Anna, 10, 10, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
}

TEST_CASE("Where all are served alike nobody is behind", "[customers]") {
  ServedShares shares;
  note(shares, Anna, 100, 10, at(0));
  note(shares, Bert, 1000, 100, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
  CHECK_FALSE(isUnderserved(shares, Bert));
}

TEST_CASE("What was long ago counts no more, and is forgotten", "[customers]") {
  ServedShares shares;
  note(shares, Bert, 40, 40, at(0));
  note(shares, Anna, 20, 0, at(0));
  CHECK(isUnderserved(shares, Anna));
  note(shares, Bert, 1, 1, at(12000));
  CHECK_FALSE(isUnderserved(shares, Anna));
  note(shares, Bert, 1, 1, at(60000));
  CHECK(shares.Customers.size() == 1);
}

} // namespace wasabi
