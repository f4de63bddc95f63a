/// \file
/// Tracks the requests that were running when servers crashed, and decides
/// which of them are quarantined.
///
/// A crash ends all requests on the server, so a single crash doesn't identify
/// the request that caused it. Requests are identified by digest, since a retry
/// has a new id and may reach any process.
#ifndef WASABI_QUARANTINE_CRASHHISTORY_H
#define WASABI_QUARANTINE_CRASHHISTORY_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Quarantine/RequestDigest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace wasabi {

/// The crashes recorded for one request.
struct CrashRecord {
  /// Servers that crashed while they ran the request, since it was last
  /// answered.
  std::set<ServerIncarnation> Crashes;
  /// Those of them that ran no other suspect, see `RunClaims`.
  std::set<ServerIncarnation> IsolatedCrashes;
  /// When this process learned of the last of them; of the record, if there is
  /// none.
  TimePoint LastCrash;
  /// True if the request is poison: its crashes suffice to quarantine it. See
  /// `recordCrashes`.
  bool IsPoison = false;
  /// True if poison requests explain all of its crashes.
  bool IsExplained = false;
};

/// Status of a request, in increasing order of suspicion.
enum class CrashStatus : std::uint8_t {
  /// No server has crashed under the request, or poison requests explain all of
  /// its crashes.
  Clean,
  /// Servers have crashed under the request, but it is not quarantined now.
  Suspect,
  /// The request is not sent to any server.
  Quarantined,
};

/// The crash records of one process. Owned by one thread.
struct CrashHistory {
  struct Settings {
    /// Crashes that make a request poison if at least one of them is not shared
    /// with another suspect, or ended an isolated run.
    std::size_t CrashLimit = 3;
    /// Crashes that make a request poison even if other suspects share all of
    /// them.
    std::size_t SharedCrashLimit = 4;
    /// Crashes that make a request poison even if another poison request
    /// explains them: several requests that crash servers together share all
    /// their crashes, and one of them would explain those of the others.
    std::size_t TotalCrashLimit = 5;
    /// How long a poison request is quarantined after its last crash.
    /// Afterwards it may run, and one more crash quarantines it again.
    Millis QuarantineTime{3600000};
    /// A record is removed after this long without a crash. Longer than
    /// `QuarantineTime`, so that a retry after the quarantine still finds the
    /// earlier crashes.
    Millis RecordRetention{7200000};
    /// Maximum number of requests that `evictOld` keeps.
    std::size_t MaxTrackedRequests = 1000;
    /// Maximum number of crashes that are kept for one request.
    std::size_t MaxCrashesPerRequest = 64;
  };

  Settings Limits;
  std::map<RequestDigest, CrashRecord> Requests;
};

/// Adds crashes to the record of a request and updates which requests are
/// poison. Returns true if any of the crashes is new. `IsolatedCrashes` are
/// those of them that ended an isolated run.
///
/// A crash that a poison request shares doesn't count against other requests,
/// except towards `Settings::TotalCrashLimit`. A request that shares all
/// crashes of another one and has more of them is considered before it, and
/// otherwise the one with fewer crashes. Which requests are poison depends on
/// the recorded crashes alone, so all processes that know the same crashes
/// agree.
bool recordCrashes(CrashHistory &History, const RequestDigest &Digest,
                   const std::set<ServerIncarnation> &Crashes, TimePoint Now,
                   const std::set<ServerIncarnation> &IsolatedCrashes = {});

/// Removes the record of a request. Called when a server has answered the
/// request, or when another process has removed the record. Returns true if
/// there was one.
bool clearCrashes(CrashHistory &History, const RequestDigest &Digest);

/// Returns the status of a request at `Now`. Pure.
CrashStatus findCrashStatus(const CrashHistory &History,
                            const RequestDigest &Digest, TimePoint Now);

/// Returns the remaining quarantine of a request; 0 if it is not quarantined.
/// Pure.
Millis remainingQuarantine(const CrashHistory &History,
                           const RequestDigest &Digest, TimePoint Now);

/// Removes records older than `Settings::RecordRetention`, then the oldest
/// records beyond `Settings::MaxTrackedRequests`, those of poison requests
/// last. Returns the removed requests.
std::set<RequestDigest> evictOld(CrashHistory &History, TimePoint Now);

} // namespace wasabi

#endif // WASABI_QUARANTINE_CRASHHISTORY_H
