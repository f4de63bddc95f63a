/// \file
/// Failures and whether the failed request may have run.
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

/// Whether a failed request took effect on its upstream.
enum class Verdict : std::uint8_t {
  /// Proven that no upstream started the request; it may be retried on any
  /// server.
  NotRun,
  /// Neither is proven. Only idempotent requests may be retried.
  MayHaveRun,
  /// The upstream is known to have run the request.
  Ran,
};

/// Machine-readable cause of a failure; `Failure::Reason` is the text for
/// people.
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
  // Frames carry the numeric values: append new codes at the end.
  /// The request crashed servers; see `Wasabi/Quarantine`.
  Quarantined,
};

/// A failure and its verdict. An immutable value.
struct Failure {
  /// Whether the request may have run.
  Verdict Run = Verdict::MayHaveRun;
  /// Cause of the failure.
  FailureCode Code = FailureCode::Internal;
  /// Location of the failure: a file and JSON path, a frame field, a peer or a
  /// setting.
  std::string Place;
  /// Reason as text for people.
  std::string Reason;
  /// Delay before a retry; zero if unknown.
  std::chrono::milliseconds RetryAfter{0};

  bool operator==(const Failure &) const = default;
};

/// Returns the name of a verdict on the wire and in headers: `not-run`,
/// `may-have-run`, `ran`. Thread-safe.
std::string_view toText(Verdict Run);

/// Parses a verdict's name; empty if unknown. Thread-safe.
std::optional<Verdict> verdictFromText(std::string_view Text);

/// Returns the name of a code, in lower case with dashes. Thread-safe.
std::string_view toText(FailureCode Code);

/// Formats a failure as "place: reason (code, verdict)" on one line.
/// Thread-safe.
std::string describe(const Failure &Error);

/// Result of synchronous code. The error object is a `Failure`.
template <typename T> using Result = boost::leaf::result<T>;

/// Makes a LEAF error with a `Failure` for invalid input; its verdict is
/// `NotRun`.
inline boost::leaf::error_id badInput(std::string Place, std::string Reason) {
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::BadInput,
                                        std::move(Place),
                                        std::move(Reason),
                                        {}});
}

/// A value or a `Failure`. Result of asynchronous code and of calls across
/// threads, where LEAF's thread-local error objects are not available.
template <typename T> class Outcome {
public:
  Outcome(T Value) : Held(std::in_place_index<0>, std::move(Value)) {}
  Outcome(Failure Error) : Held(std::in_place_index<1>, std::move(Error)) {}

  /// True if there is a value.
  explicit operator bool() const { return Held.index() == 0; }
  /// Returns the value. Precondition: there is one.
  const T &operator*() const & { return std::get<0>(Held); }
  T &operator*() & { return std::get<0>(Held); }
  T &&operator*() && { return std::get<0>(std::move(Held)); }
  const T *operator->() const { return &std::get<0>(Held); }
  T *operator->() { return &std::get<0>(Held); }
  /// Returns the failure. Precondition: there is no value.
  const Failure &failure() const { return std::get<1>(Held); }

private:
  std::variant<T, Failure> Held;
};

/// Value type of an `Outcome` without a result.
struct Done {
  bool operator==(const Done &) const = default;
};

/// Runs LEAF code and converts its result to an `Outcome`. As thread-safe as
/// `Body`.
template <typename T, typename Callable> Outcome<T> toOutcome(Callable &&Body) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        BOOST_LEAF_AUTO(Value, Body());
        return Outcome<T>(std::move(Value));
      },
      [](const Failure &Error) { return Outcome<T>(Error); },
      [](const boost::leaf::error_info &) {
        return Outcome<T>(Failure{Verdict::MayHaveRun,
                                  FailureCode::Internal,
                                  "leaf",
                                  "error without a Failure",
                                  {}});
      });
}

} // namespace wasabi

#endif // WASABI_CORE_VERDICT_H
