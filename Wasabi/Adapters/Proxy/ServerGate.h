/// \file
/// Admission to one server for coroutines: they wait until they may run.
#ifndef WASABI_ADAPTERS_PROXY_SERVERGATE_H
#define WASABI_ADAPTERS_PROXY_SERVERGATE_H

#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Routing/Admission.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace wasabi {

/// Not thread-safe: use on the executor's thread.
class ServerGate {
public:
  ServerGate(boost::asio::any_io_executor Executor, std::string Server,
             Admission::Settings Setup);
  ~ServerGate();
  ServerGate(const ServerGate &) = delete;
  ServerGate &operator=(const ServerGate &) = delete;

  /// Waits until `Ask` may run. Failures: `Overloaded`, `NotRun`; `Cancelled`,
  /// `NotRun`, when the asker left meanwhile (`wake` it then). After a success
  /// call `leave` once.
  boost::asio::awaitable<Outcome<Done>> enter(AdmissionAsk Ask,
                                              std::shared_ptr<AnswerSink> For);
  /// Lets one that waits look at its sink again.
  void wake(std::uint64_t Id);
  /// It ended: with a whole answer, or since the server is overloaded, or
  /// otherwise.
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

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_SERVERGATE_H
