/// \file
/// Shares what the entry processes observe of the services under strain, so
/// that each one knows the load of the servers and its fair share of their
/// room.
#ifndef WASABI_LOADEXCHANGE_LOADEXCHANGE_H
#define WASABI_LOADEXCHANGE_LOADEXCHANGE_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/RetryBackoff.h"
#include "Wasabi/LoadExchange/LoadView.h"
#include "Wasabi/LoadExchange/LocalLoad.h"
#include "Wasabi/LoadExchange/ReportSchedule.h"
#include "Wasabi/Ports/RecordStore.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Upstream/KeyedFollower.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>
#include <random>

namespace wasabi {

/// Reports the load of this process and reads the reports of others, only while
/// a service is under strain here. Must be used on the executor's thread.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  struct Settings {
    LocalLoad::Settings Local;
    LoadView::Settings View;
    ReportSchedule::Settings Schedule;
    /// Time between two evaluations of the loads and shares under strain. They
    /// are not used at more than `MaxResultAge`, as after a process was frozen.
    Millis TickInterval{100};
    Millis MaxResultAge{1000};
    /// Time that a read waits at the store for new records, and the pause after
    /// one that returned some, so that one call returns several reports.
    Millis PollTimeout{700};
    Millis ReadDelay{200};
    Millis SnapshotTimeout{5000};
    /// Records that are read after a longer gap between reads are of unknown
    /// age; only the sequence numbers of their processes are used.
    Millis MaxReadGap{2000};
    Millis AppendTimeout{1000};
    /// Mean pause after a failed call; grows while calls fail.
    Millis RetryDelay{250};
    /// Minimum time between two log lines on ignored reports, and between two
    /// on the share of a service.
    Millis IgnoredLogInterval{10000};
    Millis ShareLogInterval{1000};
    /// Relative change of a share that is logged.
    double LoggedShareChange = 0.25;
  };

  /// Dependencies of a load exchange.
  struct Parts {
    boost::asio::any_io_executor Executor;
    /// Must outlive the load exchange.
    const FleetView &View;
    RecordStore Store;
    std::shared_ptr<DecisionLog> Decisions;
    /// Must outlive the load exchange.
    Metrics &Counts;
    /// Name and start of this process.
    InstanceName Self;
    Incarnation Life = 0;
  };

  static std::shared_ptr<LoadExchange> create(Parts Dependencies,
                                              Settings Limits);

  /// Records that a request for a service has arrived at this process, and that
  /// it has ended with any outcome.
  void recordArrival(const ServiceName &Service, const CustomerName &Customer);
  void recordEnd(const ServiceName &Service, const CustomerName &Customer);
  /// Records that a server has refused a request for lack of capacity.
  void recordRefusal(const ServiceName &Service);
  /// Records the answer of a server. `Late` tells that it exceeded the latency
  /// target of its route.
  void recordAnswer(const ServiceName &Service, const ServerIncarnation &Server,
                    double LatencyMs, bool Late);

  /// Returns the load of other processes; null if unknown. Valid until the
  /// caller suspends.
  const ServiceLoad *findLoad(const ServiceName &Service) const;
  /// Returns the share of this process in the room of a service; empty while
  /// none is in force.
  std::optional<FairShare> findShare(const ServiceName &Service) const;

private:
  /// The last logged share of a service.
  struct LoggedShare {
    /// 0 if no share is in force.
    std::uint32_t Concurrency = 0;
    TimePoint At;
  };

  LoadExchange(Parts Dependencies, Settings Limits);
  void recordStrain(const ServiceName &Service, StrainCause Cause);
  bool areResultsFresh() const;
  boost::asio::awaitable<void> tickLoop();
  void tick(TimePoint Now);
  void endExpiredStrains(TimePoint Now);
  void refreshLoads(TimePoint Now);
  void refreshShares(TimePoint Now);
  void logShares(TimePoint Now);
  double roomOf(const ServiceName &Service, TimePoint Now) const;
  LoadReport makeCurrentReport(TimePoint Now) const;
  void reportIfDue(TimePoint Now);
  boost::asio::awaitable<void> append(std::string Text);
  boost::asio::awaitable<void> retract();
  boost::asio::awaitable<void> followLoop();
  boost::asio::awaitable<Outcome<KeyedRead>> read();
  boost::asio::awaitable<bool> readOnce();
  void applyRecord(const KeyedRecord &Record, bool KnownAge, TimePoint Now);
  void ignoreReport(const InstanceName &Instance, std::string_view Reason,
                    TimePoint Now);

  const Settings Limits;
  const Parts Deps;
  LocalLoad Local;
  LoadView Remote;
  ReportSchedule Schedule;
  std::mt19937_64 Random;
  /// Results of the last tick.
  TimePoint RefreshedAt;
  std::map<ServiceName, ServiceLoad> Loads;
  std::map<ServiceName, FairShare> Shares;
  std::map<ServiceName, LoggedShare> LoggedShares;
  /// The last report that the store has accepted, when, and its size.
  LoadReport LastReport;
  std::optional<TimePoint> LastAcceptedAt;
  std::size_t LastBytes = 0;
  std::uint64_t LastSequence = 0;
  bool IsTicking = false;
  bool IsFollowing = false;
  bool IsAppending = false;
  RetryBackoff AppendBackoff;
  RetryBackoff ReadBackoff;
  KeyedOffsets Table;
  bool NeedsSnapshot = true;
  std::optional<TimePoint> LastReadAt;
  std::uint64_t IgnoredCount = 0;
  std::optional<TimePoint> IgnoredLoggedAt;
};

/// Records the arrival of a request for as long as it exists. A null
/// `LoadExchange` is allowed.
class RecordedArrival {
public:
  RecordedArrival(std::shared_ptr<LoadExchange> Loads, ServiceName Service,
                  CustomerName Customer)
      : Loads(std::move(Loads)), Service(std::move(Service)),
        Customer(std::move(Customer)) {
    if (this->Loads)
      this->Loads->recordArrival(this->Service, this->Customer);
  }
  ~RecordedArrival() {
    if (Loads)
      Loads->recordEnd(Service, Customer);
  }
  RecordedArrival(const RecordedArrival &) = delete;
  RecordedArrival &operator=(const RecordedArrival &) = delete;

private:
  const std::shared_ptr<LoadExchange> Loads;
  const ServiceName Service;
  const CustomerName Customer;
};

} // namespace wasabi

#endif // WASABI_LOADEXCHANGE_LOADEXCHANGE_H
