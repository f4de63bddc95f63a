#include "IntegrationTests/Platform/PlatformReportEndpoint.h"

#include "Wasabi/Core/AsyncSignal.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace wasabi::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned TooMany = 429;

ReportCall readCall(const http::Request &Request) {
  ReportCall call;
  call.At = monotonicNow();
  call.Path = std::string(Request.path());
  call.Holder = std::string(Request.header("Wasabisail-Lease-Holder"));
  std::string token(Request.header("Wasabisail-Fencing-Token"));
  call.Token = token.empty() ? 0 : std::stoull(token);
  call.Body = Request.Body;
  if (call.Path != "/usage")
    return call;
  json::value body = json::parse(Request.Body);
  call.Window = body.at("window").to_number<std::uint64_t>();
  for (const json::key_value_pair &it : body.at("counts").as_object())
    call.Counts[std::string(it.key())] = it.value().to_number<std::uint64_t>();
  return call;
}

bool isExcused(const std::vector<TimeSpan> &Spans, TimePoint At) {
  return std::any_of(Spans.begin(), Spans.end(), [At](const TimeSpan &It) {
    return At >= It.From && At <= It.To;
  });
}

/// Returns true if a holder's call follows a call of another holder that itself
/// follows a call of the first, all within the lease.
bool alternatesWithOther(const std::vector<ReportCall> &Calls, std::size_t Last,
                         Millis Lease) {
  bool sawOther = false;
  for (std::size_t i = Last; i-- > 0;) {
    if (Calls[Last].At - Calls[i].At >= Lease)
      return false;
    bool own = Calls[i].Holder == Calls[Last].Holder;
    if (own && sawOther)
      return true;
    sawOther = sawOther || !own;
  }
  return false;
}

} // namespace

PlatformReportEndpoint::PlatformReportEndpoint(asio::io_context &Context)
    : Context(Context) {
  http::Server::Settings limits;
  HttpServer = http::Server::create(
                   Context, limits,
                   [this](http::Request Request,
                          std::shared_ptr<http::Responder> Responder) {
                     return handle(std::move(Request), std::move(Responder));
                   })
                   .value();
}

asio::awaitable<void>
PlatformReportEndpoint::handle(http::Request Request,
                               std::shared_ptr<http::Responder> Responder) {
  constexpr Millis HangTime{60000};
  ReportCall call = readCall(Request);
  bool stale = ChecksFences && call.Token < HighestToken;
  call.Taken = !stale && (Behavior == ReportBehavior::Normal ||
                          Behavior == ReportBehavior::LosesAnswers);
  HighestToken = std::max(HighestToken, call.Token);
  Calls.push_back(call);
  if (Behavior == ReportBehavior::Unresponsive) {
    co_await pauseFor(Context.get_executor(), HangTime);
    co_return;
  }
  if (Behavior == ReportBehavior::LosesAnswers) {
    Responder->abort();
    co_return;
  }
  unsigned status = stale                              ? PreconditionFailed
                    : Behavior == ReportBehavior::Busy ? TooMany
                                                       : Ok;
  co_await Responder->send(http::jsonResponse(status, "{}"));
}

std::vector<std::string>
findCallViolations(const std::vector<ReportCall> &Calls, Millis Lease,
                   const std::vector<TimeSpan> &Excused) {
  std::vector<std::string> violations;
  std::map<std::uint64_t, std::string> bodies;
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highestToken = 0;
  for (std::size_t i = 0; i < Calls.size(); ++i) {
    const ReportCall &it = Calls[i];
    if (it.Path == "/usage" && it.Taken &&
        bodies.emplace(it.Window, it.Body).first->second != it.Body)
      violations.push_back(
          fmt::format("window {} was told twice, differently", it.Window));
    if (it.Token == 0 || it.Holder.empty())
      violations.push_back("a call without a holder or a token");
    if (holders.emplace(it.Token, it.Holder).first->second != it.Holder)
      violations.push_back(fmt::format("token {} was used by two", it.Token));
    bool delayed = isExcused(Excused, it.At);
    if (!delayed && it.Token < highestToken)
      violations.push_back(
          fmt::format("token {} came after {}", it.Token, highestToken));
    if (!delayed && alternatesWithOther(Calls, i, Lease))
      violations.push_back(
          fmt::format("{} took turns with another", it.Holder));
    highestToken = std::max(highestToken, it.Token);
  }
  return violations;
}

std::map<std::string, std::uint64_t>
sumReportedUsage(const std::vector<ReportCall> &Calls) {
  std::map<std::uint64_t, const ReportCall *> windows;
  for (const ReportCall &it : Calls) {
    if (it.Taken && it.Path == "/usage")
      windows.emplace(it.Window, &it);
  }
  std::map<std::string, std::uint64_t> sums;
  for (const auto &[window, call] : windows) {
    for (const auto &[customer, count] : call->Counts)
      sums[customer] += count;
  }
  return sums;
}

} // namespace wasabi::test
