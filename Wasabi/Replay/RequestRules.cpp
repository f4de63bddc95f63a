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

bool isSuccess(const TimelineEvent &what) {
  const std::optional<std::uint64_t> status = readNumber(what.field("status"));
  return status && *status >= FirstSuccess && *status <= LastSuccess;
}

std::string nameRequest(const TimelineEvent &what) {
  return "request " + std::string(what.field("request"));
}

/// The position of a cut attempt of a request of which none ended whole.
std::optional<std::size_t> onlyCut(const Trace &from,
                                   const std::vector<Forward> &forwards) {
  std::optional<std::size_t> cut;
  for (const Forward &it : forwards) {
    if (!it.End)
      return std::nullopt;
    if (from.Events[*it.End].field("whole") == "true")
      return std::nullopt;
    cut = it.End;
  }
  return cut;
}

/// The first forward of a request that may have reached its upstream.
std::optional<std::size_t> mayHaveRun(const std::vector<Forward> &forwards,
                                      std::string_view attempt,
                                      const Trace &from) {
  for (const Forward &it : forwards) {
    const bool asked =
        attempt.empty() || from.Events[it.At].field("attempt") == attempt;
    if (asked && !it.ProvedNotRun)
      return it.At;
  }
  return std::nullopt;
}

/// Which attempt a "not run" speaks of: empty for the whole request. Empty
/// optional when the event says no such thing.
std::optional<std::string_view> saidNotRun(const TimelineEvent &what) {
  if (what.field("verdict") != "not-run")
    return std::nullopt;
  if (what.Kind == "request.done")
    return std::string_view();
  if (what.Kind == "request.retry" || what.Kind == "attempt.refuse")
    return what.field("attempt");
  return std::nullopt;
}

/// Who sent a request, by request: an idempotency key is its caller's own.
std::unordered_map<std::string, std::string> findCallers(const Trace &from) {
  std::unordered_map<std::string, std::string> callers;
  for (const TimelineEvent &it : from.Events) {
    if (it.Kind == "request.received")
      callers.emplace(std::string(it.field("request")),
                      joinFieldValues(it, {"caller", "service"}));
  }
  return callers;
}

} // namespace

std::optional<RuleViolation> checkAnswerWhole(const Trace &From,
                                              const Bounds &) {
  const ForwardsByRequest forwards = findForwards(From);
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind != "request.done" || !isSuccess(what))
      continue;
    if (what.field("whole") != "true") {
      // An answer broken off says so; one without a verdict looks whole.
      if (what.field("verdict").empty())
        return RuleViolation{
            nameRequest(what) + " ended short without a verdict", {at}};
      continue;
    }
    const auto found = forwards.find(std::string(what.field("request")));
    if (found == forwards.end())
      continue;
    const std::optional<std::size_t> cut = onlyCut(From, found->second);
    if (cut)
      return RuleViolation{nameRequest(what) + " was cut and called whole",
                           {*cut, at}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkNotRunIsTrue(const Trace &From,
                                               const Bounds &) {
  const ForwardsByRequest forwards = findForwards(From);
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    const std::optional<std::string_view> attempt = saidNotRun(what);
    if (!attempt)
      continue;
    const auto found = forwards.find(std::string(what.field("request")));
    if (found == forwards.end())
      continue;
    const std::optional<std::size_t> ran =
        mayHaveRun(found->second, *attempt, From);
    if (ran)
      return RuleViolation{nameRequest(what) +
                               " was called not run, but was forwarded",
                           {*ran, at}};
  }
  return std::nullopt;
}

std::optional<RuleViolation> checkAtMostOnce(const Trace &From,
                                             const Bounds &) {
  const ForwardsByRequest forwards = findForwards(From);
  const std::unordered_map<std::string, std::string> callers =
      findCallers(From);
  std::unordered_map<std::string, std::size_t> ran;
  for (std::size_t at = 0; at < From.Events.size(); ++at) {
    const TimelineEvent &what = From.Events[at];
    if (what.Kind != "attempt.forward" || what.field("idempotent") == "true")
      continue;
    const std::string request(what.field("request"));
    const auto found = forwards.find(request);
    bool proved = false;
    for (const Forward &it : found->second)
      proved = proved || (it.At == at && it.ProvedNotRun);
    if (proved)
      continue;
    const auto [one, isOne] = ran.emplace("request\n" + request, at);
    if (!isOne)
      return RuleViolation{nameRequest(what) +
                               " is not idempotent and ran twice",
                           {one->second, at}};
    const std::string key(what.field("key"));
    if (key.empty())
      continue;
    const auto caller = callers.find(request);
    std::string mark = "key\n";
    mark += caller == callers.end() ? std::string() : caller->second;
    mark += key;
    const auto [other, isOther] = ran.emplace(std::move(mark), at);
    if (!isOther)
      return RuleViolation{"idempotency key " + key + " ran twice",
                           {other->second, at}};
  }
  return std::nullopt;
}

} // namespace wasabi::replay
