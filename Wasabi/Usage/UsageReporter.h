/// \file
/// Reports the usage of each window: appends the decided counts to the usage
/// topic, and sends them to the platform.
///
/// The platform does not detect duplicate or conflicting reports. Counts are
/// therefore decided in the topic before they are sent, so that every process
/// that sends them sends the same, and only the proven holder of the dispatch
/// lease sends (`LeasePermit`).
#ifndef WASABI_USAGE_USAGEREPORTER_H
#define WASABI_USAGE_USAGEREPORTER_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Dispatch/LeaseManager.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Ports/ReportPort.h"
#include "Wasabi/Usage/UsageMeter.h"
#include "Wasabi/Usage/UsageState.h"

#include <memory>

namespace wasabi {

/// Reports the usage of all processes while this process holds the dispatch
/// lease. Used on one thread, that of its executor.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
  struct Settings {
    UsageSource Self;
    UsageSettings Windows;
    /// Maximum time that a read waits for a record; also the interval at which
    /// windows are checked.
    Millis ReadTimeout{200};
    /// Delay after a read that returned records.
    Millis ReadDelay{100};
    /// Delay after a failed call, and interval of the checks for the lease
    /// while another process holds it.
    Millis RetryDelay{250};
    std::size_t MaxReadBytes = 256u << 10;
    /// Time limit of an append.
    Millis AppendTimeout{1200};
    /// Time limit of a report. Must be well below
    /// `LeaseSettings::TakeoverDelay`, so that no report arrives after a
    /// takeover.
    Millis CallTimeout{1000};
    /// Minimum interval between reports, since the platform limits their rate.
    Millis MinReportInterval{50};
  };

  /// Dependencies of a reporter.
  struct Parts {
    boost::asio::any_io_executor Executor;
    RecordStore Store;
    ReportPort Platform;
    std::shared_ptr<LeaseManager> Lease;
    std::shared_ptr<DecisionLog> Decisions;
    /// Outlives the reporter.
    Metrics &Counts;
    WallClock Wall;
    /// Contact of this process with the store; outlives the reporter.
    const StoreContact &Contact;
  };

  static std::shared_ptr<UsageReporter> create(Parts Deps, Settings Limits);

  /// Starts the loops, which are idle while another process holds the lease.
  void start();

  /// Returns the folded state, for tests and metrics.
  const UsageState &state() const { return State; }

private:
  UsageReporter(Parts Deps, Settings Limits);
  WallTime trueNow() const;
  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<bool> readOnce();
  void applyRange(const LogRange &Range, Millis Age);
  void skipExpired(const ExpiredOffset &Expired);
  boost::asio::awaitable<void> decide();
  void logMissingSources(WallTime TrueNow, TimePoint Now);
  boost::asio::awaitable<void> reportLoop();
  boost::asio::awaitable<bool> reportOldest(LeasePermit Permit);
  boost::asio::awaitable<Outcome<Offset>> append(UsageRecord Record);

  const Settings Limits;
  const Parts Deps;
  UsageState State;
  /// True if the last read reached the end of the topic.
  bool CaughtUp = false;
  /// When the last successful read ended.
  TimePoint ReadAt;
  std::uint64_t LateLogged = 0;
  /// The last window that was logged as waiting.
  std::optional<UsageWindow> LastLoggedWindow;
  AsyncSignal Changed;
};

} // namespace wasabi

#endif // WASABI_USAGE_USAGEREPORTER_H
