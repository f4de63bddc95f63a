/// \file
/// Callers that send requests to the entries until they are stopped, and record
/// every outcome.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_CALLERLOAD_H
#define WASABI_INTEGRATIONTESTS_CHAOS_CALLERLOAD_H

#include "IntegrationTests/Chaos/CallerRecord.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"

#include <memory>
#include <vector>

namespace wasabi::chaos {

/// Runs callers on their own thread. Thread-safe.
class CallerLoad {
public:
  struct Settings {
    std::uint64_t Seed = 1;
    std::uint32_t Callers = 10;
    /// Service and model of the engines, and the plain service.
    std::string EngineService;
    std::string Model;
    std::string PlainService;
    /// Deadline of a request, sent to the system and enforced by the caller.
    Millis Deadline{5000};
    Millis CallerTimeout{8000};
    /// Maximum number of retries, each after a second, of a request that did
    /// not run, or that has a key and an unknown outcome. If 0, a keyed write
    /// is retried a few times immediately and any other request is sent once.
    std::uint32_t MaxDelayedRetries = 0;
  };

  static std::unique_ptr<CallerLoad> start(Settings Setup);
  virtual ~CallerLoad() = default;
  /// Sets the entries that the platform's balancer sends to.
  virtual void setEntries(std::vector<Address> Ready) = 0;
  /// Lets each caller finish its request, stops the callers and returns their
  /// records.
  virtual std::vector<CallerRecord> finish() = 0;
  /// Number of requests with a complete and correct response so far.
  virtual std::uint64_t completeAnswerCount() const = 0;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_CALLERLOAD_H
