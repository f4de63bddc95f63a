/// \file
/// Whether a request may have run, and the failure that carries that verdict.
#ifndef WASABI_CORE_VERDICT_H
#define WASABI_CORE_VERDICT_H

#include <boost/leaf.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace wasabi {

/// What is known about a failed request's effect on its upstream.
enum class Verdict : std::uint8_t {
  /// Proved: no upstream began it. It may be tried again, anywhere.
  NotRun,
  /// Nobody can prove either. Only idempotent work may be tried again.
  MayHaveRun,
  /// The upstream is known to have run it.
  Ran,
};

/// Why something failed, as a closed set for code; `Failure::Reason` is prose.
enum class FailureCode : std::uint8_t {
  BadInput,
  Unreachable,
  ConnectionLost,
  TimedOut,
  Overloaded,
  Leaving,
  NoUpstream,
  Conflict,
  StaleFence,
  Cancelled,
  Expired,
  Unavailable,
  NewerSchema,
  Internal,
  // Frames carry these as numbers: a new one comes last.
  /// Servers have ended under the request; see `Wasabi/Quarantine`.
  Quarantined,
};

/// A failure with its verdict. An immutable value.
struct Failure {
  /// Whether the request may have run.
  Verdict Run = Verdict::MayHaveRun;
  /// The closed-set cause.
  FailureCode Code = FailureCode::Internal;
  /// Where: a file and JSON path, a frame field, a peer, a setting.
  std::string Place;
  /// Why, for a person.
  std::string Reason;
  /// When to come back; zero when nothing can be said.
  std::chrono::milliseconds RetryAfter{0};

  bool operator==(const Failure &) const = default;
};

/// The word for a verdict on the wire and in headers: `not-run`,
/// `may-have-run`, `ran`. Thread-safe.
std::string_view toText(Verdict Run);

/// The reverse of `toText(Verdict)`; empty for any other word. Thread-safe.
std::optional<Verdict> verdictFromText(std::string_view Text);

/// The word for a code, in lower-case with dashes. Thread-safe.
std::string_view toText(FailureCode Code);

/// "place: reason (code, verdict)", one line. Thread-safe.
std::string describe(const Failure &Why);

/// Result of synchronous code; the error object is a `Failure`.
template <typename T> using Result = boost::leaf::result<T>;

/// A new LEAF error that carries a `Failure`; for bad input, which never ran.
inline boost::leaf::error_id badInput(std::string Place, std::string Reason) {
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::BadInput,
                                        std::move(Place),
                                        std::move(Reason),
                                        {}});
}

/// Result of asynchronous code and of anything that crosses a thread, where
/// LEAF's thread-local error objects cannot follow: a value or a `Failure`.
template <typename T> class Outcome {
public:
  Outcome(T Value) : Held(std::in_place_index<0>, std::move(Value)) {}
  Outcome(Failure Why) : Held(std::in_place_index<1>, std::move(Why)) {}

  /// Whether there is a value.
  explicit operator bool() const { return Held.index() == 0; }
  /// The value. Precondition: there is one.
  const T &operator*() const & { return std::get<0>(Held); }
  T &operator*() & { return std::get<0>(Held); }
  T &&operator*() && { return std::get<0>(std::move(Held)); }
  const T *operator->() const { return &std::get<0>(Held); }
  T *operator->() { return &std::get<0>(Held); }
  /// The failure. Precondition: there is no value.
  const Failure &failure() const { return std::get<1>(Held); }

private:
  std::variant<T, Failure> Held;
};

/// The value of an outcome that has none to give.
struct Done {
  bool operator==(const Done &) const = default;
};

/// Runs LEAF code and turns what it reports into an `Outcome`.
/// Thread-safe as far as `Body` is.
template <typename T, typename Callable> Outcome<T> toOutcome(Callable &&Body) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        BOOST_LEAF_AUTO(Value, Body());
        return Outcome<T>(std::move(Value));
      },
      [](const Failure &Why) { return Outcome<T>(Why); },
      [](const boost::leaf::error_info &) {
        return Outcome<T>(Failure{Verdict::MayHaveRun,
                                  FailureCode::Internal,
                                  "leaf",
                                  "an error without a Failure",
                                  {}});
      });
}

} // namespace wasabi

#endif // WASABI_CORE_VERDICT_H
