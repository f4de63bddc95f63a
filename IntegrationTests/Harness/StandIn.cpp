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
  BOOST_LEAF_AUTO(serves, process->waitForAddress("listening"));
  Address control = serves;
  if (proxy) {
    BOOST_LEAF_ASSIGN(control, process->waitForAddress("control"));
  }
  return std::unique_ptr<StandIn>(
      new StandIn(std::move(process), serves, control));
}

StandIn::StandIn(std::unique_ptr<Process> Child, Address ListenAddress,
                 Address Control)
    : Child(std::move(Child)), ListenAddress(std::move(ListenAddress)),
      Control(std::move(Control)) {}

Outcome<Done> StandIn::setFaults(std::string Faults) const {
  Outcome<http::Response> answer =
      postJson(Control, "/faults", std::move(Faults));
  if (!answer)
    return answer.failure();
  return Done{};
}

Outcome<boost::json::value> StandIn::truth() const {
  return getJson(Control, "/truth");
}

} // namespace wasabi::harness
