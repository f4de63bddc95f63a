#include "Wasabi/Adapters/Http/HttpWire.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace wasabi::http {

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

/// Returns true for headers that `writeHead` itself sets.
bool isFraming(std::string_view Name) {
  return isSameHeaderName(Name, "Content-Length") ||
         isSameHeaderName(Name, "Transfer-Encoding") ||
         isSameHeaderName(Name, "Connection") ||
         isSameHeaderName(Name, "Keep-Alive");
}

/// Appends "Name: Value\r\n". Line breaks in the value are replaced by spaces,
/// as they would start another header.
void addHeader(std::string &Head, std::string_view Name,
               std::string_view Value) {
  Head += Name;
  Head += ": ";
  for (char it : Value)
    Head += it == '\r' || it == '\n' ? ' ' : it;
  Head += "\r\n";
}

void addHeaders(std::string &Head, const std::vector<Header> &Headers) {
  for (const Header &it : Headers) {
    if (!isFraming(it.Name))
      addHeader(Head, it.Name, it.Value);
  }
}

bool hasNoBody(unsigned Status) {
  return Status < FirstFinalStatus || Status == NoContent ||
         Status == NotModified;
}

} // namespace

bool isSameHeaderName(std::string_view Left, std::string_view Right) {
  return boost::beast::iequals({Left.data(), Left.size()},
                               {Right.data(), Right.size()});
}

std::string writeHead(const Response &Reply, Framing BodyFraming,
                      bool KeepAlive) {
  boost::beast::string_view reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Reply.Status));
  std::string head = "HTTP/1.1 " + std::to_string(Reply.Status) + " ";
  head.append(reason.data(), reason.size());
  head += "\r\n";
  addHeaders(head, Reply.Headers);

  if (BodyFraming == Framing::Chunked)
    addHeader(head, "Transfer-Encoding", "chunked");
  if (BodyFraming == Framing::Length && !hasNoBody(Reply.Status))
    addHeader(head, "Content-Length", std::to_string(Reply.Body.size()));
  if (!KeepAlive)
    addHeader(head, "Connection", "close");
  head += "\r\n";
  return head;
}

std::string writeHead(const Request &Req, const Address &Peer) {
  std::string head = Req.Method + " " + Req.Target + " HTTP/1.1\r\n";
  if (Req.header("Host").empty())
    addHeader(head, "Host", toText(Peer));
  addHeaders(head, Req.Headers);

  bool expectsBody =
      Req.Method == "POST" || Req.Method == "PUT" || Req.Method == "PATCH";
  if (expectsBody || !Req.body().empty())
    addHeader(head, "Content-Length", std::to_string(Req.body().size()));
  head += "\r\n";
  return head;
}

PeerState peek(boost::asio::ip::tcp::socket &Socket) {
  std::array<char, 1> byte{};
  ssize_t n = ::recv(Socket.native_handle(), byte.data(), byte.size(),
                     MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return PeerState::DataAvailable;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return PeerState::NoPendingData;
  return PeerState::Closed;
}

std::uint64_t countUnacknowledged(boost::asio::ip::tcp::socket &Socket) {
  int bytes = 0;
  if (!Socket.is_open() ||
      ::ioctl(Socket.native_handle(), SIOCOUTQ, &bytes) != 0)
    return 0;
  return static_cast<std::uint64_t>(std::max(bytes, 0));
}

void reset(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code ec;
  // With a linger time of 0, close sends a reset.
  Socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  Socket.close(ec);
}

} // namespace wasabi::http
