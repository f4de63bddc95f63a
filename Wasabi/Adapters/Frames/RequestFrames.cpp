#include "Wasabi/Adapters/Frames/RequestFrames.h"

#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"

#include <algorithm>

namespace wasabi::frames {
namespace {

using flatbuffers::FlatBufferBuilder;
using HeaderOffsets = std::vector<flatbuffers::Offset<wire::Header>>;

constexpr std::size_t BuilderBytes = 16u << 10;

/// The thread's builder, emptied.
FlatBufferBuilder &freshBuilder() {
  thread_local FlatBufferBuilder builder(BuilderBytes);
  builder.Clear();
  return builder;
}

/// Closes the frame round its body and copies it out of the builder.
template <typename Table>
FrameBytes finish(FlatBufferBuilder &Builder, flatbuffers::Offset<Table> Body) {
  Builder.Finish(wire::CreateFrame(Builder, wire::BodyTraits<Table>::enum_value,
                                   Body.Union()));
  const std::uint8_t *begin = Builder.GetBufferPointer();
  return FrameBytes(begin, begin + Builder.GetSize());
}

HeaderOffsets writeHeaders(FlatBufferBuilder &Builder,
                           const std::vector<http::Header> &Headers) {
  HeaderOffsets offsets;
  offsets.reserve(Headers.size());
  for (const http::Header &it : Headers)
    offsets.push_back(wire::CreateHeader(Builder, Builder.CreateString(it.Name),
                                         Builder.CreateString(it.Value)));
  return offsets;
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
writeBytes(FlatBufferBuilder &Builder, std::string_view Bytes) {
  return Builder.CreateVector(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
}

std::uint32_t clampMillis(Millis Span) {
  constexpr std::int64_t Most = 0xFFFFFFFF;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Span.count(), 0, Most));
}

} // namespace

FrameBytes hello(const InstanceName &Instance, const DomainName &Domain,
                 Incarnation Life) {
  FlatBufferBuilder &builder = freshBuilder();
  return finish(builder,
                wire::CreateHello(builder, builder.CreateString(Instance.Text),
                                  builder.CreateString(Domain.Text), Life,
                                  ProtocolVersion));
}

FrameBytes request(std::uint64_t Id, const RequestAttempt &What,
                   std::uint32_t Credit) {
  FlatBufferBuilder &builder = freshBuilder();
  HeaderOffsets headers = writeHeaders(builder, What.Http.Headers);
  return finish(builder,
                wire::CreateRequest(
                    builder, Id, builder.CreateString(What.Request),
                    What.Attempt, builder.CreateString(What.Service.Text),
                    builder.CreateString(What.Server.Text),
                    builder.CreateString(What.Http.Method),
                    builder.CreateString(What.Http.Target),
                    builder.CreateVector(headers),
                    writeBytes(builder, What.Http.Body), What.Idempotent,
                    builder.CreateString(What.Key), clampMillis(What.Deadline),
                    What.Priority, builder.CreateString(What.Caller),
                    builder.CreateString(What.Trainer.Text),
                    builder.CreateString(What.Slot), Credit, true));
}

FrameBytes head(std::uint64_t Id, const http::Response &Head,
                const ServerName &Server) {
  FlatBufferBuilder &builder = freshBuilder();
  HeaderOffsets headers = writeHeaders(builder, Head.Headers);
  return finish(
      builder, wire::CreateResponseHead(builder, Id,
                                        static_cast<std::uint16_t>(Head.Status),
                                        builder.CreateVector(headers),
                                        builder.CreateString(Server.Text)));
}

FrameBytes chunk(std::uint64_t Id, std::uint64_t Position,
                 std::string_view Bytes) {
  FlatBufferBuilder &builder = freshBuilder();
  return finish(builder, wire::CreateResponseChunk(builder, Id, Position,
                                                   writeBytes(builder, Bytes)));
}

FrameBytes end(std::uint64_t Id, std::uint64_t Total) {
  FlatBufferBuilder &builder = freshBuilder();
  return finish(builder, wire::CreateResponseEnd(builder, Id, Total));
}

FrameBytes refusal(std::uint64_t Id, const Failure &Why) {
  FlatBufferBuilder &builder = freshBuilder();
  return finish(builder, wire::CreateRefusal(
                             builder, Id, static_cast<std::uint8_t>(Why.Run),
                             static_cast<std::uint8_t>(Why.Code),
                             builder.CreateString(Why.Place),
                             builder.CreateString(Why.Reason),
                             clampMillis(Why.RetryAfter)));
}

FrameBytes cancel(std::uint64_t Id) {
  FlatBufferBuilder &builder = freshBuilder();
  return finish(builder, wire::CreateCancel(builder, Id));
}

FrameBytes credit(std::uint64_t Id, std::uint32_t Bytes) {
  FlatBufferBuilder &builder = freshBuilder();
  return finish(builder, wire::CreateCredit(builder, Id, Bytes));
}

FrameBytes loads(const std::vector<ReportedLoad> &Loads, bool Leaving) {
  FlatBufferBuilder &builder = freshBuilder();
  std::vector<flatbuffers::Offset<wire::ServerLoad>> offsets;
  offsets.reserve(Loads.size());
  for (const ReportedLoad &it : Loads)
    offsets.push_back(wire::CreateServerLoad(
        builder, builder.CreateString(it.Server.Text),
        builder.CreateString(it.Service.Text), it.Running, it.Queued, it.Limit,
        it.Version, it.Serving));
  return finish(builder, wire::CreateLoadReport(
                             builder, builder.CreateVector(offsets), Leaving));
}

} // namespace wasabi::frames
