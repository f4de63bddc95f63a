#include "Wasabi/Customers/ServedShares.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const CustomerName Anna("anna");
const CustomerName Bert("bert");

TimePoint at(std::int64_t Ms) { return TimePoint(Millis(Ms)); }

void recordOutcomes(ServedShares &Shares, const CustomerName &Customer,
                    int Requests, int Served, TimePoint Now) {
  for (int i = 0; i < Requests; ++i)
    recordOutcome(Shares, Customer, i < Served, Now);
}

} // namespace

TEST_CASE(
    "A customer with a much lower served fraction than all is underserved",
    "[customers]") {
  ServedShares shares;
  recordOutcomes(shares, Bert, 40, 20, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
  // Fewer requests than `MinRequests` are not judged.
  recordOutcomes(shares, Anna, 3, 0, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
  recordOutcomes(shares, Anna, 7, 0, at(0));
  CHECK(isUnderserved(shares, Anna));
  CHECK_FALSE(isUnderserved(shares, Bert));
  recordOutcomes(shares, Anna, 10, 10, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
}

TEST_CASE("No customer is underserved if all have the same served fraction",
          "[customers]") {
  ServedShares shares;
  recordOutcomes(shares, Anna, 100, 10, at(0));
  recordOutcomes(shares, Bert, 1000, 100, at(0));
  CHECK_FALSE(isUnderserved(shares, Anna));
  CHECK_FALSE(isUnderserved(shares, Bert));
}

TEST_CASE("Old requests lose their weight and their customers are removed",
          "[customers]") {
  ServedShares shares;
  recordOutcomes(shares, Bert, 40, 40, at(0));
  recordOutcomes(shares, Anna, 20, 0, at(0));
  CHECK(isUnderserved(shares, Anna));
  recordOutcomes(shares, Bert, 1, 1, at(12000));
  CHECK_FALSE(isUnderserved(shares, Anna));
  recordOutcomes(shares, Bert, 1, 1, at(60000));
  CHECK(shares.Customers.size() == 1);
}

} // namespace wasabi
