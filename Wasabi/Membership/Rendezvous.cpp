#include "Wasabi/Membership/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wasabi {
namespace {

constexpr char LogReaders[] = "log-readers";

/// How many members that match come before `Self`.
template <typename Matches>
std::size_t countBefore(std::string_view Thing, const View &Seen,
                        Matches &&Match) {
  std::uint64_t own = rendezvousWeight(Thing, Seen.Self);
  std::size_t before = 0;
  for (const auto &[name, member] : Seen.Members) {
    if (name == Seen.Self || !takesWork(member) || !Match(member))
      continue;
    std::uint64_t other = rendezvousWeight(Thing, name);
    if (std::pair(other, name) > std::pair(own, Seen.Self))
      ++before;
  }
  return before;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view Thing,
                               const InstanceName &Member) {
  std::uint64_t seed = XXH64(Thing.data(), Thing.size(), 0);
  return XXH64(Member.Text.data(), Member.Text.size(), seed);
}

std::vector<InstanceName> rankMembers(std::string_view Thing,
                                      std::vector<InstanceName> Names) {
  std::sort(Names.begin(), Names.end(),
            [&](const InstanceName &Left, const InstanceName &Right) {
              return std::pair(rendezvousWeight(Thing, Left), Left) >
                     std::pair(rendezvousWeight(Thing, Right), Right);
            });
  return Names;
}

std::size_t rankOf(std::string_view Thing, const View &Seen) {
  auto self = Seen.Members.find(Seen.Self);
  if (self == Seen.Members.end())
    return 0;
  Role kind = self->second.Kind;
  return countBefore(Thing, Seen,
                     [&](const Member &it) { return it.Kind == kind; });
}

bool isLogReader(const View &Seen, std::uint32_t PerDomain) {
  auto self = Seen.Members.find(Seen.Self);
  if (self == Seen.Members.end())
    return true;
  const DomainName &domain = self->second.Domain;
  std::size_t before = countBefore(
      LogReaders, Seen, [&](const Member &it) { return it.Domain == domain; });
  return before < PerDomain;
}

} // namespace wasabi
