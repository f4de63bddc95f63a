/// \file
/// An immutable value that is replaced atomically and read by many threads.
#ifndef WASABI_CORE_PUBLISHED_H
#define WASABI_CORE_PUBLISHED_H

#include <memory>
#include <mutex>
#include <utility>

namespace wasabi {

/// Holds the latest value; readers keep the one they obtained. A mutex guards
/// the pointer because `std::atomic<std::shared_ptr>` of GCC 12 has a data race
/// that ThreadSanitizer reports. Thread-safe.
template <typename T> class Published {
public:
  explicit Published(T Value = T())
      : Current(std::make_shared<const T>(std::move(Value))) {}
  /// Returns the latest value; never null.
  std::shared_ptr<const T> get() const {
    std::lock_guard<std::mutex> lock(Mutex);
    return Current;
  }
  void set(T Value) { set(std::make_shared<const T>(std::move(Value))); }
  void set(std::shared_ptr<const T> Value) {
    std::lock_guard<std::mutex> lock(Mutex);
    // `Value` destroys the old value after the lock is released.
    Current.swap(Value);
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const T> Current;
};

} // namespace wasabi

#endif // WASABI_CORE_PUBLISHED_H
