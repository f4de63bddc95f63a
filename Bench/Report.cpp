#include "Bench/Report.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>

namespace wasabi::bench {

void report(const Measurement &What) {
  boost::json::object line;
  line["bench"] = What.Bench;
  line["metric"] = What.Metric;
  line["value"] = What.Value;
  line["unit"] = What.Unit;
  if (What.Baseline) {
    line["baseline"] = *What.Baseline;
    if (*What.Baseline != 0)
      line["ratio"] = What.Value / *What.Baseline;
  }
  std::string text = boost::json::serialize(line) + "\n";
  std::fputs(text.c_str(), stdout);
  std::fflush(stdout);
}

void logProgress(const std::string &Text) {
  std::string line = Text + "\n";
  std::fputs(line.c_str(), stderr);
}

} // namespace wasabi::bench
