/// \file
/// One writer's immutable value, read by many threads.
#ifndef WASABI_CORE_PUBLISHED_H
#define WASABI_CORE_PUBLISHED_H

#include <atomic>
#include <memory>
#include <utility>

namespace wasabi {

/// Holds the newest version of a value; readers keep what they took.
/// Thread-safe.
template <typename T> class Published {
public:
  explicit Published(T Value = T())
      : Held(std::make_shared<const T>(std::move(Value))) {}
  /// The newest value; never null.
  std::shared_ptr<const T> get() const {
    return Held.load(std::memory_order_acquire);
  }
  void set(T Value) {
    Held.store(std::make_shared<const T>(std::move(Value)),
               std::memory_order_release);
  }
  void set(std::shared_ptr<const T> Value) {
    Held.store(std::move(Value), std::memory_order_release);
  }

private:
  std::atomic<std::shared_ptr<const T>> Held;
};

} // namespace wasabi

#endif // WASABI_CORE_PUBLISHED_H
