#include "Wasabi/Upstream/UpstreamTable.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

std::string_view toText(RegistrationChange News) {
  switch (News) {
  case RegistrationChange::None:
    return "unchanged";
  case RegistrationChange::Changed:
    return "changed";
  case RegistrationChange::Registered:
    return "registered";
  case RegistrationChange::Restarted:
    return "restarted";
  case RegistrationChange::Outdated:
    return "outdated, left";
  }
  return "";
}

ServerStartTime knownStart(const UpstreamTable &Table, const ServerName &Id) {
  auto server = Table.Servers.find(Id);
  if (server != Table.Servers.end())
    return server->second->Entry.Start;
  auto rejected = Table.Rejected.find(Id);
  return rejected == Table.Rejected.end() ? 0 : rejected->second.Start;
}

RegistrationChange registerServer(UpstreamTable &Table,
                                  UpstreamRegistration Entry, Offset At) {
  if (Entry.Start < knownStart(Table, Entry.Id))
    return RegistrationChange::Outdated;
  Table.Rejected.erase(Entry.Id);
  std::shared_ptr<UpstreamServer> &server = Table.Servers[Entry.Id];
  bool restarted = server && Entry.Start > server->Entry.Start;
  if (!server || restarted) {
    // Whoever works with the incarnation before keeps its own record of it.
    if (restarted)
      server->Replaced = true;
    server = std::make_shared<UpstreamServer>();
    server->Entry = std::move(Entry);
    server->FirstOffset = At;
    return restarted ? RegistrationChange::Restarted
                     : RegistrationChange::Registered;
  }
  bool back = server->UnregisteredAt.has_value();
  server->UnregisteredAt.reset();
  // Another server has answered where it was, not where it is now.
  if (server->Entry.Endpoint != Entry.Endpoint)
    server->Replaced = false;
  bool differs = server->Entry != Entry;
  server->Entry = std::move(Entry);
  return differs || back ? RegistrationChange::Changed
                         : RegistrationChange::None;
}

bool rejectRegistration(UpstreamTable &Table, const ServerName &Id,
                        const std::string &Reason) {
  ++Table.RejectedCount;
  ServerStartTime start = knownStart(Table, Id);
  auto server = Table.Servers.find(Id);
  if (server != Table.Servers.end()) {
    // Whoever works with it learns that it gets nothing more.
    server->second->Replaced = true;
    Table.Servers.erase(server);
  }
  auto known = Table.Rejected.find(Id);
  if (known != Table.Rejected.end()) {
    bool news = known->second.Reason != Reason;
    known->second.Reason = Reason;
    return news;
  }
  if (Table.Rejected.size() >= Table.Limits.MaxRejectedNames)
    return false;
  Table.Rejected.emplace(Id, RejectedRegistration{Reason, start});
  return true;
}

void unregisterServer(UpstreamTable &Table, const ServerName &Id,
                      TimePoint Now) {
  Table.Rejected.erase(Id);
  auto it = Table.Servers.find(Id);
  if (it != Table.Servers.end() && !it->second->UnregisteredAt)
    it->second->UnregisteredAt = Now;
}

bool isUsable(const UpstreamTable &Table, const UpstreamServer &Server,
              const StoreContact &Contact, TimePoint Now) {
  if (Server.Entry.Draining || Server.Replaced)
    return false;
  if (!Server.UnregisteredAt)
    return true;
  // A lapse shows at the store's return at the earliest.
  TimePoint graceEnd =
      Contact.ReachableSince + Table.Limits.RegistrationGracePeriod;
  return !Contact.Lost && *Server.UnregisteredAt < graceEnd && Now < graceEnd;
}

void removeUnregisteredServers(UpstreamTable &Table,
                               const StoreContact &Contact, TimePoint Now) {
  std::erase_if(Table.Servers, [&](const auto &It) {
    const UpstreamServer &server = *It.second;
    return server.UnregisteredAt && server.InFlight == 0 && !Contact.Lost &&
           !isUsable(Table, server, Contact, Now);
  });
}

std::vector<std::shared_ptr<UpstreamServer>>
findUsableServers(const UpstreamTable &Table, const ServiceName &Service,
                  const StoreContact &Contact, TimePoint Now) {
  std::vector<std::shared_ptr<UpstreamServer>> found;
  for (const auto &[id, server] : Table.Servers) {
    if (server->Entry.Service == Service &&
        isUsable(Table, *server, Contact, Now))
      found.push_back(server);
  }
  return found;
}

std::shared_ptr<UpstreamServer>
chooseServer(const UpstreamTable &Table, const ServiceName &Service,
             const DomainName &Near, const std::set<ServerIncarnation> &Tried,
             const StoreContact &Contact, TimePoint Now) {
  using Rank = std::tuple<bool, double, bool>;
  // Before the first answer a server counts as an ordinary one.
  constexpr double UnknownMs = 30.0;
  std::shared_ptr<UpstreamServer> best;
  Rank bestRank;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Table, Service, Contact, Now)) {
    if (Tried.contains(it->Entry.incarnation()))
      continue;
    double perRequest =
        it->SmoothedLatencyMs > 0 ? it->SmoothedLatencyMs : UnknownMs;
    double waiting = static_cast<double>(it->InFlight + 1) /
                     std::max<std::uint32_t>(it->Entry.Slots, 1);
    Rank rank{it->SuspectUntil > Now, perRequest * std::max(waiting, 0.5),
              it->Entry.Domain != Near};
    if (!best || rank < bestRank) {
      best = it;
      bestRank = rank;
    }
  }
  return best;
}

double averageLatencyMs(const UpstreamTable &Table, const ServiceName &Service,
                        const StoreContact &Contact, TimePoint Now) {
  double sum = 0;
  std::uint32_t known = 0;
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(Table, Service, Contact, Now)) {
    if (it->SmoothedLatencyMs <= 0)
      continue;
    sum += it->SmoothedLatencyMs;
    ++known;
  }
  return known == 0 ? 0 : sum / known;
}

void noteSuccess(const UpstreamTable &Table, UpstreamServer &Server,
                 double LatencyMs) {
  Server.Failures = 0;
  Server.SuspectUntil = TimePoint();
  double share = Server.SmoothedLatencyMs > 0 ? Table.Limits.Smoothing : 1.0;
  Server.SmoothedLatencyMs += share * (LatencyMs - Server.SmoothedLatencyMs);
}

void noteFailure(const UpstreamTable &Table, UpstreamServer &Server,
                 TimePoint Now) {
  constexpr std::uint32_t MostDoublings = 8;
  std::uint32_t doublings = std::min(Server.Failures, MostDoublings);
  ++Server.Failures;
  Millis out = std::min(Table.Limits.InitialSuspectTimeout * (1 << doublings),
                        Table.Limits.MaxSuspectTimeout);
  Server.SuspectUntil = Now + out;
}

} // namespace wasabi
