/// \file
/// Records of the topic through which processes share crashes and claims.
#ifndef WASABI_QUARANTINE_CRASHTOPIC_H
#define WASABI_QUARANTINE_CRASHTOPIC_H

#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Quarantine/RunClaims.h"
#include "Wasabi/Quarantine/ServerLosses.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wasabi {

/// Topic of the crash records by request digest. A request that was answered
/// has its key deleted. Crashes are kept in the store because a request may be
/// retried at any process, also after all processes have restarted. A record
/// whose only loss was withdrawn stays, without crashes: its deletion could
/// erase a crash that another process has written meanwhile.
inline constexpr const char *CrashTopic = "keyed.crashes";

/// The value of a record. An immutable value.
struct CrashTopicRecord {
  /// Servers that crashed while they ran the request.
  std::set<ServerIncarnation> Crashes;
  /// Those of them that ran no other suspect.
  std::set<ServerIncarnation> IsolatedCrashes;
  /// Servers of which it isn't known yet whether they crashed.
  std::set<ServerLoss> Losses;
  /// The server that is claimed for a run of the request; empty if none is.
  std::optional<RunClaim> Claim;
  bool operator==(const CrashTopicRecord &) const = default;
};

/// Encodes the value of a record. Thread-safe.
std::string encodeCrashRecord(const CrashTopicRecord &Record);
/// Decodes the value of a record. Errors: `BadInput` at `Place`. Thread-safe.
Result<CrashTopicRecord> decodeCrashRecord(std::string_view Text,
                                           const std::string &Place);

} // namespace wasabi

#endif // WASABI_QUARANTINE_CRASHTOPIC_H
