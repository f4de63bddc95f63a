/// \file
/// Encodes the request frames. The functions are pure and thread-safe; each
/// thread reuses one builder.
#ifndef WASABI_ADAPTERS_FRAMES_REQUESTFRAMES_H
#define WASABI_ADAPTERS_FRAMES_REQUESTFRAMES_H

#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Adapters/Frames/RequestClient.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabi::frames {

/// The version of the request frames that this program implements.
inline constexpr std::uint32_t ProtocolVersion = 1;
/// Maximum number of body bytes in one chunk frame; longer pieces are split.
inline constexpr std::size_t MaxChunkBytes = 256u << 10;

FrameBytes hello(const InstanceName &Instance, const DomainName &Domain,
                 Incarnation Life);
/// `Credit` is the number of body bytes that the daemon may send before it
/// needs a credit frame.
FrameBytes request(std::uint64_t Id, const RequestAttempt &Attempt,
                   std::uint32_t Credit);
FrameBytes head(std::uint64_t Id, const http::Response &Head,
                const ServerName &Server);
FrameBytes chunk(std::uint64_t Id, std::uint64_t Position,
                 std::string_view Bytes);
FrameBytes end(std::uint64_t Id, std::uint64_t Total);
FrameBytes refusal(std::uint64_t Id, const Failure &Error);
FrameBytes cancel(std::uint64_t Id);
FrameBytes credit(std::uint64_t Id, std::uint32_t Bytes);
FrameBytes loads(const std::vector<ReportedLoad> &Loads, bool Leaving);

} // namespace wasabi::frames

#endif // WASABI_ADAPTERS_FRAMES_REQUESTFRAMES_H
