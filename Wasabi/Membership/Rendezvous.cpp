#include "Wasabi/Membership/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wasabi {
namespace {

constexpr char LogReaders[] = "log-readers";

/// Returns the number of matching members that rank before `Self`.
template <typename Matches>
std::size_t countBefore(std::string_view Key, const View &ClusterView,
                        Matches &&Match) {
  std::uint64_t own = rendezvousWeight(Key, ClusterView.Self);
  std::size_t before = 0;
  for (const auto &[name, member] : ClusterView.Members) {
    if (name == ClusterView.Self || !takesWork(member) || !Match(member))
      continue;
    std::uint64_t other = rendezvousWeight(Key, name);
    if (std::pair(other, name) > std::pair(own, ClusterView.Self))
      ++before;
  }
  return before;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view Key,
                               const InstanceName &Member) {
  std::uint64_t seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Member.Text.data(), Member.Text.size(), seed);
}

std::vector<InstanceName> rankMembers(std::string_view Key,
                                      std::vector<InstanceName> Names) {
  std::sort(Names.begin(), Names.end(),
            [&](const InstanceName &Left, const InstanceName &Right) {
              return std::pair(rendezvousWeight(Key, Left), Left) >
                     std::pair(rendezvousWeight(Key, Right), Right);
            });
  return Names;
}

std::size_t rankOf(std::string_view Key, const View &ClusterView) {
  auto self = ClusterView.Members.find(ClusterView.Self);
  if (self == ClusterView.Members.end())
    return 0;
  Role kind = self->second.Kind;
  return countBefore(Key, ClusterView,
                     [&](const Member &it) { return it.Kind == kind; });
}

bool isLogReader(const View &ClusterView, std::uint32_t PerDomain) {
  auto self = ClusterView.Members.find(ClusterView.Self);
  if (self == ClusterView.Members.end())
    return true;
  const DomainName &domain = self->second.Domain;
  std::size_t before =
      countBefore(LogReaders, ClusterView,
                  [&](const Member &it) { return it.Domain == domain; });
  return before < PerDomain;
}

} // namespace wasabi
