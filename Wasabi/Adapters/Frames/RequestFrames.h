/// \file
/// Writes the request frames. Each function is pure and thread-safe; one
/// builder a thread is reused, so that a frame costs one allocation.
#ifndef WASABI_ADAPTERS_FRAMES_REQUESTFRAMES_H
#define WASABI_ADAPTERS_FRAMES_REQUESTFRAMES_H

#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Adapters/Frames/RequestClient.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabi::frames {

/// The version of the request frames that this program speaks.
inline constexpr std::uint32_t ProtocolVersion = 1;
/// Most body bytes of one chunk frame; longer pieces become several frames.
inline constexpr std::size_t MaxChunkBytes = 256u << 10;

FrameBytes hello(const InstanceName &Instance, const DomainName &Domain,
                 Incarnation Life);
/// `Credit` is how many body bytes may come before the next credit frame.
FrameBytes request(std::uint64_t Id, const RequestAttempt &What,
                   std::uint32_t Credit);
FrameBytes head(std::uint64_t Id, const http::Response &Head,
                const ServerName &Server);
FrameBytes chunk(std::uint64_t Id, std::uint64_t Position,
                 std::string_view Bytes);
FrameBytes end(std::uint64_t Id, std::uint64_t Total);
FrameBytes refusal(std::uint64_t Id, const Failure &Why);
FrameBytes cancel(std::uint64_t Id);
FrameBytes credit(std::uint64_t Id, std::uint32_t Bytes);
FrameBytes loads(const std::vector<ReportedLoad> &Loads, bool Leaving);

} // namespace wasabi::frames

#endif // WASABI_ADAPTERS_FRAMES_REQUESTFRAMES_H
