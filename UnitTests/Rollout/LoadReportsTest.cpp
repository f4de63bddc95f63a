/// \file
/// Guards against using the load report of a daemon that no longer reports.
#include "Wasabi/Rollout/LoadReports.h"

#include <catch2/catch.hpp>

using namespace wasabi;

TEST_CASE("The load report of a silent daemon expires") {
  LoadReports reports;
  const TimePoint begin{Micros(5000000)};
  const ServerName server("drafting-llm-3");
  CHECK(reports.find(server, begin) == nullptr);

  // The last report of a daemon before its replacement: not serving, with an
  // old version.
  ReportedLoad last;
  last.Server = server;
  last.Version = 12;
  last.Serving = false;
  reports.update(last, begin);
  REQUIRE(reports.find(server, begin + LoadReportTimeout) != nullptr);
  CHECK(*reports.find(server, begin + LoadReportTimeout) == last);
  CHECK(reports.find(server, begin + LoadReportTimeout + Micros(1)) == nullptr);

  // The replacement reports.
  ReportedLoad next = last;
  next.Version = 14;
  next.Serving = true;
  reports.update(next, begin + Millis(5000));
  REQUIRE(reports.find(server, begin + Millis(5100)) != nullptr);
  CHECK(reports.find(server, begin + Millis(5100))->Version == 14);
}
