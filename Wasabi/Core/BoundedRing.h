/// \file
/// The bounded ring that joins two duties' threads.
#ifndef WASABI_CORE_BOUNDEDRING_H
#define WASABI_CORE_BOUNDEDRING_H

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace wasabi {

/// Many producers, one consumer, fixed capacity. A full ring is the caller's
/// decision: `push` says so and counts it, and never waits.
/// Thread-safe: `push` from any thread, `pop` from one.
template <typename T> class BoundedRing {
public:
  /// \param Capacity most items held, at least 1.
  /// \param Wake called after each push, from the pushing thread; it must be
  ///        thread-safe and not block (an Asio post, say). May be empty.
  explicit BoundedRing(std::size_t Capacity, std::function<void()> Wake = {})
      : Slots(Capacity), Wake(std::move(Wake)) {}
  BoundedRing(const BoundedRing &) = delete;
  BoundedRing &operator=(const BoundedRing &) = delete;
  ~BoundedRing() {
    T *item = nullptr;
    while (Slots.pop(item))
      delete item;
  }

  /// False, and counted, when the ring is full; `Item` is then dropped.
  bool push(T Item) {
    std::unique_ptr<T> held = std::make_unique<T>(std::move(Item));
    if (!Slots.bounded_push(held.get())) {
      Refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    held.release();
    if (Wake)
      Wake();
    return true;
  }

  /// Moves the oldest item into `Item`; false when there is none.
  bool pop(T &Item) {
    T *taken = nullptr;
    if (!Slots.pop(taken))
      return false;
    std::unique_ptr<T> held(taken);
    Item = std::move(*held);
    return true;
  }

  /// How many pushes a full ring has refused.
  std::uint64_t refused() const {
    return Refused.load(std::memory_order_relaxed);
  }

private:
  boost::lockfree::queue<T *> Slots;
  std::function<void()> Wake;
  std::atomic<std::uint64_t> Refused{0};
};

} // namespace wasabi

#endif // WASABI_CORE_BOUNDEDRING_H
