#include "IntegrationTests/Demo/Highlights.h"

#include <array>
#include <set>
#include <sstream>

namespace wasabi::demo {

namespace {

constexpr std::array<std::string_view, 9> Kinds = {
    "claim.taken",  "claim.released",    "step.open",
    "step.whole",   "weights.published", "weights.done",
    "sample.hedge", "process.leaving",   "fold.diverged"};
constexpr std::size_t MaxColumns = 150;

} // namespace

std::vector<std::string> selectHighlights(std::string_view Timeline) {
  std::vector<std::string> lines;
  std::istringstream text{std::string(Timeline)};
  for (std::string line; std::getline(text, line);)
    lines.push_back(line);

  std::set<std::size_t> chosen;
  for (std::string_view kind : Kinds) {
    std::size_t last = lines.size();
    for (std::size_t i = 0; i < lines.size(); ++i) {
      if (lines[i].find(kind) == std::string::npos)
        continue;
      if (last == lines.size())
        chosen.insert(i);
      last = i;
    }
    if (last < lines.size())
      chosen.insert(last);
  }
  std::vector<std::string> shown;
  shown.reserve(chosen.size() + 1);
  for (std::size_t it : chosen)
    shown.push_back(lines[it].substr(0, MaxColumns));
  shown.push_back("(of " + std::to_string(lines.size()) + " events)");
  return shown;
}

} // namespace wasabi::demo
