#include "Wasabi/Adapters/Http/HttpConnection.h"

#include "Wasabi/Adapters/Http/HttpExchange.h"
#include "Wasabi/Adapters/Http/HttpWire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace wasabi::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/// Completion token that returns errors as values, since lost connections are
/// ordinary events.
constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

/// Read size while waiting for a request.
constexpr std::size_t ReadBytes = 4096;
/// Read size for request bodies.
constexpr std::size_t BodyReadBytes = 16384;
/// Maximum number of pipelined bytes that are buffered while a handler runs;
/// further ones stay in the kernel.
constexpr std::size_t MaxPipelinedBytes = 65536;
constexpr std::uint32_t MaxHeadBytes = 65536;
/// How long input is discarded after the last response before the connection is
/// closed.
constexpr Millis LingerTimeout{1000};
constexpr TimePoint NoDeadline = TimePoint::max();

/// Parses the buffered bytes; returns `need_more` if there are none.
template <typename Parser>
ErrorCode feed(beast::flat_buffer &Input, Parser &Target) {
  if (Input.size() == 0)
    return beast::http::error::need_more;
  ErrorCode failed;
  std::size_t consumed = Target.put(Input.data(), failed);
  Input.consume(consumed);
  return failed;
}

} // namespace

// Removes the connection from the server also if `serve` did not run to its
// end.
Connection::~Connection() { Owner->Open.erase(this); }

bool Connection::closesAfterResponse() const {
  return Owner->Draining || Owner->CloseAfterResponse;
}

asio::awaitable<Outcome<Done>>
Connection::sendBytes(std::vector<asio::const_buffer> Data) {
  std::shared_ptr<Connection> self = shared_from_this();
  // Bounds the wait for a peer that does not read.
  Deadline = monotonicNow() + Owner->Limits.IdleTimeout;
  auto [ec, n] = co_await asio::async_write(Socket, Data, Awaited);
  Deadline = NoDeadline;
  if (!ec)
    co_return Done{};
  close();
  co_return makePeerGoneFailure();
}

void Connection::close() {
  ErrorCode ec;
  Socket.close(ec);
  notifyPeerGone();
}

void Connection::abort() {
  reset(Socket);
  notifyPeerGone();
}

void Connection::notifyPeerGone() {
  std::shared_ptr<Exchange> current = Current.lock();
  if (current)
    current->markPeerGone();
}

void Connection::drain() {
  if (CurrentPhase == Phase::Idle)
    Deadline =
        std::min(Deadline, monotonicNow() + Owner->Limits.DrainGracePeriod);
}

/// The read is cancelled rather than the socket closed: a request that was read
/// in the same turn of the event loop is still served, and `serve` decides
/// whether the connection ends. If another read follows, it is cancelled by the
/// next call.
void Connection::enforceDeadline(TimePoint Now) {
  if (Now < Deadline)
    return;
  ErrorCode ec;
  if (CurrentPhase == Phase::Idle || CurrentPhase == Phase::Reading)
    Socket.cancel(ec);
  else
    close();
}

asio::awaitable<void> Connection::serve() {
  std::shared_ptr<Connection> self = shared_from_this();
  bool more = true;
  while (more && Socket.is_open()) {
    more = false;
    if (!co_await awaitBytes())
      break;
    Parser parse;
    if (!co_await readRequest(parse))
      break;
    unsigned version = parse.get().version();
    bool keepAlive = parse.get().keep_alive();
    Request req;
    beast::string_view method = parse.get().method_string();
    beast::string_view target = parse.get().target();
    req.Method.assign(method.data(), method.size());
    req.Target.assign(target.data(), target.size());
    for (const beast::http::fields::value_type &it : parse.get()) {
      req.Headers.push_back(
          Header{std::string(it.name_string()), std::string(it.value())});
    }
    req.Body = std::move(parse.get().body());
    more = co_await handle(std::move(req), version, keepAlive);
    if (!more && Socket.is_open())
      co_await linger();
  }
  ErrorCode ec;
  Socket.close(ec);
  Owner->Open.erase(this);
  Owner->CapacityTimer.cancel();
}

asio::awaitable<bool> Connection::awaitBytes() {
  CurrentPhase = Buffer.size() == 0 ? Phase::Idle : Phase::Reading;
  if (CurrentPhase == Phase::Reading)
    co_return true;
  // Releases large buffers of idle connections.
  if (Buffer.capacity() > ReadBytes)
    Buffer.shrink_to_fit();
  Millis timeout = Owner->Draining ? Owner->Limits.DrainGracePeriod
                                   : Owner->Limits.IdleTimeout;
  Deadline = monotonicNow() + timeout;
  auto [ec, n] =
      co_await Socket.async_read_some(Buffer.prepare(ReadBytes), Awaited);
  Buffer.commit(n);
  CurrentPhase = Phase::Reading;
  co_return n > 0;
}

asio::awaitable<bool> Connection::readRequest(Parser &Parse) {
  Parse.header_limit(MaxHeadBytes);
  Parse.body_limit(Owner->Limits.MaxBody);
  ErrorCode ec = co_await readHead(Parse);
  if (!ec)
    ec = co_await readBody(Parse);
  Deadline = NoDeadline;
  if (!ec)
    co_return true;
  // Responds to malformed requests, but not to truncated ones, whose sender has
  // disconnected.
  bool malformed =
      ec.category() ==
      beast::http::make_error_code(beast::http::error::bad_method).category();
  if (malformed && ec != beast::http::error::partial_message &&
      ec != beast::http::error::end_of_stream)
    co_await refuse(ec);
  co_return false;
}

asio::awaitable<ErrorCode> Connection::readHead(Parser &Parse) {
  Deadline = monotonicNow() + Owner->Limits.HeadTimeout;
  auto [ec, n] =
      co_await beast::http::async_read_header(Socket, Buffer, Parse, Awaited);
  co_return ec;
}

asio::awaitable<ErrorCode> Connection::readBody(Parser &Parse) {
  constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  bool expectsContinue =
      beast::iequals(Parse.get()[beast::http::field::expect], "100-continue");
  if (expectsContinue && !Parse.is_done()) {
    std::vector<asio::const_buffer> more{asio::buffer(Continue)};
    Outcome<Done> sent = co_await sendBytes(std::move(more));
    if (!sent)
      co_return beast::http::make_error_code(
          beast::http::error::partial_message);
  }
  Parse.eager(true);
  while (!Parse.is_done()) {
    ErrorCode failed = feed(Buffer, Parse);
    if (!failed)
      continue;
    if (failed != beast::http::error::need_more)
      co_return failed;
    // Each received piece extends the deadline.
    Deadline = monotonicNow() + Owner->Limits.IdleTimeout;
    auto [ec, n] =
        co_await Socket.async_read_some(Buffer.prepare(BodyReadBytes), Awaited);
    Buffer.commit(n);
    if (ec)
      co_return ec;
  }
  co_return ErrorCode();
}

asio::awaitable<void> Connection::refuse(ErrorCode Error) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned PayloadTooLarge = 413;
  bool tooLarge = Error == beast::http::error::body_limit ||
                  Error == beast::http::error::header_limit ||
                  Error == beast::http::error::buffer_overflow;
  boost::json::value body = {{"error", "malformed HTTP: " + Error.message()}};
  Response response = jsonResponse(tooLarge ? PayloadTooLarge : BadRequest,
                                   boost::json::serialize(body));
  std::string data =
      writeHead(response, Framing::Length, false) + response.Body;
  std::vector<asio::const_buffer> bytes{asio::buffer(data)};
  Outcome<Done> sent = co_await sendBytes(std::move(bytes));
  if (!sent)
    co_return;

  co_await linger();
}

asio::awaitable<void> Connection::linger() {
  CurrentPhase = Phase::Lingering;
  // Closing a socket with unread input resets the connection, which may destroy
  // the response before the peer reads it. Input is therefore discarded until
  // the peer closes.
  ErrorCode ec;
  Socket.shutdown(Tcp::socket::shutdown_send, ec);
  Deadline = monotonicNow() + LingerTimeout;
  while (!ec) {
    Buffer.clear();
    auto [failed, n] =
        co_await Socket.async_read_some(Buffer.prepare(ReadBytes), Awaited);
    ec = failed;
  }
}

asio::awaitable<bool> Connection::handle(Request Req, unsigned Version,
                                         bool KeepAlive) {
  constexpr unsigned InternalError = 500;
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
      shared_from_this(), Version, KeepAlive, Req.Method == "HEAD");
  CurrentPhase = Phase::Answering;
  Current = exchange;
  ++Owner->InFlight;
  watchForDisconnect();
  bool failed = false;
  try {
    co_await Owner->Handle(std::move(Req), exchange);
  } catch (const std::exception &) {
    failed = true;
  }
  // Responds with 500 if the handler has not responded.
  if (!exchange->hasBegun() && !exchange->gone()) {
    co_await exchange->send(jsonResponse(
        InternalError, failed ? R"({"error":"the handler failed"})"
                              : R"({"error":"the handler did not respond"})"));
  }
  if (!exchange->hasEnded())
    exchange->abort();
  bool more = exchange->keepAlive() && !exchange->gone();
  exchange->finish();
  Current.reset();
  --Owner->InFlight;
  co_return more;
}

void Connection::watchForDisconnect() {
  if (WaitingForReadable || !Socket.is_open())
    return;
  WaitingForReadable = true;
  Socket.async_wait(Tcp::socket::wait_read,
                    [self = shared_from_this()](ErrorCode Failed) {
                      self->WaitingForReadable = false;
                      if (!Failed)
                        self->onReadable();
                    });
}

void Connection::onReadable() {
  // Without a current exchange, the next read of a request sees the same bytes
  // or the end of the connection.
  if (Current.expired() || !Socket.is_open())
    return;
  PeerState state = peek(Socket);
  if (state == PeerState::Closed) {
    notifyPeerGone();
    return;
  }
  // Buffers pipelined bytes so that a disconnect after them is detected too.
  if (state == PeerState::DataAvailable) {
    if (Buffer.size() >= MaxPipelinedBytes)
      return;
    ErrorCode ec;
    std::size_t n = Socket.read_some(Buffer.prepare(ReadBytes), ec);
    Buffer.commit(n);
  }
  watchForDisconnect();
}

} // namespace wasabi::http
