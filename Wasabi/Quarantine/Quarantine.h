/// \file
/// Detects requests that crash servers, shares the crashes with the other
/// processes through the store, and keeps these requests away from servers.
#ifndef WASABI_QUARANTINE_QUARANTINE_H
#define WASABI_QUARANTINE_QUARANTINE_H

#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/CrashHistory.h"
#include "Wasabi/Quarantine/CrashTopic.h"
#include "Wasabi/Quarantine/RunClaims.h"
#include "Wasabi/Quarantine/ServerLosses.h"
#include "Wasabi/Upstream/Feed.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace wasabi {

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
    RunClaims::Settings Claims;
    ServerLosses::Settings Losses;
    /// Lost servers from which on a suspect runs isolated. The first retry
    /// after a crash isn't delayed, since most crashes have other causes.
    std::size_t IsolationThreshold = 2;
    /// Time limit of an isolated run's wait for a server. Covers several runs
    /// of other suspects.
    Millis MaxIsolationWait{500};
    /// Interval between attempts to find a server for an isolated run.
    Millis IsolationPollInterval{20};
    /// Retry delay of a suspect that got no server of its own.
    Millis IsolationRetryAfter{250};
    /// Retry delay of a suspect whose last isolated run may have crashed its
    /// server. Covers the usual time until a registration lapses.
    Millis UnresolvedRetryAfter{1000};
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
    /// Time after which this process resolves a loss of another one, which may
    /// have ended. Must be below the validity of a loss.
    Millis LossTakeoverDelay{1000};
    /// Interval between checks of the registration of a server.
    Millis CrashWatchInterval{200};
    /// Time limit of an append to the store.
    Millis AppendTimeout{800};
    /// Delay before a failed append is retried.
    Millis RetryDelay{100};
    /// Maximum number of records in one append.
    std::size_t MaxRecordsPerAppend = 64;
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
  /// already been lost is not counted. The loss counts at once, and at every
  /// process that reads it. Probes the server and returns once the probe ends,
  /// within `ServerProbeTimeout`; the probe goes on if the caller stops
  /// waiting. A server that refuses the connection has crashed. Otherwise, the
  /// loss stays unresolved until the server responds to a later request, or
  /// until its registration is removed or replaced, for `CrashWatchTimeout` at
  /// most.
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

  /// Returns the servers that run suspects of this process, and those that any
  /// process has claimed for one. Other requests should avoid them: after a
  /// crash, two suspects on one server can't be told apart, and any other
  /// request there may lose its server.
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

  /// A claim of a server for one run of a suspect, for as long as the object
  /// lives.
  class IsolatedRun {
  public:
    IsolatedRun(std::shared_ptr<Quarantine> Owner, RequestDigest Digest,
                std::shared_ptr<UpstreamServer> Server);
    IsolatedRun(const IsolatedRun &) = delete;
    IsolatedRun &operator=(const IsolatedRun &) = delete;
    ~IsolatedRun();
    const std::shared_ptr<UpstreamServer> &server() const { return Server; }

  private:
    const std::shared_ptr<Quarantine> Owner;
    const RequestDigest Digest;
    const std::shared_ptr<UpstreamServer> Server;
  };
  /// Returns a server for a run, or null if there is none.
  using SelectServer = std::function<std::shared_ptr<UpstreamServer>()>;

  /// Returns true if it isn't known yet whether a server that ran the request
  /// has crashed.
  bool hasUnresolvedLosses(const RequestDigest &Digest) const;
  /// Returns true if the next run of a request has to be isolated: several
  /// servers crashed under it, or may have.
  bool needsIsolation(const RequestDigest &Digest) const;
  /// Returns the servers that crashed under a request or may have. Those that
  /// another request explains count as well: both may crash servers.
  std::set<ServerIncarnation>
  findSuspectedCrashes(const RequestDigest &Digest) const;
  /// Claims a server for a run of a suspect. `Select` is called on the thread
  /// of the quarantine and should not return any of `suspectServers`. Waits
  /// while all servers run suspects, or while the request runs elsewhere, for
  /// `MaxIsolationWait` and until `Until` at most. If the claim can't be
  /// written in that time, the run is isolated from those of this process only.
  /// Fails with `NotRun` if there is no server, if it is not yet known whether
  /// the last isolated run has crashed its server, or if the request has been
  /// quarantined meanwhile. Returns null if the request need no longer be
  /// isolated, because its losses were withdrawn meanwhile.
  boost::asio::awaitable<Outcome<std::unique_ptr<IsolatedRun>>>
  isolate(std::shared_ptr<GuardedRequest> Request, TimePoint Until,
          SelectServer Select);

private:
  Quarantine(const FeedContext &Feed, EnginePort Engines, Metrics &Counts,
             Settings Limits);
  Result<void> applyRecord(const KeyedRecord &Record);
  void recordLateLoss(const GuardedRequest &Request,
                      const UpstreamServer &Server, TimePoint Began) const;
  struct Examination;
  boost::asio::awaitable<void>
  examineServer(std::shared_ptr<Examination> Examined);
  void recordLoss(const Examination &Examined);
  void withdrawLoss(const Examination &Examined, std::string_view Reason);
  bool isResolved(const RequestDigest &Digest, const ServerLoss &Loss,
                  TimePoint Since) const;
  std::map<ServerIncarnation, bool>
  findUnresolved(const RequestDigest &Digest) const;
  void noteReportedLosses(const std::set<ServerIncarnation> &Lost);
  void recordCrash(const GuardedRequest &Request,
                   const ServerIncarnation &Crashed, bool Isolated);
  std::optional<Failure>
  findIsolationRefusal(const RequestDigest &Digest) const;
  bool isIsolatedRun(const RequestDigest &Digest,
                     const ServerIncarnation &Server) const;
  void recordIsolation(const GuardedRequest &Request,
                       const UpstreamServer *Server, std::string_view Result,
                       TimePoint Began) const;
  boost::asio::awaitable<ClaimStatus> awaitClaim(const RequestDigest &Digest,
                                                 TimePoint Until);
  bool lacksOwnCrashes(const RequestDigest &Digest,
                       const CrashTopicRecord &Record) const;
  void publish(const RequestDigest &Digest);
  KeyedValue makeRecord(const RequestDigest &Digest) const;
  void logStatusChanges();
  boost::asio::awaitable<void>
  watchRegistration(std::shared_ptr<Examination> Examined);
  bool isGone(const ServerIncarnation &Server) const;
  void takeOverLosses();
  boost::asio::awaitable<void> takeoverLoop();
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
  ServerLosses Losses;
  /// Notified when a loss of another process is read.
  AsyncSignal LossesRead;
  RunClaims Claims;
  /// Notified when a claim, a crash or an answer is read, when a claim is
  /// released, and when a loss is withdrawn.
  AsyncSignal ClaimsChanged;
  std::shared_ptr<KeyedFollower> Follower;
};

} // namespace wasabi

#endif // WASABI_QUARANTINE_QUARANTINE_H
