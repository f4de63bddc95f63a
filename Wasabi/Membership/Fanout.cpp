#include "Wasabi/Membership/Fanout.h"

#include "Wasabi/Membership/Rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace wasabi {
namespace {

constexpr char Ring[] = "ring";

bool canBeTold(const Member &Who) { return Who.State != Health::Dead; }

/// A random element taken out of `From`. Precondition: there is one.
InstanceName takeOne(std::vector<InstanceName> &From, std::mt19937_64 &Random) {
  std::size_t at = Random() % From.size();
  std::swap(From[at], From.back());
  InstanceName taken = std::move(From.back());
  From.pop_back();
  return taken;
}

/// Moves the first name after `Self` on the ring to the end of `Names`.
void putSuccessorLast(std::vector<InstanceName> &Names,
                      const InstanceName &Self) {
  std::uint64_t own = rendezvousWeight(Ring, Self);
  auto closer = [&](const InstanceName &Left, const InstanceName &Right) {
    // Distance round the ring, which wraps as the numbers do.
    return rendezvousWeight(Ring, Left) - own <
           rendezvousWeight(Ring, Right) - own;
  };
  auto it = std::min_element(Names.begin(), Names.end(), closer);
  std::iter_swap(it, std::prev(Names.end()));
}

} // namespace

std::vector<InstanceName> chooseFanout(const View &Seen,
                                       const FanoutSettings &Limits,
                                       std::mt19937_64 &Random) {
  auto self = Seen.Members.find(Seen.Self);
  DomainName domain =
      self == Seen.Members.end() ? DomainName() : self->second.Domain;
  std::vector<InstanceName> own;
  std::map<DomainName, std::vector<InstanceName>> others;
  for (const auto &[name, member] : Seen.Members) {
    if (name == Seen.Self || !canBeTold(member))
      continue;
    if (member.Domain == domain)
      own.push_back(name);
    else
      others[member.Domain].push_back(name);
  }

  std::vector<InstanceName> chosen;
  if (!own.empty()) {
    putSuccessorLast(own, Seen.Self);
    chosen.push_back(std::move(own.back()));
    own.pop_back();
  }
  for (std::size_t n = 0; n < Limits.RandomPeers && !own.empty(); ++n)
    chosen.push_back(takeOne(own, Random));
  if (Limits.OtherDomains) {
    for (auto &[other, names] : others)
      chosen.push_back(takeOne(names, Random));
  }
  return chosen;
}

} // namespace wasabi
