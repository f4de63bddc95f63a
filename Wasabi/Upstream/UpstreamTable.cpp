#include "Wasabi/Upstream/UpstreamTable.h"

#include <algorithm>
#include <tuple>

namespace wasabi {

bool registerServer(UpstreamTable &Table, UpstreamEntry Entry, Offset At) {
  std::shared_ptr<UpstreamServer> &server = Table.Servers[Entry.Id];
  if (!server) {
    server = std::make_shared<UpstreamServer>();
    server->Entry = std::move(Entry);
    server->FirstSeen = At;
    return true;
  }
  bool back = server->Vanished.has_value();
  server->Vanished.reset();
  bool differs = server->Entry != Entry;
  server->Entry = std::move(Entry);
  return differs || back;
}

void unregisterServer(UpstreamTable &Table, const ServerName &Id,
                      TimePoint Now) {
  auto it = Table.Servers.find(Id);
  if (it != Table.Servers.end() && !it->second->Vanished)
    it->second->Vanished = Now;
}

bool usable(const UpstreamTable &Table, const UpstreamServer &Server,
            const StoreContact &Contact, TimePoint Now) {
  if (Server.Entry.Draining || Server.Replaced)
    return false;
  if (!Server.Vanished)
    return true;
  // A lapse shows at the store's return at the earliest.
  TimePoint graceEnd = Contact.Since + Table.Limits.LapseGrace;
  return !Contact.Lost && *Server.Vanished < graceEnd && Now < graceEnd;
}

void sweep(UpstreamTable &Table, const StoreContact &Contact, TimePoint Now) {
  std::erase_if(Table.Servers, [&](const auto &It) {
    const UpstreamServer &server = *It.second;
    return server.Vanished && server.InFlight == 0 && !Contact.Lost &&
           !usable(Table, server, Contact, Now);
  });
}

std::vector<std::shared_ptr<UpstreamServer>>
serversOf(const UpstreamTable &Table, const ServiceName &Service,
          const StoreContact &Contact, TimePoint Now) {
  std::vector<std::shared_ptr<UpstreamServer>> found;
  for (const auto &[id, server] : Table.Servers) {
    if (server->Entry.Service == Service &&
        usable(Table, *server, Contact, Now))
      found.push_back(server);
  }
  return found;
}

std::shared_ptr<UpstreamServer>
chooseServer(const UpstreamTable &Table, const ServiceName &Service,
             const DomainName &Near, const std::set<ServerName> &Tried,
             const StoreContact &Contact, TimePoint Now) {
  using Rank = std::tuple<bool, double, bool>;
  // Before the first answer a server counts as an ordinary one.
  constexpr double UnknownMs = 30.0;
  std::shared_ptr<UpstreamServer> best;
  Rank bestRank;
  for (const std::shared_ptr<UpstreamServer> &it :
       serversOf(Table, Service, Contact, Now)) {
    if (Tried.contains(it->Entry.Id))
      continue;
    double perRequest = it->AnswerMs > 0 ? it->AnswerMs : UnknownMs;
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

void noteSuccess(const UpstreamTable &Table, UpstreamServer &Server,
                 double TookMs) {
  Server.Failures = 0;
  Server.SuspectUntil = TimePoint();
  double share = Server.AnswerMs > 0 ? Table.Limits.Smoothing : 1.0;
  Server.AnswerMs += share * (TookMs - Server.AnswerMs);
}

void noteFailure(const UpstreamTable &Table, UpstreamServer &Server,
                 TimePoint Now) {
  constexpr std::uint32_t MostDoublings = 8;
  std::uint32_t doublings = std::min(Server.Failures, MostDoublings);
  ++Server.Failures;
  Millis out = std::min(Table.Limits.SuspectBase * (1 << doublings),
                        Table.Limits.SuspectMost);
  Server.SuspectUntil = Now + out;
}

} // namespace wasabi
