/// \file
/// Where a process takes control messages from others.
#ifndef WASABI_NODE_CONTROLSERVER_H
#define WASABI_NODE_CONTROLSERVER_H

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

/// Accepts connections and hands each message to a handler. A malformed frame
/// ends its connection with a logged reason; the server goes on.
/// Not thread-safe: use on the context's thread.
class ControlServer : public std::enable_shared_from_this<ControlServer> {
public:
  struct Settings {
    Address Listen{"127.0.0.1", 0};
    /// Further connections are closed at once.
    std::size_t MaxConnections = 2048;
  };
  /// Sends the answer on the question's connection, if it is still open.
  using Reply = std::function<void(const ControlMessage &)>;
  using Handler = std::function<void(ControlMessage, Reply)>;

  /// Binds; messages flow after `start`. Errors: `Unavailable` when the port
  /// cannot be bound.
  static Result<std::shared_ptr<ControlServer>>
  create(boost::asio::io_context &Context, const Settings &Limits,
         ControlCounters &Counters);

  /// Starts to accept.
  void start(Handler Handle);
  /// The address bound.
  Address address() const { return Bound; }
  /// Closes everything.
  void stop();

private:
  ControlServer(boost::asio::io_context &Context, Settings Limits,
                ControlCounters &Counters);
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<FrameSocket> Socket);
  Reply replyOn(const std::shared_ptr<FrameSocket> &Socket);

  boost::asio::io_context &Context;
  const Settings Limits;
  ControlCounters &Counters;
  boost::asio::ip::tcp::acceptor Acceptor;
  Address Bound;
  Handler Handle;
  std::set<std::shared_ptr<FrameSocket>> Open;
  bool Stopped = false;
};

} // namespace wasabi

#endif // WASABI_NODE_CONTROLSERVER_H
