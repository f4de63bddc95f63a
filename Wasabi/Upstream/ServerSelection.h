/// \file
/// Chooses the server of the next attempt of a request from the servers'
/// expected completion times, and keeps the measurements behind them.
#ifndef WASABI_UPSTREAM_SERVERSELECTION_H
#define WASABI_UPSTREAM_SERVERSELECTION_H

#include "Wasabi/LoadExchange/ServiceLoad.h"
#include "Wasabi/Routing/RetryBudget.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <memory>
#include <random>
#include <set>
#include <vector>

namespace wasabi {

/// Budget of trial requests: one per twenty requests of the process.
inline constexpr RetryBudget::Settings TrialBudget{.TokensPerSuccess = 0.05,
                                                   .MaxTokens = 3};

/// What a request needs of a server.
struct ServerQuery {
  ServiceName Service;
  /// Failure domain that is preferred to others.
  DomainName PreferredDomain;
  /// Servers that are not chosen.
  std::set<ServerIncarnation> Excluded;
  /// Load that other processes report; null if unknown. Outlives the call.
  const ServiceLoad *Others = nullptr;
  /// True if the request may be sent to a server that looks slow, to find out
  /// whether it has recovered.
  bool MayTrial = false;
  /// True if the request may be sent to another server after one that may have
  /// run it.
  bool IsRepeatable = true;
};

/// A chosen server and why it was chosen.
struct ServerChoice {
  /// Null if no server is usable.
  std::shared_ptr<UpstreamServer> Server;
  /// True if the server looks slow and was chosen to find out whether it has
  /// recovered. At most one request of this process is in flight there.
  bool Trial = false;
  /// True if the server is outside of the preferred failure domain, although
  /// that has a usable server.
  bool SpillOver = false;
};

/// Returns the latency in milliseconds that a server is expected to need for
/// one request while it has a free slot. Falls back to the typical latency of
/// its service. Pure.
double estimateLatencyMs(const UpstreamTable &Table,
                         const UpstreamServer &Server,
                         const ServiceLoad *Others, TimePoint Now);

/// Returns the time in milliseconds in which a server is expected to complete
/// one more request. Pure.
double expectedCompletionMs(const UpstreamTable &Table,
                            const UpstreamServer &Server,
                            const ServiceLoad *Others, TimePoint Now);

/// Returns the typical latency of a service in milliseconds; a default if
/// neither this nor another process has had an answer from it. Pure.
double typicalLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const ServiceLoad *Others);

/// Chooses a usable server for one more request. Servers that don't respond get
/// one request per `OutageRetryInterval`. Prefers servers that are not suspect,
/// then the preferred failure domain while its best server is about as
/// good as the best of all, then the shortest expected completion time; chooses
/// at random among servers that are close to the best one. Pure except for
/// `Random`.
ServerChoice selectServer(const UpstreamTable &Table,
                          const StoreContact &Contact, const ServerQuery &Query,
                          TimePoint Now, std::mt19937_64 &Random);

/// Returns the server that `selectServer` chooses, or null if there is none
/// outside of `Query.Excluded`.
std::shared_ptr<UpstreamServer>
chooseServer(const UpstreamTable &Table, const StoreContact &Contact,
             const ServerQuery &Query, TimePoint Now, std::mt19937_64 &Random);

/// Returns the mean of the latencies that are expected of a service's usable
/// servers, in milliseconds; 0 if none has answered yet. Pure.
double averageLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const StoreContact &Contact, TimePoint Now);

/// Records that an attempt at a server starts.
void beginAttempt(UpstreamServer &Server, TimePoint Now);

/// Records that an attempt has ended that began at `StartedAt`. Precondition:
/// `beginAttempt` was called with that time.
void endAttempt(UpstreamServer &Server, TimePoint StartedAt);

/// Records a successful answer and its latency in milliseconds.
void recordAnswer(UpstreamTable &Table, UpstreamServer &Server,
                  double LatencyMs, TimePoint Now);

/// Records an attempt that ended without an answer after `AgeMs` milliseconds.
/// The latency would have been longer, so only an age above the estimate
/// changes it.
void recordUnanswered(const UpstreamTable &Table, UpstreamServer &Server,
                      double AgeMs, TimePoint Now);

/// Updates which servers of a service are treated as slow. Returns those for
/// which this has changed; a server is returned at most once per second.
std::vector<std::shared_ptr<UpstreamServer>>
updateSlowServers(const UpstreamTable &Table, const ServiceName &Service,
                  const ServiceLoad *Others, TimePoint Now);

} // namespace wasabi

#endif // WASABI_UPSTREAM_SERVERSELECTION_H
