#include "Bench/Report.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>

namespace wasabi::bench {

void report(const Measurement &Result) {
  boost::json::object line;
  line["bench"] = Result.Bench;
  line["metric"] = Result.Metric;
  line["value"] = Result.Value;
  line["unit"] = Result.Unit;
  if (Result.Baseline) {
    line["baseline"] = *Result.Baseline;
    if (*Result.Baseline != 0)
      line["ratio"] = Result.Value / *Result.Baseline;
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
