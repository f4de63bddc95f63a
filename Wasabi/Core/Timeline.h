/// \file
/// Event log of one process in a bounded ring. The merged logs of all processes
/// are shown to operators and used for replay.
#ifndef WASABI_CORE_TIMELINE_H
#define WASABI_CORE_TIMELINE_H

#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabi {

/// Key and value of an event's detail.
struct EventField {
  std::string Key;
  std::string Value;
  bool operator==(const EventField &) const = default;
};

/// One event. An immutable value.
struct TimelineEvent {
  /// Time of the event in hybrid logical time.
  HybridTime At;
  /// Sequence number within the process, from 0. A gap shows that the ring
  /// dropped events.
  std::uint64_t Sequence = 0;
  /// Instance that recorded the event.
  std::string Instance;
  /// Event type as `domain.verb`: `request.admit`, `claim.taken`,
  /// `sample.commit`.
  std::string Kind;
  /// Details in insertion order. Keys in use: request, attempt, service,
  /// server, trainer, slot, version, fence, offset, instance, verdict, reason,
  /// object, preset.
  std::vector<EventField> Fields;

  bool operator==(const TimelineEvent &) const = default;
  /// Returns the value of a field, empty if absent.
  std::string_view field(std::string_view Key) const;
};

/// Bounded ring of the latest events of one process. Thread-safe.
class Timeline {
public:
  struct Settings {
    /// Maximum number of events; older ones are dropped and counted.
    std::size_t Capacity = 8192;
  };

  Timeline(std::string Instance, Settings Limits);

  /// Records an event at the current time.
  void record(std::string_view Kind, std::vector<EventField> Fields);
  /// Advances the clock past a time received from another process.
  void mergeRemoteTime(HybridTime Remote);
  /// Advances the clock and returns its time, to be sent to other processes.
  HybridTime now();
  /// Returns the retained events from sequence number `FirstSequence` on.
  std::vector<TimelineEvent> since(std::uint64_t FirstSequence) const;
  /// Returns the number of dropped events.
  std::uint64_t dropped() const;
  const std::string &instance() const { return Instance; }

private:
  const std::string Instance;
  const Settings Limits;
  mutable std::mutex Mutex;
  HybridTime LastTime;
  std::uint64_t NextSequence = 0;
  std::deque<TimelineEvent> Events;
};

} // namespace wasabi

#endif // WASABI_CORE_TIMELINE_H
