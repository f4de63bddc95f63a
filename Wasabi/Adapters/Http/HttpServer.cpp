#include "Wasabi/Adapters/Http/HttpServer.h"

#include "Wasabi/Adapters/Http/HttpWire.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_set>

namespace wasabi::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

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
/// Pause after the system has refused to accept, for want of descriptors say.
constexpr Millis AcceptPause{50};
/// Bounds of the pause between two looks for connections that are too late.
constexpr Millis MinSweep{5};
constexpr Millis MaxSweep{500};

constexpr TimePoint Never = TimePoint::max();

class Exchange;
class ServerImpl;

/// One connection: reads requests one after the other and runs the handler.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Tcp::socket Socket, std::shared_ptr<ServerImpl> Owner)
      : Socket(std::move(Socket)), Owner(std::move(Owner)) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  asio::awaitable<void> serve();
  /// Sends bytes; on failure the connection is closed and gone.
  template <typename Buffers>
  asio::awaitable<Outcome<Done>> sendBytes(Buffers Data);
  /// Closes at once, tells a running exchange, and ends `serve`.
  void close();
  /// As `close`, with a reset.
  void abort();
  /// Graceful shutdown: an idle connection closes after a short grace.
  void drain();
  /// Ends what the connection waits for if that is later than its deadline.
  void endIfLate(TimePoint Now);

  /// Whether the connection closes after its next answer.
  bool closing() const;

private:
  using Parser = beast::http::request_parser<beast::http::string_body>;

  asio::awaitable<bool> awaitBytes();
  asio::awaitable<bool> readRequest(Parser &Parse);
  asio::awaitable<ErrorCode> readHead(Parser &Parse);
  asio::awaitable<ErrorCode> readBody(Parser &Parse);
  asio::awaitable<void> refuse(ErrorCode Why);
  asio::awaitable<void> linger();
  asio::awaitable<bool> handle(Request Ask, unsigned Version, bool KeepAlive);
  void watch();
  void onReadable();
  void noticeGone();

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

  Tcp::socket Socket;
  std::shared_ptr<ServerImpl> Owner;
  beast::flat_buffer Buffer;
  /// The request being handled; its handler keeps it.
  std::weak_ptr<Exchange> Current;
  /// When the connection is closed unless something happens before.
  TimePoint Deadline = Never;
  Phase Now = Phase::Idle;
  /// Whether a wait for readability is pending.
  bool Watching = false;
};

class ServerImpl final : public Server {
public:
  ServerImpl(asio::io_context &Context, Settings Limits, Handler Handle)
      : Limits(std::move(Limits)), Handle(std::move(Handle)), Context(Context),
        Acceptor(Context), RoomTimer(Context), SweepTimer(Context) {}

  ErrorCode listen();
  void start();

  Address address() const override { return Bound; }
  std::size_t inFlight() const override { return InFlight; }
  std::size_t connections() const override { return Open.size(); }
  void closeAfterAnswers() override { Closing = true; }
  void drain() override;
  void stop() override;

  const Settings Limits;
  const Handler Handle;
  bool Draining = false;
  /// Answers close their connections, though new ones are taken.
  bool Closing = false;
  std::size_t InFlight = 0;

  /// A connection's end frees its place.
  void forget(Connection *Gone) { Open.erase(Gone); }
  void wakeAcceptor() { RoomTimer.cancel(); }

private:
  std::shared_ptr<ServerImpl> self() {
    return std::static_pointer_cast<ServerImpl>(shared_from_this());
  }
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> sweepLoop();
  void adopt(Tcp::socket Socket);
  void acceptQueued();

  asio::io_context &Context;
  Tcp::acceptor Acceptor;
  /// Cancelled when a place for a connection becomes free.
  asio::steady_timer RoomTimer;
  asio::steady_timer SweepTimer;
  Address Bound;
  std::unordered_set<Connection *> Open;
  bool Stopped = false;
};

/// One request's answer; outlives its connection harmlessly.
class Exchange final : public Responder {
public:
  Exchange(std::shared_ptr<Connection> Link, unsigned Version, bool KeepAlive,
           bool HeadOnly)
      : Link(std::move(Link)), Version(Version), KeepAlive(KeepAlive),
        HeadOnly(HeadOnly) {}

  asio::awaitable<Outcome<Done>> send(Response Answer) override;
  asio::awaitable<Outcome<Done>> begin(Response Head) override;
  asio::awaitable<Outcome<Done>> write(std::string Chunk) override;
  asio::awaitable<Outcome<Done>> end() override;
  void abort() override;
  bool gone() const override { return Gone; }
  void onGone(std::function<void()> Callback) override;

  /// Tells the handler that its peer has left.
  void tellGone();
  /// Detaches from the connection: what is called later fails.
  void finish();
  bool begun() const { return State != Stage::Fresh; }
  bool ended() const { return State == Stage::Ended; }
  bool keepAlive() const { return KeepAlive; }

private:
  enum class Stage : std::uint8_t { Fresh, Begun, Ended };
  std::shared_ptr<Connection> Link;
  const unsigned Version;
  bool KeepAlive;
  const bool HeadOnly;
  Stage State = Stage::Fresh;
  bool Gone = false;
  std::function<void()> Callback;
};

Failure peerGone() {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::Cancelled,
                 "http peer",
                 "the peer has closed its connection",
                 {}};
}

Failure misuse(std::string Reason) {
  return Failure{Verdict::NotRun,
                 FailureCode::Internal,
                 "http responder",
                 std::move(Reason),
                 {}};
}

//===--- Exchange ---------------------------------------------------------===//

asio::awaitable<Outcome<Done>> Exchange::send(Response Answer) {
  if (State != Stage::Fresh)
    co_return misuse("an answer has been begun already");
  if (Gone)
    co_return peerGone();
  State = Stage::Ended;
  KeepAlive = KeepAlive && !Link->closing();
  std::shared_ptr<Connection> link = Link;
  std::string head = writeHead(Answer, Framing::Length, KeepAlive);
  std::string_view body = HeadOnly ? std::string_view() : Answer.Body;
  std::array<asio::const_buffer, 2> data{asio::buffer(head),
                                         asio::buffer(body)};
  co_return co_await link->sendBytes(data);
}

asio::awaitable<Outcome<Done>> Exchange::begin(Response Head) {
  constexpr unsigned FirstWithChunks = 11;
  if (State != Stage::Fresh)
    co_return misuse("an answer has been begun already");
  if (Gone)
    co_return peerGone();
  State = Stage::Begun;
  bool chunked = Version >= FirstWithChunks;
  KeepAlive = KeepAlive && chunked && !Link->closing();
  std::shared_ptr<Connection> link = Link;
  std::string head = writeHead(
      Head, chunked ? Framing::Chunked : Framing::UntilClose, KeepAlive);
  co_return co_await link->sendBytes(asio::buffer(head));
}

asio::awaitable<Outcome<Done>> Exchange::write(std::string Chunk) {
  constexpr unsigned FirstWithChunks = 11;
  constexpr int Hexadecimal = 16;
  if (State != Stage::Begun)
    co_return misuse("no answer has been begun");
  if (Gone)
    co_return peerGone();
  // An empty chunk would end the body.
  if (Chunk.empty() || HeadOnly)
    co_return Done{};
  std::shared_ptr<Connection> link = Link;
  if (Version < FirstWithChunks)
    co_return co_await link->sendBytes(asio::buffer(Chunk));

  std::array<char, 24> size{};
  std::to_chars_result last = std::to_chars(
      size.data(), size.data() + size.size() - 2, Chunk.size(), Hexadecimal);
  *last.ptr++ = '\r';
  *last.ptr++ = '\n';
  std::array<asio::const_buffer, 3> data{
      asio::buffer(size.data(),
                   static_cast<std::size_t>(last.ptr - size.data())),
      asio::buffer(Chunk), asio::buffer("\r\n", 2)};
  co_return co_await link->sendBytes(data);
}

asio::awaitable<Outcome<Done>> Exchange::end() {
  constexpr unsigned FirstWithChunks = 11;
  constexpr std::string_view LastChunk = "0\r\n\r\n";
  if (State != Stage::Begun)
    co_return misuse("no answer has been begun");
  if (Gone)
    co_return peerGone();
  State = Stage::Ended;
  std::shared_ptr<Connection> link = Link;
  if (Version < FirstWithChunks || HeadOnly)
    co_return Done{};
  co_return co_await link->sendBytes(asio::buffer(LastChunk));
}

void Exchange::abort() {
  std::shared_ptr<Connection> link = Link;
  if (link)
    link->abort();
}

void Exchange::onGone(std::function<void()> Callback) {
  if (Gone) {
    Callback();
    return;
  }
  this->Callback = std::move(Callback);
}

void Exchange::tellGone() {
  if (Gone)
    return;
  Gone = true;
  // The callback is taken out first: it runs once, and may call back.
  std::function<void()> callback = std::move(Callback);
  Callback = nullptr;
  if (callback)
    callback();
}

void Exchange::finish() {
  Gone = true;
  Callback = nullptr;
  Link.reset();
}

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

//===--- Connection -------------------------------------------------------===//

// However the connection ends, the server must not go on listing it.
Connection::~Connection() { Owner->forget(this); }

bool Connection::closing() const { return Owner->Draining || Owner->Closing; }

template <typename Buffers>
asio::awaitable<Outcome<Done>> Connection::sendBytes(Buffers Data) {
  std::shared_ptr<Connection> self = shared_from_this();
  // A peer that takes nothing for long is as good as gone.
  Deadline = monotonicNow() + Owner->Limits.IdleTimeout;
  auto [ec, n] = co_await asio::async_write(Socket, Data, Awaited);
  Deadline = Never;
  if (!ec)
    co_return Done{};
  close();
  co_return peerGone();
}

void Connection::close() {
  ErrorCode ec;
  Socket.close(ec);
  noticeGone();
}

void Connection::abort() {
  reset(Socket);
  noticeGone();
}

void Connection::noticeGone() {
  std::shared_ptr<Exchange> current = Current.lock();
  if (current)
    current->tellGone();
}

void Connection::drain() {
  if (Now == Phase::Idle)
    Deadline = std::min(Deadline, monotonicNow() + Owner->Limits.DrainGrace);
}

/// A read is cancelled, not cut off: a request that it has taken in the same
/// turn of the loop is served, and `serve` alone decides that none has come. A
/// read that ends and is followed by another one is cancelled at the next look.
void Connection::endIfLate(TimePoint At) {
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
  Owner->forget(this);
  Owner->wakeAcceptor();
}

asio::awaitable<bool> Connection::awaitBytes() {
  Now = Buffer.size() == 0 ? Phase::Idle : Phase::Reading;
  if (Now == Phase::Reading)
    co_return true;
  // Many idle connections must not hold on to many large buffers.
  if (Buffer.capacity() > ReadBytes)
    Buffer.shrink_to_fit();
  Millis patience =
      Owner->Draining ? Owner->Limits.DrainGrace : Owner->Limits.IdleTimeout;
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
    Outcome<Done> sent = co_await sendBytes(asio::buffer(Continue));
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
  Outcome<Done> sent = co_await sendBytes(asio::buffer(data));
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
    noticeGone();
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

//===--- Server -----------------------------------------------------------===//

ErrorCode ServerImpl::listen() {
  ErrorCode ec;
  asio::ip::address host = asio::ip::make_address(Limits.Listen.Host, ec);
  if (ec)
    return ec;
  Tcp::endpoint where(host, Limits.Listen.Port);
  Acceptor.open(where.protocol(), ec);
  if (ec)
    return ec;
  // A port that the kernel chooses must be ours alone: shared, it could be
  // given to a second process before either listens.
  bool chosen = Limits.Listen.Port != 0;
  Acceptor.set_option(Tcp::acceptor::reuse_address(chosen), ec);
  if (ec)
    return ec;
  Acceptor.bind(where, ec);
  if (ec)
    return ec;
  // Connections that outlive this listener must not keep its successor out.
  Acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (ec)
    return ec;
  Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return ec;
  Acceptor.non_blocking(true, ec);
  Tcp::endpoint bound = Acceptor.local_endpoint(ec);
  Bound = Address{bound.address().to_string(), bound.port()};
  return ec;
}

void ServerImpl::start() {
  asio::co_spawn(
      Context, [self = self()] { return self->acceptLoop(); }, asio::detached);
  asio::co_spawn(
      Context, [self = self()] { return self->sweepLoop(); }, asio::detached);
}

asio::awaitable<void> ServerImpl::acceptLoop() {
  while (Acceptor.is_open()) {
    if (Open.size() >= Limits.MaxConnections) {
      RoomTimer.expires_at(asio::steady_timer::time_point::max());
      co_await RoomTimer.async_wait(Awaited);
      continue;
    }
    auto [ec, socket] = co_await Acceptor.async_accept(Awaited);
    if (!ec) {
      adopt(std::move(socket));
      continue;
    }
    if (!Acceptor.is_open())
      break;
    RoomTimer.expires_after(AcceptPause);
    co_await RoomTimer.async_wait(Awaited);
  }
}

asio::awaitable<void> ServerImpl::sweepLoop() {
  Millis shortest =
      std::min({Limits.IdleTimeout, Limits.HeadTimeout, Limits.DrainGrace});
  Millis pause = std::clamp(shortest / 4, MinSweep, MaxSweep);
  while (!Stopped && !(Draining && Open.empty())) {
    SweepTimer.expires_after(pause);
    co_await SweepTimer.async_wait(Awaited);
    TimePoint now = monotonicNow();
    // Closing may call handlers back, which may change the set.
    std::vector<std::shared_ptr<Connection>> all;
    all.reserve(Open.size());
    for (Connection *it : Open)
      all.push_back(it->shared_from_this());
    for (const std::shared_ptr<Connection> &it : all)
      it->endIfLate(now);
  }
}

void ServerImpl::adopt(Tcp::socket Socket) {
  ErrorCode ec;
  Socket.set_option(Tcp::no_delay(true), ec);
  std::shared_ptr<Connection> link =
      std::make_shared<Connection>(std::move(Socket), self());
  Open.insert(link.get());
  asio::co_spawn(
      Context, [link] { return link->serve(); }, asio::detached);
}

void ServerImpl::acceptQueued() {
  // A client whose connect has succeeded may have sent its request: closing the
  // queue would reset it.
  for (;;) {
    ErrorCode ec;
    Tcp::socket socket = Acceptor.accept(ec);
    if (ec)
      return;
    adopt(std::move(socket));
  }
}

void ServerImpl::drain() {
  if (Draining || Stopped)
    return;
  Draining = true;
  acceptQueued();
  ErrorCode ec;
  Acceptor.close(ec);
  RoomTimer.cancel();
  for (Connection *it : Open)
    it->drain();
  if (Open.empty())
    SweepTimer.cancel();
}

void ServerImpl::stop() {
  Stopped = true;
  ErrorCode ec;
  Acceptor.close(ec);
  RoomTimer.cancel();
  SweepTimer.cancel();
  std::vector<std::shared_ptr<Connection>> all;
  all.reserve(Open.size());
  for (Connection *it : Open)
    all.push_back(it->shared_from_this());
  for (const std::shared_ptr<Connection> &it : all)
    it->close();
}

} // namespace

Result<std::shared_ptr<Server>> Server::create(boost::asio::io_context &Context,
                                               Settings Limits,
                                               Handler Handle) {
  std::string place = "listen " + toText(Limits.Listen);
  std::shared_ptr<ServerImpl> server = std::make_shared<ServerImpl>(
      Context, std::move(Limits), std::move(Handle));
  ErrorCode ec = server->listen();
  if (ec)
    return boost::leaf::new_error(Failure{
        Verdict::NotRun, FailureCode::Unavailable, place, ec.message(), {}});
  server->start();
  return std::shared_ptr<Server>(server);
}

} // namespace wasabi::http
