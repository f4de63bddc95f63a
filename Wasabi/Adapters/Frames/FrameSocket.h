/// \file
/// TCP framing: length-prefixed, verified FlatBuffers on one connection.
#ifndef WASABI_ADAPTERS_FRAMES_FRAMESOCKET_H
#define WASABI_ADAPTERS_FRAMES_FRAMESOCKET_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// One frame's bytes without the length prefix; verified when received.
using FrameBytes = std::vector<std::uint8_t>;

/// One connection that carries whole frames. Reads are pulled one by one;
/// writes are queued and sent in order, several in one system call.
/// Not thread-safe: use on its executor's thread.
class FrameSocket : public std::enable_shared_from_this<FrameSocket> {
public:
  struct Settings {
    /// Largest frame taken or sent, in bytes.
    std::uint32_t MaxFrameBytes = 16u << 20;
    /// Most bytes queued for sending; beyond it the connection is closed.
    std::size_t MaxQueued = 64u << 20;
    Millis ConnectTimeout{2000};
  };

  /// Takes over a connected socket.
  static std::shared_ptr<FrameSocket> adopt(boost::asio::ip::tcp::socket Socket,
                                            Settings Limits);

  /// Connects. Failures: `Unreachable`, `NotRun`.
  static boost::asio::awaitable<Outcome<std::shared_ptr<FrameSocket>>>
  connect(boost::asio::any_io_executor Executor, Address Where,
          Settings Limits);

  ~FrameSocket();

  /// The next frame, verified against the schema. Failures: `ConnectionLost`
  /// when the peer is gone; `BadInput` naming the peer for a frame too large or
  /// not valid, after which the socket is closed.
  boost::asio::awaitable<Outcome<FrameBytes>> receive();

  /// Queues a frame; false when the connection is closed or its queue is full
  /// (it is then closed). Nothing was sent of a frame refused.
  bool send(FrameBytes Frame);

  /// Bytes queued and not yet taken by the kernel.
  std::size_t queued() const { return QueuedBytes; }
  bool isOpen() const { return Open; }
  /// Closes now; a pending `receive` fails.
  void close();
  /// Closes once all that is queued was sent.
  void closeAfterSending();
  /// "IP:PORT" of the peer.
  const std::string &peer() const { return Peer; }

private:
  FrameSocket(boost::asio::ip::tcp::socket Socket, Settings Limits);
  void startWriting();
  boost::asio::awaitable<void> writeQueued();

  boost::asio::ip::tcp::socket Socket;
  const Settings Limits;
  std::string Peer;
  std::deque<FrameBytes> Queue;
  std::size_t QueuedBytes = 0;
  /// Bytes received: `Held` of them are there, `Parsed` of these are done with.
  std::vector<std::uint8_t> ReceiveBuffer;
  std::size_t Held = 0;
  std::size_t ParsedBytes = 0;
  bool Writing = false;
  bool Closing = false;
  bool Open = true;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_FRAMES_FRAMESOCKET_H
