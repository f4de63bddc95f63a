#include "Wasabi/Upstream/UpstreamTable.h"

#include <algorithm>

namespace wasabi {

std::string_view toText(RegistrationChange Change) {
  switch (Change) {
  case RegistrationChange::None:
    return "unchanged";
  case RegistrationChange::WeightsChanged:
    return "other weights";
  case RegistrationChange::Changed:
    return "changed";
  case RegistrationChange::Registered:
    return "registered";
  case RegistrationChange::Restarted:
    return "restarted";
  case RegistrationChange::Outdated:
    return "outdated, ignored";
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
    // Holders of the previous incarnation keep its record, marked as replaced.
    if (restarted)
      server->Replaced = true;
    server = std::make_shared<UpstreamServer>();
    server->Entry = std::move(Entry);
    server->FirstOffset = At;
    return restarted ? RegistrationChange::Restarted
                     : RegistrationChange::Registered;
  }
  bool returned = server->UnregisteredAt.has_value();
  server->UnregisteredAt.reset();
  // `Replaced` refers to the previous address.
  if (server->Entry.Endpoint != Entry.Endpoint)
    server->Replaced = false;
  bool otherWeights = server->Entry.Models != Entry.Models;
  server->Entry.Models = Entry.Models;
  bool differs = server->Entry != Entry;
  server->Entry = std::move(Entry);
  // The server has most likely published this after its outage began.
  if (differs || returned)
    server->Outage.reset();
  if (differs || returned)
    return RegistrationChange::Changed;
  return otherWeights ? RegistrationChange::WeightsChanged
                      : RegistrationChange::None;
}

bool rejectRegistration(UpstreamTable &Table, const ServerName &Id,
                        const std::string &Reason) {
  ++Table.RejectedCount;
  ServerStartTime start = knownStart(Table, Id);
  auto server = Table.Servers.find(Id);
  if (server != Table.Servers.end()) {
    // Holders of this record must send no further requests to the server.
    server->second->Replaced = true;
    Table.Servers.erase(server);
  }
  auto known = Table.Rejected.find(Id);
  if (known != Table.Rejected.end()) {
    bool changed = known->second.Reason != Reason;
    known->second.Reason = Reason;
    return changed;
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

bool beginEvacuation(UpstreamTable &Table, const DomainName &Domain) {
  return Table.EvacuatedDomains.insert(Domain).second;
}

bool endEvacuation(UpstreamTable &Table, const DomainName &Domain,
                   TimePoint Now) {
  if (Table.EvacuatedDomains.erase(Domain) == 0)
    return false;
  for (const auto &[id, server] : Table.Servers) {
    if (server->Entry.Domain == Domain)
      server->ReturnedAt = Now;
  }
  return true;
}

std::size_t countServers(const UpstreamTable &Table, const DomainName &Domain) {
  return static_cast<std::size_t>(std::count_if(
      Table.Servers.begin(), Table.Servers.end(),
      [&](const auto &It) { return It.second->Entry.Domain == Domain; }));
}

bool isCold(const UpstreamServer &Server, Millis ColdStart, TimePoint Now) {
  return Now < Server.ColdUntil ||
         (Server.ReturnedAt && Now < *Server.ReturnedAt + ColdStart);
}

bool isUsable(const UpstreamTable &Table, const UpstreamServer &Server,
              const StoreContact &Contact, TimePoint Now) {
  if (Server.Entry.Draining || Server.Replaced ||
      Table.EvacuatedDomains.contains(Server.Entry.Domain))
    return false;
  if (!Server.UnregisteredAt)
    return true;
  // Lapses during an outage are read once the store is reachable again.
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

void noteResponse(UpstreamServer &Server, TimePoint Began, unsigned Status) {
  if (Status == MisdirectedStatus)
    return;
  Server.Outage.reset();
  if (Server.LostSince && Began > *Server.LostSince)
    Server.LostSince.reset();
  Server.LastAnsweredRun =
      std::max(Server.LastAnsweredRun.value_or(Began), Began);
}

bool hasResponded(const UpstreamServer &Server, TimePoint Since) {
  return Server.LastAnsweredRun && *Server.LastAnsweredRun > Since;
}

void noteConnectionLost(UpstreamServer &Server, TimePoint Now) {
  if (!Server.LostSince)
    Server.LostSince = Now;
}

bool noteOutage(const UpstreamTable &Table, UpstreamServer &Server,
                TimePoint Now) {
  bool begins = !Server.Outage;
  TimePoint since = begins ? Now : Server.Outage->Since;
  Server.Outage = {since, Now + Table.Limits.OutageRetryInterval};
  return begins;
}

void noteOutageRetry(const UpstreamTable &Table, UpstreamServer &Server,
                     TimePoint Now) {
  if (Server.Outage)
    Server.Outage = {Server.Outage->Since,
                     Now + Table.Limits.OutageRetryInterval};
}

TimePoint nextAttemptTime(const UpstreamTable &Table,
                          const UpstreamServer &Server, bool IsRepeatable) {
  if (!Server.Outage)
    return TimePoint();
  return Server.Outage->RetryAt +
         (IsRepeatable ? Millis(0) : Table.Limits.OutageRetryInterval);
}

void noteSuccess(const UpstreamTable &Table, UpstreamServer &Server,
                 double LatencyMs) {
  Server.Failures = 0;
  Server.SuspectUntil = TimePoint();
  if (LatencyMs <= 0)
    return;
  double share = Server.SmoothedLatencyMs > 0 ? Table.Limits.Smoothing : 1.0;
  Server.SmoothedLatencyMs += share * (LatencyMs - Server.SmoothedLatencyMs);
}

void noteFailure(const UpstreamTable &Table, UpstreamServer &Server,
                 TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 8;
  std::uint32_t doublings = std::min(Server.Failures, MaxDoublings);
  ++Server.Failures;
  Millis timeout =
      std::min(Table.Limits.InitialSuspectTimeout * (1 << doublings),
               Table.Limits.MaxSuspectTimeout);
  Server.SuspectUntil = Now + timeout;
}

} // namespace wasabi
