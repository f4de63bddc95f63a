#include "Wasabi/Upstream/KeyedFollower.h"
#include "Wasabi/Upstream/RouteTable.h"
#include "Wasabi/Upstream/ServerSelection.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ServiceName Desk("desk");
const TimePoint Start = TimePoint() + Millis(100000);

UpstreamRegistration makeRegistration(const std::string &Id,
                                      ServerStartTime StartTime = 0) {
  UpstreamRegistration result;
  result.Id = ServerName(Id);
  result.Start = StartTime;
  result.Service = Desk;
  result.Slots = 4;
  return result;
}

StoreContact makeReachableContact(TimePoint Since) {
  StoreContact contact;
  contact.Lost = false;
  contact.ReachableSince = Since;
  contact.LastAnswer = Since;
  return contact;
}

KeyedRecord makeRecord(Offset At, const std::string &Key,
                       const std::string &Text) {
  return KeyedRecord{At, Key, Text};
}

UpstreamRoute makeRoute(const std::string &Host, const std::string &Prefix) {
  UpstreamRoute result;
  result.Name = Host + Prefix;
  result.Host = Host;
  result.Prefix = Prefix;
  result.Services = {{Desk, 1}};
  return result;
}

/// Chooses a server of `Desk` at `Start` that is not in `Tried`.
std::shared_ptr<UpstreamServer>
chooseFor(const UpstreamTable &Table, const StoreContact &Contact,
          const std::set<ServerIncarnation> &Tried,
          const DomainName &PreferredDomain = {}) {
  std::mt19937_64 random(1);
  ServerQuery query;
  query.Service = Desk;
  query.PreferredDomain = PreferredDomain;
  query.Excluded = Tried;
  return chooseServer(Table, Contact, query, Start, random);
}

} // namespace

TEST_CASE("The route with the longest matching prefix is selected",
          "[upstream]") {
  RouteTable table;
  table.Routes = {makeRoute("a", "/x/"), makeRoute("a", "/x/y/"),
                  makeRoute("b", "/x/")};
  CHECK(findRoute(table, "a", "/x/y/z")->Prefix == "/x/y/");
  CHECK(findRoute(table, "a:80", "/x/z?q=/x/y/")->Prefix == "/x/");
  CHECK(findRoute(table, "b", "/x/y/z")->Host == "b");
  CHECK(findRoute(table, "a", "/x") == nullptr);
  CHECK(findRoute(table, "c", "/x/") == nullptr);
}

TEST_CASE("Requests of a route are distributed by weight", "[upstream]") {
  UpstreamRoute weighted = makeRoute("a", "/");
  weighted.Services = {{ServiceName("nine"), 90}, {ServiceName("one"), 10}};
  CHECK(pickService(weighted, 0.0).Text == "nine");
  CHECK(pickService(weighted, 0.89).Text == "nine");
  CHECK(pickService(weighted, 0.91).Text == "one");
  CHECK(pickService(weighted, 1.0).Text == "one");
}

TEST_CASE("A draining or unregistered server is not usable", "[upstream]") {
  UpstreamTable table;
  registerServer(table, makeRegistration("a"));
  registerServer(table, makeRegistration("b"));
  StoreContact contact = makeReachableContact(Start - Millis(60000));
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 2);
  UpstreamRegistration draining = makeRegistration("a");
  draining.Draining = true;
  CHECK(registerServer(table, draining) == RegistrationChange::Changed);
  unregisterServer(table, ServerName("b"), Start);
  CHECK(findUsableServers(table, Desk, contact, Start).empty());
  removeUnregisteredServers(table, contact, Start);
  CHECK(table.Servers.size() == 1);
}

TEST_CASE("Servers of an evacuated failure domain get no requests",
          "[upstream]") {
  UpstreamTable table;
  UpstreamRegistration north = makeRegistration("a");
  north.Domain = DomainName("north");
  UpstreamRegistration south = makeRegistration("b");
  south.Domain = DomainName("south");
  registerServer(table, north);
  registerServer(table, south);
  StoreContact contact = makeReachableContact(Start - Millis(60000));
  auto choose = [&] {
    std::shared_ptr<UpstreamServer> server =
        chooseFor(table, contact, {}, north.Domain);
    return server ? server->Entry.Id.Text : "";
  };
  CHECK(choose() == "a");
  CHECK(beginEvacuation(table, north.Domain));
  CHECK_FALSE(beginEvacuation(table, north.Domain));
  CHECK(choose() == "b");

  SECTION("Servers that register meanwhile are excluded, too") {
    UpstreamRegistration late = makeRegistration("c");
    late.Domain = north.Domain;
    registerServer(table, late);
    CHECK(findUsableServers(table, Desk, contact, Start).size() == 1);
  }
  SECTION("With all domains evacuated no server is left") {
    CHECK(beginEvacuation(table, south.Domain));
    CHECK(choose().empty());
  }
  SECTION("A domain without servers excludes no other") {
    CHECK(beginEvacuation(table, DomainName("nowhere")));
    CHECK(choose() == "b");
  }
  SECTION("The servers return cold") {
    const UpstreamServer &server = *table.Servers[north.Id];
    CHECK(endEvacuation(table, north.Domain, Start));
    CHECK_FALSE(endEvacuation(table, north.Domain, Start));
    CHECK(choose() == "a");
    CHECK(isCold(server, Millis(3000), Start + Millis(2999)));
    CHECK_FALSE(isCold(server, Millis(3000), Start + Millis(3000)));
    CHECK_FALSE(isCold(*table.Servers[south.Id], Millis(3000), Start));
  }
}

TEST_CASE("Servers whose registrations lapse in an outage stay usable for the "
          "grace period",
          "[upstream]") {
  UpstreamTable table;
  registerServer(table, makeRegistration("a"));
  StoreContact contact = makeReachableContact(Start);
  unregisterServer(table, ServerName("a"), Start + Millis(20));
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(1000)).size() ==
        1);
  removeUnregisteredServers(table, contact, Start + Millis(1000));
  CHECK(table.Servers.size() == 1);
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(2300)).empty());
  CHECK(registerServer(table, makeRegistration("a")) ==
        RegistrationChange::Changed);
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(2300)).size() ==
        1);
  // Without an outage an unregistered server is unusable at once.
  unregisterServer(table, ServerName("a"), Start + Millis(5000));
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(5000)).empty());
}

TEST_CASE("Tried servers are skipped and suspect servers are chosen last",
          "[upstream]") {
  UpstreamTable table;
  for (const char *id : {"a", "b", "c"})
    registerServer(table, makeRegistration(id));
  StoreContact contact = makeReachableContact(Start - Millis(60000));
  noteFailure(table, *table.Servers[ServerName("a")], Start);
  table.Servers[ServerName("b")]->InFlight = 4;
  std::set<ServerIncarnation> tried;
  for (const char *next : {"c", "b", "a"}) {
    std::shared_ptr<UpstreamServer> chosen = chooseFor(table, contact, tried);
    REQUIRE(chosen);
    CHECK(chosen->Entry.Id.Text == next);
    tried.insert(chosen->Entry.incarnation());
  }
  CHECK(chooseFor(table, contact, tried) == nullptr);
}

TEST_CASE("A restarted server is a new incarnation", "[upstream]") {
  UpstreamTable table;
  CHECK(registerServer(table, makeRegistration("a", 1000)) ==
        RegistrationChange::Registered);
  std::shared_ptr<UpstreamServer> previous = table.Servers[ServerName("a")];
  noteFailure(table, *previous, Start);
  previous->InFlight = 4;
  previous->SmoothedLatencyMs = 900;
  previous->Replaced = true;
  CHECK(registerServer(table, makeRegistration("a", 2000), 7) ==
        RegistrationChange::Restarted);
  std::shared_ptr<UpstreamServer> current = table.Servers[ServerName("a")];
  CHECK(current != previous);
  CHECK(current->InFlight == 0);
  CHECK(current->SmoothedLatencyMs == 0);
  CHECK(current->FirstOffset == 7);
  CHECK(current->SuspectUntil == TimePoint());
  StoreContact contact = makeReachableContact(Start - Millis(60000));
  CHECK(isUsable(table, *current, contact, Start));
  // The previous incarnation gets no further requests.
  CHECK_FALSE(isUsable(table, *previous, contact, Start));
  // A request that was sent to the previous incarnation may be sent to this
  // one.
  std::set<ServerIncarnation> tried{previous->Entry.incarnation()};
  CHECK(chooseFor(table, contact, tried) == current);
}

TEST_CASE("A registration of an earlier incarnation is ignored", "[upstream]") {
  UpstreamTable table;
  registerServer(table, makeRegistration("a", 2000));
  UpstreamRegistration outdated = makeRegistration("a", 1000);
  outdated.Draining = true;
  CHECK(registerServer(table, outdated) == RegistrationChange::Outdated);
  CHECK(table.Servers[ServerName("a")]->Entry == makeRegistration("a", 2000));
  CHECK(registerServer(table, makeRegistration("a", 2000)) ==
        RegistrationChange::None);
}

TEST_CASE("A load of weights is told from other changes of a registration",
          "[upstream]") {
  UpstreamTable table;
  UpstreamRegistration entry = makeRegistration("a");
  entry.Models = {{ModelName("m"), 1}};
  CHECK(registerServer(table, entry) == RegistrationChange::Registered);
  CHECK(registerServer(table, entry) == RegistrationChange::None);
  entry.Models = {{ModelName("m"), 2}};
  CHECK(registerServer(table, entry) == RegistrationChange::WeightsChanged);
  CHECK(table.Servers[entry.Id]->Entry == entry);
  entry.Models = {{ModelName("m"), 3}};
  entry.Draining = true;
  CHECK(registerServer(table, entry) == RegistrationChange::Changed);
}

TEST_CASE("Without a start time the name identifies the server", "[upstream]") {
  UpstreamTable table;
  registerServer(table, makeRegistration("a"));
  std::shared_ptr<UpstreamServer> known = table.Servers[ServerName("a")];
  known->Replaced = true;
  CHECK(registerServer(table, makeRegistration("a")) ==
        RegistrationChange::None);
  CHECK(table.Servers[ServerName("a")] == known);
  CHECK(known->Replaced);
  // Other servers may have start times.
  registerServer(table, makeRegistration("b", 1000));
  StoreContact contact = makeReachableContact(Start - Millis(60000));
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 1);
  // At a new address the server is usable again.
  UpstreamRegistration moved = makeRegistration("a");
  moved.Endpoint = Address{"10.0.0.9", 80};
  CHECK(registerServer(table, moved) == RegistrationChange::Changed);
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 2);
}

TEST_CASE(
    "A rejected registration removes the server until a valid one is read",
    "[upstream]") {
  UpstreamTable table;
  registerServer(table, makeRegistration("a", 2000));
  registerServer(table, makeRegistration("b", 2000));
  std::shared_ptr<UpstreamServer> previous = table.Servers[ServerName("a")];
  CHECK(rejectRegistration(table, ServerName("a"), "no JSON"));
  StoreContact contact = makeReachableContact(Start);
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 1);
  CHECK_FALSE(isUsable(table, *previous, contact, Start));
  // Repeated rejections are counted, and reported once for each reason.
  CHECK_FALSE(rejectRegistration(table, ServerName("a"), "no JSON"));
  CHECK(rejectRegistration(table, ServerName("a"), "no address"));
  CHECK(table.RejectedCount == 3);
  CHECK(registerServer(table, makeRegistration("a", 1000)) ==
        RegistrationChange::Outdated);
  CHECK(registerServer(table, makeRegistration("a", 2000)) ==
        RegistrationChange::Registered);
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 2);
  CHECK(table.Rejected.empty());
}

TEST_CASE("The number of kept rejected names is limited", "[upstream]") {
  UpstreamTable table;
  table.Limits.MaxRejectedNames = 3;
  for (int i = 0; i < 5; ++i)
    rejectRegistration(table, ServerName(std::to_string(i)), "no JSON");
  CHECK(table.Rejected.size() == 3);
  CHECK(table.RejectedCount == 5);
}

TEST_CASE("The suspect timeout doubles with each failure up to its maximum",
          "[upstream]") {
  UpstreamTable table;
  UpstreamServer server;
  noteFailure(table, server, Start);
  CHECK(server.SuspectUntil == Start + table.Limits.InitialSuspectTimeout);
  noteFailure(table, server, Start);
  CHECK(server.SuspectUntil == Start + table.Limits.InitialSuspectTimeout * 2);
  for (int i = 0; i < 40; ++i)
    noteFailure(table, server, Start);
  CHECK(server.SuspectUntil == Start + table.Limits.MaxSuspectTimeout);
  noteSuccess(table, server, 10);
  CHECK(server.SuspectUntil == TimePoint());
}

TEST_CASE("An outdated snapshot changes nothing", "[upstream]") {
  KeyedOffsets table;
  CHECK(applyNewRecords(table, {makeRecord(3, "config", "v3")}).size() == 1);
  CHECK(table.Next == 4);
  // A snapshot from before the known record.
  KeyedRange outdated{0, 2, {makeRecord(1, "config", "v1")}};
  CHECK(applySnapshot(table, outdated).empty());
  CHECK(table.Keys.at("config") == 3);
  CHECK(table.Next == 4);
}

TEST_CASE("A key that is missing from a newer snapshot was deleted",
          "[upstream]") {
  KeyedOffsets table;
  applyNewRecords(table, {makeRecord(0, "a", "x"), makeRecord(1, "b", "x")});
  KeyedRange snapshot{5, 6, {makeRecord(5, "c", "y"), makeRecord(1, "b", "x")}};
  std::vector<KeyedRecord> changed = applySnapshot(table, snapshot);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].Key == "a");
  CHECK_FALSE(changed[0].Value.has_value());
  CHECK(changed[1].Key == "c");
  CHECK(table.Next == 6);
}

TEST_CASE("The store is unreachable after a period without answers only",
          "[upstream]") {
  StoreContact contact = makeReachableContact(Start);
  CHECK_FALSE(noteFailure(contact, Start + Millis(100)));
  CHECK(noteFailure(contact, Start + Millis(600)));
  CHECK(unreachableFor(contact, Millis(2000), Start + Millis(2100)));
  CHECK_FALSE(unreachableFor(contact, Millis(2000), Start + Millis(1900)));
  CHECK(noteAnswer(contact, Start + Millis(3000)));
  CHECK_FALSE(reachableFor(contact, Millis(100), Start + Millis(3050)));
  CHECK(reachableFor(contact, Millis(100), Start + Millis(3100)));
}

TEST_CASE(
    "A key that was written and deleted before it was read is reported as "
    "deleted",
    "[upstream]") {
  KeyedOffsets table;
  table.PendingWrites["own"] = 4;
  table.PendingWrites["later"] = 9;
  KeyedRange snapshot{0, 7, {KeyedRecord{5, "other", "text"}}};
  std::vector<KeyedRecord> changed = applySnapshot(table, snapshot);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0] == KeyedRecord{4, "own", std::nullopt});
  CHECK(changed[1] == KeyedRecord{5, "other", "text"});
  // The deletion is reported once, and a written record that is read in order
  // is no longer pending.
  CHECK(applyNewRecords(table, {KeyedRecord{9, "later", "text"}}).size() == 1);
  CHECK(table.PendingWrites.empty());
}

} // namespace wasabi
