/// \file
/// A bounded queue that passes values between threads.
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

/// Queue with many producers, one consumer and a fixed capacity. `push` never
/// blocks; a push to a full queue is rejected and counted. Thread-safe: `push`
/// from any thread, `pop` from one.
template <typename T> class BoundedRing {
public:
  /// \param Capacity maximum number of items, at least 1.
  /// \param Wake called after each push on the pushing thread; must be
  /// thread-safe and must not block. May be empty.
  explicit BoundedRing(std::size_t Capacity, std::function<void()> Wake = {})
      : Slots(Capacity), Wake(std::move(Wake)) {}
  BoundedRing(const BoundedRing &) = delete;
  BoundedRing &operator=(const BoundedRing &) = delete;
  ~BoundedRing() {
    T *item = nullptr;
    while (Slots.pop(item))
      delete item;
  }

  /// Appends an item. If the queue is full, drops `Item`, counts the rejection
  /// and returns false.
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

  /// Moves the oldest item into `Item`; returns false if the queue is empty.
  bool pop(T &Item) {
    T *taken = nullptr;
    if (!Slots.pop(taken))
      return false;
    std::unique_ptr<T> held(taken);
    Item = std::move(*held);
    return true;
  }

  /// Returns the number of rejected pushes.
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
