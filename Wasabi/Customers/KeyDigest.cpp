#include "Wasabi/Customers/KeyDigest.h"

#include <sodium/core.h>
#include <sodium/crypto_generichash.h>
#include <sodium/randombytes.h>
#include <sodium/utils.h>

#include <cstring>

namespace wasabi {

bool KeyDigest::operator==(const KeyDigest &Other) const {
  return sodium_memcmp(Value.data(), Other.Value.data(), Size) == 0;
}

std::size_t KeyDigest::bucket() const {
  std::size_t bucket = 0;
  std::memcpy(&bucket, Value.data(), sizeof(bucket));
  return bucket;
}

Result<KeyDigester> KeyDigester::create() {
  static_assert(KeyDigest::Size == crypto_generichash_BYTES);
  static_assert(std::tuple_size_v<Secret> == crypto_generichash_KEYBYTES);
  if (sodium_init() < 0)
    return boost::leaf::new_error(Failure{Verdict::NotRun,
                                          FailureCode::Internal,
                                          "libsodium",
                                          "cannot be initialised",
                                          {}});
  Secret secret{};
  randombytes_buf(secret.data(), secret.size());
  return KeyDigester(secret);
}

KeyDigest KeyDigester::digest(std::string_view Key) const {
  KeyDigest::Bytes value{};
  crypto_generichash(value.data(), value.size(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), HashKey.data(), HashKey.size());
  return KeyDigest(value);
}

} // namespace wasabi
