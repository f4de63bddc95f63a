#include "Wasabi/Adapters/Http/HttpConnection.h"

#include "Wasabi/Adapters/Http/HttpExchange.h"
#include "Wasabi/Adapters/Http/HttpWire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
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
/// Minimum and maximum read size for request bodies.
constexpr std::size_t MinBodyReadBytes = 1024;
constexpr std::size_t MaxBodyReadBytes = 16384;
/// Maximum number of pipelined bytes that are buffered while a handler runs;
/// further ones stay in the kernel.
constexpr std::size_t MaxPipelinedBytes = 16384;
/// Size of the blocks in which a body of unknown size is collected: a growing
/// string would be copied, and held twice meanwhile.
constexpr std::size_t BodyBlockBytes = 512u << 10;
/// Maximum size of the head of a chunk, and of the trailers.
constexpr std::size_t MaxChunkHeadBytes = 65536;
/// Memory of a header field that is parsed and copied, without its text.
constexpr std::uint64_t FieldBytes = 192;
/// How long input is discarded after the last response before the connection is
/// closed: without further input, and in all.
constexpr Millis LingerTimeout{1000};
constexpr Millis MaxLingerTime{15000};
constexpr TimePoint NoDeadline = TimePoint::max();
/// `Retry-After` of requests that are shed, in seconds. A client that is told
/// later than this would often have no time left for a second attempt.
constexpr std::string_view ShedRetryAfter = "0.250";

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

/// Appends the blocks, in order, to an empty body, and releases each of them.
void joinBlocks(std::vector<std::string> &Blocks, std::string &Body) {
  if (Blocks.empty())
    return;
  std::string last = std::move(Body);
  std::size_t bytes = last.size();
  for (const std::string &it : Blocks)
    bytes += it.size();
  Body = std::string();
  Body.reserve(bytes);
  for (std::string &it : Blocks) {
    Body += it;
    std::string().swap(it);
  }
  Body += last;
}

/// Returns how many bytes of a body are read at once: as many as are missing,
/// and no more than have arrived, so that slow bodies take small buffers.
template <typename Parser>
std::size_t chooseReadSize(const Parser &Parse, std::uint64_t Received) {
  std::uint64_t bytes = Received;
  if (Parse.content_length_remaining())
    bytes = std::min<std::uint64_t>(bytes, *Parse.content_length_remaining());
  return std::clamp<std::uint64_t>(bytes, MinBodyReadBytes, MaxBodyReadBytes);
}

/// Returns the request without its body, and without its fields if a response
/// does not need them.
template <typename Parser>
Request makeHead(const Parser &Parse, bool HasFields) {
  Request head;
  beast::string_view method = Parse.get().method_string();
  beast::string_view target = Parse.get().target();
  head.Method.assign(method.data(), method.size());
  head.Target.assign(target.data(), target.size());
  if (!HasFields)
    return head;
  head.Headers.reserve(static_cast<std::size_t>(
      std::distance(Parse.get().begin(), Parse.get().end())));
  for (const beast::http::fields::value_type &it : Parse.get()) {
    head.Headers.push_back(
        Header{std::string(it.name_string()), std::string(it.value())});
  }
  return head;
}

/// Returns the memory of a head that is parsed and copied.
template <typename Parser> std::uint64_t computeHeadBytes(const Parser &Parse) {
  std::uint64_t bytes = Parse.get().target().size();
  for (const beast::http::fields::value_type &it : Parse.get())
    bytes += FieldBytes + 2 * (it.name_string().size() + it.value().size());
  return bytes;
}

/// Returns the buffers without their first `Count` bytes.
std::vector<asio::const_buffer>
skipBytes(const std::vector<asio::const_buffer> &Data, std::size_t Count) {
  std::vector<asio::const_buffer> rest;
  for (asio::const_buffer it : Data) {
    std::size_t skipped = std::min(Count, it.size());
    Count -= skipped;
    it += skipped;
    if (it.size() > 0)
      rest.push_back(it);
  }
  return rest;
}

Response makeMalformedResponse(ErrorCode Error) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned PayloadTooLarge = 413;
  constexpr unsigned HeadTooLarge = 431;
  bool tooLarge = Error == beast::http::error::body_limit ||
                  Error == beast::http::error::buffer_overflow;
  bool headTooLarge = Error == beast::http::error::header_limit;
  boost::json::value body = {{"error", "malformed HTTP: " + Error.message()}};
  return jsonResponse(headTooLarge ? HeadTooLarge
                      : tooLarge   ? PayloadTooLarge
                                   : BadRequest,
                      boost::json::serialize(body));
}

/// The response to a request that has not run for lack of memory.
Response makeShedResponse() {
  constexpr unsigned ServiceUnavailable = 503;
  Response response = jsonResponse(
      ServiceUnavailable, R"({"error":"too many bytes are held for others"})");
  response.Headers.push_back({"Retry-After", std::string(ShedRetryAfter)});
  return response;
}

asio::awaitable<void> shed(Request /*Req*/, std::shared_ptr<Responder> Reply) {
  Response response = makeShedResponse();
  co_await Reply->send(std::move(response));
}

} // namespace

// Removes the connection from the server also if `serve` did not run to its
// end.
Connection::~Connection() {
  holdResponse(0);
  holdBody(0);
  Owner->Open.erase(this);
}

bool Connection::closesAfterResponse() const {
  return Owner->Draining || Owner->CloseAfterResponse;
}

asio::awaitable<Outcome<Done>>
Connection::sendBytes(std::vector<asio::const_buffer> Data) {
  std::shared_ptr<Connection> self = shared_from_this();
  // `enforceProgress` bounds the wait for a peer that does not read.
  Deadline = NoDeadline;
  std::size_t size = asio::buffer_size(Data);
  ErrorCode ec;
  std::size_t done = Socket.write_some(Data, ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again)
    ec = {};
  TimePoint now = monotonicNow();
  Progress = recordSent(Progress, done, now);
  // Bytes are held only if the kernel does not accept them all immediately.
  if (!ec && done < size) {
    holdResponse(size);
    updateHeld();
    Owner->relieve(this, now);
  }
  while (!ec && done < size) {
    std::vector<asio::const_buffer> rest = skipBytes(Data, done);
    auto [failed, n] = co_await Socket.async_write_some(rest, Awaited);
    ec = failed;
    done += n;
    Progress = recordSent(Progress, n, monotonicNow());
  }
  holdResponse(0);
  updateHeld();
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
  if (enforceProgress(Now) || Now < Deadline)
    return;
  ErrorCode ec;
  if (CurrentPhase == Phase::Idle || CurrentPhase == Phase::Reading)
    Socket.cancel(ec);
  else
    close();
}

void Connection::extendIdleTime(Millis More) {
  if (CurrentPhase == Phase::Idle)
    Deadline += More;
}

asio::awaitable<void> Connection::serve() {
  std::shared_ptr<Connection> self = shared_from_this();
  const Handler shedHandler = shed;
  bool more = true;
  while (more && Socket.is_open()) {
    more = false;
    if (!co_await awaitBytes())
      break;
    std::optional<Parser> parse(std::in_place);
    if (!co_await readRequest(*parse))
      break;
    unsigned version = parse->get().version();
    bool keepAlive = parse->get().keep_alive();
    Request req = makeHead(*parse, /*HasFields=*/!ShedsRequest);
    req.Body = std::move(parse->get().body());
    // Its fields take several times the bytes of the head.
    parse.reset();
    const Handler &handler = ShedsRequest ? shedHandler : Owner->Handle;
    more = co_await handle(std::move(req), version, keepAlive, handler);
    HasAnswered = HasAnswered || more;
    HeadBytes = 0;
    holdBody(0);
    if (!more && Socket.is_open())
      co_await linger();
  }
  ErrorCode ec;
  Socket.close(ec);
  Owner->Open.erase(this);
  Owner->CapacityTimer.cancel();
}

asio::awaitable<bool> Connection::awaitBytes() {
  PacedUntil = monotonicNow();
  CurrentPhase = Buffer.size() == 0 ? Phase::Idle : Phase::Reading;
  // Releases large buffers of idle connections.
  if (CurrentPhase == Phase::Idle && Buffer.capacity() > ReadBytes)
    Buffer.shrink_to_fit();
  updateHeld();
  if (CurrentPhase == Phase::Reading)
    co_return true;
  Millis timeout = Owner->Draining ? Owner->Limits.DrainGracePeriod
                                   : Owner->Client.IdleTimeout;
  Deadline = PacedUntil + timeout;
  auto [ec, n] =
      co_await Socket.async_read_some(Buffer.prepare(ReadBytes), Awaited);
  Buffer.commit(n);
  PacedUntil = monotonicNow();
  CurrentPhase = Phase::Reading;
  co_return n > 0;
}

/// Reads bytes into the buffer and records the progress of the peer.
asio::awaitable<ErrorCode> Connection::readSome(std::size_t MaxBytes) {
  auto [ec, n] =
      co_await Socket.async_read_some(Buffer.prepare(MaxBytes), Awaited);
  Buffer.commit(n);
  PacedUntil = advancePace(PacedUntil, n, monotonicNow());
  updateHeld();
  co_return ec;
}

void Connection::countShed() {
  ++Owner->Held.ShedRequests;
  ++Owner->Report.ShedRequests;
}

asio::awaitable<bool> Connection::readRequest(Parser &Parse) {
  Parse.header_limit(Owner->Client.MaxHead);
  Parse.body_limit(Owner->Client.MaxBody);
  std::optional<Response> refusal;
  ShedsRequest = false;
  ErrorCode ec = co_await readHead(Parse);
  if (!ec)
    ec = co_await admitRequest(Parse, refusal);
  if (!ec) {
    ReadsBody = true;
    ec = co_await readBody(Parse, refusal);
    ReadsBody = false;
  }
  Deadline = NoDeadline;
  if (!ec)
    co_return true;
  // Releases the memory before the connection lingers.
  std::string().swap(Parse.get().body());
  HeadBytes = 0;
  holdBody(0);
  if (refusal) {
    co_await refuse(std::move(*refusal));
    co_return false;
  }
  if (ec == asio::error::no_buffer_space || BodyGivenUp) {
    Response reply = makeShedResponse();
    co_await refuse(std::move(reply));
    co_return false;
  }
  // Responds to malformed requests, but not to truncated ones, whose sender has
  // disconnected.
  bool malformed =
      ec.category() ==
      beast::http::make_error_code(beast::http::error::bad_method).category();
  if (malformed && ec != beast::http::error::partial_message &&
      ec != beast::http::error::end_of_stream) {
    Response reply = makeMalformedResponse(ec);
    co_await refuse(std::move(reply));
  }
  co_return false;
}

asio::awaitable<ErrorCode> Connection::readHead(Parser &Parse) {
  Deadline = monotonicNow() + Owner->Client.HeadTimeout;
  while (!Parse.is_header_done()) {
    ErrorCode failed = feed(Buffer, Parse);
    if (Parse.is_header_done())
      break;
    if (failed && failed != beast::http::error::need_more)
      co_return failed;
    ErrorCode ec = co_await readSome(ReadBytes);
    if (ec)
      co_return ec;
  }
  co_return ErrorCode();
}

/// Decides from its head whether a request is received. A request that is shed
/// and has a small body is received all the same, so that its connection can
/// be kept; a larger one fails.
asio::awaitable<ErrorCode>
Connection::admitRequest(Parser &Parse, std::optional<Response> &Refusal) {
  std::uint64_t announced = Parse.content_length().value_or(0);
  if (announced > SmallBodyBytes) {
    Refusal = co_await checkHead(Parse);
    if (Refusal)
      co_return asio::error::access_denied;
  }
  TimePoint now = monotonicNow();
  HeadBytes = computeHeadBytes(Parse);
  bool fits = !Owner->Limits.Memory ||
              Owner->Limits.Memory->hasRoomFor(
                  HandledRequestBytes + HeadBytes + announced, now);
  bool sheds =
      !fits || shouldShed(Owner->totals(), 0) || !reserveBody(announced);
  updateHeld();
  if (!sheds)
    co_return ErrorCode();
  countShed();
  bool small = announced <= SmallBodyBytes && !Parse.chunked();
  if (!small)
    co_return asio::error::no_buffer_space;
  ShedsRequest = true;
  co_return ErrorCode();
}

asio::awaitable<std::optional<Response>> Connection::checkHead(Parser &Parse) {
  if (!Owner->Limits.CheckHead)
    co_return std::nullopt;
  Request head = makeHead(Parse, /*HasFields=*/true);
  // The check does not depend on the peer.
  Deadline = NoDeadline;
  ChecksHead = true;
  std::optional<Response> refusal = co_await Owner->Limits.CheckHead(head);
  ChecksHead = false;
  PacedUntil = monotonicNow();
  co_return refusal;
}

asio::awaitable<ErrorCode>
Connection::readBody(Parser &Parse, std::optional<Response> &Refusal) {
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
  bool isChecked = BodyBytes > SmallBodyBytes;
  std::vector<std::string> blocks;
  std::uint64_t blockBytes = 0;
  while (!Parse.is_done()) {
    ErrorCode failed = feed(Buffer, Parse);
    std::string &body = Parse.get().body();
    std::uint64_t received = blockBytes + body.size();
    if (Parse.chunked() && body.size() >= BodyBlockBytes) {
      blockBytes += body.size();
      blocks.push_back(std::move(body));
      body.clear();
    }
    // The size of a body in chunks is known only as it arrives.
    if (received > SmallBodyBytes && !isChecked) {
      isChecked = true;
      Refusal = co_await checkHead(Parse);
      if (Refusal)
        co_return asio::error::access_denied;
    }
    if (received > BodyBytes && !reserveBody(received)) {
      countShed();
      co_return asio::error::no_buffer_space;
    }
    if (!failed)
      continue;
    if (failed != beast::http::error::need_more)
      co_return failed;
    // The head of a chunk, or the trailers.
    if (Buffer.size() > MaxChunkHeadBytes)
      co_return beast::http::error::buffer_overflow;
    Deadline = PacedUntil + Owner->Client.IdleTimeout;
    ErrorCode ec = co_await readSome(chooseReadSize(Parse, received));
    if (ec || BodyGivenUp)
      co_return ec ? ec : asio::error::no_buffer_space;
  }
  joinBlocks(blocks, Parse.get().body());
  co_return ErrorCode();
}

asio::awaitable<void> Connection::refuse(Response Reply) {
  std::string data = writeHead(Reply, Framing::Length, false) + Reply.Body;
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
  PacedUntil = monotonicNow();
  TimePoint end = PacedUntil + MaxLingerTime;
  Buffer = beast::flat_buffer();
  while (!ec) {
    Buffer.clear();
    Deadline = std::min(monotonicNow() + LingerTimeout, end);
    ec = co_await readSome(ReadBytes);
  }
}

asio::awaitable<bool> Connection::handle(Request Req, unsigned Version,
                                         bool KeepAlive,
                                         const Handler &Handle) {
  constexpr unsigned InternalError = 500;
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
      shared_from_this(), Version, KeepAlive, Req.Method == "HEAD");
  CurrentPhase = Phase::Answering;
  Current = exchange;
  ++Owner->InFlight;
  updateHeld();
  watchForDisconnect();
  bool failed = false;
  try {
    co_await Handle(std::move(Req), exchange);
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
    bool isTight = Owner->Limits.Memory && Owner->Limits.Memory->isTight();
    if (Buffer.size() >= (isTight ? ReadBytes : MaxPipelinedBytes))
      return;
    ErrorCode ec;
    std::size_t n = Socket.read_some(Buffer.prepare(ReadBytes), ec);
    Buffer.commit(n);
    updateHeld();
  }
  watchForDisconnect();
}

} // namespace wasabi::http
