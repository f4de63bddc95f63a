/// \file
/// Asks other daemons about idempotency keys, and answers them
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

/// The keys that one daemon remembers, as home or as witness, and its talk with
/// the other daemons about them. Not thread-safe: use on the executor's thread.
class KeyWitnesses : public std::enable_shared_from_this<KeyWitnesses> {
public:
  struct Settings {
    IdempotencyKeys::Settings Keys;
    /// How long a witness may take to answer.
    Millis WitnessTimeout{500};
    /// Longest that a leaving daemon takes to hand its keys over.
    Millis HandOverTimeout{5000};
    /// When to come back after a witness could not be asked.
    Millis ComeBack{500};
  };
  /// The newest view; thread-safe.
  using ViewSource = std::function<std::shared_ptr<const View>()>;

  KeyWitnesses(boost::asio::any_io_executor Executor, Settings Setup,
               std::shared_ptr<RequestClient> Peers, ViewSource Members);

  IdempotencyKeys &keys() { return Keys; }

  /// Lets the key's witnesses know before it runs here, and adds those that
  /// hold it to `Reserved`. Failures: what a witness knows of the key, or
  /// `Unavailable`, `NotRun`, when one cannot be asked.
  boost::asio::awaitable<Outcome<Done>> reserve(KeyRecord What,
                                                std::vector<Address> &Reserved);
  /// Gives back what an attempt reserved that was never forwarded: else another
  /// home of the key could only answer that it may have run. A witness that
  /// does not hear of it keeps the key, which is safe.
  boost::asio::awaitable<void> release(KeyRecord What,
                                       std::vector<Address> Reserved);
  /// Tells the keys' witnesses among those that stay all that is remembered
  /// here, and calls back when done or after `HandOverTimeout`.
  void handOver(std::function<void()> Callback);
  /// Answers another daemon.
  void answer(const RequestAttempt &Ask, ResponseSink &Sink);

private:
  struct HandOver;
  boost::asio::awaitable<Outcome<Done>> tell(Address Where, KeyRecord What,
                                             const char *Method);
  boost::asio::awaitable<void> handOverKeys(std::shared_ptr<HandOver> Work);
  bool hasLeft(const Member &Who) const;
  const InstanceName &self() const { return Setup.Keys.Self.Instance; }

  const boost::asio::any_io_executor Executor;
  const Settings Setup;
  const std::shared_ptr<RequestClient> Peers;
  const ViewSource Members;
  IdempotencyKeys Keys;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_KEYWITNESSES_H
