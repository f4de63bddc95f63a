/// \file
/// One connection of an HTTP server, and what the connections of a server
/// share.
#ifndef WASABI_ADAPTERS_HTTP_HTTPCONNECTION_H
#define WASABI_ADAPTERS_HTTP_HTTPCONNECTION_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <unordered_set>
#include <vector>

namespace wasabi::http {

class Connection;
class Exchange;

/// What a server and its connections share. Used on the server's thread.
struct ServerState {
  ServerState(boost::asio::io_context &Context, Server::Settings Limits,
              Handler Handle)
      : Limits(std::move(Limits)), Handle(std::move(Handle)),
        CapacityTimer(Context) {}

  const Server::Settings Limits;
  const Handler Handle;
  bool Draining = false;
  /// Answers close their connections, though new ones are taken.
  bool Closing = false;
  std::size_t InFlight = 0;
  std::unordered_set<Connection *> Open;
  /// Cancelled when a place for a connection becomes free.
  BootTimer CapacityTimer;
};

/// One connection: reads requests one after the other and runs the handler.
/// Used on the server's thread only.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(boost::asio::ip::tcp::socket Socket,
             std::shared_ptr<ServerState> Owner)
      : Socket(std::move(Socket)), Owner(std::move(Owner)) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  boost::asio::awaitable<void> serve();
  /// Sends bytes; on failure the connection is closed and gone.
  boost::asio::awaitable<Outcome<Done>>
  sendBytes(std::vector<boost::asio::const_buffer> Data);
  /// Closes at once, tells a running exchange, and ends `serve`.
  void close();
  /// As `close`, with a reset.
  void abort();
  /// Graceful shutdown: an idle connection closes after a short grace.
  void drain();
  /// Ends what the connection waits for if that is later than its deadline.
  void enforceDeadline(TimePoint Now);

  /// Whether the connection closes after its next answer.
  bool closing() const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<bool> awaitBytes();
  boost::asio::awaitable<bool> readRequest(Parser &Parse);
  boost::asio::awaitable<boost::system::error_code> readHead(Parser &Parse);
  boost::asio::awaitable<boost::system::error_code> readBody(Parser &Parse);
  boost::asio::awaitable<void> refuse(boost::system::error_code Why);
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<bool> handle(Request Ask, unsigned Version,
                                      bool KeepAlive);
  void watch();
  void onReadable();
  void notifyPeerGone();

  /// What the connection does, and so what its deadline ends.
  enum class Phase : std::uint8_t {
    /// Nothing of a next request has been read.
    Idle,
    Reading,
    /// A whole request has been read and its answer is owed.
    Answering,
    /// The last answer is sent; what the peer still sends is thrown away.
    Lingering,
  };

  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<ServerState> Owner;
  boost::beast::flat_buffer Buffer;
  /// The request being handled; its handler keeps it.
  std::weak_ptr<Exchange> Current;
  /// When the connection is closed unless something happens before.
  TimePoint Deadline = TimePoint::max();
  Phase Now = Phase::Idle;
  /// Whether a wait for readability is pending.
  bool Watching = false;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPCONNECTION_H
