/// \file
/// Acquires, renews and releases the claims that this process requests.
#ifndef WASABI_NODE_CLAIMMANAGER_H
#define WASABI_NODE_CLAIMMANAGER_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Timeline.h"
#include "Wasabi/Membership/View.h"
#include "Wasabi/Node/ClaimRules.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/Node/RecordAppender.h"
#include "Wasabi/State/Fold.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace wasabi {

/// Not thread-safe except where stated: use on the control thread.
class ClaimManager : public std::enable_shared_from_this<ClaimManager> {
public:
  struct Settings {
    InstanceName Instance;
    Incarnation Life = 0;
    ClaimSettings Rules;
  };

  static std::shared_ptr<ClaimManager>
  create(Settings Setup, std::shared_ptr<RecordAppender> Appender,
         Timeline &Events);

  /// Adds a resource to the claims that this process requests. Thread-safe.
  void requestClaim(const std::string &Resource);
  /// Stops requesting the claim. `held` returns nothing for it from now on.
  /// Thread-safe.
  void withdrawClaim(const std::string &Resource);
  /// Stops requesting all claims. Thread-safe.
  void withdrawAllClaims();
  /// Returns the claim while this process may act on it. Thread-safe.
  std::optional<HeldClaim> held(const std::string &Resource,
                                TimePoint Now) const;
  /// Returns the token of the claim that this process holds according to the
  /// folded state, also after its term has expired. Thread-safe.
  std::optional<FencingToken> token(const FoldState &State,
                                    const std::string &Resource) const;
  /// Returns all claims that this process may act on at `Now`. Thread-safe.
  std::map<std::string, HeldClaim> activeClaims(TimePoint Now) const;

  /// Applies the claim rules to each resource and appends the resulting
  /// records. `MayAcquire` is defined in `ClaimDecisionInput`.
  void decide(const FoldState &State, const View &ClusterView, bool MayAcquire,
              TimePoint Now);
  /// Returns true if the folded state has a claim of this process that is not
  /// released.
  bool holdsAny(const FoldState &State) const;

  void onApplied(Offset At, const FoldState &State,
                 const ControlStateChange &Change, TimePoint Now);
  void onStateReplaced(const FoldState &State, TimePoint Now);

private:
  /// Local progress of one resource's claim.
  struct ClaimProgress {
    /// Offset of the last record on the resource, and the time at which it was
    /// read.
    Offset RenewalOffset = 0;
    TimePoint ReadAt;
    FencingToken Token = 0;
    bool AppendInFlight = false;
    TimePoint SentAt;
  };

  ClaimManager(Settings Setup, std::shared_ptr<RecordAppender> Appender,
               Timeline &Events);
  bool isHeldHere(const Claim &Entry) const;
  void recordClaim(const std::string &Resource, const Claim &Entry,
                   TimePoint Now);
  void appendAction(const std::string &Resource, ClaimAction Action,
                    const std::optional<Claim> &Current);
  void dropHeldClaim(const std::string &Resource);

  const Settings Setup;
  std::shared_ptr<RecordAppender> Appender;
  Timeline &Events;
  std::map<std::string, ClaimProgress> Known;

  mutable std::mutex Guard;
  /// Requested resources and the time of each request.
  std::map<std::string, TimePoint> Wanted;
  std::map<std::string, HeldClaim> Held;
};

} // namespace wasabi

#endif // WASABI_NODE_CLAIMMANAGER_H
