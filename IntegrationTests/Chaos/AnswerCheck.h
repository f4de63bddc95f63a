/// \file
/// Checks that a response is complete and belongs to the request that was sent,
/// as the platform stand-ins generate it (docs/PLATFORM.md).
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_ANSWERCHECK_H
#define WASABI_INTEGRATIONTESTS_CHAOS_ANSWERCHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::chaos {

/// Returns the error in a plain service's response to this request; empty if
/// the response is correct.
std::string findPlainAnswerError(std::string_view Answer,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// Returns the error in a non-streamed completion; empty if it is correct.
std::string findCompletionError(std::string_view Answer,
                                std::string_view Prompt, std::uint64_t Seed);

/// Returns the error in a completion's event stream; empty if it is correct.
std::string findStreamError(std::string_view Events, std::string_view Prompt,
                            std::uint64_t Seed);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_ANSWERCHECK_H
