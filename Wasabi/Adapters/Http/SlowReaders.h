/// \file
/// Decisions on clients that read slowly or send large bodies: which
/// connections an HTTP server resets, and which requests it sheds. Plain
/// functions without a network.
#ifndef WASABI_ADAPTERS_HTTP_SLOWREADERS_H
#define WASABI_ADAPTERS_HTTP_SLOWREADERS_H

#include "Wasabi/Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace wasabi::http {

/// Request bodies up to this size, in bytes, are accepted however many bytes of
/// other bodies are held and are not counted, so that neither large nor small
/// bodies block the others.
inline constexpr std::uint64_t SmallBodyBytes = 16384;

/// How far the peer of a connection has taken the bytes sent to it. An
/// immutable value.
struct SendProgress {
  /// Bytes that the kernel has accepted since the connection was opened.
  std::uint64_t Sent = 0;
  /// Those of them that the peer has acknowledged, as last observed.
  std::uint64_t Taken = 0;
  /// When the peer was last observed to take bytes, or had none to take.
  TimePoint LastProgress;
  /// False if the peer was last observed to have taken everything.
  bool Pending = false;
  bool operator==(const SendProgress &) const = default;
};

/// Returns the progress after a write of which the kernel has accepted `Bytes`
/// bytes. Pure.
SendProgress recordSent(SendProgress Progress, std::uint64_t Bytes,
                        TimePoint Now);

/// Returns the progress after `Unacknowledged` bytes were observed in the send
/// queue of the kernel, while a write is in progress (`IsWriting`) or not.
/// Pure.
SendProgress observeQueue(SendProgress Progress, std::uint64_t Unacknowledged,
                          bool IsWriting, TimePoint Now);

/// Returns true if the peer has had bytes to take and has taken none for
/// `Timeout`. Pure.
bool isStalled(const SendProgress &Progress, Millis Timeout, TimePoint Now);

/// The response bytes that are held for one connection. An immutable value.
struct HeldResponse {
  std::uint64_t Bytes = 0;
  TimePoint LastProgress;
  bool operator==(const HeldResponse &) const = default;
};

/// Returns the indices of the connections to reset so that the others together
/// hold at most `MaxBytes` bytes (0: unlimited), the one without progress for
/// the longest time first; of equal ones the larger first. `Kept`, if given, is
/// not reset, so a response that alone exceeds the maximum can be sent. Pure.
std::vector<std::size_t> chooseResets(const std::vector<HeldResponse> &Held,
                                      std::uint64_t MaxBytes,
                                      std::optional<std::size_t> Kept);

/// The bytes that a server holds, and its maximum. An immutable value.
struct HeldTotals {
  /// Of responses that clients have not taken.
  std::uint64_t ResponseBytes = 0;
  /// Of bodies above `SmallBodyBytes` of requests that are being received or
  /// handled.
  std::uint64_t RequestBytes = 0;
  /// Maximum of each of the two; 0 if unlimited.
  std::uint64_t MaxBytes = 0;
  /// The part of `RequestBytes` that belongs to large bodies.
  std::uint64_t LargeRequestBytes = 0;
  bool operator==(const HeldTotals &) const = default;
};

/// Returns true if a body is large: several of them leave a sixteenth of the
/// maximum to the others. Pure.
bool isLargeBody(const HeldTotals &Totals, std::uint64_t BodyBytes);

/// Adds a body, and removes one that was added. Pure.
HeldTotals addBody(HeldTotals Totals, std::uint64_t BodyBytes);
HeldTotals removeBody(HeldTotals Totals, std::uint64_t BodyBytes);

/// Returns true if `BodyBytes` more bytes of a request's body may be held. One
/// body is accepted whatever its size if no other is held. Pure.
bool fitsRequestBody(const HeldTotals &Totals, std::uint64_t BodyBytes);

/// Returns true if a new request with a body of `BodyBytes` bytes is to be
/// refused without running it. Pure.
bool shouldShed(const HeldTotals &Totals, std::uint64_t BodyBytes);

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_SLOWREADERS_H
