#include "Wasabi/Adapters/Proxy/ProcessSettings.h"

#include "Wasabi/Core/SettingChecks.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/resource.h>

#include <xxhash.h>

#include <algorithm>

namespace wasabi {

namespace {

/// Connections of callers may hold one part in this many of the memory of the
/// process, and those of other processes of the system one in this many.
constexpr std::uint64_t CallerMemoryDivisor = 3;
constexpr std::uint64_t PeerMemoryDivisor = 8;

} // namespace

Result<Address> parseOptionalAddress(std::string_view Text,
                                     std::string_view Place) {
  if (Text.empty())
    return Address();
  return parseAddress(Text, Place);
}

Result<std::vector<Address>> parseAddresses(std::string_view Text,
                                            std::string_view Place) {
  std::vector<Address> addresses;
  while (!Text.empty()) {
    std::size_t comma = std::min(Text.find(','), Text.size());
    BOOST_LEAF_AUTO(Parsed, parseAddress(Text.substr(0, comma), Place));
    addresses.push_back(std::move(Parsed));
    Text.remove_prefix(std::min(comma + 1, Text.size()));
  }
  return addresses;
}

Result<ProcessSettings> parseProcessSettings(const ProcessFlags &Flags,
                                             Incarnation Life) {
  if (Flags.Instance.empty())
    return badInput("--instance", "an instance name is required");
  if (Flags.FailureDomain.empty())
    return badInput("--failure_domain", "a failure domain is required");
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
  constexpr std::int64_t MinMemoryMb = 64;
  constexpr std::int64_t MaxMemoryMb = 1 << 20;
  constexpr std::uint64_t BytesPerMb = 1u << 20;
  BOOST_LEAF_AUTO(memoryMb, checkRange("memory_mb", Flags.MemoryMb, MinMemoryMb,
                                       MaxMemoryMb));
  settings.MemoryBytes = static_cast<std::uint64_t>(memoryMb) * BytesPerMb;
  settings.Seed =
      XXH64(Flags.Instance.data(), Flags.Instance.size(), settings.Life);
  return settings;
}

ControlPlane::Settings makeControlPlaneSettings(const ProcessSettings &Process,
                                                Role Kind, Address Requests,
                                                Address Admin) {
  ControlPlane::Settings settings;
  settings.Instance = Process.Instance;
  settings.Domain = Process.Domain;
  settings.Kind = Kind;
  settings.Listen = Process.Control;
  settings.Advertise = Process.AdvertiseControl;
  settings.Requests = std::move(Requests);
  settings.Admin = std::move(Admin);
  settings.Log = Process.Log;
  settings.Instances = Process.Instances;
  settings.Seeds = Process.Seeds;
  settings.MaxPeerBytes = Process.MemoryBytes / PeerMemoryDivisor;
  settings.Seed = Process.Seed;
  return settings;
}

std::shared_ptr<PeerMemory> makePeerMemory(const ProcessSettings &Process,
                                           std::function<void()> OnYield) {
  PeerMemory::Settings settings;
  settings.OnYield = std::move(OnYield);
  settings.MaxBytes = Process.MemoryBytes / CallerMemoryDivisor;
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 &&
      descriptors.rlim_cur != RLIM_INFINITY)
    settings.MaxConnections = descriptors.rlim_cur / 2;
  return PeerMemory::create(std::move(settings));
}

std::string encodeProcessStatus(const ProcessStatus &Status) {
  boost::json::object status;
  status["instance"] = Status.Settings.Instance.Text;
  status["failure_domain"] = Status.Settings.Domain.Text;
  status["role"] = Status.Kind == Role::Entry ? "entry" : "daemon";
  status["incarnation"] = Status.Settings.Life;
  status["ready"] = Status.Ready;
  status["leaving"] = Status.Leaving;
  status["in_flight"] = Status.InFlight;
  status["next"] = Status.Next;
  status["config_revision"] = Status.ConfigRevision;
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
