/// \file
/// Callers that ask the entries for as long as they are let, and keep a record
/// of all that they saw.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_CALLERLOAD_H
#define WASABI_INTEGRATIONTESTS_CHAOS_CALLERLOAD_H

#include "IntegrationTests/Chaos/CallerRecord.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"

#include <memory>
#include <vector>

namespace wasabi::chaos {

/// A thread with some callers. Thread-safe.
class CallerLoad {
public:
  struct Settings {
    std::uint64_t Seed = 1;
    std::uint32_t Callers = 10;
    /// The engines' service and model, and the plain service.
    std::string EngineService;
    std::string Model;
    std::string PlainService;
    /// How long an ask may take, as told to the system and as waited for.
    Millis Deadline{5000};
    Millis CallerTimeout{8000};
    /// Most times that a caller sends again what did not run, or is in doubt
    /// and has a key, each time after a second. Without, it sends a keyed write
    /// a few times at once and all else once.
    std::uint32_t MaxDelayedRetries = 0;
  };

  static std::unique_ptr<CallerLoad> start(Settings Setup);
  virtual ~CallerLoad() = default;
  /// The entries that the platform's balancer sends to now.
  virtual void setEntries(std::vector<Address> Ready) = 0;
  /// Lets each caller finish its ask, ends them, and gives their records.
  virtual std::vector<CallerRecord> finish() = 0;
  /// Asks answered whole so far.
  virtual std::uint64_t completeAnswerCount() const = 0;
};

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_CALLERLOAD_H
