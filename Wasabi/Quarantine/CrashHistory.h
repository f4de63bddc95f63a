/// \file
/// Which requests servers have ended under, and which of them get no more
/// servers.
///
/// The load that this answers: one request ends each server that begins to run
/// it, and comes again under a new id at any process. With four servers and two
/// tries an attempt it took all of them down ten times in 80 s. Others run
/// beside it: whatever a server was running ends with it, so that an end alone
/// convicts nobody.
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

/// What is known against one request.
struct CrashRecord {
  /// Servers that ended while they ran it, since it was last answered.
  std::set<ServerIncarnation> Ends;
  /// When the newest of them became known here.
  TimePoint Newest;
  /// Whether its ends convict it; see `CrashHistory`.
  bool IsPoison = false;
};

/// How a request stands. In the order of suspicion.
enum class CrashStatus : std::uint8_t {
  /// No server has ended under it, or another request explains those that have.
  Clean,
  /// Servers have ended under it, too few to convict it.
  Suspect,
  /// It gets no server now.
  Quarantined,
};

/// Everything that one process knows of such requests. Owned by one thread.
struct CrashHistory {
  struct Settings {
    /// Ends that convict a request if at least one is not shared with another
    /// suspect: what the users allow to happen.
    std::size_t Ends = 3;
    /// Ends that convict it however many other suspects share them all. With
    /// suspects kept apart an innocent one is answered long before.
    std::size_t SharedCrashLimit = 4;
    /// Ends that convict it whatever explains them: several requests that end
    /// servers at once share all of theirs, and one would explain the others.
    /// An innocent one would have to be beside such a request five times
    /// without an answer in between.
    std::size_t TotalCrashLimit = 5;
    /// How long a convicted request gets no server after its last end; then it
    /// may run, and one more end convicts it again. Bounds what a caller who
    /// never stops costs to a server an hour, and what a wrong conviction costs
    /// its caller.
    Millis Term{3600000};
    /// A request under which no server has ended for this long is forgotten:
    /// well after `Term`, so that a caller who comes back then finds one end
    /// left and not three.
    Millis Memory{7200000};
    /// Most requests that are kept for long. Each end of a server adds those
    /// that it ran, some ten; those that are answered go again.
    std::size_t MaxTrackedRequests = 1000;
    /// Most ends that are kept of one request: an hour each after the first.
    std::size_t MostEnds = 64;
  };

  Settings Limits;
  std::map<RequestDigest, CrashRecord> Requests;
};

/// Adds ends to what is known against a request, and judges all anew. Returns
/// whether any of them is news.
///
/// An end that a convicted request shares counts against nobody else, up to
/// `Settings::TotalCrashLimit`: it explains it. Those that were convicted
/// before are judged first, then those with the most ends.
bool recordCrashes(CrashHistory &Ledger, const RequestDigest &Of,
                   const std::set<ServerIncarnation> &Ends, TimePoint Now);

/// Takes back all that is known against a request: a server has answered it, or
/// another process says so. Returns whether anything was known.
bool clearCrashes(CrashHistory &Ledger, const RequestDigest &Of);

/// How a request stands at `Now`. Pure.
CrashStatus findCrashStatus(const CrashHistory &Ledger, const RequestDigest &Of,
                            TimePoint Now);

/// How long a quarantined request still gets no server; 0 for any other. Pure.
Millis remainingQuarantine(const CrashHistory &Ledger, const RequestDigest &Of,
                           TimePoint Now);

/// Forgets what is older than `Settings::Memory` and what is beyond
/// `Settings::MaxTrackedRequests`, the oldest first and convicted requests
/// last. Returns the requests that are forgotten.
std::set<RequestDigest> evictOld(CrashHistory &Ledger, TimePoint Now);

} // namespace wasabi

#endif // WASABI_QUARANTINE_CRASHHISTORY_H
