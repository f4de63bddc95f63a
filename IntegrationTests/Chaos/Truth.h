/// \file
/// Parses the records of the stand-ins, which are the ground truth.
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_TRUTH_H
#define WASABI_INTEGRATIONTESTS_CHAOS_TRUTH_H

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::chaos {

/// One run of a request by an upstream. An immutable value.
struct UpstreamRun {
  /// Path at a plain service, or prompt of an engine.
  std::string Mark;
  /// Name of the stand-in.
  std::string Server;
  /// Wall-clock time in microseconds.
  std::uint64_t Started = 0;
};

/// Counts from the trainers' records. An immutable value.
struct TrainerTruth {
  std::uint64_t Samples = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t Stale = 0;
  std::uint64_t Mislabelled = 0;
  std::uint64_t StepsOpened = 0;
  std::uint64_t StepsComplete = 0;
};

/// Returns the runs in the record of a plain service or an engine. Pure.
std::vector<UpstreamRun> parseUpstreamRuns(const boost::json::value &Truth,
                                           const std::string &Server);

/// Parses a trainer's record. Pure.
TrainerTruth parseTrainerTruth(const boost::json::value &Truth);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_TRUTH_H
