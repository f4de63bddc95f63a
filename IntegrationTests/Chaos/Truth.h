/// \file
/// The stand-ins' own records, as values to judge by.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_TRUTH_H
#define WASABI_INTEGRATIONTESTS_CHAOS_TRUTH_H

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// One run of a request by an upstream. An immutable value.
struct UpstreamRun {
  /// The plain service's path, or the engine's prompt.
  std::string Mark;
  /// Which stand-in.
  std::string Server;
  /// Wall microseconds.
  std::uint64_t Started = 0;
};

/// What the trainers have to say. An immutable value.
struct TrainerTruth {
  std::uint64_t Samples = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  std::uint64_t StepsOpened = 0;
  std::uint64_t StepsComplete = 0;
};

/// Runs in a plain service's or an engine's record. Pure.
std::vector<UpstreamRun> parseUpstreamRuns(const boost::json::value &Truth,
                                           const std::string &Server);

/// A trainer's record. Pure.
TrainerTruth parseTrainerTruth(const boost::json::value &Truth);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_TRUTH_H
