/// \file
/// What follows from the usage topic's order: who counts, what was counted and
/// is not decided yet, which windows are decided and not told. Pure.
#ifndef WASABI_USAGE_USAGESTATE_H
#define WASABI_USAGE_USAGESTATE_H

#include "Wasabi/Upstream/StoreContact.h"
#include "Wasabi/Usage/UsageRecord.h"

#include <optional>
#include <set>

namespace wasabi {

/// How windows are told apart and when they are decided.
struct UsageSettings {
  /// Length of a window.
  Millis Window{5000};
  /// When a window's report is due, after its end.
  Millis Due{10000};
  /// Kept of `Due` for a decision without those that are missing: a report
  /// takes some milliseconds, and a reporter that ends then has no successor in
  /// time anyway.
  Millis DueMargin{2000};
  /// A window is decided this long after its end at the earliest: what was sent
  /// in its last moments may yet prove not to have run, for which a server that
  /// refuses connections takes 0.3 s.
  Millis Settle{1000};
  /// After the store was away nobody is given up for this long: all write what
  /// they counted meanwhile, and it takes them some hundred milliseconds.
  Millis StoreRecoveryDelay{1000};
  /// Part of a window's requests by which its report may be off.
  double Tolerance = 0.05;
  /// Where half of `Tolerance` at most can be missing, as far as processes
  /// count alike, a window waits this long only: what a single process may yet
  /// bring is not worth the risk that the store or the reporter is gone when
  /// the report is due.
  Millis FewMissingTimeout{2500};
  /// A process that has written nothing for this long is gone: it writes once a
  /// window at least.
  Millis SourceTimeout{30000};
  /// Ended processes are kept this long, so that a batch of theirs that comes a
  /// second time is known; records of the store expire then.
  Millis SourceRetention{300000};
  /// Clocks that differ from the middle one by more than this have been set
  /// wrong; smaller differences can't be told from the time that a record
  /// takes.
  Millis MaxClockSkew{1000};
  /// A record that may be older than this when it is read says nothing of
  /// clocks.
  Millis MaxClockSampleAge{500};
  bool operator==(const UsageSettings &) const = default;
};

/// What is known of a process that counts.
struct UsageSourceState {
  /// The newest batch that was taken.
  std::uint64_t Sequence = 0;
  WallTime Through;
  /// How far its clock is ahead of this process's, less the time that a record
  /// takes: the most that any record showed, since a process's clock keeps its
  /// error (`WallClock`) and its records are delayed now and then. Empty while
  /// none was read as soon as it was written.
  std::optional<Millis> ClockOffset;
  /// When this process read its newest record.
  TimePoint Heard;
  bool Left = false;
};

/// An entry and whose it is.
struct UsageSourceEntry {
  UsageSource From;
  UsageEntry What;
};

/// The folded state. Owned by one thread.
struct UsageState {
  /// The next offset to read.
  Offset Next = 0;
  std::map<UsageSource, UsageSourceState> Sources;
  /// Of windows that are not decided.
  std::vector<UsageSourceEntry> Entries;
  /// The first window that is not decided: at the beginning that in which the
  /// first process began to count. Empty while none has.
  std::optional<UsageWindow> FirstUndecided;
  /// Decided, and not known to be told.
  std::map<UsageWindow, UsageCounts> Untold;
  /// Requests that came to be known after their window was decided.
  std::uint64_t Late = 0;
};

/// When a record is read.
struct UsageReadContext {
  TimePoint Now;
  /// The wall time of this process.
  WallTime Wall;
  /// How long ago the record may have been written, as far as this process
  /// knows.
  Millis Age{0};
};

/// Applies the record at `At`. One before `Next` was applied already and
/// changes nothing. Precondition: records come in their order.
void apply(UsageState &Fold, Offset At, const UsageRecord &What,
           const UsageReadContext &When, const UsageSettings &Limits);

/// Forgets processes that ended long ago.
void expire(UsageState &Fold, TimePoint Now, const UsageSettings &Limits);

/// How far a process's clock is ahead of the middle one of all that are known;
/// 0 if that is within `MaxClockSkew` or not known.
Millis clockSkew(const UsageState &Fold, const UsageSource &Of,
                 const UsageSettings &Limits);

/// The requests of a window as they are known.
UsageCounts countsOf(const UsageState &Fold, UsageWindow Window,
                     const UsageSettings &Limits);

/// The window that can be decided at a true time, as far as it is known; empty
/// if none can. It is the first undecided one, once all processes that count
/// have told what they counted in it, or it should wait for them no longer.
/// `Contact` is that of this process with the store.
std::optional<UsageWindow> findDueWindow(const UsageState &Fold,
                                         WallTime TrueNow, TimePoint Now,
                                         const StoreContact &Contact,
                                         const UsageSettings &Limits);

/// Processes whose counts of a window are missing.
std::vector<UsageSource> missingSources(const UsageState &Fold,
                                        UsageWindow Window, TimePoint Now,
                                        const UsageSettings &Limits);

} // namespace wasabi

#endif // WASABI_USAGE_USAGESTATE_H
