/// \file
/// Detects the end of a store outage by probes and cancels the calls that were
/// sent before it. Connections that were open during an outage may never
/// answer, so that their calls would otherwise wait for their timeouts. During
/// an outage a process sends probes instead of the polls of all its readers.
#ifndef WASABI_UPSTREAM_STORERECOVERY_H
#define WASABI_UPSTREAM_STORERECOVERY_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace wasabi {

/// Settings of the recovery after a store outage.
struct StoreRecoverySettings {
  /// Interval between two probes of an unreachable store.
  Millis ProbeInterval{250};
  /// Minimum time without an answer after which pending calls are cancelled. A
  /// shorter silence may be a single lost answer, and the other calls may have
  /// live connections.
  Millis MinOutage{1000};
  /// When the store is reachable again, calls that have waited longer than this
  /// are considered stuck and are cancelled.
  Millis StuckCallTimeout{50};
  /// Time for which the read of a snapshot waits for the store to be reachable.
  Millis SnapshotWait{700};
  StoreContact::Settings Contact;
};

/// Returns a store that cancels stuck calls as soon as another call shows that
/// `Store` is reachable again. While `Store` is unreachable, it is probed by
/// repeating the last read without waiting for new records; reads that wait for
/// records wait for a probe's answer, and fail with `Unavailable` and `NotRun`
/// if none comes within their time. Snapshots are not cancelled: they may be
/// waiting for their turn at a store that serves other processes. A cancelled
/// call fails with `Cancelled` and
/// may have run. Must be used on the executor's
/// thread; the returned store owns all that it needs.
RecordStore makeRecoveringStore(boost::asio::any_io_executor Executor,
                                RecordStore Store,
                                std::shared_ptr<DecisionLog> Decisions,
                                StoreRecoverySettings Limits);

} // namespace wasabi

#endif // WASABI_UPSTREAM_STORERECOVERY_H
