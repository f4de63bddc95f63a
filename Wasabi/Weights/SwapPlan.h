/// \file
/// Plans the order in which servers swap to a new weight version, for the owner
/// of a model's weight rollout. Does no I/O.
#ifndef WASABI_WEIGHTS_SWAPPLAN_H
#define WASABI_WEIGHTS_SWAPPLAN_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wasabi {

/// A server with the model, according to its reports. An immutable value.
struct SwapTarget {
  ServerName Server;
  ServiceName Service;
  InstanceName Daemon;
  /// Version that the engine reported last.
  WeightVersion Version = 0;
  /// Requests running or queued at the server.
  std::uint32_t Unfinished = 0;
  /// Number of versions that may still be published before the server's version
  /// exceeds the staleness bound of a trainer of its service; negative if it
  /// exceeds the bound already.
  std::int64_t Headroom = 0;
  bool operator==(const SwapTarget &) const = default;
};

/// State of the swaps of one server.
struct SwapState {
  bool Ordered = false;
  TimePoint OrderedAt;
  std::uint32_t Failures = 0;
  TimePoint NotBefore;
  /// Version that the server's last answer confirmed; 0 if none. Until
  /// `NotBefore`, load reports may still show an older version.
  WeightVersion ConfirmedVersion = 0;
  bool operator==(const SwapState &) const = default;
};

/// An order to send now.
struct SwapOrder {
  ServerName Server;
  InstanceName Daemon;
  WeightVersion Version = 0;
  bool operator==(const SwapOrder &) const = default;
};

/// State of a model's weight rollout. A value.
struct SwapPlanState {
  struct Settings {
    /// Initial and maximum number of concurrent fetches, bounded by the
    /// bandwidth of the store.
    std::uint32_t InitialFetches = 16;
    std::uint32_t MaxFetches = 64;
    Millis InitialBackOff{200};
    Millis MaxBackOff{5000};
    /// Time after the last failure until the number of concurrent fetches is
    /// raised to `InitialFetches` again.
    Millis WindowRecoveryDelay{60000};
    /// A swap is late if it takes longer than this multiple of `SwapTime`, for
    /// example because its engine hangs. Late swaps do not delay others.
    std::uint32_t LateFactor = 4;
    /// Lower bound of the time after which a swap is late.
    Millis MinLateThreshold{1000};
    /// Time after which a swap is late, until the first swap has ended.
    Millis InitialLateThreshold{10000};
    /// Maximum age of a load report when an answer arrives.
    Millis MaxReportDelay{1000};
  };

  Settings Setup;
  WeightVersion Newest = 0;
  std::map<ServerName, SwapState> Servers;
  /// Number of concurrent fetches allowed now.
  std::uint32_t FetchWindow = Settings().InitialFetches;
  TimePoint WindowReducedAt;
  /// Moving average of the duration of a swap; zero until one has ended.
  Micros SwapTime{0};
};

/// Returns true if the server's swap has taken so long that it no longer delays
/// others. Pure.
bool isSwapLate(const SwapPlanState &State, const SwapState &Server,
                TimePoint Now);

/// Plans the orders to send at `Now` and records them as sent in `State`.
///
/// Within a service, at most the preset's percentage swaps at the same time,
/// not counting late swaps, and at least one server of several keeps serving.
/// The total is bounded by `FetchWindow`. Servers with the least headroom go
/// first, then those with the least unfinished work. Under
/// `VersionChange::Finish` a server with unfinished work waits unless its
/// headroom is negative. Pure except for `State`.
std::vector<SwapOrder> planSwaps(SwapPlanState &State,
                                 const std::vector<SwapTarget> &Targets,
                                 const PresetDeclaration &Preset,
                                 TimePoint Now);

/// Applies the answer to an order. Returns true if the engine reports the
/// newest version; otherwise the order counts as failed. Pure except for
/// `State`.
bool noteAnswer(SwapPlanState &State, const ServerName &Server,
                WeightVersion Reported, TimePoint Now);

/// Records that an order failed or its answer was lost. The order is repeated
/// after a delay unless a report shows the version first. Pure except for
/// `State`.
void noteFailure(SwapPlanState &State, const ServerName &Server, TimePoint Now);

} // namespace wasabi

#endif // WASABI_WEIGHTS_SWAPPLAN_H
