#include "Http.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr std::size_t ReadBytes = 65536;

sockaddr_in toSockAddr(const Endpoint &At) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(At.Port);
  if (inet_pton(AF_INET, At.Host.c_str(), &address.sin_addr) != 1)
    throw std::runtime_error("not an address: " + At.Host);
  return address;
}

bool isSameName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// Takes bytes up to and including `End` from the buffer; empty if the
/// connection ends first.
std::optional<std::string> takeUntil(Socket &From, std::string_view End,
                                     Clock::time_point Until) {
  for (;;) {
    std::size_t at = From.Buffer.find(End);
    if (at != std::string::npos) {
      std::string taken = From.Buffer.substr(0, at);
      From.Buffer.erase(0, at + End.size());
      return taken;
    }
    if (!From.receive(Until))
      return std::nullopt;
  }
}

std::optional<std::string> takeBytes(Socket &From, std::size_t Count,
                                     Clock::time_point Until) {
  while (From.Buffer.size() < Count) {
    if (!From.receive(Until))
      return std::nullopt;
  }
  std::string taken = From.Buffer.substr(0, Count);
  From.Buffer.erase(0, Count);
  return taken;
}

void parseHeaders(const std::string &Head, Message &Into) {
  std::size_t at = Head.find("\r\n");
  while (at != std::string::npos) {
    std::size_t next = Head.find("\r\n", at + 2);
    std::string line = Head.substr(
        at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
    std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      Into.Headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? std::string() : line.substr(value));
    }
    at = next;
  }
}

std::string encodeHeaders(const Message &From) {
  std::string text;
  for (const auto &[name, value] : From.Headers)
    text += name + ": " + value + "\r\n";
  return text;
}

/// Reads a chunked body. Returns false if it ends early.
bool readChunks(Socket &From, Clock::time_point Until,
                const std::function<bool(const std::string &)> &OnBytes) {
  constexpr int Hexadecimal = 16;
  for (;;) {
    std::optional<std::string> line = takeUntil(From, "\r\n", Until);
    if (!line)
      return false;
    std::size_t size = std::stoull(*line, nullptr, Hexadecimal);
    std::optional<std::string> chunk = takeBytes(From, size + 2, Until);
    if (!chunk)
      return false;
    if (size == 0)
      return true;
    chunk->resize(size);
    if (!OnBytes(*chunk))
      return false;
  }
}

} // namespace

std::string Message::header(std::string_view Name) const {
  for (const auto &[name, value] : Headers) {
    if (isSameName(name, Name))
      return value;
  }
  return {};
}

std::string Message::query(std::string_view Name) const {
  std::size_t at = Target.find('?');
  while (at != std::string::npos) {
    std::size_t end = Target.find('&', at + 1);
    std::string pair = Target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    std::size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == Name)
      return pair.substr(equals + 1);
    at = end;
  }
  return {};
}

Socket::~Socket() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

bool Socket::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t n = ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Socket::receive(Clock::time_point Until) {
  for (;;) {
    auto left = std::chrono::duration_cast<Millis>(Until - Clock::now());
    pollfd waiting{Descriptor, POLLIN, 0};
    int ready = ::poll(
        &waiting, 1,
        static_cast<int>(std::clamp<Millis::rep>(left.count() + 1, 0, 60000)));
    if (ready < 0 && errno == EINTR)
      continue;
    if (ready == 0 && Clock::now() < Until)
      continue;
    if (ready <= 0)
      return false;
    std::string bytes(ReadBytes, '\0');
    ssize_t n = ::recv(Descriptor, bytes.data(), bytes.size(), 0);
    if (n <= 0)
      return false;
    Buffer.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
  }
}

bool Socket::isPeerGone() const {
  char byte = 0;
  ssize_t n = ::recv(Descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 ||
         (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Socket::reset() {
  linger hard{1, 0};
  ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  ::close(Descriptor);
  Descriptor = -1;
}

bool readRequest(Socket &From, Message &Request) {
  constexpr std::chrono::minutes IdleTime(10);
  Clock::time_point until = Clock::now() + IdleTime;
  std::optional<std::string> head = takeUntil(From, "\r\n\r\n", until);
  if (!head)
    return false;
  Request = Message();
  std::size_t first = head->find(' ');
  std::size_t second = head->find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos)
    return false;
  Request.Method = head->substr(0, first);
  Request.Target = head->substr(first + 1, second - first - 1);
  parseHeaders(*head, Request);
  if (isSameName(Request.header("Transfer-Encoding"), "chunked"))
    return readChunks(From, until, [&](const std::string &Bytes) {
      Request.Body += Bytes;
      return true;
    });
  std::string length = Request.header("Content-Length");
  if (length.empty())
    return true;
  std::optional<std::string> body = takeBytes(From, std::stoull(length), until);
  if (!body)
    return false;
  Request.Body = std::move(*body);
  return true;
}

std::string encodeResponse(const Message &Response) {
  return "HTTP/1.1 " + std::to_string(Response.Status) + " -\r\n" +
         encodeHeaders(Response) +
         "Content-Length: " + std::to_string(Response.Body.size()) +
         "\r\n\r\n" + Response.Body;
}

std::string encodeChunkedHead(const Message &Response) {
  return "HTTP/1.1 " + std::to_string(Response.Status) + " -\r\n" +
         encodeHeaders(Response) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string encodeChunk(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string size;
  std::size_t rest = Bytes.size();
  do {
    size.insert(size.begin(), Digits[rest % Digits.size()]);
    rest /= Digits.size();
  } while (rest > 0);
  return size + "\r\n" + std::string(Bytes) + "\r\n";
}

Endpoint listen(const Endpoint &At, Handler Handle) {
  constexpr int Backlog = 256;
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = toSockAddr(At);
  if (::bind(listener, reinterpret_cast<sockaddr *>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, Backlog) != 0)
    throw std::runtime_error("cannot listen on " + At.text());
  socklen_t size = sizeof(address);
  ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
  std::thread([listener, Handle = std::move(Handle)] {
    for (;;) {
      int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      int noDelay = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay,
                   sizeof(noDelay));
      std::thread([accepted, Handle] {
        Socket connection(accepted);
        Message request;
        while (readRequest(connection, request) && Handle(connection, request))
          ;
      }).detach();
    }
  }).detach();
  return {At.Host, ntohs(address.sin_port)};
}

std::uint16_t findFreePort(const std::string &Host) {
  int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = toSockAddr({Host, 0});
  socklen_t size = sizeof(address);
  if (::bind(probe, reinterpret_cast<sockaddr *>(&address), size) != 0)
    throw std::runtime_error("no free port on " + Host);
  ::getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size);
  ::close(probe);
  return ntohs(address.sin_port);
}

std::unique_ptr<Socket> connectTo(const Endpoint &Peer) {
  int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::unique_ptr<Socket> made = std::make_unique<Socket>(descriptor);
  sockaddr_in address = toSockAddr(Peer);
  if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address),
                sizeof(address)) != 0)
    return nullptr;
  int noDelay = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
  return made;
}

CallResult call(const Endpoint &Peer, const Message &Request, Millis Timeout,
                const std::function<bool(const std::string &)> &OnBytes) {
  std::unique_ptr<Socket> link = connectTo(Peer);
  if (link)
    return callOn(*link, Request, Timeout, OnBytes);
  CallResult result;
  result.Error = "no connection";
  return result;
}

CallResult callOn(Socket &Link, const Message &Request, Millis Timeout,
                  const std::function<bool(const std::string &)> &OnBytes) {
  CallResult result;
  Clock::time_point until = Clock::now() + Timeout;
  std::string text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n" +
                     encodeHeaders(Request);
  if (Request.Method == "POST" || !Request.Body.empty())
    text += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  text += "\r\n" + Request.Body;
  if (!Link.send(text)) {
    result.Error = "the connection broke while the request was sent";
    return result;
  }
  std::optional<std::string> head = takeUntil(Link, "\r\n\r\n", until);
  if (!head || head->size() < 12) {
    result.Error = "no response";
    return result;
  }
  result.Status = static_cast<unsigned>(std::stoul(head->substr(9, 3)));
  result.Response.Status = result.Status;
  parseHeaders(*head, result.Response);
  auto take = [&](const std::string &Bytes) {
    result.Response.Body += Bytes;
    return !OnBytes || OnBytes(Bytes);
  };
  if (isSameName(result.Response.header("Transfer-Encoding"), "chunked")) {
    result.Complete = readChunks(Link, until, take);
  } else {
    std::string length = result.Response.header("Content-Length");
    std::optional<std::string> body =
        takeBytes(Link, length.empty() ? 0 : std::stoull(length), until);
    result.Complete = body && take(*body);
  }
  if (!result.Complete)
    result.Error = "the response ended early";
  return result;
}

} // namespace review
