/// \file
/// The state that is folded from the usage topic: the processes that count
/// requests, the counts of windows that are not decided, and the decided
/// windows that are not reported. Pure.
#ifndef WASABI_USAGE_USAGESTATE_H
#define WASABI_USAGE_USAGESTATE_H

#include "Wasabi/Upstream/StoreContact.h"
#include "Wasabi/Usage/UsageRecord.h"

#include <optional>
#include <set>

namespace wasabi {

/// Settings of the windows and of the times at which they are decided and
/// reported.
struct UsageSettings {
  /// Length of a window.
  Millis Window{5000};
  /// A report is due this long after the end of its window.
  Millis Due{10000};
  /// A window is decided this long before its report is due, even if counts are
  /// missing. Leaves time to send the report.
  Millis DueMargin{2000};
  /// Minimum delay from the end of a window to its decision. Requests that turn
  /// out not to have run are withdrawn meanwhile.
  Millis SettleDelay{1000};
  /// After an outage of the store, a window with missing counts is not decided
  /// for this long, so that all processes can write the counts that they have
  /// gathered.
  Millis StoreRecoveryDelay{1000};
  /// Maximum relative error of the report of a window.
  double Tolerance = 0.05;
  /// If the missing processes account for at most half of `Tolerance`, assuming
  /// equal counts of all processes, a window is decided this long after its
  /// end. Waiting longer risks missing the due time if the store or the
  /// reporter fails.
  Millis FewMissingTimeout{2500};
  /// A process that has written nothing for this long is no longer waited for.
  /// Each process writes at least once per window.
  Millis SourceTimeout{30000};
  /// Processes without new records are removed after this long. Until then,
  /// repeated batches are recognized.
  Millis SourceRetention{300000};
  /// A clock is corrected if it differs from the median clock by more than
  /// this. Smaller differences can't be distinguished from the latency of the
  /// store.
  Millis MaxClockSkew{1000};
  /// A record that may be older than this when it is read is not used to
  /// estimate the clock of its process.
  Millis MaxClockSampleAge{500};
  bool operator==(const UsageSettings &) const = default;
};

/// State of a process that counts requests.
struct UsageSourceState {
  /// Number of the last batch that was applied.
  std::uint64_t Sequence = 0;
  WallTime Through;
  /// Offset of the clock of the process from the clock of the reader, less the
  /// latency of a record. This is the maximum over all records, since the error
  /// of a clock is constant (`WallClock`) and latency only reduces the offset.
  /// Empty until a record was read within `UsageSettings::MaxClockSampleAge`.
  std::optional<Millis> ClockOffset;
  /// When the reader read the last batch of the process.
  TimePoint LastReadAt;
  bool Left = false;
};

/// An entry and the process that counted it.
struct UsageSourceEntry {
  UsageSource Source;
  UsageEntry Entry;
};

/// The folded state. Owned by one thread.
struct UsageState {
  /// The next offset to read.
  Offset Next = 0;
  std::map<UsageSource, UsageSourceState> Sources;
  /// Entries of windows that are not decided.
  std::vector<UsageSourceEntry> Entries;
  /// The first window that is not decided; initially the window of the first
  /// batch. Empty before the first batch.
  std::optional<UsageWindow> FirstUndecided;
  /// Windows that are decided but not known to be reported.
  std::map<UsageWindow, UsageCounts> Untold;
  /// Number of requests that were read after their window was decided.
  std::uint64_t Late = 0;
};

/// The circumstances in which a record is read.
struct UsageReadContext {
  TimePoint Now;
  /// The wall time of the reader.
  WallTime Wall;
  /// Upper bound of the age of the record.
  Millis Age{0};
};

/// Applies the record at offset `At`. A record before `Next` has no effect.
/// Precondition: records are applied in the order of their offsets.
void apply(UsageState &State, Offset At, const UsageRecord &Record,
           const UsageReadContext &Context, const UsageSettings &Limits);

/// Removes processes that have written no batch for `SourceRetention`.
void expire(UsageState &State, TimePoint Now, const UsageSettings &Limits);

/// Returns by how much the clock of a process is ahead of the median clock of
/// all processes; 0 if the difference is within `MaxClockSkew` or unknown.
Millis clockSkew(const UsageState &State, const UsageSource &Source,
                 const UsageSettings &Limits);

/// Returns the known counts of all undecided windows up to and including
/// `Window`.
UsageCounts countsOf(const UsageState &State, UsageWindow Window,
                     const UsageSettings &Limits);

/// Returns the first undecided window if it can be decided at `TrueNow`, the
/// wall time corrected by `clockSkew`; empty otherwise. A window can be decided
/// once all processes have written their counts for it, or once it should not
/// wait for them any longer. `Contact` is the contact of this process with the
/// store.
std::optional<UsageWindow> findDueWindow(const UsageState &State,
                                         WallTime TrueNow, TimePoint Now,
                                         const StoreContact &Contact,
                                         const UsageSettings &Limits);

/// Returns the processes whose counts for a window are missing.
std::vector<UsageSource> missingSources(const UsageState &State,
                                        UsageWindow Window, TimePoint Now,
                                        const UsageSettings &Limits);

} // namespace wasabi

#endif // WASABI_USAGE_USAGESTATE_H
