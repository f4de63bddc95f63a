#include "Wasabi/Quarantine/RequestDigest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <memory>

namespace wasabi {

namespace {

/// Frees a hash state of xxHash.
struct HashStateDeleter {
  void operator()(XXH3_state_t *State) const { XXH3_freeState(State); }
};
using HashState = std::unique_ptr<XXH3_state_t, HashStateDeleter>;

/// Hashes a part with its length, so that different lists of parts never hash
/// the same bytes.
void addPart(XXH3_state_t &State, std::string_view Part) {
  std::uint64_t size = Part.size();
  XXH3_128bits_update(&State, &size, sizeof(size));
  XXH3_128bits_update(&State, Part.data(), Part.size());
}

} // namespace

RequestDigest digestOf(const http::Request &Request,
                       const CustomerName &Customer) {
  HashState state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  addPart(*state, Request.Method);
  addPart(*state, Request.Target);
  for (const char *it : {"Host", "Authorization", "User-Agent"})
    addPart(*state, Request.header(it));
  if (!Customer.empty())
    addPart(*state, Customer.Text);
  addPart(*state, Request.body());
  XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return RequestDigest(fmt::format("{:016x}{:016x}", hash.high64, hash.low64));
}

} // namespace wasabi
