/// \file
/// Admission to a server or a service for coroutines: they wait until they may
/// run.
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

/// Not thread-safe: use on the executor's thread.
class AdmissionGate {
public:
  AdmissionGate(boost::asio::any_io_executor Executor, std::string Name,
                Admission::Settings Setup);
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate &) = delete;
  AdmissionGate &operator=(const AdmissionGate &) = delete;

  /// Waits until `Ask` may run. Failures: `Overloaded`, `NotRun`; `Cancelled`,
  /// `NotRun`, when the asker left meanwhile (`wake` it then). After a success
  /// call `leave` once.
  boost::asio::awaitable<Outcome<Done>> enter(AdmissionRequest Ask,
                                              std::function<bool()> Gone);
  /// Lets one that waits ask again whether its asker is gone.
  void wake(std::uint64_t Id);
  /// It ended: with a whole answer, or since the server is overloaded, or
  /// otherwise, also while it waited.
  void finish(std::uint64_t Id);
  void abandon(std::uint64_t Id, bool Overloaded);

  void tick();
  void setRolloutPercent(std::uint32_t Percent);
  void setSlots(std::uint32_t Slots);
  void holdRollouts(bool Held);
  const Admission &admission() const { return Rules; }

private:
  struct Waiter;
  void apply(const AdmissionChange &Change);

  boost::asio::any_io_executor Executor;
  Admission Rules;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> Waiters;
};

/// A request's place in a gate, which it leaves with this at the latest: also
/// when the coroutine that waits for it is ended. Used on the gate's thread.
class AdmissionPermit {
public:
  /// `Id` asks for a place from now on.
  AdmissionPermit(std::shared_ptr<AdmissionGate> In, std::uint64_t Id)
      : In(std::move(In)), Id(Id) {}
  AdmissionPermit(const AdmissionPermit &) = delete;
  AdmissionPermit &operator=(const AdmissionPermit &) = delete;
  ~AdmissionPermit() { leave(false); }

  /// It has its whole answer.
  void finish();
  /// It gives its place back, to ask again or not.
  void leave(bool Overloaded);
  AdmissionGate &gate() const { return *In; }
  std::uint64_t id() const { return Id; }

private:
  const std::shared_ptr<AdmissionGate> In;
  const std::uint64_t Id;
  bool Ended = false;
};

} // namespace wasabi

#endif // WASABI_ROUTING_ADMISSIONGATE_H
