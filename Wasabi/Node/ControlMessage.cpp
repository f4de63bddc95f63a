#include "Wasabi/Node/ControlMessage.h"

#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace wasabi {
namespace {

using flatbuffers::FlatBufferBuilder;
using TextOffset = flatbuffers::Offset<flatbuffers::String>;
using BodyOffset = std::pair<wire::Body, flatbuffers::Offset<void>>;

/// Maximum duration that a frame can hold, in milliseconds.
constexpr std::uint32_t MaxMillis = std::numeric_limits<std::uint32_t>::max();

std::uint32_t millis(Millis Span) {
  std::int64_t count = std::clamp<std::int64_t>(Span.count(), 0, MaxMillis);
  return static_cast<std::uint32_t>(count);
}

std::string text(const flatbuffers::String *Source) {
  return Source == nullptr ? std::string() : Source->str();
}

/// Omits empty strings from the frame.
TextOffset put(FlatBufferBuilder &Builder, const std::string &Text) {
  return Text.empty() ? TextOffset() : Builder.CreateString(Text);
}

TextOffset put(FlatBufferBuilder &Builder, const Address &Where) {
  return Where.empty() ? TextOffset() : Builder.CreateString(toText(Where));
}

// ---- Members ----

flatbuffers::Offset<wire::ServerState> put(FlatBufferBuilder &Builder,
                                           const ServerStatus &Server) {
  TextOffset name = put(Builder, Server.Name.Text);
  TextOffset service = Builder.CreateSharedString(Server.Service.Text);
  return wire::CreateServerState(Builder, name, service, Server.Version,
                                 Server.Slots, Server.Serving);
}

flatbuffers::Offset<wire::MemberState> put(FlatBufferBuilder &Builder,
                                           const MemberUpdate &Update) {
  const Member &member = Update.Subject;
  std::vector<flatbuffers::Offset<wire::ServerState>> servers;
  servers.reserve(member.Servers.size());
  for (const ServerStatus &it : member.Servers)
    servers.push_back(put(Builder, it));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::ServerState>>>
      list;
  if (!servers.empty())
    list = Builder.CreateVector(servers);
  TextOffset instance = put(Builder, member.Instance.Text);
  TextOffset domain = member.Domain.empty()
                          ? TextOffset()
                          : Builder.CreateSharedString(member.Domain.Text);
  TextOffset requests = put(Builder, member.Requests);
  TextOffset control = put(Builder, member.Control);
  TextOffset admin = put(Builder, member.Admin);
  TextOffset accuser = put(Builder, Update.Accuser.Text);
  return wire::CreateMemberState(
      Builder, instance, domain, static_cast<std::uint8_t>(member.Kind),
      member.Life, requests, control, admin,
      static_cast<std::uint8_t>(member.State), member.Stamp, list, accuser);
}

/// Returns an empty address if it is absent or malformed.
Address parseAddressOrEmpty(const flatbuffers::String *Source) {
  if (Source == nullptr || Source->size() == 0)
    return {};
  std::string text = Source->str();
  Outcome<Address> read = toOutcome<Address>(
      [&]() { return parseAddress(text, "member's address"); });
  return read ? *read : Address();
}

std::optional<MemberUpdate> parseUpdate(const wire::MemberState &Source) {
  if (Source.role() > static_cast<std::uint8_t>(Role::Daemon) ||
      Source.health() > static_cast<std::uint8_t>(Health::Dead))
    return std::nullopt;
  MemberUpdate update;
  Member &member = update.Subject;
  member.Instance = InstanceName(text(Source.instance()));
  member.Domain = DomainName(text(Source.domain()));
  member.Kind = static_cast<Role>(Source.role());
  member.Life = Source.incarnation();
  member.Requests = parseAddressOrEmpty(Source.requests());
  member.Control = parseAddressOrEmpty(Source.control());
  member.Admin = parseAddressOrEmpty(Source.admin());
  member.State = static_cast<Health>(Source.health());
  member.Stamp = Source.stamp();
  if (Source.servers() != nullptr) {
    for (const wire::ServerState *it : *Source.servers())
      member.Servers.push_back(ServerStatus{
          ServerName(text(it->name())), ServiceName(text(it->service())),
          it->version(), it->slots(), it->serving()});
  }
  update.Accuser = InstanceName(text(Source.accuser()));
  if (member.Instance.empty())
    return std::nullopt;
  return update;
}

// ---- Gossip of probes and their answers ----

struct GossipOffsets {
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::MemberState>>>
      Updates;
  flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> Digests;
};

GossipOffsets put(FlatBufferBuilder &Builder, const Gossip &Piggybacked) {
  GossipOffsets offsets;
  std::vector<flatbuffers::Offset<wire::MemberState>> updates;
  updates.reserve(Piggybacked.Updates.size());
  for (const MemberUpdate &it : Piggybacked.Updates)
    updates.push_back(put(Builder, it));
  if (!updates.empty())
    offsets.Updates = Builder.CreateVector(updates);
  if (!Piggybacked.Digests.empty())
    offsets.Digests = Builder.CreateVector(Piggybacked.Digests);
  return offsets;
}

/// Decodes the gossip of a `Ping` or an `Ack`. Returns nothing if a member is
/// invalid.
template <typename Table>
std::optional<Gossip> parseGossip(const Table &Source) {
  Gossip gossip;
  if (Source.members() != nullptr) {
    for (const wire::MemberState *it : *Source.members()) {
      std::optional<MemberUpdate> update = parseUpdate(*it);
      if (!update)
        return std::nullopt;
      gossip.Updates.push_back(std::move(*update));
    }
  }
  if (Source.digests() != nullptr)
    gossip.Digests.assign(Source.digests()->begin(), Source.digests()->end());
  gossip.IsFullSync = Source.full();
  gossip.Next = Source.next();
  gossip.CaughtUpAge = Millis(Source.log_age_ms());
  gossip.At = HybridTime{Source.hlc_wall(), Source.hlc_count()};
  return gossip;
}

// ---- Encoding ----

BodyOffset put(FlatBufferBuilder &Builder, const PingMessage &Message) {
  GossipOffsets gossip = put(Builder, Message.Piggybacked);
  TextOffset from = put(Builder, Message.From);
  TextOffset target = put(Builder, Message.Target);
  const Gossip &it = Message.Piggybacked;
  return {wire::Body::Ping,
          wire::CreatePing(Builder, Message.Sequence, from, target,
                           gossip.Updates, it.Next, it.IsFullSync, it.At.Wall,
                           it.At.Count, millis(it.CaughtUpAge), gossip.Digests)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const AckMessage &Message) {
  GossipOffsets gossip = put(Builder, Message.Piggybacked);
  TextOffset from = put(Builder, Message.From);
  const Gossip &it = Message.Piggybacked;
  return {wire::Body::Ack,
          wire::CreateAck(Builder, Message.Sequence, from, gossip.Updates,
                          it.Next, it.IsFullSync, it.At.Wall, it.At.Count,
                          millis(it.CaughtUpAge), gossip.Digests)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const PingRequestMessage &Message) {
  TextOffset from = put(Builder, Message.From);
  TextOffset target = put(Builder, Message.Target);
  return {
      wire::Body::PingRequest,
      wire::CreatePingRequest(Builder, Message.Sequence, from, target).Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const PingAnswerMessage &Message) {
  TextOffset target = put(Builder, Message.Target);
  return {
      wire::Body::PingAnswer,
      wire::CreatePingAnswer(Builder, Message.Sequence, target, Message.Reached)
          .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const LogPushMessage &Message) {
  std::vector<flatbuffers::Offset<wire::LogRecord>> records;
  for (const LogEntry &it : Message.Records) {
    TextOffset body = put(Builder, it.Text);
    records.push_back(wire::CreateLogRecord(Builder, it.At, body));
  }
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::LogRecord>>>
      list = Builder.CreateVector(records);
  TextOffset from = put(Builder, Message.From);
  return {wire::Body::LogPush,
          wire::CreateLogPush(Builder, from, list, Message.Next, Message.First,
                              millis(Message.CaughtUpAge), Message.Sequence)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const LogRequestMessage &Message) {
  TextOffset from = put(Builder, Message.From);
  return {wire::Body::LogAsk,
          wire::CreateLogAsk(Builder, Message.Sequence, from, Message.Start)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const StateRequestMessage &Message) {
  TextOffset from = put(Builder, Message.From);
  return {wire::Body::StateAsk,
          wire::CreateStateAsk(Builder, Message.Sequence, from).Union()};
}

BodyOffset put(FlatBufferBuilder &Builder,
               const StateResponseMessage &Message) {
  TextOffset hash = put(Builder, Message.Hash);
  TextOffset state = put(Builder, Message.State);
  return {wire::Body::StateGive,
          wire::CreateStateGive(Builder, Message.Sequence, Message.Next, hash,
                                state)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const OrderRequestMessage &Message) {
  TextOffset from = put(Builder, Message.From);
  TextOffset server = put(Builder, Message.Command.Server.Text);
  TextOffset resource = put(Builder, Message.Command.Resource);
  TextOffset model = put(Builder, Message.Command.Model.Text);
  return {wire::Body::OrderAsk,
          wire::CreateOrderAsk(Builder, Message.Sequence, from, server,
                               resource, Message.Command.Token, model,
                               Message.Command.Version)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder,
               const OrderResponseMessage &Message) {
  if (Message.Answer)
    return {wire::Body::OrderDone,
            wire::CreateOrderDone(Builder, Message.Sequence, true,
                                  Message.Answer->Version)
                .Union()};
  const Failure &why = Message.Answer.failure();
  TextOffset place = put(Builder, why.Place);
  TextOffset reason = put(Builder, why.Reason);
  return {wire::Body::OrderDone,
          wire::CreateOrderDone(Builder, Message.Sequence, false, 0,
                                static_cast<std::uint8_t>(why.Run),
                                static_cast<std::uint8_t>(why.Code), place,
                                reason)
              .Union()};
}

// ---- Decoding ----

Failure malformed(std::string Reason) {
  return Failure{Verdict::NotRun, FailureCode::BadInput, "control frame",
                 std::move(Reason), Millis(0)};
}

Outcome<ControlMessage> parsePing(const wire::Ping &Source) {
  std::optional<Gossip> gossip = parseGossip(Source);
  if (!gossip)
    return malformed(
        "ping: a member has no name, or an unknown role or health");
  return ControlMessage(PingMessage{Source.sequence(), text(Source.from()),
                                    text(Source.target()), std::move(*gossip)});
}

Outcome<ControlMessage> parseAck(const wire::Ack &Source) {
  std::optional<Gossip> gossip = parseGossip(Source);
  if (!gossip)
    return malformed("ack: a member has no name, or an unknown role or health");
  return ControlMessage(
      AckMessage{Source.sequence(), text(Source.from()), std::move(*gossip)});
}

Outcome<ControlMessage> parseLogPush(const wire::LogPush &Source) {
  LogPushMessage push;
  push.Sequence = Source.sequence();
  push.From = text(Source.from());
  push.Next = Source.next();
  push.First = Source.first();
  push.CaughtUpAge = Millis(Source.log_age_ms());
  if (Source.records() != nullptr) {
    for (const wire::LogRecord *it : *Source.records())
      push.Records.push_back(LogEntry{it->offset(), text(it->text())});
  }
  return ControlMessage(std::move(push));
}

Outcome<ControlMessage> parseOrderResponse(const wire::OrderDone &Source) {
  if (Source.ok())
    return ControlMessage(
        OrderResponseMessage{Source.sequence(), OrderAnswer{Source.version()}});
  if (Source.run() > static_cast<std::uint8_t>(Verdict::Ran) ||
      Source.code() > static_cast<std::uint8_t>(FailureCode::Internal))
    return malformed("order response: unknown verdict or failure code");
  Failure why{static_cast<Verdict>(Source.run()),
              static_cast<FailureCode>(Source.code()), text(Source.place()),
              text(Source.reason()), Millis(0)};
  return ControlMessage(
      OrderResponseMessage{Source.sequence(), std::move(why)});
}

ControlMessage parseOrderRequest(const wire::OrderAsk &Source) {
  Order command{ServerName(text(Source.server())), text(Source.resource()),
                Source.token(), ModelName(text(Source.model())),
                Source.version()};
  return OrderRequestMessage{Source.sequence(), text(Source.from()),
                             std::move(command)};
}

} // namespace

std::vector<std::uint8_t> encodeControl(const ControlMessage &Message) {
  FlatBufferBuilder builder(256);
  BodyOffset body =
      std::visit([&](const auto &it) { return put(builder, it); }, Message);
  builder.Finish(wire::CreateFrame(builder, body.first, body.second));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

Outcome<ControlMessage> decodeControl(const std::vector<std::uint8_t> &Frame) {
  const wire::Frame *frame = wire::GetFrame(Frame.data());
  if (frame->body() == nullptr)
    return malformed("the frame has no body");
  switch (frame->body_type()) {
  case wire::Body::Ping:
    return parsePing(*frame->body_as_Ping());
  case wire::Body::Ack:
    return parseAck(*frame->body_as_Ack());
  case wire::Body::PingRequest: {
    const wire::PingRequest &it = *frame->body_as_PingRequest();
    return ControlMessage(
        PingRequestMessage{it.sequence(), text(it.from()), text(it.target())});
  }
  case wire::Body::PingAnswer: {
    const wire::PingAnswer &it = *frame->body_as_PingAnswer();
    return ControlMessage(
        PingAnswerMessage{it.sequence(), text(it.target()), it.reached()});
  }
  case wire::Body::LogPush:
    return parseLogPush(*frame->body_as_LogPush());
  case wire::Body::LogAsk: {
    const wire::LogAsk &it = *frame->body_as_LogAsk();
    return ControlMessage(
        LogRequestMessage{it.sequence(), text(it.from()), it.start()});
  }
  case wire::Body::StateAsk: {
    const wire::StateAsk &it = *frame->body_as_StateAsk();
    return ControlMessage(StateRequestMessage{it.sequence(), text(it.from())});
  }
  case wire::Body::StateGive: {
    const wire::StateGive &it = *frame->body_as_StateGive();
    return ControlMessage(StateResponseMessage{
        it.sequence(), it.next(), text(it.hash()), text(it.state())});
  }
  case wire::Body::OrderAsk:
    return parseOrderRequest(*frame->body_as_OrderAsk());
  case wire::Body::OrderDone:
    return parseOrderResponse(*frame->body_as_OrderDone());
  default:
    return malformed("the body is not a control message");
  }
}

std::uint64_t sequenceOf(const ControlMessage &Message) {
  return std::visit(
      [](const auto &it) -> std::uint64_t {
        if constexpr (requires { it.Sequence; })
          return it.Sequence;
        else
          return 0;
      },
      Message);
}

} // namespace wasabi
