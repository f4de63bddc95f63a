/// \file
/// Bounds the memory that arriving responses hold in a process, in sum. A
/// server may send a body without end; it must not end the process, nor take
/// the memory that the responses of other servers need.
#ifndef WASABI_ADAPTERS_HTTP_RESPONSEMEMORY_H
#define WASABI_ADAPTERS_HTTP_RESPONSEMEMORY_H

#include "Wasabi/Core/Address.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace wasabi::http {

/// A response that was given up. An immutable value.
struct ResponseAbort {
  Address Peer;
  /// Bytes that it held.
  std::uint64_t Bytes = 0;
  /// Bytes that all responses together held.
  std::uint64_t HeldBytes = 0;
  bool operator==(const ResponseAbort &) const = default;
};

/// Counts the bytes of the responses that are being received. Beyond the limit,
/// the response that holds the most is given up: either it has no end, or it is
/// the one that the others can do without. Used on one thread.
class ResponseMemory {
public:
  struct Settings {
    std::uint64_t MaxBytes = 64u << 20;
    /// Called for each response that is given up.
    std::function<void(const ResponseAbort &)> OnAbort = nullptr;
  };

  static std::shared_ptr<ResponseMemory> create(Settings Limits);

  std::uint64_t heldBytes() const { return HeldBytes; }

  /// The bytes of one response, for as long as the object lives.
  class Share {
  public:
    /// `Abort` is called if the response is given up in favor of another one;
    /// it has to end the receiving. `Owner` may be null: nothing is counted.
    Share(std::shared_ptr<ResponseMemory> Owner, Address Peer,
          std::function<void()> Abort);
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;
    ~Share();
    /// Sets the number of bytes that the response holds. Returns false if the
    /// response has been given up.
    bool hold(std::uint64_t NewBytes);
    bool isAborted() const { return Aborted; }

  private:
    friend class ResponseMemory;
    const std::shared_ptr<ResponseMemory> Owner;
    const Address Peer;
    const std::function<void()> Abort;
    std::uint64_t Bytes = 0;
    bool Aborted = false;
  };

private:
  explicit ResponseMemory(Settings Limits) : Limits(std::move(Limits)) {}
  void abortLargest(const Share &Growing);

  const Settings Limits;
  std::uint64_t HeldBytes = 0;
  std::set<Share *> Shares;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_RESPONSEMEMORY_H
