/// \file
/// One writer's immutable value, read by many threads.
#ifndef WASABI_CORE_PUBLISHED_H
#define WASABI_CORE_PUBLISHED_H

#include <memory>
#include <mutex>
#include <utility>

namespace wasabi {

/// Holds the newest version of a value; readers keep what they took. A mutex
/// guards the pointer alone: the atomic shared pointer of GCC 12's library
/// reads it without ordering against its own writer, which ThreadSanitizer
/// reports. Thread-safe.
template <typename T> class Published {
public:
  explicit Published(T Value = T())
      : Held(std::make_shared<const T>(std::move(Value))) {}
  /// The newest value; never null.
  std::shared_ptr<const T> get() const {
    std::lock_guard<std::mutex> lock(Guard);
    return Held;
  }
  void set(T Value) { set(std::make_shared<const T>(std::move(Value))); }
  void set(std::shared_ptr<const T> Value) {
    std::lock_guard<std::mutex> lock(Guard);
    // The old value ends after the lock, when `Value` does.
    Held.swap(Value);
  }

private:
  mutable std::mutex Guard;
  std::shared_ptr<const T> Held;
};

} // namespace wasabi

#endif // WASABI_CORE_PUBLISHED_H
