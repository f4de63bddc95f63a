/// \file
/// Encoding of HTTP/1.1 message heads, and operations on the sockets of
/// connections. Private to the adapter.
#ifndef WASABI_ADAPTERS_HTTP_HTTPWIRE_H
#define WASABI_ADAPTERS_HTTP_HTTPWIRE_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::http {

/// How the end of a body is marked.
enum class Framing : std::uint8_t {
  /// By `Content-Length`.
  Length,
  /// By chunked transfer encoding.
  Chunked,
  /// By closing the connection, for HTTP/1.0.
  UntilClose,
};

/// Returns the encoded head of a response. Replaces the framing and connection
/// headers in `Reply` by those for `BodyFraming` and `KeepAlive`. Thread-safe.
std::string writeHead(const Response &Reply, Framing BodyFraming,
                      bool KeepAlive);

/// Returns the encoded head of a request to `Peer`; the body must be sent after
/// it. Thread-safe.
std::string writeHead(const Request &Req, const Address &Peer);

/// Returns true if two header names are equal, ignoring case. Thread-safe.
bool isSameHeaderName(std::string_view Left, std::string_view Right);

/// The state of a connection, as determined by `peek`: no data is pending, data
/// can be read, or the peer has closed or reset it.
enum class PeerState : std::uint8_t { NoPendingData, DataAvailable, Closed };
/// Returns the state of the connection without consuming data.
/// Precondition: the socket is open.
PeerState peek(boost::asio::ip::tcp::socket &Socket);

/// Returns the number of sent bytes that the peer has not acknowledged; 0 if
/// the socket is closed.
std::uint64_t countUnacknowledged(boost::asio::ip::tcp::socket &Socket);

/// Closes the socket with a reset, which the peer sees as a lost connection.
void reset(boost::asio::ip::tcp::socket &Socket);

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPWIRE_H
