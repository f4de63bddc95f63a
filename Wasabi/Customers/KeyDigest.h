/// \file
/// Keys of customers as a process holds them: digests under a secret that is
/// drawn at its start. A digest tells nothing of its key, and is worth nothing
/// in another process.
#ifndef WASABI_CUSTOMERS_KEYDIGEST_H
#define WASABI_CUSTOMERS_KEYDIGEST_H

#include "Wasabi/Core/Verdict.h"

#include <array>
#include <string_view>

namespace wasabi {

/// The digest of one key. An immutable value that prints nowhere.
class KeyDigest {
public:
  /// Bytes of a digest.
  static constexpr std::size_t Size = 32;
  using Bytes = std::array<unsigned char, Size>;

  explicit KeyDigest(const Bytes &Value) : Value(Value) {}

  /// Takes as long for digests that differ early as for those that differ late.
  /// Thread-safe.
  bool operator==(const KeyDigest &Other) const;

  /// Which part of a table it lies in. Thread-safe.
  std::size_t bucket() const;

private:
  Bytes Value;
};

/// Makes digests. An immutable value; thread-safe.
class KeyDigester {
public:
  /// Draws a new secret. Errors: `Internal` when the library has no source of
  /// randomness.
  static Result<KeyDigester> create();

  KeyDigest digest(std::string_view Key) const;

private:
  using Secret = std::array<unsigned char, 32>;

  explicit KeyDigester(const Secret &HashKey) : HashKey(HashKey) {}

  Secret HashKey;
};

} // namespace wasabi

#endif // WASABI_CUSTOMERS_KEYDIGEST_H
