#include "Wasabi/Replay/Forwards.h"
#include "Wasabi/Replay/Identity.h"
#include "Wasabi/Replay/LabelReader.h"
#include "Wasabi/Replay/Rules.h"

#include <unordered_map>
#include <utility>

namespace wasabi::replay {

namespace {

constexpr std::uint64_t FirstSuccess = 200;
constexpr std::uint64_t LastSuccess = 299;

bool isSuccess(const TimelineEvent &event) {
  const std::optional<std::uint64_t> status =
      parseDecimal(event.field("status"));
  return status && *status >= FirstSuccess && *status <= LastSuccess;
}

std::string describeRequest(const TimelineEvent &event) {
  return "request " + std::string(event.field("request"));
}

/// Returns the end of the last attempt if all attempts of a request ended and
/// none was complete.
std::optional<std::size_t>
findIncompleteEnd(const Trace &trace,
                  const std::vector<ForwardedAttempt> &forwards) {
  std::optional<std::size_t> incompleteEnd;
  for (const ForwardedAttempt &it : forwards) {
    if (!it.End)
      return std::nullopt;
    if (trace.Events[*it.End].field("whole") == "true")
      return std::nullopt;
    incompleteEnd = it.End;
  }
  return incompleteEnd;
}

/// Returns the first forwarded attempt that may have run. An empty `attempt`
/// selects all attempts.
std::optional<std::size_t>
findPossibleRun(const std::vector<ForwardedAttempt> &forwards,
                std::string_view attempt, const Trace &trace) {
  for (const ForwardedAttempt &it : forwards) {
    const bool selected =
        attempt.empty() || trace.Events[it.At].field("attempt") == attempt;
    if (selected && !it.ProvedNotRun)
      return it.At;
  }
  return std::nullopt;
}

/// Returns the attempt that an event reports as not run, empty text for the
/// whole request, or nothing if the event does not report this.
std::optional<std::string_view>
attemptReportedNotRun(const TimelineEvent &event) {
  if (event.field("verdict") != "not-run")
    return std::nullopt;
  if (event.Kind == "request.done")
    return std::string_view();
  if (event.Kind == "request.retry" || event.Kind == "attempt.refuse")
    return event.field("attempt");
  return std::nullopt;
}

/// Returns the caller and service of each request. Idempotency keys are scoped
/// to them.
std::unordered_map<std::string, std::string> findCallers(const Trace &trace) {
  std::unordered_map<std::string, std::string> callers;
  for (const TimelineEvent &it : trace.Events) {
    if (it.Kind == "request.received")
      callers.emplace(std::string(it.field("request")),
                      joinFieldValues(it, {"caller", "service"}));
  }
  return callers;
}

} // namespace

std::optional<RuleViolation> checkAnswerWhole(const Trace &Input,
                                              const Bounds &) {
  const ForwardsByRequest forwards = findForwards(Input);
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind != "request.done" || !isSuccess(event))
      continue;
    if (event.field("whole") != "true") {
      // An aborted response has a verdict; without one it appears complete.
      if (event.field("verdict").empty())
        return RuleViolation{describeRequest(event) +
                                 " ended incomplete without a verdict",
                             {index}};
      continue;
    }
    const auto found = forwards.find(std::string(event.field("request")));
    if (found == forwards.end())
      continue;
    const std::optional<std::size_t> incompleteEnd =
        findIncompleteEnd(Input, found->second);
    if (incompleteEnd)
      return RuleViolation{describeRequest(event) +
                               " was truncated but reported as complete",
                           {*incompleteEnd, index}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkNotRunIsTrue(const Trace &Input,
                                               const Bounds &) {
  const ForwardsByRequest forwards = findForwards(Input);
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    const std::optional<std::string_view> attempt =
        attemptReportedNotRun(event);
    if (!attempt)
      continue;
    const auto found = forwards.find(std::string(event.field("request")));
    if (found == forwards.end())
      continue;
    const std::optional<std::size_t> ran =
        findPossibleRun(found->second, *attempt, Input);
    if (ran)
      return RuleViolation{describeRequest(event) +
                               " was reported as not run, but was forwarded",
                           {*ran, index}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkAtMostOnce(const Trace &Input,
                                             const Bounds &) {
  const ForwardsByRequest forwards = findForwards(Input);
  const std::unordered_map<std::string, std::string> callers =
      findCallers(Input);
  std::unordered_map<std::string, std::size_t> ran;
  for (std::size_t index = 0; index < Input.Events.size(); ++index) {
    const TimelineEvent &event = Input.Events[index];
    if (event.Kind != "attempt.forward" || event.field("idempotent") == "true")
      continue;
    const std::string request(event.field("request"));
    const auto found = forwards.find(request);
    bool provedNotRun = false;
    for (const ForwardedAttempt &it : found->second)
      provedNotRun = provedNotRun || (it.At == index && it.ProvedNotRun);
    if (provedNotRun)
      continue;
    const auto [firstRun, isFirstRun] =
        ran.emplace("request\n" + request, index);
    if (!isFirstRun)
      return RuleViolation{describeRequest(event) +
                               " is not idempotent and ran twice",
                           {firstRun->second, index}};
    const std::string key(event.field("key"));
    if (key.empty())
      continue;
    const auto caller = callers.find(request);
    std::string keyIdentity = "key\n";
    keyIdentity += caller == callers.end() ? std::string() : caller->second;
    keyIdentity += key;
    const auto [firstKeyRun, isFirstKeyRun] =
        ran.emplace(std::move(keyIdentity), index);
    if (!isFirstKeyRun)
      return RuleViolation{"idempotency key " + key + " ran twice",
                           {firstKeyRun->second, index}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
