/// \file
/// Whether an answer is the whole answer to the request that was sent, by what
/// the stand-ins must say (docs/PLATFORM.md).
#ifndef WASABI_INTEGRATIONTESTS_CHAOS_ANSWERCHECK_H
#define WASABI_INTEGRATIONTESTS_CHAOS_ANSWERCHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::chaos {

/// Why a plain service's answer is not the one to this request; empty if it is.
std::string findPlainAnswerError(std::string_view Answer,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body);

/// The same for a whole completion.
std::string findCompletionError(std::string_view Answer,
                                std::string_view Prompt, std::uint64_t Seed);

/// The same for a completion's event stream.
std::string findStreamError(std::string_view Events, std::string_view Prompt,
                            std::uint64_t Seed);

} // namespace wasabi::chaos

#endif // WASABI_INTEGRATIONTESTS_CHAOS_ANSWERCHECK_H
