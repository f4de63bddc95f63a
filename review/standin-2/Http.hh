/// \file
/// A small blocking HTTP/1.1 server and client for the stand-ins of the review.
/// One thread per connection. Independent of the product's code.
#ifndef WASABI_REVIEW_STANDIN2_HTTP_HH
#define WASABI_REVIEW_STANDIN2_HTTP_HH

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// A request or a response.
struct Message {
  std::string Method;
  std::string Target;
  unsigned Status = 200;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// Returns the value of a header, ignoring case; empty if there is none.
  std::string header(std::string_view Name) const;
  /// Returns a parameter of the query; empty if there is none.
  std::string query(std::string_view Name) const;
  std::string path() const { return Target.substr(0, Target.find('?')); }
};

/// An address with a port.
struct Endpoint {
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  std::string text() const { return Host + ":" + std::to_string(Port); }
};

/// A connected socket. Not copyable; closes on destruction.
class Socket {
public:
  explicit Socket(int Descriptor) : Descriptor(Descriptor) {}
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Sends all bytes. Returns false if the peer is gone.
  bool send(std::string_view Bytes) const;
  /// Receives more bytes into the buffer. Returns false at the end of the
  /// connection or at `Until`.
  bool receive(Clock::time_point Until);
  /// Returns true if the peer has closed or reset the connection.
  bool isPeerGone() const;
  /// Closes the connection with a reset.
  void reset();

  /// Received bytes that are not consumed.
  std::string Buffer;

private:
  int Descriptor;
};

/// Reads a request. Returns false if the connection ends first.
bool readRequest(Socket &From, Message &Request);

/// Returns a whole response with a length.
std::string encodeResponse(const Message &Response);
/// Returns the head of a response with a chunked body.
std::string encodeChunkedHead(const Message &Response);
std::string encodeChunk(std::string_view Bytes);

/// Handles one request on a connection. Returns false to close it.
using Handler = std::function<bool(Socket &, const Message &)>;

/// Listens on a loopback address and runs the handler on a thread for each
/// connection, until the process ends. Port 0 chooses a free one.
Endpoint listen(const Endpoint &At, Handler Handle);

/// Returns a free port of a loopback address.
std::uint16_t findFreePort(const std::string &Host);

/// The outcome of a client's call.
struct CallResult {
  /// 0 if there was no response.
  unsigned Status = 0;
  Message Response;
  /// True if the body arrived whole.
  bool Complete = false;
  std::string Error;
};

/// Connects; null if the peer does not accept.
std::unique_ptr<Socket> connectTo(const Endpoint &Peer);

/// Sends a request on a connection that is kept, and reads the response.
CallResult callOn(Socket &Link, const Message &Request, Millis Timeout,
                  const std::function<bool(const std::string &)> &OnBytes = {});

/// Sends a request on a new connection and reads the response. `OnBytes`, if
/// set, receives the decoded body as it arrives; it returns false to close the
/// connection.
CallResult call(const Endpoint &Peer, const Message &Request, Millis Timeout,
                const std::function<bool(const std::string &)> &OnBytes = {});

} // namespace review

#endif // WASABI_REVIEW_STANDIN2_HTTP_HH
