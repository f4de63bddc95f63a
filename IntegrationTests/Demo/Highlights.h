/// \file
/// The few lines of a merged time line that tell its story.
#ifndef WASABI_INTEGRATIONTESTS_DEMO_HIGHLIGHTS_H
#define WASABI_INTEGRATIONTESTS_DEMO_HIGHLIGHTS_H

#include <string>
#include <string_view>
#include <vector>

namespace wasabi::demo {

/// The first and last lines of each kind that matters, in their order, and how
/// many there are in all. Pure.
std::vector<std::string> selectHighlights(std::string_view Timeline);

} // namespace wasabi::demo

#endif // WASABI_INTEGRATIONTESTS_DEMO_HIGHLIGHTS_H
