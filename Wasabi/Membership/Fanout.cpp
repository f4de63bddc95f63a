#include "Wasabi/Membership/Fanout.h"

#include "Wasabi/Membership/Rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace wasabi {
namespace {

constexpr char Ring[] = "ring";

bool isGossipTarget(const Member &Info) { return Info.State != Health::Dead; }

/// Removes and returns a random name. Precondition: `Names` is not empty.
InstanceName takeRandom(std::vector<InstanceName> &Names,
                        std::mt19937_64 &Random) {
  std::size_t at = Random() % Names.size();
  std::swap(Names[at], Names.back());
  InstanceName taken = std::move(Names.back());
  Names.pop_back();
  return taken;
}

/// Moves the successor of `Self` on the ring to the end of `Names`.
void putSuccessorLast(std::vector<InstanceName> &Names,
                      const InstanceName &Self) {
  std::uint64_t own = rendezvousWeight(Ring, Self);
  auto closer = [&](const InstanceName &Left, const InstanceName &Right) {
    // Distance on the ring; unsigned subtraction wraps around.
    return rendezvousWeight(Ring, Left) - own <
           rendezvousWeight(Ring, Right) - own;
  };
  auto it = std::min_element(Names.begin(), Names.end(), closer);
  std::iter_swap(it, std::prev(Names.end()));
}

} // namespace

std::vector<InstanceName> chooseFanout(const View &ClusterView,
                                       const FanoutSettings &Limits,
                                       std::mt19937_64 &Random) {
  auto self = ClusterView.Members.find(ClusterView.Self);
  DomainName domain =
      self == ClusterView.Members.end() ? DomainName() : self->second.Domain;
  std::vector<InstanceName> own;
  std::map<DomainName, std::vector<InstanceName>> others;
  for (const auto &[name, member] : ClusterView.Members) {
    if (name == ClusterView.Self || !isGossipTarget(member))
      continue;
    if (member.Domain == domain)
      own.push_back(name);
    else
      others[member.Domain].push_back(name);
  }

  std::vector<InstanceName> chosen;
  if (!own.empty()) {
    putSuccessorLast(own, ClusterView.Self);
    chosen.push_back(std::move(own.back()));
    own.pop_back();
  }
  for (std::size_t n = 0; n < Limits.RandomPeers && !own.empty(); ++n)
    chosen.push_back(takeRandom(own, Random));
  if (Limits.OtherDomains) {
    for (auto &[other, names] : others)
      chosen.push_back(takeRandom(names, Random));
  }
  return chosen;
}

} // namespace wasabi
