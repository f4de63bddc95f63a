#include "IntegrationTests/Harness/StandIn.h"

#include "IntegrationTests/Harness/HttpCall.h"

#include <boost/json/value.hpp>

namespace wasabi::harness {

Result<std::unique_ptr<StandIn>> StandIn::start(Settings Setup) {
  bool proxy = Setup.Role == "faultproxy";
  Process::Settings child;
  child.Program = "wasabi-standin";
  child.Arguments = {Setup.Role, "--listen=" + toText(Setup.Listen)};
  if (proxy)
    child.Arguments.push_back("--control=127.0.0.1:0");
  child.Arguments.insert(child.Arguments.end(), Setup.Flags.begin(),
                         Setup.Flags.end());
  child.ErrorFile = Setup.ErrorFile;

  BOOST_LEAF_AUTO(process, Process::start(std::move(child)));
  BOOST_LEAF_AUTO(listening, process->waitForAddress("listening"));
  Address control = listening;
  if (proxy) {
    BOOST_LEAF_ASSIGN(control, process->waitForAddress("control"));
  }
  return std::unique_ptr<StandIn>(
      new StandIn(std::move(process), listening, control));
}

StandIn::StandIn(std::unique_ptr<Process> Child, Address ListenAddress,
                 Address ControlAddress)
    : Child(std::move(Child)), ListenAddress(std::move(ListenAddress)),
      ControlAddress(std::move(ControlAddress)) {}

Outcome<Done> StandIn::setFaults(std::string Faults) const {
  Outcome<http::Response> answer =
      postJson(ControlAddress, "/faults", std::move(Faults));
  if (!answer)
    return answer.failure();
  return Done{};
}

Outcome<boost::json::value> StandIn::truth() const {
  return getJson(ControlAddress, "/truth");
}

} // namespace wasabi::harness
