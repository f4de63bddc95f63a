#include "Wasabi/Adapters/Http/HttpWire.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace wasabi::http {

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

/// Whether the adapter itself writes this header.
bool isFraming(std::string_view Name) {
  return isSameHeaderName(Name, "Content-Length") ||
         isSameHeaderName(Name, "Transfer-Encoding") ||
         isSameHeaderName(Name, "Connection") ||
         isSameHeaderName(Name, "Keep-Alive");
}

/// Appends "Name: Value\r\n"; a line break within a value would start another
/// header, so it becomes a space.
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

std::string writeHead(const Response &Answer, Framing How, bool KeepAlive) {
  boost::beast::string_view reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Answer.Status));
  std::string head = "HTTP/1.1 " + std::to_string(Answer.Status) + " ";
  head.append(reason.data(), reason.size());
  head += "\r\n";
  addHeaders(head, Answer.Headers);

  if (How == Framing::Chunked)
    addHeader(head, "Transfer-Encoding", "chunked");
  if (How == Framing::Length && !hasNoBody(Answer.Status))
    addHeader(head, "Content-Length", std::to_string(Answer.Body.size()));
  if (!KeepAlive)
    addHeader(head, "Connection", "close");
  head += "\r\n";
  return head;
}

std::string writeHead(const Request &Ask, const Address &Where) {
  std::string head = Ask.Method + " " + Ask.Target + " HTTP/1.1\r\n";
  if (Ask.header("Host").empty())
    addHeader(head, "Host", toText(Where));
  addHeaders(head, Ask.Headers);

  bool expectsBody =
      Ask.Method == "POST" || Ask.Method == "PUT" || Ask.Method == "PATCH";
  if (expectsBody || !Ask.Body.empty())
    addHeader(head, "Content-Length", std::to_string(Ask.Body.size()));
  head += "\r\n";
  return head;
}

PeerState peek(boost::asio::ip::tcp::socket &Socket) {
  std::array<char, 1> byte{};
  ssize_t n = ::recv(Socket.native_handle(), byte.data(), byte.size(),
                     MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return PeerState::Sent;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return PeerState::NoPendingData;
  return PeerState::Gone;
}

void reset(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code ec;
  // Without a linger time, close sends a reset in place of an end.
  Socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  Socket.close(ec);
}

} // namespace wasabi::http
