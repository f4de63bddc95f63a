#include "Wasabi/Adapters/Telemetry/Log.h"

#include <catch2/catch.hpp>

using wasabi::LogLevel;
using wasabi::Outcome;

TEST_CASE("A log line is one JSON object with time, level and instance") {
  std::string line = wasabi::formatLogLine(
      1'700'000'000'000'042, LogLevel::Warning, "lulea-1", "say \"hi\"\n",
      {{"request", "r1"}, {"offset", "7"}});
  CHECK(line == "{\"time\":\"2023-11-14T22:13:20.000042Z\","
                "\"level\":\"warning\",\"instance\":\"lulea-1\","
                "\"message\":\"say \\\"hi\\\"\\n\",\"request\":\"r1\","
                "\"offset\":\"7\"}");
}

TEST_CASE("Values of secret fields are redacted") {
  for (const char *key : {"Authorization", "client_secret", "db-password",
                          "X-Api-Key", "Cookie"}) {
    std::string line =
        wasabi::formatLogLine(0, LogLevel::Info, "i", "m", {{key, "hunter2"}});
    CHECK(line.find("hunter2") == std::string::npos);
  }
  // A fencing token is not redacted.
  std::string line =
      wasabi::formatLogLine(0, LogLevel::Info, "i", "m", {{"fence", "12"}});
  CHECK_THAT(line, Catch::Contains("\"fence\":\"12\""));
}

TEST_CASE("Level names are parsed, other words are refused") {
  for (LogLevel it :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
    CHECK(wasabi::parseLogLevel(wasabi::toText(it), "--log_level").value() ==
          it);
  }
  Outcome<LogLevel> bad = wasabi::toOutcome<LogLevel>(
      [] { return wasabi::parseLogLevel("loud", "--log_level"); });
  REQUIRE_FALSE(bad);
  CHECK(bad.failure().Place == "--log_level");
}
