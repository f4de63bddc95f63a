/// \file
/// Which server swaps to a new weight version next: pure decisions of the owner
/// of a model's weight rollout.
#ifndef WASABI_WEIGHTS_SWAPPLAN_H
#define WASABI_WEIGHTS_SWAPPLAN_H

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace wasabi {

/// A server that holds the model, as reported. An immutable value.
struct SwapTarget {
  ServerName Server;
  ServiceName Service;
  InstanceName Daemon;
  /// The version that its engine reported last.
  WeightVersion Version = 0;
  /// Requests running or queued there.
  std::uint32_t Unfinished = 0;
  /// How many more versions may be published before the server's version is
  /// too old for one of its service's trainers; negative when it is already.
  std::int64_t Headroom = 0;
  bool operator==(const SwapTarget &) const = default;
};

/// What the owner remembers of one server.
struct SwapState {
  bool Ordered = false;
  TimePoint OrderedAt;
  std::uint32_t Failures = 0;
  TimePoint NotBefore;
  /// The version that its answer proved last. Reports of its load are older
  /// until `NotBefore`.
  WeightVersion Reached = 0;
  bool operator==(const SwapState &) const = default;
};

/// An order to be sent now.
struct SwapOrder {
  ServerName Server;
  InstanceName Daemon;
  WeightVersion Version = 0;
  bool operator==(const SwapOrder &) const = default;
};

/// A model's weight rollout. A value.
struct SwapPlanState {
  struct Settings {
    /// Fetches at once to begin with, and at most: more only slow each other
    /// down once the store's bandwidth is used up.
    std::uint32_t InitialFetches = 16;
    std::uint32_t MaxFetches = 64;
    Millis FirstBackOff{200};
    Millis MaxBackOff{5000};
    /// A lower limit learnt from a failure is forgotten after this.
    Millis WindowRecoveryDelay{60000};
    /// An order out for this many times the usual swap is late: its engine
    /// hangs, and the others need not wait for it.
    std::uint32_t LateFactor = 4;
    Millis MinLateThreshold{1000};
    /// As long as no swap has ended.
    Millis InitialLateThreshold{10000};
    /// How old a load report may be when an answer comes.
    Millis MaxReportDelay{1000};
  };

  Settings Setup;
  WeightVersion Newest = 0;
  std::map<ServerName, SwapState> Servers;
  /// Fetches at once that are allowed now.
  std::uint32_t Window = Settings().InitialFetches;
  TimePoint WindowCutAt;
  /// How long a swap takes, a moving average; zero until one has ended.
  Micros SwapTime{0};
};

/// Whether a server's order is out for so long that it no longer holds back
/// the others. Pure.
bool isSwapLate(const SwapPlanState &State, const SwapState &Of, TimePoint Now);

/// Plans the next orders at `Now`, and notes them as sent. At most the preset's
/// percentage of each service swaps at once, late ones not counted, never all
/// of a service of more than one server, and never more in all than the store
/// serves well. First
/// come servers whose version is nearest to too old, then those with the least
/// unfinished work. Under `Finish` a server with unfinished work waits, unless
/// its version is too old already. Pure but for `State`.
std::vector<SwapOrder> planSwaps(SwapPlanState &State,
                                 const std::vector<SwapTarget> &Targets,
                                 const PresetDeclaration &Preset,
                                 TimePoint Now);

/// An order's answer: a swap counts only if the engine reports the version.
/// Returns whether it does. Pure but for `State`.
bool noteAnswer(SwapPlanState &State, const ServerName &Server,
                WeightVersion Reported, TimePoint Now);

/// An order failed, or its answer was lost: the server is ordered again after a
/// delay, unless a report shows the version before. Pure but for `State`.
void noteFailure(SwapPlanState &State, const ServerName &Server, TimePoint Now);

} // namespace wasabi

#endif // WASABI_WEIGHTS_SWAPPLAN_H
