/// \file
/// Control messages between processes as typed values, and their encoding as
/// frames.
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

/// Payload piggybacked on each probe and its answer: member updates and the
/// sender's position in the log.
struct Gossip {
  std::vector<MemberUpdate> Updates;
  /// Digests of all members known to the sender; only with `IsFullSync`.
  std::vector<std::uint64_t> Digests;
  /// Requests updates on all members whose digests differ.
  bool IsFullSync = false;
  Offset Next = 0;
  /// Time since the log was last known to end at or before `Next`.
  Millis CaughtUpAge{0};
  HybridTime At;
  bool operator==(const Gossip &) const = default;
};

/// A probe. With sequence 0 it is a notification that needs no answer.
struct PingMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  /// The target instance; empty to address any process that listens there.
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

/// Contiguous records of the control stream.
struct LogPushMessage {
  /// Sequence of the `LogRequestMessage` that this answers, or 0.
  std::uint64_t Sequence = 0;
  std::string From;
  std::vector<LogEntry> Records;
  /// The next offset that the sender will apply.
  Offset Next = 0;
  /// The oldest offset that the sender retains.
  Offset First = 0;
  Millis CaughtUpAge{0};
  bool operator==(const LogPushMessage &) const = default;
};

/// Requests records from `Start`; answered by a `LogPushMessage`.
struct LogRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  Offset Start = 0;
  bool operator==(const LogRequestMessage &) const = default;
};

/// Requests the complete folded state.
struct StateRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  bool operator==(const StateRequestMessage &) const = default;
};

/// The complete folded state; `State` is empty if the sender has none.
struct StateResponseMessage {
  std::uint64_t Sequence = 0;
  Offset Next = 0;
  /// `hashState` of `State`.
  std::string Hash;
  std::string State;
  bool operator==(const StateResponseMessage &) const = default;
};

struct OrderRequestMessage {
  std::uint64_t Sequence = 0;
  std::string From;
  Order Command;
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

/// Encodes a message as a frame without its length prefix. Pure.
std::vector<std::uint8_t> encodeControl(const ControlMessage &Message);

/// Decodes a verified frame. Fails with `BadInput` if the frame is not a
/// control message or holds a value out of range. Pure.
Outcome<ControlMessage> decodeControl(const std::vector<std::uint8_t> &Frame);

/// Returns the sequence number that matches a message with its answer; 0 for
/// none. Pure.
std::uint64_t sequenceOf(const ControlMessage &Message);

} // namespace wasabi

#endif // WASABI_NODE_CONTROLMESSAGE_H
