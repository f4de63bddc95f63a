/// \file
/// Damaged control frames that pass the verifier are read or rejected without a
/// crash.
#include "UnitTests/Fuzz/Mutation.h"
#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"
#include "Wasabi/Node/ControlMessage.h"

#include <catch2/catch.hpp>

using namespace wasabi;

namespace {

constexpr int Rounds = 20000;
constexpr std::uint64_t Seed = 31;

std::vector<ControlMessage> goodMessages() {
  Gossip gossip;
  MemberUpdate news;
  news.Subject.Instance = InstanceName("lulea-1");
  news.Subject.Control = Address{"127.0.0.1", 2};
  news.Subject.Servers.push_back(
      ServerStatus{ServerName("llm-1"), ServiceName("llm"), 9, 4, false});
  gossip.Updates = {news};
  gossip.Digests = {1, 2, 3};
  return {PingMessage{3, "a", "b", gossip}, PingRequestMessage{4, "a", "c"},
          LogPushMessage{9, "a", {LogEntry{7, "text"}}, 8, 1, Millis(20)}};
}

} // namespace

TEST_CASE("Damaged control frames are read or refused") {
  std::mt19937_64 engine(Seed);
  const std::vector<ControlMessage> good = goodMessages();
  int verified = 0;
  for (int n = 0; n < Rounds; ++n) {
    const std::vector<std::uint8_t> frame =
        encodeControl(good[static_cast<std::size_t>(n) % good.size()]);
    const std::string damaged =
        fuzz::mutate(std::string(frame.begin(), frame.end()), engine);
    const std::vector<std::uint8_t> bytes(damaged.begin(), damaged.end());
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyFrameBuffer(verifier))
      continue;
    ++verified;
    const Outcome<ControlMessage> read = decodeControl(bytes);
    if (!read)
      CHECK_FALSE(read.failure().Reason.empty());
  }
  // Requires that some damaged frames pass the verifier.
  CHECK(verified > Rounds / 100);
}
