/// \file
/// The upstream servers known from their registrations, and their health as
/// seen from the outcomes of requests.
#ifndef WASABI_UPSTREAM_UPSTREAMTABLE_H
#define WASABI_UPSTREAM_UPSTREAMTABLE_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Upstream/StoreContact.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// The registration that a server has published. An immutable value.
struct UpstreamRegistration {
  /// May be the same as before a restart of the server.
  ServerName Id;
  /// Start time of the server; 0 if unknown, in which case the name alone
  /// identifies the incarnation.
  ServerStartTime Start = 0;
  ServiceName Service;
  Address Endpoint;
  DomainName Domain;
  /// Number of requests that the server runs concurrently.
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// Time for which the server is still cold, as of this registration. A cold
  /// server tolerates fewer requests per second.
  Millis ColdRemaining{0};
  /// Weight versions that the server holds, as of its last registration.
  std::map<ModelName, WeightVersion> Models;
  bool operator==(const UpstreamRegistration &) const = default;
  ServerIncarnation incarnation() const { return {Id, Start}; }
};

/// HTTP status 421 (RFC 9110): another server has the address that the request
/// was sent to.
inline constexpr unsigned MisdirectedStatus = 421;

/// A period in which a server doesn't respond to this process. An immutable
/// value.
struct ServerOutage {
  TimePoint Since;
  /// Time from which on one request may be sent to the server, to find out
  /// whether it responds again.
  TimePoint RetryAt;
  bool operator==(const ServerOutage &) const = default;
};

/// One incarnation of a server and its health as seen by this process.
struct UpstreamServer {
  UpstreamRegistration Entry;
  /// Offset of the first registration that was read of this incarnation;
  /// greater for later incarnations.
  Offset FirstOffset = 0;
  /// True if another server has answered at its address, or if its registration
  /// was superseded by a later incarnation or rejected. It gets no further
  /// requests unless it registers with another address.
  bool Replaced = false;
  /// Time at which its registration was removed; empty while it is registered.
  std::optional<TimePoint> UnregisteredAt;
  /// Number of this process's requests that are in flight at the server.
  std::uint32_t InFlight = 0;
  /// Number of consecutive failures.
  std::uint32_t Failures = 0;
  /// Until this time the server is chosen only if no other one is available.
  TimePoint SuspectUntil;
  /// Until this time the server is cold.
  TimePoint ColdUntil;
  /// Time of the first lost connection since the server was last known to be
  /// alive; empty if none was lost. A run that begins later can't have crashed
  /// the server.
  std::optional<TimePoint> LostSince;
  /// Start of the latest request that the server has responded to; empty if
  /// there was none. It was alive then.
  std::optional<TimePoint> LastAnsweredRun;
  /// Empty while the server responds.
  std::optional<ServerOutage> Outage;
  /// End of the last evacuation of its failure domain, from which the server
  /// may return cold; empty if there was none.
  std::optional<TimePoint> ReturnedAt;
  /// Exponentially smoothed latency in milliseconds; 0 before the first answer.
  double SmoothedLatencyMs = 0;
  /// Time of the last change of `SmoothedLatencyMs`; if empty, the latency does
  /// not age.
  std::optional<TimePoint> LatencyMeasuredAt;
  /// Number of samples behind `SmoothedLatencyMs`, as of `LatencyMeasuredAt`;
  /// older samples count less.
  double LatencySamples = 0;
  /// Start times of the forwarder's attempts that are in flight, ascending.
  std::multiset<TimePoint> AttemptStarts;
  /// True while the server is treated as slow.
  bool Slow = false;
  /// Time of the last change of `Slow`; empty if there was none.
  std::optional<TimePoint> SlowChangedAt;
};

/// Median latency of the answers of a service, tracked over its latest answers.
struct TypicalLatency {
  /// In milliseconds; 0 before the first answer.
  double Ms = 0;
  /// `Ms` as it is while the servers don't queue: follows decreases within some
  /// answers and increases slowly, so that a period of saturation hardly
  /// changes it. 0 before the first answer.
  double BaselineMs = 0;
  /// Number of answers so far.
  std::uint64_t Samples = 0;
  /// Exponentially smoothed time between two answers in milliseconds, and the
  /// time of the last one; 0 and empty before the second and the first answer.
  double IntervalMs = 0;
  std::optional<TimePoint> LastAnswer;
};

/// A registration that could not be decoded or is invalid.
struct RejectedRegistration {
  std::string Reason;
  /// Newest start time that was known for its name.
  ServerStartTime Start = 0;
};

/// All known servers. Owned by one thread.
struct UpstreamTable {
  struct Settings {
    /// Time after a store outage in which servers whose registrations lapsed
    /// remain usable; live servers register again within it.
    Millis RegistrationGracePeriod{2200};
    /// Time for which a server is suspect after a failure; doubles with each
    /// further one.
    Millis InitialSuspectTimeout{400};
    Millis MaxSuspectTimeout{3200};
    /// Interval between requests to a server that doesn't respond.
    Millis OutageRetryInterval{200};
    /// Weight of the newest answer in the smoothed latency, from 0 to 1.
    double Smoothing = 0.2;
    /// Maximum number of rejected names that are kept; further rejections are
    /// only counted.
    std::size_t MaxRejectedNames = 1000;
  };

  Settings Limits;
  std::map<ServerName, std::shared_ptr<UpstreamServer>> Servers;
  /// Servers whose newest registration was rejected.
  std::map<ServerName, RejectedRegistration> Rejected;
  /// Total number of rejected registrations.
  std::uint64_t RejectedCount = 0;
  /// Failure domains whose servers get no requests, as set by the operator.
  std::set<DomainName> EvacuatedDomains;
  /// Typical latency of each service that has answered.
  std::map<ServiceName, TypicalLatency> TypicalLatencies;
};

/// The effect of a registration on the table.
enum class RegistrationChange : std::uint8_t {
  /// The table is unchanged.
  None,
  /// Only the weights that the server holds differ.
  WeightsChanged,
  /// The registration differs otherwise from the previous one, or the server
  /// was unregistered before.
  Changed,
  /// An unknown server has registered.
  Registered,
  /// A known server has restarted; its state was reset.
  Restarted,
  /// The registration belongs to an earlier incarnation and was ignored.
  Outdated,
};

/// Returns a text for logs.
std::string_view toText(RegistrationChange Change);

/// Returns the newest start time that is known for a name; 0 if there is none.
ServerStartTime knownStart(const UpstreamTable &Table, const ServerName &Id);

/// Applies a registration that was read at offset `At`. Ignores registrations
/// of earlier incarnations.
RegistrationChange registerServer(UpstreamTable &Table,
                                  UpstreamRegistration Entry, Offset At = 0);

/// Applies an invalid registration: removes the server of that name until a
/// valid registration is read. Returns true if the rejection should be logged:
/// it is new or has another reason than the previous one.
bool rejectRegistration(UpstreamTable &Table, const ServerName &Id,
                        const std::string &Reason);

/// Marks a server as unregistered. After a store outage the server remains
/// usable until `RegistrationGracePeriod` has passed since the store became
/// reachable.
void unregisterServer(UpstreamTable &Table, const ServerName &Id,
                      TimePoint Now);

/// Excludes the servers of a failure domain from new requests until
/// `endEvacuation`. Returns false if the domain is excluded already.
bool beginEvacuation(UpstreamTable &Table, const DomainName &Domain);

/// Allows requests to the servers of a failure domain again; they count as
/// returned at `Now`. Returns false if the domain was not excluded.
bool endEvacuation(UpstreamTable &Table, const DomainName &Domain,
                   TimePoint Now);

/// Returns the number of known servers in a failure domain.
std::size_t countServers(const UpstreamTable &Table, const DomainName &Domain);

/// Returns true if a server is cold. `ColdStart` is the time for which servers
/// of its service are cold after a start. Pure.
bool isCold(const UpstreamServer &Server, Millis ColdStart, TimePoint Now);

/// Returns true if new requests may be sent to a server.
bool isUsable(const UpstreamTable &Table, const UpstreamServer &Server,
              const StoreContact &Contact, TimePoint Now);

/// Removes unregistered servers that are no longer usable and have no requests
/// in flight. Does nothing while the store is unreachable.
void removeUnregisteredServers(UpstreamTable &Table,
                               const StoreContact &Contact, TimePoint Now);

/// Returns the usable servers of a service.
std::vector<std::shared_ptr<UpstreamServer>>
findUsableServers(const UpstreamTable &Table, const ServiceName &Service,
                  const StoreContact &Contact, TimePoint Now);

/// Records that a server has responded with `Status` to a request that was sent
/// at `Began`; ends its outage. If a connection was lost before that, the
/// server is alive. A misdirected request was answered by another server at its
/// address.
void noteResponse(UpstreamServer &Server, TimePoint Began, unsigned Status);

/// Returns true if a server has responded to a request that was sent after
/// `Since`. Pure.
bool hasResponded(const UpstreamServer &Server, TimePoint Since);

/// Records that a connection to a server was lost, or that another process has
/// reported its crash. Only the first one since the last response counts.
void noteConnectionLost(UpstreamServer &Server, TimePoint Now);

/// Records that a server doesn't respond: it accepts no connection, or two in
/// succession were lost. Returns true if its outage begins with that.
bool noteOutage(const UpstreamTable &Table, UpstreamServer &Server,
                TimePoint Now);

/// Records that a request is sent to a server in spite of its outage. The next
/// one may follow after `OutageRetryInterval`.
void noteOutageRetry(const UpstreamTable &Table, UpstreamServer &Server,
                     TimePoint Now);

/// Returns the time from which on a request may be sent to a server, in the
/// past while the server responds. A request that may run only once leaves the
/// first interval to those that may be repeated. Pure.
TimePoint nextAttemptTime(const UpstreamTable &Table,
                          const UpstreamServer &Server, bool IsRepeatable);

/// Records a successful answer, with its latency in milliseconds, or 0 if that
/// was not measured. `recordAnswer` is to be used where the latency is to age.
void noteSuccess(const UpstreamTable &Table, UpstreamServer &Server,
                 double LatencyMs);

/// Records a lost or invalid answer or a failed connection, and marks the
/// server as suspect.
void noteFailure(const UpstreamTable &Table, UpstreamServer &Server,
                 TimePoint Now);

} // namespace wasabi

#endif // WASABI_UPSTREAM_UPSTREAMTABLE_H
