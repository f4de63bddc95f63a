/// \file
/// TCP framing: length-prefixed, verified FlatBuffers on one connection.
#ifndef WASABI_ADAPTERS_FRAMES_FRAMESOCKET_H
#define WASABI_ADAPTERS_FRAMES_FRAMESOCKET_H

#include "Wasabi/Adapters/Peers/PeerMemory.h"
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

/// The bytes of one frame without the length prefix. Received frames are
/// verified.
using FrameBytes = std::vector<std::uint8_t>;

/// A connection that carries whole frames. Reads return one frame at a time;
/// writes are queued and sent in order, several frames per system call. Not
/// thread-safe: use on the thread of its executor.
class FrameSocket : public PeerConnection,
                    public std::enable_shared_from_this<FrameSocket> {
public:
  struct Settings {
    /// Maximum size of a frame that is received or sent, in bytes.
    std::uint32_t MaxFrameBytes = 16u << 20;
    /// Maximum number of bytes queued for sending. A send that would exceed it
    /// closes the connection.
    std::size_t MaxQueuedBytes = 64u << 20;
    Millis ConnectTimeout{2000};
    /// Counts what the connection holds; null for no count.
    std::shared_ptr<PeerMemory> Memory = nullptr;
  };

  /// Wraps a connected socket.
  static std::shared_ptr<FrameSocket> adopt(boost::asio::ip::tcp::socket Socket,
                                            Settings Limits);

  /// Connects to `Remote`. Failures: `BadInput` if the host is not an IP
  /// address, `Unreachable`; both with `NotRun`.
  static boost::asio::awaitable<Outcome<std::shared_ptr<FrameSocket>>>
  connect(boost::asio::any_io_executor Executor, Address Remote,
          Settings Limits);

  ~FrameSocket() override;

  /// Returns the next frame, verified against the schema. Failures:
  /// `ConnectionLost` if the peer has disconnected; `BadInput` naming the peer
  /// if the frame is too large or invalid, after which the socket is closed.
  boost::asio::awaitable<Outcome<FrameBytes>> receive();

  /// Queues a frame for sending. Returns false, with no byte of the frame sent,
  /// if the frame is too large, the connection is closed or closing, or the
  /// queue is full (which closes the connection).
  bool send(FrameBytes Frame);

  /// Number of bytes that are queued and not yet written to the socket.
  std::size_t queuedBytes() const { return QueuedBytes; }
  bool isOpen() const { return Open; }
  /// Closes the connection immediately; a pending `receive` fails.
  void close();
  /// Closes the connection after all queued frames are sent.
  void closeAfterSending();
  /// The address of the peer as "IP:PORT".
  const std::string &peer() const { return Peer; }
  /// Sets the memory of requests that came on this connection and are handled.
  void holdForRequests(std::uint64_t Bytes);

  PeerLoad observe(TimePoint Now) override;
  void yield(TimePoint Now) override;

private:
  FrameSocket(boost::asio::ip::tcp::socket Socket, Settings Limits);
  void updateHeld();
  void startWriting();
  boost::asio::awaitable<void> writeQueued();

  boost::asio::ip::tcp::socket Socket;
  const Settings Limits;
  std::string Peer;
  std::deque<FrameBytes> Queue;
  std::size_t QueuedBytes = 0;
  /// Receive buffer: the first `ReceivedBytes` bytes are valid, of which the
  /// first `ParsedBytes` have been consumed.
  std::vector<std::uint8_t> ReceiveBuffer;
  std::size_t ReceivedBytes = 0;
  std::size_t ParsedBytes = 0;
  /// The time up to which the peer has kept the minimum rate within a frame,
  /// and the last time at which it took bytes.
  TimePoint PacedUntil = monotonicNow();
  TimePoint LastTaken = PacedUntil;
  std::uint64_t RequestBytes = 0;
  /// True once a whole frame was received.
  bool HasReceived = false;
  bool Writing = false;
  bool Closing = false;
  bool Open = true;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_FRAMES_FRAMESOCKET_H
