#include "Wasabi/Adapters/Proxy/ProcessSettings.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <xxhash.h>

#include <algorithm>

namespace wasabi {

Result<Address> parseOptionalAddress(std::string_view Text,
                                     std::string_view Place) {
  if (Text.empty())
    return Address();
  return parseAddress(Text, Place);
}

Result<std::vector<Address>> parseAddresses(std::string_view Text,
                                            std::string_view Place) {
  std::vector<Address> found;
  while (!Text.empty()) {
    std::size_t comma = std::min(Text.find(','), Text.size());
    BOOST_LEAF_AUTO(One, parseAddress(Text.substr(0, comma), Place));
    found.push_back(std::move(One));
    Text.remove_prefix(std::min(comma + 1, Text.size()));
  }
  return found;
}

Result<ProcessSettings> parseProcessSettings(const ProcessFlags &Flags,
                                             Incarnation Life) {
  if (Flags.Instance.empty())
    return badInput("--instance", "this instance needs a name");
  if (Flags.FailureDomain.empty())
    return badInput("--failure_domain", "it needs a failure domain");
  ProcessSettings settings;
  settings.Instance = InstanceName(Flags.Instance);
  settings.Domain = DomainName(Flags.FailureDomain);
  settings.Life = Life;
  BOOST_LEAF_ASSIGN(settings.Control, parseAddress(Flags.Control, "--control"));
  BOOST_LEAF_ASSIGN(settings.Admin, parseAddress(Flags.Admin, "--admin"));
  BOOST_LEAF_ASSIGN(
      settings.AdvertiseControl,
      parseOptionalAddress(Flags.AdvertiseControl, "--advertise_control"));
  BOOST_LEAF_ASSIGN(settings.Log, parseOptionalAddress(Flags.Log, "--log"));
  BOOST_LEAF_ASSIGN(settings.Instances,
                    parseOptionalAddress(Flags.Instances, "--instances"));
  BOOST_LEAF_ASSIGN(settings.Seeds, parseAddresses(Flags.Seeds, "--seeds"));
  settings.Seed =
      XXH64(Flags.Instance.data(), Flags.Instance.size(), settings.Life);
  return settings;
}

ControlPlane::Settings makeControlPlaneSettings(const ProcessSettings &From,
                                                Role Kind, Address Requests,
                                                Address Admin) {
  ControlPlane::Settings settings;
  settings.Instance = From.Instance;
  settings.Domain = From.Domain;
  settings.Kind = Kind;
  settings.Listen = From.Control;
  settings.Advertise = From.AdvertiseControl;
  settings.Requests = std::move(Requests);
  settings.Admin = std::move(Admin);
  settings.Log = From.Log;
  settings.Instances = From.Instances;
  settings.Seeds = From.Seeds;
  settings.Seed = From.Seed;
  return settings;
}

std::string statusJson(const ProcessStatus &What) {
  boost::json::object status;
  status["instance"] = What.Settings.Instance.Text;
  status["failure_domain"] = What.Settings.Domain.Text;
  status["role"] = What.Kind == Role::Entry ? "entry" : "daemon";
  status["incarnation"] = What.Settings.Life;
  status["ready"] = What.Ready;
  status["leaving"] = What.Leaving;
  status["in_flight"] = What.InFlight;
  status["next"] = What.Next;
  status["config_revision"] = What.ConfigRevision;
  return boost::json::serialize(status);
}

std::string encodeServerLoads(const std::vector<ReportedLoad> &Loads) {
  boost::json::array servers;
  for (const ReportedLoad &it : Loads)
    servers.push_back(boost::json::object{{"name", it.Server.Text},
                                          {"service", it.Service.Text},
                                          {"running", it.Running},
                                          {"queued", it.Queued},
                                          {"limit", it.Limit},
                                          {"version", it.Version},
                                          {"serving", it.Serving}});
  return boost::json::serialize(
      boost::json::object{{"servers", std::move(servers)}});
}

} // namespace wasabi
