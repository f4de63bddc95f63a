/// \file
/// How HTTP/1.1 messages are written to a socket, and what can be learnt of a
/// socket without reading it. Private to the adapter.
#ifndef WASABI_ADAPTERS_HTTP_HTTPWIRE_H
#define WASABI_ADAPTERS_HTTP_HTTPWIRE_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace wasabi::http {

/// How the end of a body is marked.
enum class Framing : std::uint8_t {
  /// By `Content-Length`.
  Length,
  /// By chunks.
  Chunked,
  /// By the end of the connection, for HTTP/1.0.
  UntilClose,
};

/// The head of a response, ready to send. Framing and connection headers in
/// `Answer` are replaced by those that fit. Thread-safe.
std::string writeHead(const Response &Answer, Framing How, bool KeepAlive);

/// The head of a request to `Where`, ready to send; its body follows.
/// Thread-safe.
std::string writeHead(const Request &Ask, const Address &Where);

/// Whether two header names are the same, without case. Thread-safe.
bool isSameHeaderName(std::string_view Left, std::string_view Right);

/// Whether the peer has closed or reset, or has sent something, as seen by a
/// peek that takes nothing. Precondition: the socket is open.
enum class PeerState : std::uint8_t { NoPendingData, Sent, Gone };
PeerState peek(boost::asio::ip::tcp::socket &Socket);

/// Closes with a reset: the peer sees a lost connection, not an end.
void reset(boost::asio::ip::tcp::socket &Socket);

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPWIRE_H
