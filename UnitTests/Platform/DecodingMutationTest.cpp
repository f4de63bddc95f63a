/// \file
/// Guards against damaged registrations and reports that crash the process or
/// are accepted with values that no server can have.
#include "UnitTests/Fuzz/Mutation.h"
#include "platform/Decoding.h"

#include <catch2/catch.hpp>

namespace wasabi::platform {

namespace {

constexpr int Rounds = 4000;
constexpr std::uint64_t Seed = 20261203;

const std::string Registration =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,"stage":"both",)"
    R"("models":[{"name":"m0","version":3,"adapters":[]}],"sequence":4,)"
    R"("born":1764000000123})";
const std::string Report =
    R"({"stage":"both","models":[{"name":"m0","version":3,"adapters":[]}],)"
    R"("busy":false,"sequence":2,"num_waiting":1,"num_running":12,)"
    R"("born":1764000000123})";

void checkRefusal(const Failure &Problem) {
  CHECK(Problem.Run == Verdict::NotRun);
  CHECK_FALSE(Problem.Place.empty());
  CHECK_FALSE(Problem.Reason.empty());
}

} // namespace

TEST_CASE("Damaged registrations are read or refused", "[platform]") {
  std::mt19937_64 random(Seed);
  int refused = 0;
  for (int n = 0; n < Rounds; ++n) {
    const std::string text = fuzz::mutate(Registration, random);
    const std::string id = n % 4 == 0 ? fuzz::mutate("i-7f3a91c2", random)
                                      : std::string("i-7f3a91c2");
    Outcome<UpstreamRegistration> got = toOutcome<UpstreamRegistration>(
        [&] { return decodeRegistration(id, text, "registration"); });
    if (!got) {
      ++refused;
      checkRefusal(got.failure());
      continue;
    }
    INFO(text);
    CHECK(got->Slots > 0);
    CHECK_FALSE(got->Service.empty());
    CHECK_FALSE(got->Endpoint.Host.empty());
    // The id is sent in headers.
    for (char it : got->Id.Text)
      CHECK((it > ' ' && it <= '~'));
  }
  // Some damage is harmless.
  CHECK(refused > Rounds / 4);
  CHECK(refused < Rounds);
}

TEST_CASE("Damaged reports are read or refused", "[platform]") {
  std::mt19937_64 random(Seed);
  for (int n = 0; n < Rounds; ++n) {
    Outcome<EngineReport> got = toOutcome<EngineReport>([&] {
      return decodeEngineReport(fuzz::mutate(Report, random), "report");
    });
    if (!got)
      checkRefusal(got.failure());
  }
}

} // namespace wasabi::platform
