/// \file
/// Counters of a daemon.
#ifndef WASABI_ADAPTERS_PROXY_DAEMONMETRICS_H
#define WASABI_ADAPTERS_PROXY_DAEMONMETRICS_H

#include "Wasabi/Adapters/Telemetry/Metrics.h"

namespace wasabi {

/// Counters of a daemon. The registry must outlive them. Each counter is
/// thread-safe.
struct DaemonMetrics {
  explicit DaemonMetrics(Metrics &Registry)
      : Attempts(Registry.counter("wasabi_daemon_attempts_total",
                                  "Attempts received")),
        Forwarded(Registry.counter("wasabi_daemon_forwarded_total",
                                   "Attempts given to a server")),
        CompleteResponses(Registry.counter("wasabi_daemon_whole_answers_total",
                                           "Whole answers of servers")),
        Refused(Registry.counter("wasabi_daemon_refused_total",
                                 "Attempts refused before their server")),
        FailedAttempts(
            Registry.counter("wasabi_daemon_broken_total",
                             "Attempts that failed at their server")),
        Repeats(Registry.counter("wasabi_daemon_repeats_total",
                                 "Repeats of a key that were not run")),
        OrdersExecuted(Registry.counter("wasabi_daemon_orders_total",
                                        "Orders carried out")),
        OrdersRefused(Registry.counter("wasabi_daemon_orders_refused_total",
                                       "Orders refused for an old token")) {}

  Counter &Attempts;
  Counter &Forwarded;
  Counter &CompleteResponses;
  Counter &Refused;
  Counter &FailedAttempts;
  Counter &Repeats;
  Counter &OrdersExecuted;
  Counter &OrdersRefused;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_DAEMONMETRICS_H
