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

/// Longest span that a frame can tell.
constexpr std::uint32_t MostMillis = std::numeric_limits<std::uint32_t>::max();

std::uint32_t millis(Millis Span) {
  std::int64_t count = std::clamp<std::int64_t>(Span.count(), 0, MostMillis);
  return static_cast<std::uint32_t>(count);
}

std::string text(const flatbuffers::String *From) {
  return From == nullptr ? std::string() : From->str();
}

/// An empty text takes no room in the frame.
TextOffset put(FlatBufferBuilder &Builder, const std::string &Text) {
  return Text.empty() ? TextOffset() : Builder.CreateString(Text);
}

TextOffset put(FlatBufferBuilder &Builder, const Address &Where) {
  return Where.empty() ? TextOffset() : Builder.CreateString(toText(Where));
}

// ---- members ----

flatbuffers::Offset<wire::ServerState> put(FlatBufferBuilder &Builder,
                                           const ServerStatus &Server) {
  TextOffset name = put(Builder, Server.Name.Text);
  TextOffset service = Builder.CreateSharedString(Server.Service.Text);
  return wire::CreateServerState(Builder, name, service, Server.Version,
                                 Server.Slots, Server.Serving);
}

flatbuffers::Offset<wire::MemberState> put(FlatBufferBuilder &Builder,
                                           const MemberUpdate &News) {
  const Member &who = News.Subject;
  std::vector<flatbuffers::Offset<wire::ServerState>> servers;
  servers.reserve(who.Servers.size());
  for (const ServerStatus &it : who.Servers)
    servers.push_back(put(Builder, it));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::ServerState>>>
      list;
  if (!servers.empty())
    list = Builder.CreateVector(servers);
  TextOffset instance = put(Builder, who.Instance.Text);
  TextOffset domain = who.Domain.empty()
                          ? TextOffset()
                          : Builder.CreateSharedString(who.Domain.Text);
  TextOffset requests = put(Builder, who.Requests);
  TextOffset control = put(Builder, who.Control);
  TextOffset admin = put(Builder, who.Admin);
  TextOffset accuser = put(Builder, News.Accuser.Text);
  return wire::CreateMemberState(
      Builder, instance, domain, static_cast<std::uint8_t>(who.Kind), who.Life,
      requests, control, admin, static_cast<std::uint8_t>(who.State), who.Stamp,
      list, accuser);
}

/// An absent or malformed address reads as none.
Address addressFrom(const flatbuffers::String *From) {
  if (From == nullptr || From->size() == 0)
    return {};
  std::string text = From->str();
  Outcome<Address> read = toOutcome<Address>(
      [&]() { return parseAddress(text, "member's address"); });
  return read ? *read : Address();
}

std::optional<MemberUpdate> newsFrom(const wire::MemberState &From) {
  if (From.role() > static_cast<std::uint8_t>(Role::Daemon) ||
      From.health() > static_cast<std::uint8_t>(Health::Dead))
    return std::nullopt;
  MemberUpdate news;
  Member &who = news.Subject;
  who.Instance = InstanceName(text(From.instance()));
  who.Domain = DomainName(text(From.domain()));
  who.Kind = static_cast<Role>(From.role());
  who.Life = From.incarnation();
  who.Requests = addressFrom(From.requests());
  who.Control = addressFrom(From.control());
  who.Admin = addressFrom(From.admin());
  who.State = static_cast<Health>(From.health());
  who.Stamp = From.stamp();
  if (From.servers() != nullptr) {
    for (const wire::ServerState *it : *From.servers())
      who.Servers.push_back(ServerStatus{
          ServerName(text(it->name())), ServiceName(text(it->service())),
          it->version(), it->slots(), it->serving()});
  }
  news.Accuser = InstanceName(text(From.accuser()));
  if (who.Instance.empty())
    return std::nullopt;
  return news;
}

// ---- gossip, alike in probes and their answers ----

struct GossipOffsets {
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::MemberState>>>
      News;
  flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> Digests;
};

GossipOffsets put(FlatBufferBuilder &Builder, const Gossip &Carried) {
  GossipOffsets offsets;
  std::vector<flatbuffers::Offset<wire::MemberState>> news;
  news.reserve(Carried.Updates.size());
  for (const MemberUpdate &it : Carried.Updates)
    news.push_back(put(Builder, it));
  if (!news.empty())
    offsets.News = Builder.CreateVector(news);
  if (!Carried.Digests.empty())
    offsets.Digests = Builder.CreateVector(Carried.Digests);
  return offsets;
}

/// Works for `Ping` and `Ack`, which carry the same. Nothing for a member that
/// no sender of this schema could have meant.
template <typename Table> std::optional<Gossip> gossipFrom(const Table &From) {
  Gossip carried;
  if (From.members() != nullptr) {
    for (const wire::MemberState *it : *From.members()) {
      std::optional<MemberUpdate> news = newsFrom(*it);
      if (!news)
        return std::nullopt;
      carried.Updates.push_back(std::move(*news));
    }
  }
  if (From.digests() != nullptr)
    carried.Digests.assign(From.digests()->begin(), From.digests()->end());
  carried.Full = From.full();
  carried.Next = From.next();
  carried.CaughtUpAge = Millis(From.log_age_ms());
  carried.At = HybridTime{From.hlc_wall(), From.hlc_count()};
  return carried;
}

// ---- encoding, one function a message ----

BodyOffset put(FlatBufferBuilder &Builder, const PingMessage &What) {
  GossipOffsets carried = put(Builder, What.Piggybacked);
  TextOffset from = put(Builder, What.From);
  TextOffset target = put(Builder, What.Target);
  const Gossip &it = What.Piggybacked;
  return {wire::Body::Ping,
          wire::CreatePing(Builder, What.Sequence, from, target, carried.News,
                           it.Next, it.Full, it.At.Wall, it.At.Count,
                           millis(it.CaughtUpAge), carried.Digests)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const AckMessage &What) {
  GossipOffsets carried = put(Builder, What.Piggybacked);
  TextOffset from = put(Builder, What.From);
  const Gossip &it = What.Piggybacked;
  return {wire::Body::Ack,
          wire::CreateAck(Builder, What.Sequence, from, carried.News, it.Next,
                          it.Full, it.At.Wall, it.At.Count,
                          millis(it.CaughtUpAge), carried.Digests)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const PingRequestMessage &What) {
  TextOffset from = put(Builder, What.From);
  TextOffset target = put(Builder, What.Target);
  return {
      wire::Body::PingRequest,
      wire::CreatePingRequest(Builder, What.Sequence, from, target).Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const PingAnswerMessage &What) {
  TextOffset target = put(Builder, What.Target);
  return {wire::Body::PingAnswer,
          wire::CreatePingAnswer(Builder, What.Sequence, target, What.Reached)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const LogPushMessage &What) {
  std::vector<flatbuffers::Offset<wire::LogRecord>> records;
  for (const LogEntry &it : What.Records) {
    TextOffset body = put(Builder, it.Text);
    records.push_back(wire::CreateLogRecord(Builder, it.At, body));
  }
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::LogRecord>>>
      list = Builder.CreateVector(records);
  TextOffset from = put(Builder, What.From);
  return {wire::Body::LogPush,
          wire::CreateLogPush(Builder, from, list, What.Next, What.First,
                              millis(What.CaughtUpAge), What.Sequence)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const LogRequestMessage &What) {
  TextOffset from = put(Builder, What.From);
  return {wire::Body::LogAsk,
          wire::CreateLogAsk(Builder, What.Sequence, from, What.Start).Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const StateRequestMessage &What) {
  TextOffset from = put(Builder, What.From);
  return {wire::Body::StateAsk,
          wire::CreateStateAsk(Builder, What.Sequence, from).Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const StateResponseMessage &What) {
  TextOffset hash = put(Builder, What.Hash);
  TextOffset state = put(Builder, What.State);
  return {wire::Body::StateGive,
          wire::CreateStateGive(Builder, What.Sequence, What.Next, hash, state)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const OrderRequestMessage &What) {
  TextOffset from = put(Builder, What.From);
  TextOffset server = put(Builder, What.What.Server.Text);
  TextOffset resource = put(Builder, What.What.Resource);
  TextOffset model = put(Builder, What.What.Model.Text);
  return {wire::Body::OrderAsk,
          wire::CreateOrderAsk(Builder, What.Sequence, from, server, resource,
                               What.What.Token, model, What.What.Version)
              .Union()};
}

BodyOffset put(FlatBufferBuilder &Builder, const OrderResponseMessage &What) {
  if (What.Answer)
    return {wire::Body::OrderDone,
            wire::CreateOrderDone(Builder, What.Sequence, true,
                                  What.Answer->Version)
                .Union()};
  const Failure &why = What.Answer.failure();
  TextOffset place = put(Builder, why.Place);
  TextOffset reason = put(Builder, why.Reason);
  return {wire::Body::OrderDone,
          wire::CreateOrderDone(Builder, What.Sequence, false, 0,
                                static_cast<std::uint8_t>(why.Run),
                                static_cast<std::uint8_t>(why.Code), place,
                                reason)
              .Union()};
}

// ---- decoding ----

Failure malformed(std::string Reason) {
  return Failure{Verdict::NotRun, FailureCode::BadInput, "control frame",
                 std::move(Reason), Millis(0)};
}

Outcome<ControlMessage> pingFrom(const wire::Ping &From) {
  std::optional<Gossip> carried = gossipFrom(From);
  if (!carried)
    return malformed("ping: a member without name, or of unknown health");
  return ControlMessage(PingMessage{From.sequence(), text(From.from()),
                                    text(From.target()), std::move(*carried)});
}

Outcome<ControlMessage> ackFrom(const wire::Ack &From) {
  std::optional<Gossip> carried = gossipFrom(From);
  if (!carried)
    return malformed("ack: a member without name, or of unknown health");
  return ControlMessage(
      AckMessage{From.sequence(), text(From.from()), std::move(*carried)});
}

Outcome<ControlMessage> pushFrom(const wire::LogPush &From) {
  LogPushMessage push;
  push.Sequence = From.sequence();
  push.From = text(From.from());
  push.Next = From.next();
  push.First = From.first();
  push.CaughtUpAge = Millis(From.log_age_ms());
  if (From.records() != nullptr) {
    for (const wire::LogRecord *it : *From.records())
      push.Records.push_back(LogEntry{it->offset(), text(it->text())});
  }
  return ControlMessage(std::move(push));
}

Outcome<ControlMessage> doneFrom(const wire::OrderDone &From) {
  if (From.ok())
    return ControlMessage(
        OrderResponseMessage{From.sequence(), OrderAnswer{From.version()}});
  if (From.run() > static_cast<std::uint8_t>(Verdict::Ran) ||
      From.code() > static_cast<std::uint8_t>(FailureCode::Internal))
    return malformed("order done: unknown verdict or code");
  Failure why{static_cast<Verdict>(From.run()),
              static_cast<FailureCode>(From.code()), text(From.place()),
              text(From.reason()), Millis(0)};
  return ControlMessage(OrderResponseMessage{From.sequence(), std::move(why)});
}

ControlMessage orderFrom(const wire::OrderAsk &From) {
  Order what{ServerName(text(From.server())), text(From.resource()),
             From.token(), ModelName(text(From.model())), From.version()};
  return OrderRequestMessage{From.sequence(), text(From.from()),
                             std::move(what)};
}

} // namespace

std::vector<std::uint8_t> encodeControl(const ControlMessage &What) {
  FlatBufferBuilder builder(256);
  BodyOffset body =
      std::visit([&](const auto &it) { return put(builder, it); }, What);
  builder.Finish(wire::CreateFrame(builder, body.first, body.second));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

Outcome<ControlMessage> decodeControl(const std::vector<std::uint8_t> &Frame) {
  const wire::Frame *frame = wire::GetFrame(Frame.data());
  if (frame->body() == nullptr)
    return malformed("it has no body");
  switch (frame->body_type()) {
  case wire::Body::Ping:
    return pingFrom(*frame->body_as_Ping());
  case wire::Body::Ack:
    return ackFrom(*frame->body_as_Ack());
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
    return pushFrom(*frame->body_as_LogPush());
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
    return orderFrom(*frame->body_as_OrderAsk());
  case wire::Body::OrderDone:
    return doneFrom(*frame->body_as_OrderDone());
  default:
    return malformed("its kind is not one of the control frames");
  }
}

std::uint64_t sequenceOf(const ControlMessage &What) {
  return std::visit(
      [](const auto &it) -> std::uint64_t {
        if constexpr (requires { it.Sequence; })
          return it.Sequence;
        else
          return 0;
      },
      What);
}

} // namespace wasabi
