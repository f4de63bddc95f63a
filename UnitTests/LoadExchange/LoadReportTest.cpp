#include "Wasabi/LoadExchange/LoadReport.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

LoadReport makeSampleReport() {
  LoadReport report;
  report.Life = 1'780'000'000'000'000;
  report.Sequence = 7;
  report.Interval = Millis(2000);
  ReportedService &lookup = report.Services[ServiceName("lookup")];
  lookup.Customers[CustomerName("acme")] = {2.5, 3};
  // Anonymous callers have no name.
  lookup.Customers[CustomerName()] = {0.1, 0};
  lookup.OtherCustomers = 4;
  lookup.Others = {1.2, 5};
  lookup.Servers[{ServerName("s-1"), 1'780'000'000'123}] = {31.4, 12, 2};
  lookup.Servers[{ServerName("s-2"), 0}] = {0, 0, 1};
  report.Services[ServiceName("score")] = ReportedService();
  return report;
}

std::optional<LoadReport> decode(std::string_view Text) {
  Outcome<LoadReport> got =
      toOutcome<LoadReport>([&] { return decodeReport(Text, "keyed.load"); });
  if (!got) {
    CHECK(got.failure().Code == FailureCode::BadInput);
    return std::nullopt;
  }
  return *got;
}

} // namespace

// Guards against a member that is written and not read, or read as another.
TEST_CASE("A load report is read as it was written", "[load]") {
  LoadReport report = makeSampleReport();
  CHECK(decode(encodeReport(report)) == report);
}

// Guards against a faulty or foreign writer that stops a reader or plants
// absurd loads.
TEST_CASE("A malformed load report is rejected", "[load]") {
  std::string text = GENERATE(
      "", "{", "[]", "null", R"({"i":1,"q":1,"p":1000})",
      R"({"q":1,"p":1000,"s":[]})", R"({"i":0,"q":1,"p":1000,"s":[]})",
      R"({"i":1,"q":0,"p":1000,"s":[]})", R"({"i":1,"q":-1,"p":1000,"s":[]})",
      R"({"i":1,"q":1,"p":0,"s":[]})", R"({"i":1,"q":1,"p":99999999,"s":[]})",
      R"({"i":1,"q":1,"p":1000,"s":[1]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":5}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":{}}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":[["x",1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":[[1,1,1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":[["x",-1,1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":[["x",1.5,1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":[["x",1e300,1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","c":[["x",1,1],["x",1,1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","h":[["x",1,1,1]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","h":[["x",1,1,1,9999999999]]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a","o":[1]}]})",
      R"({"i":1,"q":1,"p":1000,"s":[{"n":"a"},{"n":"a"}]})");
  CAPTURE(text);
  CHECK_FALSE(decode(text));
}

// Guards against reports that break the limit on the bytes of a reader: 4 KB
// and 16 named customers (page, part 2).
TEST_CASE("A report of any size is written within 4 KB", "[load]") {
  std::size_t services = GENERATE(1, 8, 400);
  LoadReport report;
  report.Life = 1'780'000'000'000'000;
  report.Sequence = 1;
  std::uint32_t inFlight = 0;
  for (std::size_t i = 0; i < services; ++i) {
    ReportedService &service =
        report.Services[ServiceName("service-" + std::to_string(i))];
    for (std::uint32_t k = 0; k < 88; ++k) {
      service.Customers[CustomerName("customer-" + std::to_string(k))] = {
          0.5, k + 1};
      inFlight += k + 1;
      service.Servers[{ServerName("server-" + std::to_string(k)),
                       1'780'000'000'000}] = {20, k, 1};
    }
  }
  std::string text = encodeReport(report);
  CHECK(text.size() <= MaxReportBytes);
  std::optional<LoadReport> read = decode(text);
  REQUIRE(read);
  REQUIRE_FALSE(read->Services.empty());
  const ReportedService &first = read->Services.begin()->second;
  CHECK(first.Customers.size() <= MaxReportedCustomers);
  // The load of the customers that are not named is not lost.
  std::uint32_t sum = first.Others.InFlight;
  for (const auto &[customer, load] : first.Customers)
    sum += load.InFlight;
  CHECK(sum == inFlight / services);
  CHECK(first.Customers.size() + first.OtherCustomers == 88);
  if (!first.Customers.empty())
    CHECK(first.Customers.contains(CustomerName("customer-87")));
}

TEST_CASE("A text above 4 KB is rejected although it is well-formed",
          "[load]") {
  std::string text = encodeReport(makeSampleReport());
  CHECK(decode(text + std::string(MaxReportBytes - text.size(), ' ')));
  CHECK_FALSE(decode(text + std::string(MaxReportBytes, ' ')));
}

} // namespace wasabi
