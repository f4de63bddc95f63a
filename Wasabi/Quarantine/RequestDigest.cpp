#include "Wasabi/Quarantine/RequestDigest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <memory>

namespace wasabi {

namespace {

/// Frees a state of xxhash.
struct StateEnd {
  void operator()(XXH3_state_t *State) const { XXH3_freeState(State); }
};
using HashState = std::unique_ptr<XXH3_state_t, StateEnd>;

/// Each part with its length, so that no two lists of parts read alike.
void addPart(XXH3_state_t &State, std::string_view Part) {
  std::uint64_t size = Part.size();
  XXH3_128bits_update(&State, &size, sizeof(size));
  XXH3_128bits_update(&State, Part.data(), Part.size());
}

} // namespace

RequestDigest digestOf(const http::Request &Ask, const CustomerName &By) {
  HashState state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  addPart(*state, Ask.Method);
  addPart(*state, Ask.Target);
  for (const char *it : {"Host", "Authorization", "User-Agent"})
    addPart(*state, Ask.header(it));
  if (!By.empty())
    addPart(*state, By.Text);
  addPart(*state, Ask.Body);
  XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return RequestDigest(fmt::format("{:016x}{:016x}", hash.high64, hash.low64));
}

} // namespace wasabi
