/// \file
/// A stand-in of the platform as a process of its own (docs/PLATFORM.md).
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_STANDIN_H
#define WASABI_INTEGRATIONTESTS_HARNESS_STANDIN_H

#include "IntegrationTests/Harness/Process.h"

#include <boost/json/fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace wasabi::harness {

/// One running stand-in. Thread-safe.
class StandIn {
public:
  struct Settings {
    /// `log`, `engine`, `service`, `weights`, `trainer`, `scorer`, `instances`
    /// or `faultproxy`.
    std::string Role;
    /// Its flags, besides the addresses.
    std::vector<std::string> Flags;
    /// File that takes its stderr; empty throws it away.
    std::string ErrorFile;
    /// Where it listens; port 0 takes an ephemeral one. A replaced process
    /// takes the address of the one before it.
    Address Listen{"127.0.0.1", 0};
  };

  /// Starts it and waits until it serves. Errors: `Unavailable`.
  static Result<std::unique_ptr<StandIn>> start(Settings Setup);

  /// Where it serves the product.
  const Address &address() const { return ListenAddress; }
  /// Merges faults into what is set, as a JSON object.
  Outcome<Done> setFaults(std::string Faults) const;
  /// Its own record of what happened. Errors when it is not there or is hung.
  Outcome<boost::json::value> truth() const;
  Process &process() const { return *Child; }

private:
  StandIn(std::unique_ptr<Process> Child, Address ListenAddress,
          Address Control);

  const std::unique_ptr<Process> Child;
  const Address ListenAddress;
  /// Where faults are set: a fault proxy's is a port of its own.
  const Address Control;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_STANDIN_H
