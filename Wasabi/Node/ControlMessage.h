/// \file
/// The control messages between processes as typed values, and their frames.
#ifndef WASABI_NODE_CONTROLMESSAGE_H
#define WASABI_NODE_CONTROLMESSAGE_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Membership/MemberUpdate.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Ports/LogPort.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wasabi {

/// What each probe and its answer carry besides: news of members, and how far
/// the sender has folded the log.
struct Gossip {
  std::vector<MemberUpdate> Updates;
  /// Hashes of all that the sender knows; only with `Full`.
  std::vector<std::uint64_t> Digests;
  /// Asks for all that the receiver knows otherwise.
  bool Full = false;
  Offset Next = 0;
  /// How long ago the log was known to end at or before `Next`.
  Millis CaughtUpAge{0};
  HybridTime At;
  bool operator==(const Gossip &) const = default;
};

/// A probe; with sequence 0, a notice that wants no answer.
struct PingMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  /// The instance meant; empty for whoever listens there.
  std::string Target;
  Gossip Piggybacked;
  bool operator==(const PingMessage &) const = default;
};

struct AckMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  Gossip Piggybacked;
  bool operator==(const AckMessage &) const = default;
};

/// Asks the receiver to probe `Target` on the sender's behalf.
struct PingRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  std::string Target;
  bool operator==(const PingRequestMessage &) const = default;
};

struct PingAnswerMessage {
  std::uint64_t Sequence = 0;
  std::string Target;
  bool Reached = false;
  bool operator==(const PingAnswerMessage &) const = default;
};

/// Records of the control stream, contiguous.
struct LogPushMessage {
  /// Of the `LogRequestMessage` that it answers, or 0.
  std::uint64_t Sequence = 0;
  std::string From;
  std::vector<LogEntry> Records;
  /// The sender's next offset after all it knows.
  Offset Next = 0;
  /// The oldest offset that the sender could push.
  Offset First = 0;
  Millis CaughtUpAge{0};
  bool operator==(const LogPushMessage &) const = default;
};

/// Asks for records from `Start`; answered by a `LogPushMessage`.
struct LogRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  Offset Start = 0;
  bool operator==(const LogRequestMessage &) const = default;
};

/// Asks for the whole state.
struct StateRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  bool operator==(const StateRequestMessage &) const = default;
};

/// The whole state; empty text when the sender has none to give.
struct StateResponseMessage {
  std::uint64_t Sequence = 0;
  Offset Next = 0;
  /// `hashState` of the state.
  std::string Hash;
  std::string State;
  bool operator==(const StateResponseMessage &) const = default;
};

struct OrderRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  Order What;
  bool operator==(const OrderRequestMessage &) const = default;
};

struct OrderResponseMessage {
  std::uint64_t Sequence = 0;
  Outcome<OrderAnswer> Answer = OrderAnswer();
};

using ControlMessage =
    std::variant<PingMessage, AckMessage, PingRequestMessage, PingAnswerMessage,
                 LogPushMessage, LogRequestMessage, StateRequestMessage,
                 StateResponseMessage, OrderRequestMessage,
                 OrderResponseMessage>;

/// The frame of a message, without its length prefix. Pure.
std::vector<std::uint8_t> encodeControl(const ControlMessage &What);

/// Reads a verified frame. Fails with `BadInput` for a frame that is no control
/// message or holds a value out of range. Pure.
Outcome<ControlMessage> decodeControl(const std::vector<std::uint8_t> &Frame);

/// The number that joins a message to its answer; 0 for none. Pure.
std::uint64_t sequenceOf(const ControlMessage &What);

} // namespace wasabi

#endif // WASABI_NODE_CONTROLMESSAGE_H
