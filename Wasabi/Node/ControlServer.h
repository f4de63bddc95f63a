/// \file
/// Server that accepts control messages from other processes.
#ifndef WASABI_NODE_CONTROLSERVER_H
#define WASABI_NODE_CONTROLSERVER_H

#include "Wasabi/Adapters/Peers/PeerMemory.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Node/ControlCounters.h"
#include "Wasabi/Node/ControlMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>

namespace wasabi {

class FrameSocket;

/// Accepts connections and passes each message to a handler. A malformed frame
/// is logged and closes its connection only. Not thread-safe: use on the
/// context's thread.
class ControlServer : public std::enable_shared_from_this<ControlServer> {
public:
  struct Settings {
    Address Listen{"127.0.0.1", 0};
    /// Maximum number of open connections; further ones are closed immediately.
    std::size_t MaxConnections = 2048;
    /// Counts what connections hold; null for no count.
    std::shared_ptr<PeerMemory> Memory = nullptr;
  };
  /// Sends the answer on the connection of the request, if it is still open.
  using Reply = std::function<void(const ControlMessage &)>;
  using Handler = std::function<void(ControlMessage, Reply)>;

  /// Binds the address; messages are accepted after `start`. Errors: `BadInput`
  /// for an invalid host, `Unavailable` if the port cannot be bound.
  static Result<std::shared_ptr<ControlServer>>
  create(boost::asio::io_context &Context, const Settings &Limits,
         ControlCounters &Counters);

  /// Starts accepting connections.
  void start(Handler Handle);
  /// Returns the bound address.
  Address address() const { return Bound; }
  /// Stops accepting and closes all connections.
  void stop();

private:
  ControlServer(boost::asio::io_context &Context, Settings Limits,
                ControlCounters &Counters);
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(std::shared_ptr<FrameSocket> Socket);
  Reply makeReply(const std::shared_ptr<FrameSocket> &Socket);

  boost::asio::io_context &Context;
  const Settings Limits;
  ControlCounters &Counters;
  boost::asio::ip::tcp::acceptor Acceptor;
  Address Bound;
  Handler Handle;
  std::set<std::shared_ptr<FrameSocket>> OpenSockets;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_CONTROLSERVER_H
