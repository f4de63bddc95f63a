/// \file
/// Keyed digests of customer keys. The secret is random, so that a digest
/// reveals nothing about its key and is valid in one process only.
#ifndef WASABI_CUSTOMERS_KEYDIGEST_H
#define WASABI_CUSTOMERS_KEYDIGEST_H

#include "Wasabi/Core/Verdict.h"

#include <array>
#include <string_view>

namespace wasabi {

/// Digest of one key. An immutable value without an output operator, so that it
/// is not logged by accident.
class KeyDigest {
public:
  /// Size of a digest in bytes.
  static constexpr std::size_t Size = 32;
  using Bytes = std::array<unsigned char, Size>;

  explicit KeyDigest(const Bytes &Value) : Value(Value) {}

  /// Compares in constant time. Thread-safe.
  bool operator==(const KeyDigest &Other) const;

  /// Returns a hash value for use as the key of a hash table. Thread-safe.
  std::size_t bucket() const;

private:
  Bytes Value;
};

/// Computes digests with one secret. An immutable value; thread-safe.
class KeyDigester {
public:
  /// Creates a digester with a new random secret. Errors: `Internal` if
  /// libsodium cannot be initialised.
  static Result<KeyDigester> create();

  KeyDigest digest(std::string_view Key) const;

private:
  using Secret = std::array<unsigned char, 32>;

  explicit KeyDigester(const Secret &HashKey) : HashKey(HashKey) {}

  Secret HashKey;
};

} // namespace wasabi

#endif // WASABI_CUSTOMERS_KEYDIGEST_H
