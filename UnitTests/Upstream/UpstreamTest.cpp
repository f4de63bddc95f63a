#include "Wasabi/Upstream/KeyedFollower.h"
#include "Wasabi/Upstream/RouteTable.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <catch2/catch.hpp>

namespace wasabi {

namespace {

const ServiceName Desk("desk");
const TimePoint Start = TimePoint() + Millis(100000);

UpstreamRegistration entry(const std::string &Id, ServerStartTime Born = 0) {
  UpstreamRegistration made;
  made.Id = ServerName(Id);
  made.Start = Born;
  made.Service = Desk;
  made.Slots = 4;
  return made;
}

StoreContact contactSince(TimePoint Since) {
  StoreContact contact;
  contact.Lost = false;
  contact.ReachableSince = Since;
  contact.LastAnswer = Since;
  return contact;
}

KeyedRecord record(Offset At, const std::string &Key, const std::string &Text) {
  return KeyedRecord{At, Key, Text};
}

UpstreamRoute route(const std::string &Host, const std::string &Prefix) {
  UpstreamRoute made;
  made.Name = Host + Prefix;
  made.Host = Host;
  made.Prefix = Prefix;
  made.Services = {{Desk, 1}};
  return made;
}

} // namespace

TEST_CASE("The longest prefix of the host is the route", "[upstream]") {
  RouteTable table;
  table.Routes = {route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/")};
  CHECK(findRoute(table, "a", "/x/y/z")->Prefix == "/x/y/");
  CHECK(findRoute(table, "a:80", "/x/z?q=/x/y/")->Prefix == "/x/");
  CHECK(findRoute(table, "b", "/x/y/z")->Host == "b");
  CHECK(findRoute(table, "a", "/x") == nullptr);
  CHECK(findRoute(table, "c", "/x/") == nullptr);
}

TEST_CASE("A route's requests are shared by weight", "[upstream]") {
  UpstreamRoute split = route("a", "/");
  split.Services = {{ServiceName("nine"), 90}, {ServiceName("one"), 10}};
  CHECK(pickService(split, 0.0).Text == "nine");
  CHECK(pickService(split, 0.89).Text == "nine");
  CHECK(pickService(split, 0.91).Text == "one");
  CHECK(pickService(split, 1.0).Text == "one");
}

TEST_CASE("A server that drains or is gone gets no new work", "[upstream]") {
  UpstreamTable table;
  registerServer(table, entry("a"));
  registerServer(table, entry("b"));
  StoreContact contact = contactSince(Start - Millis(60000));
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 2);
  UpstreamRegistration leaving = entry("a");
  leaving.Draining = true;
  CHECK(registerServer(table, leaving) == RegistrationChange::Changed);
  unregisterServer(table, ServerName("b"), Start);
  CHECK(findUsableServers(table, Desk, contact, Start).empty());
  removeUnregisteredServers(table, contact, Start);
  CHECK(table.Servers.size() == 1);
}

TEST_CASE("Registrations that lapse in an outage are kept until it is known "
          "who is back",
          "[upstream]") {
  UpstreamTable table;
  registerServer(table, entry("a"));
  StoreContact contact = contactSince(Start);
  unregisterServer(table, ServerName("a"), Start + Millis(20));
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(1000)).size() ==
        1);
  removeUnregisteredServers(table, contact, Start + Millis(1000));
  CHECK(table.Servers.size() == 1);
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(2300)).empty());
  CHECK(registerServer(table, entry("a")) == RegistrationChange::Changed);
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(2300)).size() ==
        1);
  // One that leaves while all is well is gone at once.
  unregisterServer(table, ServerName("a"), Start + Millis(5000));
  CHECK(findUsableServers(table, Desk, contact, Start + Millis(5000)).empty());
}

TEST_CASE("The choice passes over what was tried and what fails",
          "[upstream]") {
  UpstreamTable table;
  for (const char *id : {"a", "b", "c"})
    registerServer(table, entry(id));
  StoreContact contact = contactSince(Start - Millis(60000));
  noteFailure(table, *table.Servers[ServerName("a")], Start);
  table.Servers[ServerName("b")]->InFlight = 4;
  std::set<ServerIncarnation> tried;
  for (const char *next : {"c", "b", "a"}) {
    std::shared_ptr<UpstreamServer> chosen =
        chooseServer(table, Desk, DomainName(), tried, contact, Start);
    REQUIRE(chosen);
    CHECK(chosen->Entry.Id.Text == next);
    tried.insert(chosen->Entry.incarnation());
  }
  CHECK(chooseServer(table, Desk, DomainName(), tried, contact, Start) ==
        nullptr);
}

TEST_CASE("A server that starts again under its name is another one",
          "[upstream]") {
  UpstreamTable table;
  CHECK(registerServer(table, entry("a", 1000)) ==
        RegistrationChange::Registered);
  std::shared_ptr<UpstreamServer> before = table.Servers[ServerName("a")];
  noteFailure(table, *before, Start);
  before->InFlight = 4;
  before->SmoothedLatencyMs = 900;
  before->Replaced = true;
  CHECK(registerServer(table, entry("a", 2000), 7) ==
        RegistrationChange::Restarted);
  std::shared_ptr<UpstreamServer> after = table.Servers[ServerName("a")];
  CHECK(after != before);
  CHECK(after->InFlight == 0);
  CHECK(after->SmoothedLatencyMs == 0);
  CHECK(after->FirstOffset == 7);
  CHECK(after->SuspectUntil == TimePoint());
  StoreContact contact = contactSince(Start - Millis(60000));
  CHECK(isUsable(table, *after, contact, Start));
  // Whoever still holds the one before sends it nothing more.
  CHECK_FALSE(isUsable(table, *before, contact, Start));
  // A request that the one before has had may go to this one.
  std::set<ServerIncarnation> tried{before->Entry.incarnation()};
  CHECK(chooseServer(table, Desk, DomainName(), tried, contact, Start) ==
        after);
}

TEST_CASE("A registration of an earlier start changes nothing", "[upstream]") {
  UpstreamTable table;
  registerServer(table, entry("a", 2000));
  UpstreamRegistration old = entry("a", 1000);
  old.Draining = true;
  CHECK(registerServer(table, old) == RegistrationChange::Outdated);
  CHECK(table.Servers[ServerName("a")]->Entry == entry("a", 2000));
  CHECK(registerServer(table, entry("a", 2000)) == RegistrationChange::None);
}

TEST_CASE("Where no start is told the name alone is the server", "[upstream]") {
  UpstreamTable table;
  registerServer(table, entry("a"));
  std::shared_ptr<UpstreamServer> known = table.Servers[ServerName("a")];
  known->Replaced = true;
  CHECK(registerServer(table, entry("a")) == RegistrationChange::None);
  CHECK(table.Servers[ServerName("a")] == known);
  CHECK(known->Replaced);
  // Others beside it may tell theirs.
  registerServer(table, entry("b", 1000));
  StoreContact contact = contactSince(Start - Millis(60000));
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 1);
  // Another server has answered where it was, not where it is now.
  UpstreamRegistration moved = entry("a");
  moved.Endpoint = Address{"10.0.0.9", 80};
  CHECK(registerServer(table, moved) == RegistrationChange::Changed);
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 2);
}

TEST_CASE("A rejected registration names no server until a good one comes",
          "[upstream]") {
  UpstreamTable table;
  registerServer(table, entry("a", 2000));
  registerServer(table, entry("b", 2000));
  std::shared_ptr<UpstreamServer> before = table.Servers[ServerName("a")];
  CHECK(rejectRegistration(table, ServerName("a"), "no JSON"));
  StoreContact contact = contactSince(Start);
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 1);
  CHECK_FALSE(isUsable(table, *before, contact, Start));
  // A writer that goes on is counted, and told of once a reason.
  CHECK_FALSE(rejectRegistration(table, ServerName("a"), "no JSON"));
  CHECK(rejectRegistration(table, ServerName("a"), "no address"));
  CHECK(table.RejectedCount == 3);
  CHECK(registerServer(table, entry("a", 1000)) ==
        RegistrationChange::Outdated);
  CHECK(registerServer(table, entry("a", 2000)) ==
        RegistrationChange::Registered);
  CHECK(findUsableServers(table, Desk, contact, Start).size() == 2);
  CHECK(table.Rejected.empty());
}

TEST_CASE("Rejected names are kept up to a bound", "[upstream]") {
  UpstreamTable table;
  table.Limits.MaxRejectedNames = 3;
  for (int i = 0; i < 5; ++i)
    rejectRegistration(table, ServerName(std::to_string(i)), "no JSON");
  CHECK(table.Rejected.size() == 3);
  CHECK(table.RejectedCount == 5);
}

TEST_CASE("A server that fails again stays out longer, up to a bound",
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

TEST_CASE("An older answer of the store takes nothing back", "[upstream]") {
  KeyedOffsets table;
  CHECK(applyNewRecords(table, {record(3, "config", "v3")}).size() == 1);
  CHECK(table.Next == 4);
  // The whole table as of an earlier moment.
  KeyedRange stale{0, 2, {record(1, "config", "v1")}};
  CHECK(applySnapshot(table, stale).empty());
  CHECK(table.Keys.at("config") == 3);
  CHECK(table.Next == 4);
}

TEST_CASE("What is missing from a newer whole table was deleted",
          "[upstream]") {
  KeyedOffsets table;
  applyNewRecords(table, {record(0, "a", "x"), record(1, "b", "x")});
  KeyedRange whole{5, 6, {record(5, "c", "y"), record(1, "b", "x")}};
  std::vector<KeyedRecord> changed = applySnapshot(table, whole);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].Key == "a");
  CHECK_FALSE(changed[0].Value.has_value());
  CHECK(changed[1].Key == "c");
  CHECK(table.Next == 6);
}

TEST_CASE("Contact is lost by silence, not by one failed call", "[upstream]") {
  StoreContact contact = contactSince(Start);
  CHECK_FALSE(noteFailure(contact, Start + Millis(100)));
  CHECK(noteFailure(contact, Start + Millis(600)));
  CHECK(unreachableFor(contact, Millis(2000), Start + Millis(2100)));
  CHECK_FALSE(unreachableFor(contact, Millis(2000), Start + Millis(1900)));
  CHECK(noteAnswer(contact, Start + Millis(3000)));
  CHECK_FALSE(reachableFor(contact, Millis(100), Start + Millis(3050)));
  CHECK(reachableFor(contact, Millis(100), Start + Millis(3100)));
}

TEST_CASE("A key that was written and deleted unread is told as deleted",
          "[upstream]") {
  KeyedOffsets table;
  table.Written["own"] = 4;
  table.Written["later"] = 9;
  KeyedRange whole{0, 7, {KeyedRecord{5, "other", "text"}}};
  std::vector<KeyedRecord> changed = applySnapshot(table, whole);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0] == KeyedRecord{4, "own", std::nullopt});
  CHECK(changed[1] == KeyedRecord{5, "other", "text"});
  // It is told once, and what is read in order needs no such news.
  CHECK(applyNewRecords(table, {KeyedRecord{9, "later", "text"}}).size() == 1);
  CHECK(table.Written.empty());
}

} // namespace wasabi
