#include "Wasabi/Node/ControlMessage.h"
#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"

#include <catch2/catch.hpp>

#include <utility>

namespace wasabi {
namespace {

/// Encodes a message and returns its decoded form.
template <typename Message> Message roundTrip(const Message &Input) {
  std::vector<std::uint8_t> frame = encodeControl(Input);
  flatbuffers::Verifier verifier(frame.data(), frame.size());
  REQUIRE(wire::VerifyFrameBuffer(verifier));
  Outcome<ControlMessage> read = decodeControl(frame);
  REQUIRE(read);
  REQUIRE(std::holds_alternative<Message>(*read));
  return std::get<Message>(*read);
}

Gossip someGossip() {
  MemberUpdate update;
  update.Subject.Instance = InstanceName("daemon-1");
  update.Subject.Domain = DomainName("pasig-a");
  update.Subject.Life = 77;
  update.Subject.Requests = Address{"127.0.0.1", 1};
  update.Subject.Control = Address{"127.0.0.1", 2};
  update.Subject.Admin = Address{"127.0.0.1", 3};
  update.Subject.Stamp = 5;
  update.Subject.Servers.push_back(ServerStatus{
      ServerName("inspect-1"), ServiceName("inspect-llm"), 9, 4, false});
  MemberUpdate suspect;
  suspect.Subject.Instance = InstanceName("daemon-2");
  suspect.Subject.State = Health::Suspect;
  suspect.Accuser = InstanceName("daemon-3");
  Gossip gossip;
  gossip.Updates = {update, suspect};
  gossip.Digests = {1, 2, 3};
  gossip.IsFullSync = true;
  gossip.Next = 42;
  gossip.CaughtUpAge = Millis(150);
  gossip.At = HybridTime{1000, 2};
  return gossip;
}

} // namespace

TEST_CASE("Control messages are unchanged by encoding and decoding",
          "[node][frames]") {
  PingMessage ping{3, "a", "b", someGossip()};
  CHECK(roundTrip(ping) == ping);
  AckMessage ack{3, "b", someGossip()};
  CHECK(roundTrip(ack) == ack);
  PingRequestMessage request{4, "a", "c"};
  CHECK(roundTrip(request) == request);
  PingAnswerMessage answer{4, "c", true};
  CHECK(roundTrip(answer) == answer);
  LogPushMessage push{9, "a", {LogEntry{7, "text"}}, 8, 1, Millis(20)};
  CHECK(roundTrip(push) == push);
  LogRequestMessage ask{5, "a", 7};
  CHECK(roundTrip(ask) == ask);
  StateRequestMessage state{6, "a"};
  CHECK(roundTrip(state) == state);
  StateResponseMessage response{6, 8, "hash", "{}"};
  CHECK(roundTrip(response) == response);
  OrderRequestMessage order{
      7, "a", Order{ServerName("s"), "weights/m", 3, ModelName("m"), 4}};
  CHECK(roundTrip(order) == order);
}

TEST_CASE("The failure of an order keeps its verdict", "[node][frames]") {
  Failure why{Verdict::NotRun, FailureCode::StaleFence, "server s",
              "token 3 is older than 4", Millis(0)};
  OrderResponseMessage done;
  done.Sequence = 7;
  done.Answer = why;
  OrderResponseMessage read = roundTrip(done);
  CHECK(read.Sequence == 7);
  REQUIRE(!read.Answer);
  CHECK(read.Answer.failure() == why);
}

TEST_CASE("Frames of another kind or with values out of range are rejected",
          "[node][frames]") {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateFrame(builder, wire::Body::Cancel,
                                   wire::CreateCancel(builder, 1).Union()));
  std::vector<std::uint8_t> frame(builder.GetBufferPointer(),
                                  builder.GetBufferPointer() +
                                      builder.GetSize());
  CHECK(!decodeControl(frame));

  flatbuffers::FlatBufferBuilder empty;
  empty.Finish(wire::CreateFrame(empty));
  std::vector<std::uint8_t> none(empty.GetBufferPointer(),
                                 empty.GetBufferPointer() + empty.GetSize());
  CHECK(!decodeControl(none));

  PingMessage ping{3, "a", "b", someGossip()};
  ping.Piggybacked.Updates.front().Subject.State = static_cast<Health>(9);
  CHECK(!decodeControl(encodeControl(ping)));
}

} // namespace wasabi
