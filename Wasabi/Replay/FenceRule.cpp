#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"

#include <unordered_map>

namespace wasabi::replay {

std::optional<RuleViolation> checkFencesNeverGoBack(const Trace &From,
                                                    const Bounds &) {
  // Position of the order with the greatest token, by daemon, server and
  // resource: one process sees its own orders in their true order.
  std::unordered_map<std::string, std::size_t> greatest;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind != "order.take")
      continue;
    const std::optional<std::uint64_t> fence = readNumber(what.field("fence"));
    if (!fence)
      return RuleViolation{"an order was taken without a fencing token", {at}};
    const auto [found, isFirst] = greatest.emplace(
        what.Instance + joinFieldValues(what, {"server", "resource"}), at);
    if (isFirst)
      continue;
    const std::uint64_t before =
        *readNumber(From.Events[found->second].field("fence"));
    if (*fence < before)
      return RuleViolation{"server " + std::string(what.field("server")) +
                               " took an order with token " +
                               std::to_string(*fence) + " after one with " +
                               std::to_string(before),
                           {found->second, at}};
    found->second = at;
  }
  return std::nullopt;
}

} // namespace wasabi::replay
