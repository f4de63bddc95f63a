/// \file
/// Exchanges reservations of idempotency keys with other daemons
/// (docs/design/idempotency-keys.md).
#ifndef WASABI_ADAPTERS_PROXY_KEYWITNESSES_H
#define WASABI_ADAPTERS_PROXY_KEYWITNESSES_H

#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Routing/IdempotencyKeys.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace wasabi {

/// The idempotency keys that one daemon remembers, as home or as witness, and
/// the requests about them between daemons. Not thread-safe: use on the
/// executor's thread.
class KeyWitnesses : public std::enable_shared_from_this<KeyWitnesses> {
public:
  struct Settings {
    IdempotencyKeys::Settings Keys;
    /// Maximum time to wait for the response of a witness.
    Millis WitnessTimeout{500};
    /// Maximum duration of the handover when the daemon leaves.
    Millis HandOverTimeout{5000};
    /// Retry delay reported to the requester if a witness is unreachable.
    Millis RetryDelay{500};
  };
  /// Returns the newest view; thread-safe.
  using ViewSource = std::function<std::shared_ptr<const View>()>;

  KeyWitnesses(boost::asio::any_io_executor Executor, Settings Setup,
               std::shared_ptr<RequestClient> Peers, ViewSource Members);

  IdempotencyKeys &keys() { return Keys; }

  /// Reserves the key at its witnesses before it runs here, and adds the
  /// witnesses that hold it to `Reserved`. Failures: the refusal of a witness;
  /// `Unavailable`, `NotRun`, if a witness is unreachable.
  boost::asio::awaitable<Outcome<Done>> reserve(KeyRecord Record,
                                                std::vector<Address> &Reserved);
  /// Releases the reservations of an attempt that was never forwarded.
  /// Otherwise, another home of the key could only answer that the request may
  /// have run. A witness that misses the release keeps the reservation, which
  /// is safe.
  boost::asio::awaitable<void> release(KeyRecord Record,
                                       std::vector<Address> Reserved);
  /// Sends all remembered keys to those of their witnesses that take work.
  /// Starts no request after `HandOverTimeout`, and calls back when all
  /// requests have ended.
  void handOver(std::function<void()> Callback);
  /// Handles the request of another daemon to reserve or release a key.
  void handlePeerRequest(const RequestAttempt &Request, ResponseSink &Sink);

private:
  struct HandOver;
  boost::asio::awaitable<Outcome<Done>>
  sendToWitness(Address Witness, KeyRecord Record, const char *Method);
  boost::asio::awaitable<void> handOverKeys(std::shared_ptr<HandOver> Task);
  bool hasLeft(const Member &Witness) const;
  const InstanceName &self() const { return Setup.Keys.Self.Instance; }

  const boost::asio::any_io_executor Executor;
  const Settings Setup;
  const std::shared_ptr<RequestClient> Peers;
  const ViewSource Members;
  IdempotencyKeys Keys;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_KEYWITNESSES_H
