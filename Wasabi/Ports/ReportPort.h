/// \file
/// Calls to the platform that one process at a time may make.
#ifndef WASABI_PORTS_REPORTPORT_H
#define WASABI_PORTS_REPORTPORT_H

#include "Wasabi/Usage/UsageRecord.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace wasabi {

/// Who makes such a call, and until when it may leave. The platform may check
/// the token, or leave all care to its callers.
struct CallPermit {
  InstanceName Holder;
  FencingToken Token = 0;
  /// Nothing of the call is written after this.
  TimePoint SendDeadline;
};

/// How many servers a service should have in one failure domain.
struct ScaleRequest {
  ServiceName Service;
  DomainName Domain;
  std::uint32_t Servers = 0;
  bool operator==(const ScaleRequest &) const = default;
};

/// The calls, as plain functions; each is used on the thread that built it.
/// Failures: `Overloaded` where the platform wants fewer calls, `StaleFence`
/// where a later holder has called or the time was up before the call left.
struct ReportPort {
  /// Reports a window. An exact repeat is taken again.
  std::function<boost::asio::awaitable<Outcome<Done>>(
      UsageDecision What, CallPermit By, Millis Timeout)>
      Usage;
  std::function<boost::asio::awaitable<Outcome<Done>>(
      ScaleRequest What, CallPermit By, Millis Timeout)>
      Scale;
};

} // namespace wasabi

#endif // WASABI_PORTS_REPORTPORT_H
