/// \file
/// Reports the usage of each window once: decides in the usage topic what is to
/// be reported, and has the holder of the dispatching duty tell it.
///
/// The pattern that this answers: the address that takes reports checks nothing
/// and can't be asked what it has, while reporters die, freeze and are cut off
/// at each step. What is sent stands in the topic before, so that whoever sends
/// it again sends the same; and it is sent only under a lease that this process
/// has proved to hold (`LeasePermit`).
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

/// Used on one thread, that of its executor.
class UsageReporter : public std::enable_shared_from_this<UsageReporter> {
public:
  struct Settings {
    UsageSource Self;
    UsageSettings Windows;
    /// How long a read waits for a record: windows are looked at as often.
    Millis Wait{200};
    /// Pause after a read that brought records.
    Millis Pace{100};
    /// Pause after a call that failed, and between two looks while another
    /// process reports.
    Millis RetryDelay{250};
    std::size_t ReadBytes = 256u << 10;
    /// How long an append may take.
    Millis AppendTimeout{1200};
    /// How long a report may take. It must have left and arrived well within
    /// `LeaseSettings::TakeoverDelay`.
    Millis CallTimeout{1000};
    /// Least pause between two reports: the platform bounds them.
    Millis MinReportInterval{50};
  };

  /// What a reporter works with.
  struct Parts {
    boost::asio::any_io_executor Executor;
    RecordStore Store;
    ReportPort Platform;
    std::shared_ptr<LeaseManager> Duty;
    std::shared_ptr<DecisionLog> Decisions;
    /// Outlives the reporter.
    Metrics &Counts;
    WallClock Wall;
    /// Of this process; outlives the reporter.
    const StoreContact &Contact;
  };

  static std::shared_ptr<UsageReporter> create(Parts With, Settings Limits);

  /// Begins the loops, which rest while the duty is another's.
  void start();

  /// For tests and metrics.
  const UsageState &fold() const { return Fold; }

private:
  UsageReporter(Parts With, Settings Limits);
  WallTime trueNow() const;
  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<bool> readOnce();
  void take(const LogRange &Range, Millis Age);
  boost::asio::awaitable<void> decide();
  void logMissingSources(WallTime TrueNow, TimePoint Now);
  boost::asio::awaitable<void> reportLoop();
  boost::asio::awaitable<bool> reportOldest(LeasePermit Under);
  boost::asio::awaitable<Outcome<Offset>> append(UsageRecord What);

  const Settings Limits;
  const Parts With;
  UsageState Fold;
  /// Whether the last read showed the end of the topic.
  bool CaughtUp = false;
  /// When that read ended.
  TimePoint ReadAt;
  std::uint64_t LateLogged = 0;
  /// The window that was last logged as waiting.
  std::optional<UsageWindow> LastLoggedWindow;
  AsyncSignal Changed;
};

} // namespace wasabi

#endif // WASABI_USAGE_USAGEREPORTER_H
