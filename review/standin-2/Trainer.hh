/// \file
/// What the scenarios share: steps of a trainer and checks.
#ifndef WASABI_REVIEW_STANDIN2_TRAINER_HH
#define WASABI_REVIEW_STANDIN2_TRAINER_HH

#include "World.hh"

#include <map>
#include <string>

namespace review {

/// Throws, so that the case counts as not run, unless the condition holds.
void require(bool Condition, const std::string &What);

/// Returns the status of a response, or why there is none.
std::string describe(const CallResult &Got);

/// Returns a job of `Count` items whose ids begin with the job's.
JobSettings makeJob(const std::string &Id, const std::string &Model,
                    const std::string &Prefix, const std::string &ScorePrefix,
                    unsigned Count);

/// Submits a job and records the answer.
CallResult submit(World &Users, const Edge &At, const JobSettings &Job);

/// Reads the results of a job at a machine until all are listed or until
/// `Timeout`. Returns the state of each listed item.
std::map<std::string, std::string> readResults(World &Users, const Edge &At,
                                               const JobSettings &Job,
                                               Millis Timeout);

/// Waits until `Condition` holds. Returns false at `Timeout`.
bool waitUntil(const std::function<bool()> &Condition, Millis Timeout);

} // namespace review

#endif // WASABI_REVIEW_STANDIN2_TRAINER_HH
