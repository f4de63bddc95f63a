/// \file
/// One connection of an HTTP server, and the state that a server shares with
/// its connections.
#ifndef WASABI_ADAPTERS_HTTP_HTTPCONNECTION_H
#define WASABI_ADAPTERS_HTTP_HTTPCONNECTION_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Http/SlowReaders.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

namespace wasabi::http {

class Connection;
class Exchange;

/// Memory of a request that is handled, without its head and body: coroutines,
/// and a connection to an upstream server.
inline constexpr std::uint64_t HandledRequestBytes = 49152;

/// The state shared by a server and its connections. Use on the thread of the
/// server.
struct ServerState {
  ServerState(boost::asio::io_context &Context, Server::Settings Limits,
              Handler Handle)
      : Limits(std::move(Limits)), Handle(std::move(Handle)),
        Client{this->Limits.MaxHead, this->Limits.MaxBody,
               this->Limits.HeadTimeout, this->Limits.IdleTimeout},
        CapacityTimer(Context) {}

  /// Returns what is held, for the decisions in SlowReaders.h.
  HeldTotals totals() const {
    return {Held.ResponseBytes, Held.RequestBytes, Limits.MaxHeldBytes,
            Held.LargeRequestBytes};
  }
  /// Gives up bodies whose peers lag, other than that of `Growing`, if
  /// `BodyBytes` more fit then. Returns true if they do.
  bool makeRoomForBody(std::uint64_t BodyBytes, const Connection *Growing,
                       TimePoint Now);
  /// Returns true if one more connection may be opened.
  bool hasRoomForConnection(TimePoint Now);
  /// Closes some connections whose peers lag.
  void yieldConnections(TimePoint Now);
  /// Resets connections while responses hold more than the maximum; not
  /// `Growing`, whose response has just begun to be held.
  void relieve(const Connection *Growing, TimePoint Now);
  /// Resets connections also if a single response exceeds the maximum, once
  /// that has lasted for `ReadStallTimeout`. Called at regular intervals.
  void endLongOverload(TimePoint Now);

  const Server::Settings Limits;
  const Handler Handle;
  /// The bounds in force; those in `Limits` are the first ones.
  ClientLimits Client;
  /// The earliest time of the next search for lagging peers.
  TimePoint NextSearch;
  bool Draining = false;
  /// True if each response closes its connection while new connections are
  /// still accepted.
  bool CloseAfterResponse = false;
  std::size_t InFlight = 0;
  std::unordered_set<Connection *> Open;
  HeldCounts Held;
  /// Resets and shed requests that have not been reported.
  SlowReaderReport Report;
  /// Since when responses hold more than the maximum; empty if they do not.
  std::optional<TimePoint> OverloadedSince;
  /// Cancelled when a connection closes, to wake an accept loop that has
  /// reached the limit.
  BootTimer CapacityTimer;
};

/// One connection: reads requests in sequence and runs the handler for each.
/// Use on the thread of the server only.
class Connection : public PeerConnection,
                   public std::enable_shared_from_this<Connection> {
public:
  Connection(boost::asio::ip::tcp::socket Socket,
             std::shared_ptr<ServerState> Owner)
      : PeerConnection(Owner->Limits.Memory), Socket(std::move(Socket)),
        Owner(std::move(Owner)) {}
  ~Connection() override;

  boost::asio::awaitable<void> serve();
  /// Sends bytes. Closes the connection on failure.
  boost::asio::awaitable<Outcome<Done>>
  sendBytes(std::vector<boost::asio::const_buffer> Data);
  /// Closes immediately, notifies the current exchange, and ends `serve`.
  void close();
  /// Does the same as `close`, but resets the connection.
  void abort();
  /// Closes the connection after `DrainGracePeriod` if it is idle.
  void drain();
  /// Cancels the pending read, or closes the connection, if its deadline has
  /// passed.
  void enforceDeadline(TimePoint Now);

  /// True if the connection closes after its next response.
  bool closesAfterResponse() const;

  /// Updates what the connection holds in the account of the process.
  void updateHeld();
  PeerLoad observe(TimePoint Now) override;
  void yield(TimePoint Now) override;
  /// Bytes of a body that is being received and is not small.
  std::uint64_t arrivingBodyBytes() const;
  /// Ends the receiving of the body: the request is refused.
  void giveUpBody();
  /// Lets an idle connection stay open for longer.
  void extendIdleTime(Millis More);

  /// The response that is held for the peer, with its present progress.
  HeldResponse observeHeld(TimePoint Now);
  /// Resets the connection because its response holds too many bytes.
  void resetForMemory(TimePoint Now);

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<bool> awaitBytes();
  boost::asio::awaitable<bool> readRequest(Parser &Parse);
  boost::asio::awaitable<boost::system::error_code> readHead(Parser &Parse);
  boost::asio::awaitable<boost::system::error_code>
  admitRequest(Parser &Parse, std::optional<Response> &Refusal);
  boost::asio::awaitable<boost::system::error_code>
  readBody(Parser &Parse, std::optional<Response> &Refusal);
  boost::asio::awaitable<boost::system::error_code>
  readSome(std::size_t MaxBytes);
  boost::asio::awaitable<std::optional<Response>> checkHead(Parser &Parse);
  boost::asio::awaitable<void> refuse(Response Reply);
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<bool> handle(Request Req, unsigned Version,
                                      bool KeepAlive, const Handler &Handle);
  bool enforceProgress(TimePoint Now);
  void resetSlowReader(TimePoint Now);
  void holdResponse(std::uint64_t Bytes);
  void holdBody(std::uint64_t Bytes);
  bool reserveBody(std::uint64_t Bytes);
  void countShed();
  void recordPeer();
  void watchForDisconnect();
  void onReadable();
  void notifyPeerGone();

  /// The current activity, which determines what `enforceDeadline` does.
  enum class Phase : std::uint8_t {
    /// No byte of the next request has been read.
    Idle,
    Reading,
    /// A complete request has been read; its response is not complete.
    Answering,
    /// The last response has been sent; further input is discarded.
    Lingering,
  };

  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<ServerState> Owner;
  boost::beast::flat_buffer Buffer;
  /// The exchange of the current request, owned by its handler.
  std::weak_ptr<Exchange> Current;
  /// The time at which `enforceDeadline` takes effect.
  TimePoint Deadline = TimePoint::max();
  SendProgress Progress;
  /// The time up to which the peer has kept the minimum rate, and since when an
  /// idle connection is idle.
  TimePoint PacedUntil = monotonicNow();
  /// Bytes of the response that is being written, and of the body of the
  /// current request, announced or received; both are included in the totals
  /// of the server.
  std::uint64_t ResponseBytes = 0;
  std::uint64_t BodyBytes = 0;
  /// Memory of the head of the current request.
  std::uint64_t HeadBytes = 0;
  Phase CurrentPhase = Phase::Idle;
  /// True once a request was answered.
  bool HasAnswered = false;
  /// True while a body is received.
  bool ReadsBody = false;
  /// True while a request waits for the decision on its head.
  bool ChecksHead = false;
  /// True once the body was given up in favor of another one.
  bool BodyGivenUp = false;
  /// True if the current request is refused without running it.
  bool ShedsRequest = false;
  /// True while a wait for readability is pending.
  bool WaitingForReadable = false;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPCONNECTION_H
