#include "Wasabi/Node/ControlMessage.h"
#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"

#include <catch2/catch.hpp>

#include <utility>

namespace wasabi {
namespace {

/// What comes out of a message's frame.
template <typename Message> Message roundTrip(const Message &What) {
  std::vector<std::uint8_t> frame = encodeControl(What);
  flatbuffers::Verifier verifier(frame.data(), frame.size());
  REQUIRE(wire::VerifyFrameBuffer(verifier));
  Outcome<ControlMessage> read = decodeControl(frame);
  REQUIRE(read);
  REQUIRE(std::holds_alternative<Message>(*read));
  return std::get<Message>(*read);
}

Gossip someGossip() {
  MemberUpdate news;
  news.Subject.Instance = InstanceName("daemon-1");
  news.Subject.Domain = DomainName("pasig-a");
  news.Subject.Life = 77;
  news.Subject.Requests = Address{"127.0.0.1", 1};
  news.Subject.Control = Address{"127.0.0.1", 2};
  news.Subject.Admin = Address{"127.0.0.1", 3};
  news.Subject.Stamp = 5;
  news.Subject.Servers.push_back(ServerStatus{
      ServerName("inspect-1"), ServiceName("inspect-llm"), 9, 4, false});
  MemberUpdate suspect;
  suspect.Subject.Instance = InstanceName("daemon-2");
  suspect.Subject.State = Health::Suspect;
  suspect.Accuser = InstanceName("daemon-3");
  Gossip carried;
  carried.Updates = {news, suspect};
  carried.Digests = {1, 2, 3};
  carried.Full = true;
  carried.Next = 42;
  carried.CaughtUpAge = Millis(150);
  carried.At = HybridTime{1000, 2};
  return carried;
}

} // namespace

TEST_CASE("Control messages come out of their frames as they went in",
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
  StateResponseMessage give{6, 8, "hash", "{}"};
  CHECK(roundTrip(give) == give);
  OrderRequestMessage order{
      7, "a", Order{ServerName("s"), "weights/m", 3, ModelName("m"), 4}};
  CHECK(roundTrip(order) == order);
}

TEST_CASE("An order's failure keeps its verdict", "[node][frames]") {
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

TEST_CASE("A frame of another kind, or of values out of range, is refused",
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
