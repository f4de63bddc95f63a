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

/// Errors come back as values: a lost connection is an ordinary event here.
constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

/// One read from the socket between requests.
constexpr std::size_t ReadBytes = 4096;
/// One read of a body.
constexpr std::size_t BodyReadBytes = 16384;
/// Pipelined bytes taken in while a handler runs; further ones wait in the
/// kernel.
constexpr std::size_t MaxPipelined = 65536;
/// Largest request head.
constexpr std::uint32_t MaxHead = 65536;
/// How long a refused peer may go on sending before it is cut off.
constexpr Millis LingerTime{1000};
constexpr TimePoint Never = TimePoint::max();

/// Parses what has been read; `need_more` when that is not enough.
template <typename Parser>
ErrorCode feed(beast::flat_buffer &From, Parser &Into) {
  if (From.size() == 0)
    return beast::http::error::need_more;
  ErrorCode failed;
  std::size_t used = Into.put(From.data(), failed);
  From.consume(used);
  return failed;
}

} // namespace

// However the connection ends, the server must not go on listing it.
Connection::~Connection() { Owner->Open.erase(this); }

bool Connection::closing() const { return Owner->Draining || Owner->Closing; }

asio::awaitable<Outcome<Done>>
Connection::sendBytes(std::vector<asio::const_buffer> Data) {
  std::shared_ptr<Connection> self = shared_from_this();
  // A peer that takes nothing for long is as good as gone.
  Deadline = monotonicNow() + Owner->Limits.IdleTimeout;
  auto [ec, n] = co_await asio::async_write(Socket, Data, Awaited);
  Deadline = Never;
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
  if (Now == Phase::Idle)
    Deadline =
        std::min(Deadline, monotonicNow() + Owner->Limits.DrainGracePeriod);
}

/// A read is cancelled, not cut off: a request that it has taken in the same
/// turn of the loop is served, and `serve` alone decides that none has come. A
/// read that ends and is followed by another one is cancelled at the next look.
void Connection::enforceDeadline(TimePoint At) {
  if (At < Deadline)
    return;
  ErrorCode ec;
  if (Now == Phase::Idle || Now == Phase::Reading)
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
    Request ask;
    beast::string_view method = parse.get().method_string();
    beast::string_view target = parse.get().target();
    ask.Method.assign(method.data(), method.size());
    ask.Target.assign(target.data(), target.size());
    for (const beast::http::fields::value_type &it : parse.get()) {
      ask.Headers.push_back(
          Header{std::string(it.name_string()), std::string(it.value())});
    }
    ask.Body = std::move(parse.get().body());
    more = co_await handle(std::move(ask), version, keepAlive);
    if (!more && Socket.is_open())
      co_await linger();
  }
  ErrorCode ec;
  Socket.close(ec);
  Owner->Open.erase(this);
  Owner->CapacityTimer.cancel();
}

asio::awaitable<bool> Connection::awaitBytes() {
  Now = Buffer.size() == 0 ? Phase::Idle : Phase::Reading;
  if (Now == Phase::Reading)
    co_return true;
  // Many idle connections must not hold on to many large buffers.
  if (Buffer.capacity() > ReadBytes)
    Buffer.shrink_to_fit();
  Millis patience = Owner->Draining ? Owner->Limits.DrainGracePeriod
                                    : Owner->Limits.IdleTimeout;
  Deadline = monotonicNow() + patience;
  auto [ec, n] =
      co_await Socket.async_read_some(Buffer.prepare(ReadBytes), Awaited);
  Buffer.commit(n);
  Now = Phase::Reading;
  co_return n > 0;
}

asio::awaitable<bool> Connection::readRequest(Parser &Parse) {
  Parse.header_limit(MaxHead);
  Parse.body_limit(Owner->Limits.MaxBody);
  ErrorCode ec = co_await readHead(Parse);
  if (!ec)
    ec = co_await readBody(Parse);
  Deadline = Never;
  if (!ec)
    co_return true;
  // What the peer sent wrongly is told; what it cut short it cannot hear.
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
  bool asks =
      beast::iequals(Parse.get()[beast::http::field::expect], "100-continue");
  if (asks && !Parse.is_done()) {
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
    // Each arrival renews the patience with a slow sender.
    Deadline = monotonicNow() + Owner->Limits.IdleTimeout;
    auto [ec, n] =
        co_await Socket.async_read_some(Buffer.prepare(BodyReadBytes), Awaited);
    Buffer.commit(n);
    if (ec)
      co_return ec;
  }
  co_return ErrorCode();
}

asio::awaitable<void> Connection::refuse(ErrorCode Why) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned PayloadTooLarge = 413;
  bool large = Why == beast::http::error::body_limit ||
               Why == beast::http::error::header_limit ||
               Why == beast::http::error::buffer_overflow;
  boost::json::value body = {{"error", "malformed HTTP: " + Why.message()}};
  Response answer = jsonResponse(large ? PayloadTooLarge : BadRequest,
                                 boost::json::serialize(body));
  std::string data = writeHead(answer, Framing::Length, false) + answer.Body;
  std::vector<asio::const_buffer> bytes{asio::buffer(data)};
  Outcome<Done> sent = co_await sendBytes(std::move(bytes));
  if (!sent)
    co_return;

  co_await linger();
}

asio::awaitable<void> Connection::linger() {
  Now = Phase::Lingering;
  // Closing with unread bytes would reset the connection, and the peer might
  // lose the answer; so what it still sends is read and thrown away.
  ErrorCode ec;
  Socket.shutdown(Tcp::socket::shutdown_send, ec);
  Deadline = monotonicNow() + LingerTime;
  while (!ec) {
    Buffer.clear();
    auto [failed, n] =
        co_await Socket.async_read_some(Buffer.prepare(ReadBytes), Awaited);
    ec = failed;
  }
}

asio::awaitable<bool> Connection::handle(Request Ask, unsigned Version,
                                         bool KeepAlive) {
  constexpr unsigned InternalError = 500;
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
      shared_from_this(), Version, KeepAlive, Ask.Method == "HEAD");
  Now = Phase::Answering;
  Current = exchange;
  ++Owner->InFlight;
  watch();
  bool failed = false;
  try {
    co_await Owner->Handle(std::move(Ask), exchange);
  } catch (const std::exception &) {
    failed = true;
  }
  // A handler that gives no whole answer must not leave the peer waiting.
  if (!exchange->begun() && !exchange->gone()) {
    co_await exchange->send(jsonResponse(
        InternalError, failed ? R"({"error":"the handler failed"})"
                              : R"({"error":"the handler did not answer"})"));
  }
  if (!exchange->ended())
    exchange->abort();
  bool more = exchange->keepAlive() && !exchange->gone();
  exchange->finish();
  Current.reset();
  --Owner->InFlight;
  co_return more;
}

void Connection::watch() {
  if (Watching || !Socket.is_open())
    return;
  Watching = true;
  Socket.async_wait(Tcp::socket::wait_read,
                    [self = shared_from_this()](ErrorCode Failed) {
                      self->Watching = false;
                      if (!Failed)
                        self->onReadable();
                    });
}

void Connection::onReadable() {
  // Outside of a handler the next request's read sees the same bytes or end.
  if (Current.expired() || !Socket.is_open())
    return;
  PeerState state = peek(Socket);
  if (state == PeerState::Gone) {
    notifyPeerGone();
    return;
  }
  // Pipelined bytes are taken in, so that an end behind them is seen too.
  if (state == PeerState::Sent) {
    if (Buffer.size() >= MaxPipelined)
      return;
    ErrorCode ec;
    std::size_t n = Socket.read_some(Buffer.prepare(ReadBytes), ec);
    Buffer.commit(n);
  }
  watch();
}

} // namespace wasabi::http
