/// \file
/// Clients that send part of a request, or requests whose answers they do not
/// read, and keep their connections open.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_CROWD_H
#define WASABI_INTEGRATIONTESTS_HARNESS_CROWD_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace wasabi::harness {

/// A number of equal clients on one thread. Each connects, sends its bytes and
/// keeps the connection open until the server closes it. Thread-safe.
class Crowd {
public:
  struct Settings {
    Address Target;
    std::size_t Clients = 1;
    /// Sent by each client on each connection.
    std::string Bytes;
    /// Sent again and again after `Bytes`; empty for nothing.
    std::string Drip;
    Millis DripInterval{50};
    /// True if clients read and discard what the server sends.
    bool Reads = true;
    /// True if clients connect again after their connection was closed.
    bool Reconnects = false;
    Millis ReconnectDelay{100};
  };

  /// Starts the clients.
  explicit Crowd(Settings Setup);
  /// Closes all connections.
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Waits until the clients have sent nothing for a second: the server has
  /// taken all of their bytes, or takes no more.
  void waitUntilSettled() const;

private:
  boost::asio::awaitable<void> runClient();
  boost::asio::awaitable<boost::system::error_code>
  sendAll(boost::asio::ip::tcp::socket &Socket, const std::string &Bytes);

  const Settings Setup;
  boost::asio::io_context Context{1};
  std::atomic<std::uint64_t> SentBytes{0};
  std::thread Worker;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_CROWD_H
