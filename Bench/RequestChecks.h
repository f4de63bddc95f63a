/// \file
/// What the bench sends, and how answers are held against what the upstreams
/// themselves say has happened.
#ifndef WASABI_BENCH_REQUESTCHECKS_H
#define WASABI_BENCH_REQUESTCHECKS_H

#include "Bench/LoadRun.h"
#include "Bench/RequestFleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::bench {

/// The `X-Request-Id` of a call; `Load` tells the loads of one fleet apart.
std::string makeRequestId(const std::string &Load, std::uint64_t Number);

/// Whether a call must run at most once: every second one must.
inline bool mustRunOnce(std::uint64_t Number) { return Number % 2 == 1; }

/// A small call of a plain service: a GET, or a POST that must run once.
/// `Caller` is empty for none. Deadline in milliseconds.
http::Request makePlainRequest(const std::string &Load, std::uint64_t Number,
                               Millis Deadline, const std::string &Caller = "");

/// Checks a plain service's answer: path, and the hash of the body.
void checkPlainResponse(const http::Request &Ask, const http::Response &Answer,
                        CallResult &Into);

/// A completion of an engine.
http::Request makeCompletionRequest(const std::string &Load,
                                    std::uint64_t Number,
                                    const std::string &Prompt,
                                    std::uint64_t MaxTokens, bool Streamed,
                                    Millis Deadline);

/// Checks a completion: every token recomputed from the labels, and as many as
/// there must be. `CallResult::Server` is left empty.
void checkCompletionResponse(const http::Request &Ask,
                             const http::Response &Answer, CallResult &Into);

/// How many tokens a completion must have. Precondition: `Ask` is one.
std::uint64_t expectedCompletionTokens(const http::Request &Ask);

/// What was promised and must be 0.
struct CorrectnessCounts {
  /// Answered `not-run` though an upstream ran it.
  std::uint64_t FalseNotRun = 0;
  /// Ran twice though it had to run once.
  std::uint64_t DoubleRuns = 0;
  /// Answered with something else than what it asked, or out of nowhere.
  std::uint64_t WrongAnswers = 0;
  /// Calls held against complete records.
  std::uint64_t Checked = 0;
};

/// Holds the calls of plain services against the upstreams' own records. An
/// upstream that does not answer is left out, and said on stderr.
CorrectnessCounts checkPlainRuns(const std::string &Load,
                                 const std::vector<CallResult> &Calls,
                                 RequestFleet &Fleet);

/// Adds up.
CorrectnessCounts operator+(const CorrectnessCounts &Left,
                            const CorrectnessCounts &Right);

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTCHECKS_H
