/// \file
/// Counters of an entry.
#ifndef WASABI_ADAPTERS_PROXY_ENTRYMETRICS_H
#define WASABI_ADAPTERS_PROXY_ENTRYMETRICS_H

#include "Wasabi/Adapters/Telemetry/Metrics.h"

namespace wasabi {

/// Counters of an entry. The registry must outlive them. Each counter is
/// thread-safe.
struct EntryMetrics {
  explicit EntryMetrics(Metrics &Registry)
      : Received(Registry.counter("wasabi_entry_requests_total",
                                  "Callers' requests received")),
        CompleteResponses(Registry.counter("wasabi_entry_whole_answers_total",
                                           "Whole answers given to callers")),
        NotRun(Registry.counter("wasabi_entry_refusals_total",
                                "Refusals given to callers, by verdict",
                                {{"verdict", "not-run"}})),
        MayHaveRun(Registry.counter("wasabi_entry_refusals_total",
                                    "Refusals given to callers, by verdict",
                                    {{"verdict", "may-have-run"}})),
        Ran(Registry.counter("wasabi_entry_refusals_total",
                             "Refusals given to callers, by verdict",
                             {{"verdict", "ran"}})),
        Aborted(Registry.counter("wasabi_entry_aborted_answers_total",
                                 "Answers broken off after their head")),
        CallersLeft(Registry.counter("wasabi_entry_callers_left_total",
                                     "Callers that left before their answer")),
        Attempts(Registry.counter("wasabi_entry_attempts_total",
                                  "Attempts sent or tried to be sent")),
        Retries(Registry.counter("wasabi_entry_retries_total",
                                 "Attempts beyond a request's first")),
        Resumed(Registry.counter("wasabi_entry_resumed_streams_total",
                                 "Streams resumed on another server")),
        RetryBudgetRefusals(Registry.counter(
            "wasabi_entry_retries_refused_total",
            "Retries not made since the retry budget was spent")),
        RateLimited(Registry.counter("wasabi_entry_limited_total",
                                     "Requests beyond their caller's limit")),
        PrefixPlacements(Registry.counter(
            "wasabi_entry_prefix_placements_total",
            "Attempts that went where their prefix was placed, or belongs")),
        CrossDomain(
            Registry.counter("wasabi_entry_cross_domain_total",
                             "Attempts that went to another failure domain")),
        RequestSeconds(
            Registry.quantiles("wasabi_entry_request_seconds",
                               "Time from a request to its whole answer")) {}

  Counter &Received;
  Counter &CompleteResponses;
  Counter &NotRun;
  Counter &MayHaveRun;
  Counter &Ran;
  Counter &Aborted;
  Counter &CallersLeft;
  Counter &Attempts;
  Counter &Retries;
  Counter &Resumed;
  Counter &RetryBudgetRefusals;
  Counter &RateLimited;
  Counter &PrefixPlacements;
  Counter &CrossDomain;
  Quantiles &RequestSeconds;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_ENTRYMETRICS_H
