#include "Wasabi/Membership/Fanout.h"
#include "Wasabi/Membership/Rendezvous.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wasabi {
namespace {

/// Returns a view of `Count` daemons in three failure domains.
View makeView(std::size_t Count) {
  const std::vector<std::string> domains = {"lulea-hall", "umea-hall",
                                            "sundsvall-hall"};
  View view;
  for (std::size_t n = 0; n < Count; ++n) {
    Member member;
    member.Instance = InstanceName("daemon-" + std::to_string(n));
    member.Domain = DomainName(domains[n % domains.size()]);
    view.Members[member.Instance] = member;
  }
  view.Self = InstanceName("daemon-0");
  return view;
}

View viewFrom(View ClusterView, const InstanceName &Self) {
  ClusterView.Self = Self;
  return ClusterView;
}

} // namespace

TEST_CASE("Keys are distributed evenly over members",
          "[membership][rendezvous]") {
  View view = makeView(20);
  std::vector<InstanceName> names;
  names.reserve(view.Members.size());
  for (const auto &[name, member] : view.Members)
    names.push_back(name);
  std::map<InstanceName, int> firsts;
  constexpr int Things = 2000;
  for (int n = 0; n < Things; ++n)
    ++firsts[rankMembers("trainer/" + std::to_string(n), names).front()];
  REQUIRE(firsts.size() == names.size());
  for (const auto &[name, count] : firsts) {
    CHECK(count > 50);
    CHECK(count < 200);
  }
}

TEST_CASE("A departing member moves only the keys assigned to it",
          "[membership][rendezvous]") {
  std::vector<InstanceName> names;
  names.reserve(10);
  for (int n = 0; n < 10; ++n)
    names.emplace_back("daemon-" + std::to_string(n));
  std::vector<InstanceName> fewer(names.begin(), names.end() - 1);
  for (int n = 0; n < 200; ++n) {
    std::string key = "weights/" + std::to_string(n);
    InstanceName before = rankMembers(key, names).front();
    InstanceName after = rankMembers(key, fewer).front();
    CHECK((before == names.back() || before == after));
  }
}

TEST_CASE("All members agree on the ranking", "[membership][rendezvous]") {
  View view = makeView(12);
  std::set<std::size_t> ranks;
  for (const auto &[name, member] : view.Members)
    ranks.insert(rankOf("snapshots", viewFrom(view, name)));
  CHECK(ranks.size() == 12);
  CHECK(*ranks.rbegin() == 11);
}

TEST_CASE("Each failure domain has its own log readers",
          "[membership][rendezvous]") {
  View view = makeView(30);
  std::map<DomainName, int> readers;
  for (const auto &[name, member] : view.Members)
    readers[member.Domain] += isLogReader(viewFrom(view, name), 2) ? 1 : 0;
  REQUIRE(readers.size() == 3);
  for (const auto &[domain, count] : readers)
    CHECK(count == 2);
}

TEST_CASE("A dead log reader is replaced", "[membership][rendezvous]") {
  View view = makeView(9);
  for (const auto &[name, member] : makeView(9).Members) {
    if (isLogReader(viewFrom(view, name), 1))
      view.Members[name].State = Health::Dead;
  }
  int readers = 0;
  for (const auto &[name, member] : view.Members) {
    if (takesWork(member))
      readers += isLogReader(viewFrom(view, name), 1) ? 1 : 0;
  }
  CHECK(readers == 3);
}

TEST_CASE("Urgent updates reach all members with few copies per member",
          "[membership][fanout]") {
  constexpr std::size_t Count = 120;
  View view = makeView(Count);
  std::mt19937_64 random(11);
  std::set<InstanceName> reached = {view.Self};
  std::deque<InstanceName> infected = {view.Self};
  std::size_t copies = 0;
  while (!infected.empty()) {
    InstanceName sender = infected.front();
    infected.pop_front();
    FanoutSettings limits;
    limits.OtherDomains = sender == view.Self;
    for (const InstanceName &it :
         chooseFanout(viewFrom(view, sender), limits, random)) {
      REQUIRE(it != sender);
      ++copies;
      if (reached.insert(it).second)
        infected.push_back(it);
    }
  }
  CHECK(reached.size() == Count);
  CHECK(copies <= 3 * Count + 2);
}

TEST_CASE("Dead members receive no updates", "[membership][fanout]") {
  View view = makeView(6);
  for (auto &[name, member] : view.Members) {
    if (name != view.Self)
      member.State = Health::Dead;
  }
  std::mt19937_64 random(3);
  FanoutSettings limits;
  limits.OtherDomains = true;
  CHECK(chooseFanout(view, limits, random).empty());
}

} // namespace wasabi
