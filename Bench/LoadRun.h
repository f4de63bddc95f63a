/// \file
/// A load generator: calls at a steady mean rate, whatever becomes of those
/// before (open loop), or by workers that each wait for their answer (closed
/// loop).
#ifndef WASABI_BENCH_LOADRUN_H
#define WASABI_BENCH_LOADRUN_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wasabi::bench {

/// What became of one call.
struct CallResult {
  std::uint64_t Number = 0;
  /// When it was due, since the load's begin.
  Micros Due{0};
  /// From when it was due until its last byte, or until it was given up.
  Micros Took{0};
  /// The answer's status; 0 when there was none.
  unsigned Status = 0;
  /// The word of `X-Wasabi-Verdict`; empty without that header.
  std::string Verdict;
  std::uint32_t Attempts = 0;
  /// Set by `ResponseCheck`: which server answered, and whether rightly.
  std::string Server;
  bool Right = false;
  /// A right answer within its deadline.
  bool IsGood = false;
};

/// Looks at a whole answer of status 200.
using ResponseCheck = std::function<void(
    const http::Request &Ask, const http::Response &Answer, CallResult &Into)>;

/// How the client itself behaves. The default sends once and waits.
struct ClientPolicy {
  /// Attempts in all, each to a target chosen at random.
  std::uint32_t MaxAttempts = 1;
  /// Calls at once to a target, beyond which an attempt fails; 0 for no limit.
  std::uint32_t MaxInFlightPerTarget = 0;
  /// How long one attempt may take; 0 for all of the deadline.
  Millis AttemptTimeout{0};
};

/// Something done to the system while the load runs; must not block.
struct ScheduledAction {
  Millis At{0};
  std::function<void()> Do;
};

/// A load to run.
struct LoadPlan {
  std::vector<Address> Targets;
  ClientPolicy Client;
  /// Open loop: calls a second, with exponentially distributed gaps.
  double Rate = 0;
  /// Closed loop: workers; used when there is no rate.
  std::size_t Workers = 1;
  Millis Span{1000};
  /// A later answer is no good one.
  Millis Deadline{1000};
  std::uint64_t Seed = 1;
  /// Number of the first call.
  std::uint64_t FirstNumber = 0;
  std::function<http::Request(std::uint64_t Number)> MakeRequest;
  ResponseCheck Check;
  std::vector<ScheduledAction> ScheduledActions;
};

/// Runs the load on the calling thread until each call has ended.
std::vector<CallResult> runLoad(const LoadPlan &Plan);

/// Milliseconds of the good answers that `Chosen` takes (all, without one).
std::vector<double> goodLatencyMillis(
    const std::vector<CallResult> &Calls,
    const std::function<bool(const CallResult &)> &Chosen = nullptr);

/// Good answers.
std::size_t countGoodCalls(const std::vector<CallResult> &Calls);

} // namespace wasabi::bench

#endif // WASABI_BENCH_LOADRUN_H
