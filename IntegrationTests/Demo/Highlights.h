/// \file
/// Selects the most informative lines of a merged time line.
#ifndef WASABI_INTEGRATIONTESTS_DEMO_HIGHLIGHTS_H
#define WASABI_INTEGRATIONTESTS_DEMO_HIGHLIGHTS_H

#include <string>
#include <string_view>
#include <vector>

namespace wasabi::demo {

/// Returns the first and last line of each relevant kind in their order,
/// followed by the total number of lines. Pure.
std::vector<std::string> selectHighlights(std::string_view Timeline);

} // namespace wasabi::demo

#endif // WASABI_INTEGRATIONTESTS_DEMO_HIGHLIGHTS_H
