#include "Wasabi/Quarantine/RequestDigest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <string>

namespace wasabi {

namespace {

/// Each part with its length, so that no two lists of parts read alike.
void addPart(std::string &Text, std::string_view Part) {
  Text += std::to_string(Part.size());
  Text += ':';
  Text += Part;
}

} // namespace

RequestDigest digestOf(const http::Request &Ask) {
  std::string text;
  addPart(text, Ask.Method);
  addPart(text, Ask.Target);
  for (const char *it : {"Host", "Authorization", "User-Agent"})
    addPart(text, Ask.header(it));
  addPart(text, Ask.Body);
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return RequestDigest(fmt::format("{:016x}{:016x}", hash.high64, hash.low64));
}

} // namespace wasabi
