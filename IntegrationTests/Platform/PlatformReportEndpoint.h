/// \file
/// A stand-in of the address that takes calls of one holder at a time, and the
/// judge of what it was told.
#ifndef WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMREPORTENDPOINT_H
#define WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMREPORTENDPOINT_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Clock.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi::test {

/// One call that arrived. An immutable value.
struct ReportCall {
  TimePoint At;
  std::string Path;
  std::string Holder;
  std::uint64_t Token = 0;
  /// Of a report of usage.
  std::uint64_t Window = 0;
  std::map<std::string, std::uint64_t> Counts;
  std::string Body;
  /// Whether it was taken, which it may be without an answer.
  bool Taken = false;
};

/// How the address answers.
enum class ReportBehavior : std::uint8_t {
  Normal,
  /// 429.
  Busy,
  /// Takes the call and resets the connection.
  LosesAnswers,
  /// Neither takes nor answers it.
  Unresponsive,
};

/// The address. Everything happens on the context's thread.
class PlatformReportEndpoint {
public:
  explicit PlatformReportEndpoint(boost::asio::io_context &Context);

  Address address() const { return Serving->address(); }
  void setBehavior(ReportBehavior Now) { Behavior = Now; }
  /// Whether a lower fencing token than one seen is refused.
  bool ChecksFences = false;
  std::vector<ReportCall> Calls;

private:
  boost::asio::awaitable<void> handle(http::Request Ask,
                                      std::shared_ptr<http::Responder> Out);

  boost::asio::io_context &Context;
  ReportBehavior Behavior = ReportBehavior::Normal;
  std::uint64_t Greatest = 0;
  std::shared_ptr<http::Server> Serving;
};

/// A stretch of time.
struct TimeSpan {
  TimePoint From;
  TimePoint To;
};

/// What breaks the rules of calls that one holder at a time may make; one line
/// each. `Excused` are stretches in which calls may arrive that were held up.
std::vector<std::string>
findCallViolations(const std::vector<ReportCall> &Calls, Millis Lease,
                   const std::vector<TimeSpan> &Excused = {});

/// The sums of what was reported, by customer.
std::map<std::string, std::uint64_t>
sumReportedUsage(const std::vector<ReportCall> &Calls);

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMREPORTENDPOINT_H
