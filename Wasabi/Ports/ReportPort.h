/// \file
/// Platform calls that are restricted to one process at a time.
#ifndef WASABI_PORTS_REPORTPORT_H
#define WASABI_PORTS_REPORTPORT_H

#include "Wasabi/Usage/UsageRecord.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace wasabi {

/// Authority for a call and the time until which it may be sent. The platform
/// is not required to check the token.
struct CallPermit {
  InstanceName Holder;
  FencingToken Token = 0;
  /// No byte of the call is written after this time.
  TimePoint SendDeadline;
};

/// Requested number of servers of a service in one failure domain.
struct ScaleRequest {
  ServiceName Service;
  DomainName Domain;
  std::uint32_t Servers = 0;
  bool operator==(const ScaleRequest &) const = default;
};

/// Calls to the platform as function objects. Use a port on the thread that
/// created it. Failures: `Overloaded` if the platform asks for fewer calls;
/// `StaleFence` if a later holder has called or `SendDeadline` passed before
/// the call was sent.
struct ReportPort {
  /// Reports the usage of a window. Repeating the same report is accepted.
  std::function<boost::asio::awaitable<Outcome<Done>>(
      UsageDecision Decision, CallPermit Permit, Millis Timeout)>
      Usage;
  std::function<boost::asio::awaitable<Outcome<Done>>(
      ScaleRequest Request, CallPermit Permit, Millis Timeout)>
      Scale;
};

} // namespace wasabi

#endif // WASABI_PORTS_REPORTPORT_H
