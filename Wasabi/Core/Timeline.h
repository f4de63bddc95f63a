/// \file
/// The time line: typed events of one process, kept in a bounded ring. Merged
/// over all processes it is what a person reads and what replay takes.
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

/// One named value of an event.
struct EventField {
  std::string Key;
  std::string Value;
  bool operator==(const EventField &) const = default;
};

/// One thing that happened or was decided. An immutable value.
struct TimelineEvent {
  /// When, in hybrid logical time.
  HybridTime At;
  /// Counts the process' events from 0: a reader sees what the ring dropped.
  std::uint64_t Sequence = 0;
  /// Which instance.
  std::string Instance;
  /// What, as `domain.verb`: `request.admit`, `claim.taken`, `sample.commit`.
  std::string Kind;
  /// The details, in the order that they were given. The keys in use:
  /// request, attempt, service, server, trainer, slot, version, fence, offset,
  /// instance, verdict, reason, object, preset.
  std::vector<EventField> Fields;

  bool operator==(const TimelineEvent &) const = default;
  /// The value of a field, empty where there is none.
  std::string_view field(std::string_view Key) const;
};

/// The ring of one process. Thread-safe.
class Timeline {
public:
  struct Settings {
    /// Events kept; older ones are dropped and counted.
    std::size_t Capacity = 8192;
  };

  Timeline(std::string Instance, Settings Limits);

  /// Records an event now.
  void record(std::string_view Kind, std::vector<EventField> Fields);
  /// Takes note of a time heard from another process.
  void mergeRemoteTime(HybridTime Remote);
  /// The time of the last event, to be sent to other processes.
  HybridTime now();
  /// The kept events with a sequence number of `From` or more.
  std::vector<TimelineEvent> since(std::uint64_t From) const;
  /// How many events were dropped.
  std::uint64_t dropped() const;
  const std::string &instance() const { return Instance; }

private:
  const std::string Instance;
  const Settings Limits;
  mutable std::mutex Guard;
  HybridTime Last;
  std::uint64_t Next = 0;
  std::deque<TimelineEvent> Kept;
};

} // namespace wasabi

#endif // WASABI_CORE_TIMELINE_H
