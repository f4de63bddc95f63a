#include "platform/BootSettings.h"

#include "Wasabi/Core/Verdict.h"

#include <catch2/catch.hpp>

namespace wasabi::platform {

namespace {

std::string makeSettings(const std::string &Limits) {
  return R"({"node_name":"edge-1","zone":"hall","ip":"10.1.0.35",
    "listen":{"front":"10.1.0.35:8144"},"platform":{"address":"10.200.1.7:8142"},
    "bounds":{}, "limits":)" +
         Limits + "}";
}

} // namespace

// Guards against a process that does not know its memory, or bounds what it
// holds where none is given.
TEST_CASE("The memory limit is optional and must be positive", "[platform]") {
  Outcome<BootSettings> got = toOutcome<BootSettings>([] {
    return parseBootSettings(makeSettings(R"({"memory_mb":120})"), "x.json");
  });
  REQUIRE(got);
  CHECK(got->MemoryBytes == 120u << 20);
  got = toOutcome<BootSettings>([] {
    return parseBootSettings(makeSettings(R"({"cpu_share":0.5})"), "x.json");
  });
  REQUIRE(got);
  CHECK(got->MemoryBytes == 0);
  Outcome<BootSettings> wrong = toOutcome<BootSettings>([] {
    return parseBootSettings(makeSettings(R"({"memory_mb":-1})"), "x.json");
  });
  REQUIRE_FALSE(wrong);
  CHECK(wrong.failure().Code == FailureCode::BadInput);
}

// Guards against connections beyond what the machine can open.
TEST_CASE("The limit of descriptors is optional and must be positive",
          "[platform]") {
  Outcome<BootSettings> got = toOutcome<BootSettings>([] {
    return parseBootSettings(makeSettings(R"({"max_fds":8200})"), "x.json");
  });
  REQUIRE(got);
  CHECK(got->MaxDescriptors == 8200);
  got = toOutcome<BootSettings>(
      [] { return parseBootSettings(makeSettings("{}"), "x.json"); });
  REQUIRE(got);
  CHECK(got->MaxDescriptors == 0);
  got = toOutcome<BootSettings>([] {
    return parseBootSettings(makeSettings(R"({"max_fds":0})"), "x.json");
  });
  CHECK_FALSE(got);
}

} // namespace wasabi::platform
