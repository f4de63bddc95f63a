#include "Wasabi/Upstream/RouteTable.h"

namespace wasabi {

std::string_view toText(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Idempotent:
    return "idempotent";
  case RouteKind::NonIdempotent:
    return "non-idempotent";
  case RouteKind::Streaming:
    return "streaming";
  case RouteKind::Rollout:
    return "rollout";
  }
  return "idempotent";
}

const UpstreamRoute *findRoute(const RouteTable &Table, std::string_view Host,
                               std::string_view Path) {
  std::string_view name = Host.substr(0, Host.find(':'));
  std::string_view path = Path.substr(0, Path.find('?'));
  const UpstreamRoute *best = nullptr;
  for (const UpstreamRoute &it : Table.Routes) {
    if (it.Host != name || !path.starts_with(it.Prefix))
      continue;
    if (best == nullptr || it.Prefix.size() > best->Prefix.size())
      best = &it;
  }
  return best;
}

const ServiceName &pickService(const UpstreamRoute &Route, double Draw) {
  double total = 0;
  for (const ServiceShare &it : Route.Services)
    total += it.Weight;
  double remaining = Draw * total;
  for (const ServiceShare &it : Route.Services) {
    remaining -= it.Weight;
    if (remaining < 0)
      return it.Service;
  }
  return Route.Services.back().Service;
}

const UpstreamService *findService(const RouteTable &Table,
                                   const ServiceName &Name) {
  for (const UpstreamService &it : Table.Services) {
    if (it.Name == Name)
      return &it;
  }
  return nullptr;
}

} // namespace wasabi
