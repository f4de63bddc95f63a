/// \file
/// Runs a stand-in of the platform as a separate process (docs/PLATFORM.md).
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_STANDIN_H
#define WASABI_INTEGRATIONTESTS_HARNESS_STANDIN_H

#include "IntegrationTests/Harness/Process.h"

#include <boost/json/fwd.hpp>

#include <memory>
#include <string>
#include <vector>

namespace wasabi::harness {

/// A running stand-in. Thread-safe.
class StandIn {
public:
  struct Settings {
    /// One of `log`, `engine`, `service`, `weights`, `trainer`, `scorer`,
    /// `instances` and `faultproxy`.
    std::string Role;
    /// Flags in addition to the addresses.
    std::vector<std::string> Flags;
    /// File that receives stderr; if empty, stderr is discarded.
    std::string ErrorFile;
    /// Listen address; port 0 selects an ephemeral port. A restarted process
    /// uses the address of its predecessor.
    Address Listen{"127.0.0.1", 0};
  };

  /// Starts the process and waits until it serves. Errors: `Unavailable`.
  static Result<std::unique_ptr<StandIn>> start(Settings Setup);

  /// Address that serves the product.
  const Address &address() const { return ListenAddress; }
  /// Merges faults, given as a JSON object, into the current ones.
  Outcome<Done> setFaults(std::string Faults) const;
  /// Returns the stand-in's own record of events. Fails if the process is gone
  /// or does not respond.
  Outcome<boost::json::value> truth() const;
  Process &process() const { return *Child; }

private:
  StandIn(std::unique_ptr<Process> Child, Address ListenAddress,
          Address ControlAddress);

  const std::unique_ptr<Process> Child;
  const Address ListenAddress;
  /// Address for setting faults; a fault proxy has a separate port for it.
  const Address ControlAddress;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_STANDIN_H
