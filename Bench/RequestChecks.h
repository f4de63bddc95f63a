/// \file
/// Builds the bench's requests and checks the responses against the upstreams'
/// own records.
#ifndef WASABI_BENCH_REQUESTCHECKS_H
#define WASABI_BENCH_REQUESTCHECKS_H

#include "Bench/LoadRun.h"
#include "Bench/RequestFleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::bench {

/// Returns the `X-Request-Id` of a call. `Load` distinguishes the loads of one
/// fleet.
std::string makeRequestId(const std::string &Load, std::uint64_t Number);

/// Returns true for every second call, which must run at most once.
inline bool mustRunOnce(std::uint64_t Number) { return Number % 2 == 1; }

/// Makes a small call of a plain service: a GET, or a POST that must run at
/// most once. An empty `Caller` sends no caller. The deadline is in
/// milliseconds.
http::Request makePlainRequest(const std::string &Load, std::uint64_t Number,
                               Millis Deadline, const std::string &Caller = "");

/// Checks the path and the body hash in a plain service's response.
void checkPlainResponse(const http::Request &Ask, const http::Response &Answer,
                        CallResult &Into);

/// Makes a completion request to an engine.
http::Request makeCompletionRequest(const std::string &Load,
                                    std::uint64_t Number,
                                    const std::string &Prompt,
                                    std::uint64_t MaxTokens, bool Streamed,
                                    Millis Deadline);

/// Checks a completion: recomputes every token from the labels and checks the
/// number of tokens. Leaves `CallResult::Server` empty.
void checkCompletionResponse(const http::Request &Ask,
                             const http::Response &Answer, CallResult &Into);

/// Returns the expected number of tokens of a completion. Precondition: `Ask`
/// is a completion request.
std::uint64_t expectedCompletionTokens(const http::Request &Ask);

/// Violations of the guarantees. All counts but `Checked` must be 0.
struct CorrectnessCounts {
  /// Calls answered `not-run` although an upstream ran them.
  std::uint64_t FalseNotRun = 0;
  /// Calls that ran twice although they must run at most once.
  std::uint64_t DoubleRuns = 0;
  /// Calls whose response does not match the request, or that no upstream ran.
  std::uint64_t WrongAnswers = 0;
  /// Calls checked against complete records.
  std::uint64_t Checked = 0;
};

/// Checks the calls of plain services against the upstreams' own records. An
/// upstream that does not answer is skipped and logged on stderr.
CorrectnessCounts checkPlainRuns(const std::string &Load,
                                 const std::vector<CallResult> &Calls,
                                 RequestFleet &Fleet);

/// Adds the counts.
CorrectnessCounts operator+(const CorrectnessCounts &Left,
                            const CorrectnessCounts &Right);

} // namespace wasabi::bench

#endif // WASABI_BENCH_REQUESTCHECKS_H
