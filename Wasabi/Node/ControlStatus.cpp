#include "Wasabi/Node/ControlStatus.h"

#include "Wasabi/Membership/Swim.h"

#include <boost/json.hpp>

#include <utility>

namespace wasabi {
namespace {

namespace json = boost::json;

std::string shown(const Address &Where) {
  return Where.empty() ? std::string() : toText(Where);
}

json::object memberJson(const Member &Who) {
  json::array servers;
  for (const ServerStatus &it : Who.Servers) {
    json::object server;
    server["name"] = it.Name.Text;
    server["service"] = it.Service.Text;
    server["version"] = it.Version;
    server["slots"] = it.Slots;
    server["serving"] = it.Serving;
    servers.push_back(std::move(server));
  }
  json::object member;
  member["instance"] = Who.Instance.Text;
  member["role"] = Who.Kind == Role::Entry ? "entry" : "daemon";
  member["domain"] = Who.Domain.Text;
  member["state"] = std::string(toText(Who.State));
  member["incarnation"] = Who.Life;
  member["requests"] = shown(Who.Requests);
  member["control"] = shown(Who.Control);
  member["admin"] = shown(Who.Admin);
  member["servers"] = std::move(servers);
  return member;
}

json::array claimsJson(const std::map<std::string, HeldClaim> &Held) {
  json::array claims;
  for (const auto &[resource, claim] : Held) {
    json::object shownClaim;
    shownClaim["resource"] = resource;
    shownClaim["token"] = claim.Token;
    claims.push_back(std::move(shownClaim));
  }
  return claims;
}

} // namespace

std::string toJson(const ControlStatus &Status,
                   const ControlCounters &Counters) {
  json::object whole;
  whole["ready"] = Status.Ready;
  whole["next"] = Status.State->Next;
  whole["config_revision"] = Status.State->ConfigRevision;
  whole["preset"] = Status.State->Config->ActivePreset.Text;
  if (Status.State->BlockedOffset)
    whole["blocked_at"] = *Status.State->BlockedOffset;
  whole["self_doubt"] = Status.Seen->MayBeIsolated;
  json::array members;
  for (const auto &[name, member] : Status.Seen->Members)
    members.push_back(memberJson(member));
  whole["members"] = std::move(members);
  whole["claims"] = claimsJson(Status.Held);

  std::uint64_t reads = Counters.LogReads.load();
  std::uint64_t appends = Counters.LogAppends.load();
  json::object log;
  log["reachable"] = Status.LogReachable;
  log["reads"] = reads;
  log["appends"] = appends;
  whole["log"] = std::move(log);
  whole["log_reads"] = reads;
  whole["log_appends"] = appends;
  whole["control_bytes_in"] = Counters.BytesIn.load();
  whole["control_bytes_out"] = Counters.BytesOut.load();
  whole["frames_in"] = Counters.FramesIn.load();
  whole["frames_out"] = Counters.FramesOut.load();
  whole["probes"] = Counters.Probes.load();
  whole["probes_failed"] = Counters.ProbesFailed.load();
  whole["repeated_records"] = Counters.RepeatedRecords.load();
  return json::serialize(whole);
}

} // namespace wasabi
