/// \file
/// Notices soon that the platform's store answers again, and ends the calls
/// that were sent before.
///
/// The load that this answers: the store is silent for seconds while trainers
/// submit steps and results wait. Connections that were open then stay silent
/// for good, so that each caller finds the store's return by the time limit of
/// its own call only, up to 1.5 s late, and trainers are refused meanwhile.
#ifndef WASABI_UPSTREAM_STORERECOVERY_H
#define WASABI_UPSTREAM_STORERECOVERY_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace wasabi {

/// How the store's return is noticed.
struct StoreRecoverySettings {
  /// Pause between two probes of a store that is out of reach. Its return is
  /// heard of 0.06 to 0.25 s late with it, as logged on a day with 7 s of
  /// silence, and was 0.6 to 1.1 s late without. Twenty processes probe with 80
  /// calls a second, of the 2,000 reads that the smallest store takes.
  Millis ProbeInterval{250};
  /// A shorter silence ends no calls: one lost answer after a quiet moment
  /// looks the same, and what else waits then has a live connection.
  Millis MinOutage{1000};
  /// A call that has waited longer than this when the store is back waits on a
  /// connection that will stay silent: an answer takes 4 ms.
  Millis AnswerTime{50};
  StoreContact::Settings Contact;
};

/// A store whose calls fail as soon as another call shows that it is back,
/// instead of waiting out their time limits. While it is out of reach, the last
/// read is made again and again beside what waits, without its wait for a
/// record. A call that is ended so fails with `Cancelled`, and may have run.
/// Used on the executor's thread; what it returns keeps all that it needs.
RecordStore makeRecoveringStore(boost::asio::any_io_executor Executor,
                                RecordStore Store,
                                std::shared_ptr<DecisionLog> Decisions,
                                StoreRecoverySettings Limits);

} // namespace wasabi

#endif // WASABI_UPSTREAM_STORERECOVERY_H
