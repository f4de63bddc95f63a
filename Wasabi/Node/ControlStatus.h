/// \file
/// The control plane's part of `/status`.
#ifndef WASABI_NODE_CONTROLSTATUS_H
#define WASABI_NODE_CONTROLSTATUS_H

#include "Wasabi/Membership/View.h"
#include "Wasabi/Node/ControlCounters.h"
#include "Wasabi/Node/ControlPlane.h"
#include "Wasabi/State/Fold.h"

#include <map>
#include <memory>
#include <string>

namespace wasabi {

/// State shown in `/status`.
struct ControlStatus {
  std::shared_ptr<const FoldState> State;
  std::shared_ptr<const View> ClusterView;
  std::map<std::string, HeldClaim> Held;
  bool LogReachable = false;
  bool Ready = false;
};

/// Returns a JSON object with `next`, `config_revision`, `members`, `claims`,
/// `log`, `self_doubt` and the counters. Pure, thread-safe.
std::string toJson(const ControlStatus &Status,
                   const ControlCounters &Counters);

} // namespace wasabi

#endif // WASABI_NODE_CONTROLSTATUS_H
