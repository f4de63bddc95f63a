#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"

#include <unordered_map>

namespace wasabi::replay {

std::optional<RuleViolation> checkFencesNeverGoBack(const Trace &Input,
                                                    const Bounds &) {
  // Position of the order with the greatest token, by daemon, server and
  // resource. The events of one process are in their true order.
  std::unordered_map<std::string, std::size_t> greatest;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind != "order.take")
      continue;
    const std::optional<std::uint64_t> fence =
        parseDecimal(event.field("fence"));
    if (!fence)
      return RuleViolation{"an order was taken without a fencing token",
                           {index}};
    const auto [found, isFirst] = greatest.emplace(
        event.Instance + joinFieldValues(event, {"server", "resource"}), index);
    if (isFirst)
      continue;
    const std::uint64_t previous =
        *parseDecimal(Input.Events[found->second].field("fence"));
    if (*fence < previous)
      return RuleViolation{"server " + std::string(event.field("server")) +
                               " took an order with token " +
                               std::to_string(*fence) + " after one with " +
                               std::to_string(previous),
                           {found->second, index}};
    found->second = index;
  }
  return std::nullopt;
}

} // namespace wasabi::replay
