/// \file
/// A load generator. An open loop sends calls at a constant mean rate
/// regardless of responses; in a closed loop each worker waits for its response
/// before it sends the next call.
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

/// The outcome of one call.
struct CallResult {
  std::uint64_t Number = 0;
  /// Scheduled time since the start of the load.
  Micros Due{0};
  /// Time from the scheduled start to the last byte or to giving up.
  Micros Latency{0};
  /// HTTP status; 0 if there was no response.
  unsigned Status = 0;
  /// Value of `X-Wasabi-Verdict`; empty without that header.
  std::string Verdict;
  std::uint32_t Attempts = 0;
  /// Set by `ResponseCheck`: the server that answered and whether the response
  /// is correct.
  std::string Server;
  bool IsCorrect = false;
  /// True if a correct response arrived within the deadline.
  bool IsGood = false;
};

/// Checks a complete response of status 200.
using ResponseCheck = std::function<void(
    const http::Request &Ask, const http::Response &Answer, CallResult &Into)>;

/// Retry behaviour of the client. The default sends once.
struct ClientPolicy {
  /// Maximum number of attempts, each to a target chosen at random.
  std::uint32_t MaxAttempts = 1;
  /// Maximum number of concurrent calls per target, beyond which an attempt
  /// fails; 0 for no limit.
  std::uint32_t MaxInFlightPerTarget = 0;
  /// Timeout of one attempt; 0 to use the whole deadline.
  Millis AttemptTimeout{0};
};

/// An action run at a given time during the load. Must not block.
struct ScheduledAction {
  Millis At{0};
  std::function<void()> Action;
};

/// Describes a load to run.
struct LoadPlan {
  std::vector<Address> Targets;
  ClientPolicy Client;
  /// Open loop: calls per second, with exponentially distributed gaps.
  double Rate = 0;
  /// Closed loop: number of workers; used if there is no rate.
  std::size_t Workers = 1;
  Millis Duration{1000};
  /// A response after the deadline does not count as good.
  Millis Deadline{1000};
  std::uint64_t Seed = 1;
  /// Number of the first call.
  std::uint64_t FirstNumber = 0;
  std::function<http::Request(std::uint64_t Number)> MakeRequest;
  ResponseCheck CheckResponse;
  std::vector<ScheduledAction> ScheduledActions;
};

/// Runs the load on the calling thread until all calls have ended.
std::vector<CallResult> runLoad(const LoadPlan &Plan);

/// Returns the latencies in milliseconds of the good responses that `Chosen`
/// selects, or of all good responses if it is empty.
std::vector<double> goodLatencyMillis(
    const std::vector<CallResult> &Calls,
    const std::function<bool(const CallResult &)> &Chosen = nullptr);

/// Returns the number of good responses.
std::size_t countGoodCalls(const std::vector<CallResult> &Calls);

} // namespace wasabi::bench

#endif // WASABI_BENCH_LOADRUN_H
