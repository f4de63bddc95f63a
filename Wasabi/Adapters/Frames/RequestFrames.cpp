#include "Wasabi/Adapters/Frames/RequestFrames.h"

#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"

#include <algorithm>

namespace wasabi::frames {
namespace {

using flatbuffers::FlatBufferBuilder;
using HeaderOffsets = std::vector<flatbuffers::Offset<wire::Header>>;

constexpr std::size_t BuilderBytes = 16u << 10;

/// Returns the cleared builder of the calling thread.
FlatBufferBuilder &clearedBuilder() {
  thread_local FlatBufferBuilder builder(BuilderBytes);
  builder.Clear();
  return builder;
}

/// Finishes the frame around `Body` and returns a copy of its bytes.
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

std::uint32_t clampMillis(Millis Duration) {
  constexpr std::int64_t MaxMillis = 0xFFFFFFFF;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Duration.count(), 0, MaxMillis));
}

} // namespace

FrameBytes hello(const InstanceName &Instance, const DomainName &Domain,
                 Incarnation Life) {
  FlatBufferBuilder &builder = clearedBuilder();
  return finish(builder,
                wire::CreateHello(builder, builder.CreateString(Instance.Text),
                                  builder.CreateString(Domain.Text), Life,
                                  ProtocolVersion));
}

FrameBytes request(std::uint64_t Id, const RequestAttempt &Attempt,
                   std::uint32_t Credit) {
  FlatBufferBuilder &builder = clearedBuilder();
  HeaderOffsets headers = writeHeaders(builder, Attempt.Http.Headers);
  return finish(builder,
                wire::CreateRequest(
                    builder, Id, builder.CreateString(Attempt.Request),
                    Attempt.Attempt, builder.CreateString(Attempt.Service.Text),
                    builder.CreateString(Attempt.Server.Text),
                    builder.CreateString(Attempt.Http.Method),
                    builder.CreateString(Attempt.Http.Target),
                    builder.CreateVector(headers),
                    writeBytes(builder, Attempt.Http.Body), Attempt.Idempotent,
                    builder.CreateString(Attempt.Key),
                    clampMillis(Attempt.Deadline), Attempt.Priority,
                    builder.CreateString(Attempt.Caller),
                    builder.CreateString(Attempt.Trainer.Text),
                    builder.CreateString(Attempt.Slot), Credit, true));
}

FrameBytes head(std::uint64_t Id, const http::Response &Head,
                const ServerName &Server) {
  FlatBufferBuilder &builder = clearedBuilder();
  HeaderOffsets headers = writeHeaders(builder, Head.Headers);
  return finish(
      builder, wire::CreateResponseHead(builder, Id,
                                        static_cast<std::uint16_t>(Head.Status),
                                        builder.CreateVector(headers),
                                        builder.CreateString(Server.Text)));
}

FrameBytes chunk(std::uint64_t Id, std::uint64_t Position,
                 std::string_view Bytes) {
  FlatBufferBuilder &builder = clearedBuilder();
  return finish(builder, wire::CreateResponseChunk(builder, Id, Position,
                                                   writeBytes(builder, Bytes)));
}

FrameBytes end(std::uint64_t Id, std::uint64_t Total) {
  FlatBufferBuilder &builder = clearedBuilder();
  return finish(builder, wire::CreateResponseEnd(builder, Id, Total));
}

FrameBytes refusal(std::uint64_t Id, const Failure &Error) {
  FlatBufferBuilder &builder = clearedBuilder();
  return finish(builder, wire::CreateRefusal(
                             builder, Id, static_cast<std::uint8_t>(Error.Run),
                             static_cast<std::uint8_t>(Error.Code),
                             builder.CreateString(Error.Place),
                             builder.CreateString(Error.Reason),
                             clampMillis(Error.RetryAfter)));
}

FrameBytes cancel(std::uint64_t Id) {
  FlatBufferBuilder &builder = clearedBuilder();
  return finish(builder, wire::CreateCancel(builder, Id));
}

FrameBytes credit(std::uint64_t Id, std::uint32_t Bytes) {
  FlatBufferBuilder &builder = clearedBuilder();
  return finish(builder, wire::CreateCredit(builder, Id, Bytes));
}

FrameBytes loads(const std::vector<ReportedLoad> &Loads, bool Leaving) {
  FlatBufferBuilder &builder = clearedBuilder();
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
