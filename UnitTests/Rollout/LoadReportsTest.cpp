/// \file
/// A load report counts only while its daemon goes on reporting.
#include "Wasabi/Rollout/LoadReports.h"

#include <catch2/catch.hpp>

using namespace wasabi;

TEST_CASE("A load report of a daemon that went silent no longer counts") {
  LoadReports reports;
  const TimePoint begin{Micros(5000000)};
  const ServerName server("drafting-llm-3");
  CHECK(reports.find(server, begin) == nullptr);

  // The last word of a daemon that is replaced: it leaves, on an old version.
  ReportedLoad last;
  last.Server = server;
  last.Version = 12;
  last.Serving = false;
  reports.take(last, begin);
  REQUIRE(reports.find(server, begin + LoadReportTimeout) != nullptr);
  CHECK(*reports.find(server, begin + LoadReportTimeout) == last);
  CHECK(reports.find(server, begin + LoadReportTimeout + Micros(1)) == nullptr);

  // Its successor reports again.
  ReportedLoad next = last;
  next.Version = 14;
  next.Serving = true;
  reports.take(next, begin + Millis(5000));
  REQUIRE(reports.find(server, begin + Millis(5100)) != nullptr);
  CHECK(reports.find(server, begin + Millis(5100))->Version == 14);
}
