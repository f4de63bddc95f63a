/// \file
/// Finds out under which requests servers end, tells the other processes
/// through the store, and keeps such requests from further servers.
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

/// Keyed by request: the servers that ended under it. A key that was dropped is
/// a request that has been answered. Kept in the store, since such a request
/// comes again at other processes, and after all of them have started anew.
inline constexpr const char *CrashTopic = "keyed.crashes";

/// The text of a record. Thread-safe.
std::string encodeCrashes(const std::set<ServerIncarnation> &Ends);
/// The reverse. Errors: `BadInput` at `Place`. Thread-safe.
Result<std::set<ServerIncarnation>> decodeCrashes(std::string_view Text,
                                                  const std::string &Place);

/// One request at servers, for as long as its caller waits. Used on the
/// quarantine's thread.
struct GuardedRequest {
  RequestDigest Digest;
  /// For logs.
  std::string Id;
  /// Whether a server has answered it.
  bool Answered = false;
};

/// Used on one thread, that of its executor.
class Quarantine : public std::enable_shared_from_this<Quarantine> {
public:
  struct Settings {
    CrashHistory::Settings Ledger;
    /// An end this soon after a run began counts against the request even if
    /// events came before it. Requests that ended servers did so 35 to 110 ms
    /// after the run began; one that was only there runs for seconds.
    Millis EarlyCrashThreshold{800};
    /// How long the address of a server that gave no answer is tried: a
    /// connection takes some milliseconds, and its request waits meanwhile.
    Millis ProbeTime{40};
    /// A server that neither takes nor refuses connections has ended if its
    /// registration goes within this: three heartbeats of 1.2 s and a margin.
    Millis CrashWatchTimeout{5000};
    /// Pause between two looks at its registration.
    Millis CrashWatchInterval{200};
    /// How long an answer of the store may take.
    Millis AppendTimeout{800};
    /// Pause after a record that the store did not take.
    Millis RetryDelay{100};
    /// Pause between two looks for records that are too old.
    Millis SweepInterval{60000};
  };

  /// `Feed.View` is only read, but for its contact with the store.
  static std::shared_ptr<Quarantine> create(const FeedContext &Feed,
                                            EnginePort Engines, Metrics &Counts,
                                            Settings Limits);

  /// Begins to follow and to write the topic, for as long as the context runs.
  void start();

  /// How a request stands now.
  CrashStatus crashStatus(const RequestDigest &Of) const;
  /// Why a quarantined request gets no server, and when to come back. It has
  /// not run.
  Failure refuse(const RequestDigest &Of) const;

  /// `On` gave no answer to a request that may have run there and lost its
  /// connection. Returns once it is known whether the server has ended, or that
  /// this takes longer than the request should wait for.
  boost::asio::awaitable<Done>
  onConnectionLost(std::shared_ptr<GuardedRequest> Of,
                   std::shared_ptr<UpstreamServer> On);
  /// Whether a run that lost its connection may have ended its server, when it
  /// began at `Began` and has come further than the runs before it if
  /// `Progress`: a request that ends servers does so soon, or at the same event
  /// each time.
  bool mayHaveCrashedServer(TimePoint Began, bool Progress) const {
    return !Progress || monotonicNow() - Began < Limits.EarlyCrashThreshold;
  }
  /// A server has run the request and answered: it ends no servers.
  void answered(GuardedRequest &Of);

  /// Servers at which this process has suspects now. Others are better sent
  /// elsewhere: two suspects at one server can't be told apart when it ends,
  /// and whoever is beside one may lose its server.
  std::set<ServerIncarnation> suspectServers() const;

  /// Marks a server as one that a suspect runs at while it lives.
  class SuspectRun {
  public:
    SuspectRun(std::shared_ptr<Quarantine> In, ServerIncarnation At);
    SuspectRun(const SuspectRun &) = delete;
    SuspectRun &operator=(const SuspectRun &) = delete;
    ~SuspectRun();

  private:
    const std::shared_ptr<Quarantine> In;
    const ServerIncarnation At;
  };
  /// Null unless the request is a suspect now.
  std::unique_ptr<SuspectRun> trackSuspectRun(const RequestDigest &Of,
                                              const ServerIncarnation &At);

private:
  Quarantine(const FeedContext &Feed, EnginePort Engines, Metrics &Counts,
             Settings Limits);
  Result<void> take(const KeyedRecord &Record);
  void noteEnd(const GuardedRequest &Of, const ServerIncarnation &Ended);
  void logStatusChange(const RequestDigest &Of, CrashStatus Before) const;
  boost::asio::awaitable<void> watch(std::shared_ptr<GuardedRequest> Of,
                                     std::shared_ptr<UpstreamServer> On);
  boost::asio::awaitable<void> publishLoop();
  boost::asio::awaitable<void> sweepLoop();

  const Settings Limits;
  const FeedContext Feed;
  const EnginePort Engines;
  Metrics &Counts;
  CrashHistory Ledger;
  /// Ends that this process has seen itself: it sees to it that the store
  /// knows them.
  std::map<RequestDigest, std::set<ServerIncarnation>> Seen;
  /// Records that the store does not have as they are here.
  std::set<RequestDigest> Unwritten;
  AsyncSignal WriteWake;
  std::map<ServerIncarnation, std::size_t> Suspects;
  std::shared_ptr<KeyedFollower> Follower;
};

} // namespace wasabi

#endif // WASABI_QUARANTINE_QUARANTINE_H
