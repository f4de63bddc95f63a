/// \file
/// Takes, renews and releases the claims that this process wants.
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

/// Not thread-safe but for what says otherwise: use on the control thread.
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

  /// Thread-safe.
  void requestClaim(const std::string &Resource);
  /// Thread-safe. `held` gives nothing from now on.
  void withdrawClaim(const std::string &Resource);
  /// Stops wanting all. Thread-safe.
  void withdrawAllClaims();
  /// The claim, while this process may act on it. Thread-safe.
  std::optional<HeldClaim> held(const std::string &Resource,
                                TimePoint Now) const;
  /// The token of the claim that the fold still gives this process, also past
  /// its term. Thread-safe.
  std::optional<FencingToken> token(const FoldState &State,
                                    const std::string &Resource) const;
  /// All that may be acted on now. Thread-safe.
  std::map<std::string, HeldClaim> heldNow(TimePoint Now) const;

  /// Decides on each resource. `MayAcquire` as in `ClaimDecisionInput`.
  void decide(const FoldState &State, const View &Seen, bool MayAcquire,
              TimePoint Now);
  /// Whether the fold still has a claim of this process that is not released.
  bool holdsAny(const FoldState &State) const;

  void onApplied(Offset At, const FoldState &State,
                 const ControlStateChange &Did, TimePoint Now);
  void onStateReplaced(const FoldState &State, TimePoint Now);

private:
  /// What is known here of one resource.
  struct Tracked {
    /// Offset and time of the last record on it that was read.
    Offset RenewalOffset = 0;
    TimePoint ReadAt;
    FencingToken Token = 0;
    bool Busy = false;
    TimePoint SentAt;
  };

  ClaimManager(Settings Setup, std::shared_ptr<RecordAppender> Appender,
               Timeline &Events);
  bool isMine(const Claim &What) const;
  void note(const std::string &Resource, const Claim &What, TimePoint Now);
  void act(const std::string &Resource, ClaimAction Step,
           const std::optional<Claim> &Current);
  void lose(const std::string &Resource);

  const Settings Setup;
  std::shared_ptr<RecordAppender> Appender;
  Timeline &Events;
  std::map<std::string, Tracked> Known;

  mutable std::mutex Guard;
  /// Wanted resources, since when.
  std::map<std::string, TimePoint> Wanted;
  std::map<std::string, HeldClaim> Held;
};

} // namespace wasabi

#endif // WASABI_NODE_CLAIMMANAGER_H
