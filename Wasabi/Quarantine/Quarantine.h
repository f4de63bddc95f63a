/// \file
/// Detects requests that crash servers, shares the crashes with the other
/// processes through the store, and keeps these requests away from servers.
#ifndef WASABI_QUARANTINE_QUARANTINE_H
#define WASABI_QUARANTINE_QUARANTINE_H

#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/CrashHistory.h"
#include "Wasabi/Upstream/Feed.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace wasabi {

/// Topic of the crashed servers by request digest. A request that was answered
/// has its key deleted. Crashes are kept in the store because a request may be
/// retried at any process, also after all processes have restarted.
inline constexpr const char *CrashTopic = "keyed.crashes";

/// Encodes the value of a record. Thread-safe.
std::string encodeCrashes(const std::set<ServerIncarnation> &Crashes);
/// Decodes the value of a record. Errors: `BadInput` at `Place`. Thread-safe.
Result<std::set<ServerIncarnation>> decodeCrashes(std::string_view Text,
                                                  const std::string &Place);

/// A request that may be sent to several servers; lives as long as its caller
/// waits. Used on the thread of the quarantine.
struct GuardedRequest {
  RequestDigest Digest;
  /// The id of the request, for logs.
  std::string Id;
  /// True if a server has answered the request.
  bool Answered = false;
};

/// Tracks crashing requests for one process. Used on one thread, that of its
/// executor.
class Quarantine : public std::enable_shared_from_this<Quarantine> {
public:
  struct Settings {
    CrashHistory::Settings History;
    /// A crash this soon after the start of a run counts against the request
    /// even if the run had made progress.
    Millis EarlyCrashThreshold{800};
    /// Time limit of the probe of a server that lost a connection. The request
    /// waits for it.
    Millis ServerProbeTimeout{40};
    /// A server that neither accepts nor refuses connections has crashed if its
    /// registration is removed or replaced within this time, which covers
    /// several heartbeats.
    Millis CrashWatchTimeout{5000};
    /// Interval between checks of the registration of a server.
    Millis CrashWatchInterval{200};
    /// Time limit of an append to the store.
    Millis AppendTimeout{800};
    /// Delay before a failed append is retried.
    Millis RetryDelay{100};
    /// Interval between removals of old records.
    Millis SweepInterval{60000};
  };

  /// Creates a quarantine. It reads `Feed.View` and changes only its contact
  /// with the store.
  static std::shared_ptr<Quarantine> create(const FeedContext &Feed,
                                            EnginePort Engines, Metrics &Counts,
                                            Settings Limits);

  /// Starts following and writing the topic, until the execution context stops.
  void start();

  /// Returns the current status of a request.
  CrashStatus crashStatus(const RequestDigest &Digest) const;
  /// Returns the failure for a quarantined request, with the time after which
  /// to retry. The request has not run.
  Failure refuse(const RequestDigest &Digest) const;

  /// Called when a request that may have run lost its connection to `Server`.
  /// `Began` is the start of the run; a run that began after the server had
  /// already been lost is not counted. Probes the server and returns once the
  /// probe ends, within `ServerProbeTimeout`. Unless the server refuses the
  /// connection, its registration is then watched in the background.
  boost::asio::awaitable<Done>
  onConnectionLost(std::shared_ptr<GuardedRequest> Request,
                   std::shared_ptr<UpstreamServer> Server,
                   TimePoint Began = TimePoint());
  /// Returns true if a run that lost its connection may have crashed its
  /// server. `Began` is the start of the run; `Progress` is true if it got
  /// further than the runs before it. A request that crashes servers does so
  /// early or at the same event each time.
  bool mayHaveCrashedServer(TimePoint Began, bool Progress) const {
    return !Progress || monotonicNow() - Began < Limits.EarlyCrashThreshold;
  }
  /// Called when a server has run the request and answered: removes its crash
  /// record.
  void answered(GuardedRequest &Request);

  /// Returns the servers that run suspects of this process. Other requests
  /// should avoid them: after a crash, two suspects on one server can't be told
  /// apart, and any other request there may lose its server.
  std::set<ServerIncarnation> suspectServers() const;

  /// Marks a server as running a suspect for as long as the object lives.
  class SuspectRun {
  public:
    SuspectRun(std::shared_ptr<Quarantine> Owner, ServerIncarnation Server);
    SuspectRun(const SuspectRun &) = delete;
    SuspectRun &operator=(const SuspectRun &) = delete;
    ~SuspectRun();

  private:
    const std::shared_ptr<Quarantine> Owner;
    const ServerIncarnation Server;
  };
  /// Returns null unless the request is suspect or quarantined now.
  std::unique_ptr<SuspectRun> trackSuspectRun(const RequestDigest &Digest,
                                              const ServerIncarnation &Server);

private:
  Quarantine(const FeedContext &Feed, EnginePort Engines, Metrics &Counts,
             Settings Limits);
  Result<void> applyRecord(const KeyedRecord &Record);
  void recordLateLoss(const GuardedRequest &Request,
                      const UpstreamServer &Server, TimePoint Began) const;
  void noteReportedCrashes(const std::set<ServerIncarnation> &Crashes);
  void recordCrash(const GuardedRequest &Request,
                   const ServerIncarnation &Crashed);
  void logStatusChanges();
  boost::asio::awaitable<void>
  watchRegistration(std::shared_ptr<GuardedRequest> Request,
                    std::shared_ptr<UpstreamServer> Server);
  boost::asio::awaitable<void> publishLoop();
  boost::asio::awaitable<void> sweepLoop();

  const Settings Limits;
  const FeedContext Feed;
  const EnginePort Engines;
  Metrics &Counts;
  CrashHistory History;
  /// Statuses as of the last call of `logStatusChanges`; clean ones are left
  /// out.
  std::map<RequestDigest, CrashStatus> LoggedStatuses;
  /// Crashes that this process detected itself. It writes a record again if the
  /// one in the store lacks any of them.
  std::map<RequestDigest, std::set<ServerIncarnation>> OwnCrashes;
  /// Requests whose records are out of date in the store.
  std::set<RequestDigest> Unwritten;
  AsyncSignal WriteWake;
  std::map<ServerIncarnation, std::size_t> SuspectRuns;
  std::shared_ptr<KeyedFollower> Follower;
};

} // namespace wasabi

#endif // WASABI_QUARANTINE_QUARANTINE_H
