#include "Wasabi/Node/ControlStatus.h"

#include "Wasabi/Membership/Swim.h"

#include <boost/json.hpp>

#include <utility>

namespace wasabi {
namespace {

namespace json = boost::json;

std::string textOrEmpty(const Address &Where) {
  return Where.empty() ? std::string() : toText(Where);
}

json::object memberJson(const Member &Info) {
  json::array servers;
  for (const ServerStatus &it : Info.Servers) {
    json::object server;
    server["name"] = it.Name.Text;
    server["service"] = it.Service.Text;
    server["version"] = it.Version;
    server["slots"] = it.Slots;
    server["serving"] = it.Serving;
    servers.push_back(std::move(server));
  }
  json::object member;
  member["instance"] = Info.Instance.Text;
  member["role"] = Info.Kind == Role::Entry ? "entry" : "daemon";
  member["domain"] = Info.Domain.Text;
  member["state"] = std::string(toText(Info.State));
  member["incarnation"] = Info.Life;
  member["requests"] = textOrEmpty(Info.Requests);
  member["control"] = textOrEmpty(Info.Control);
  member["admin"] = textOrEmpty(Info.Admin);
  member["servers"] = std::move(servers);
  return member;
}

json::array claimsJson(const std::map<std::string, HeldClaim> &Held) {
  json::array claims;
  for (const auto &[resource, claim] : Held) {
    json::object claimJson;
    claimJson["resource"] = resource;
    claimJson["token"] = claim.Token;
    claims.push_back(std::move(claimJson));
  }
  return claims;
}

} // namespace

std::string toJson(const ControlStatus &Status,
                   const ControlCounters &Counters) {
  json::object status;
  status["ready"] = Status.Ready;
  status["next"] = Status.State->Next;
  status["config_revision"] = Status.State->ConfigRevision;
  status["preset"] = Status.State->Config->ActivePreset.Text;
  if (Status.State->BlockedOffset)
    status["blocked_at"] = *Status.State->BlockedOffset;
  status["self_doubt"] = Status.ClusterView->MayBeIsolated;
  json::array members;
  for (const auto &[name, member] : Status.ClusterView->Members)
    members.push_back(memberJson(member));
  status["members"] = std::move(members);
  status["claims"] = claimsJson(Status.Held);

  std::uint64_t reads = Counters.LogReads.load();
  std::uint64_t appends = Counters.LogAppends.load();
  json::object log;
  log["reachable"] = Status.LogReachable;
  log["reads"] = reads;
  log["appends"] = appends;
  status["log"] = std::move(log);
  status["log_reads"] = reads;
  status["log_appends"] = appends;
  status["control_bytes_in"] = Counters.BytesIn.load();
  status["control_bytes_out"] = Counters.BytesOut.load();
  status["frames_in"] = Counters.FramesIn.load();
  status["frames_out"] = Counters.FramesOut.load();
  status["connections_yielded"] = Counters.ConnectionsYielded.load();
  status["probes"] = Counters.Probes.load();
  status["probes_failed"] = Counters.ProbesFailed.load();
  status["repeated_records"] = Counters.RepeatedRecords.load();
  return json::serialize(status);
}

} // namespace wasabi
