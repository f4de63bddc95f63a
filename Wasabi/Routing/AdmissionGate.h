/// \file
/// Coroutine interface to `Admission`: suspends a request until it may run.
#ifndef WASABI_ROUTING_ADMISSIONGATE_H
#define WASABI_ROUTING_ADMISSIONGATE_H

#include "Wasabi/Routing/Admission.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace wasabi {

/// Admits requests to one server or service. Not thread-safe: use it on the
/// executor's thread.
class AdmissionGate {
public:
  AdmissionGate(boost::asio::any_io_executor Executor, std::string Name,
                Admission::Settings Setup);
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate &) = delete;
  AdmissionGate &operator=(const AdmissionGate &) = delete;

  /// Waits until `Request` may run. Failures: `Overloaded`, `NotRun`;
  /// `Cancelled`, `NotRun`, if `IsCallerGone` returns true while it waits; call
  /// `wake` to have it evaluated. After a success, call `finish` or `abandon`
  /// once.
  boost::asio::awaitable<Outcome<Done>>
  enter(AdmissionRequest Request, std::function<bool()> IsCallerGone);
  /// Makes a waiting request check again whether its caller has left.
  void wake(std::uint64_t Id);
  /// Records that the request ended with a complete answer.
  void finish(std::uint64_t Id);
  /// Records that the request ended without a complete answer, running or
  /// waiting. `Overloaded` is true if the server is overloaded.
  void abandon(std::uint64_t Id, bool Overloaded);

  void tick();
  void setRolloutPercent(std::uint32_t Percent);
  void setSlots(std::uint32_t Slots);
  void holdRollouts(bool Held);
  const Admission &admission() const { return Queue; }

private:
  struct Waiter;
  void apply(const AdmissionChange &Changes);

  boost::asio::any_io_executor Executor;
  Admission Queue;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> Waiters;
};

/// RAII handle of a request's place in a gate. The destructor abandons the
/// place unless `finish` was called, also if the waiting coroutine is
/// destroyed. Use it on the gate's thread.
class AdmissionPermit {
public:
  /// `Id` is the request that is about to call `AdmissionGate::enter`.
  AdmissionPermit(std::shared_ptr<AdmissionGate> Gate, std::uint64_t Id)
      : Gate(std::move(Gate)), Id(Id) {}
  AdmissionPermit(const AdmissionPermit &) = delete;
  AdmissionPermit &operator=(const AdmissionPermit &) = delete;
  ~AdmissionPermit() { leave(false); }

  /// Records that the request ended with a complete answer.
  void finish();
  /// Gives the place back; the request may enter again afterwards.
  void leave(bool Overloaded);
  AdmissionGate &gate() const { return *Gate; }
  std::uint64_t id() const { return Id; }

private:
  const std::shared_ptr<AdmissionGate> Gate;
  const std::uint64_t Id;
  bool Ended = false;
};

} // namespace wasabi

#endif // WASABI_ROUTING_ADMISSIONGATE_H
