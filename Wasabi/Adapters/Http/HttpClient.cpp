#include "Wasabi/Adapters/Http/HttpClient.h"

#include "Wasabi/Adapters/Http/HttpWire.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <limits>
#include <map>

namespace wasabi::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Completion token that returns errors as values, since lost connections are
/// ordinary events.
constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

constexpr std::uint32_t MaxHeadBytes = 65536;
/// Maximum number of interim responses (1xx) before a response. Servers send
/// one or two.
constexpr int MaxInterimResponses = 16;
/// Maximum size of a response to an earlier request that is read and discarded
/// before the expected one. Beyond it, a new connection is cheaper.
constexpr std::uint64_t MaxDiscardedBytes = 1u << 20;
constexpr std::size_t ReadBytes = 16384;
/// Maximum size of the head of a chunk, or of the trailers, of a body.
constexpr std::size_t MaxUnparsedBytes = MaxHeadBytes;
/// Number of requests after which a connection may carry the same one again.
constexpr std::size_t MaxSentValues = 32;
/// Minimum time between two scans for expired idle connections.
constexpr Millis PruneInterval{1000};

/// A body that is consumed in pieces; it reserves no memory for an announced
/// length.
struct StreamedBody {
  using value_type = std::string;
  // The name is required by Beast.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, typename Fields>
    reader(beast::http::header<IsRequest, Fields> &, value_type &Body)
        : Body(Body) {}
    void init(const boost::optional<std::uint64_t> &, ErrorCode &Failed) {
      Failed = {};
    }
    template <typename Buffers>
    std::size_t put(const Buffers &Data, ErrorCode &Failed) {
      Failed = {};
      std::size_t total = 0;
      for (auto it = asio::buffer_sequence_begin(Data);
           it != asio::buffer_sequence_end(Data); ++it) {
        asio::const_buffer part(*it);
        Body.append(static_cast<const char *>(part.data()), part.size());
        total += part.size();
      }
      return total;
    }
    void finish(ErrorCode &Failed) { Failed = {}; }

  private:
    value_type &Body;
  };
};

using Parser = beast::http::response_parser<StreamedBody>;

/// A connection to one address, with the deadline of its current operation.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(const asio::any_io_executor &Executor, Address Peer)
      : Socket(Executor), Peer(std::move(Peer)), Timer(Executor) {}

  /// Closes the socket at `Deadline` unless `clearDeadline` is called first.
  void setDeadline(TimePoint Deadline) {
    Timer.expires_at(Deadline);
    Timer.async_wait([weak = weak_from_this()](ErrorCode Failed) {
      std::shared_ptr<ClientConnection> self = weak.lock();
      if (Failed || !self || !self->DeadlineActive)
        return;
      self->TimedOut = true;
      self->close();
    });
    DeadlineActive = true;
  }

  void clearDeadline() {
    DeadlineActive = false;
    Timer.cancel();
  }

  /// Closes the socket. A request without its whole response is withdrawn by a
  /// reset: bytes that an ordinary close leaves to the kernel would still be
  /// delivered seconds later, once a cut link is restored.
  void close() {
    if (AwaitsResponse) {
      reset(Socket);
      return;
    }
    ErrorCode ec;
    Socket.close(ec);
  }

  /// Returns the failure of an operation after which the request may have run.
  Failure makeFailure(const ErrorCode &Failed) const {
    bool tooLarge = Failed == beast::http::error::body_limit ||
                    Failed == beast::http::error::header_limit ||
                    Failed == beast::http::error::buffer_overflow;
    if (tooLarge && !TimedOut && !Cancelled)
      return makeOversizeFailure(Failed.message());
    FailureCode code = TimedOut    ? FailureCode::TimedOut
                       : Cancelled ? FailureCode::Cancelled
                                   : FailureCode::ConnectionLost;
    std::string reason = TimedOut    ? "no response within the deadline"
                         : Cancelled ? "cancelled"
                                     : Failed.message();
    return Failure{Verdict::MayHaveRun, code, toText(Peer), reason, {}};
  }

  /// Returns the failure of a response without a plausible end.
  Failure makeOversizeFailure(std::string Reason) const {
    return Failure{Verdict::MayHaveRun, FailureCode::BadInput, toText(Peer),
                   std::move(Reason), Millis(0)};
  }

  Tcp::socket Socket;
  const Address Peer;
  beast::flat_buffer Buffer;
  /// Values of the echoed header of the latest requests, oldest first.
  std::deque<std::string> SentValues;
  TimePoint IdleSince;
  /// Maximum time that the connection may stay idle.
  Millis MaxIdleTime{0};
  /// True from the first byte of a request to the end of its response.
  bool AwaitsResponse = false;
  bool TimedOut = false;
  bool Cancelled = false;

private:
  BootTimer Timer;
  bool DeadlineActive = false;
};

/// A sent request and the head of its response.
struct OpenResponse {
  std::shared_ptr<ClientConnection> Connection;
  std::shared_ptr<Parser> Parse;
  Response Head;
};

Response makeHead(const Parser &Parse) {
  Response head;
  head.Status = Parse.get().result_int();
  for (const beast::http::fields::value_type &it : Parse.get()) {
    head.Headers.push_back(
        Header{std::string(it.name_string()), std::string(it.value())});
  }
  return head;
}

/// Reads until some body bytes are available or the body is complete. The read
/// function of Beast also waits for the head of the next chunk, which would
/// delay the bytes of the current one.
asio::awaitable<ErrorCode> readBodyPart(ClientConnection &Connection,
                                        Parser &Parse) {
  for (;;) {
    if (Parse.is_done() || !Parse.get().body().empty())
      co_return ErrorCode();
    ErrorCode failed = beast::http::error::need_more;
    if (Connection.Buffer.size() > 0) {
      failed = {};
      std::size_t consumed = Parse.put(Connection.Buffer.data(), failed);
      Connection.Buffer.consume(consumed);
      if (consumed > 0 && !failed)
        continue;
    }
    if (failed && failed != beast::http::error::need_more)
      co_return failed;
    if (Parse.is_done() || !Parse.get().body().empty())
      co_return ErrorCode();
    if (Connection.Buffer.size() > MaxUnparsedBytes)
      co_return beast::http::error::buffer_overflow;

    auto [ec, n] = co_await Connection.Socket.async_read_some(
        Connection.Buffer.prepare(ReadBytes), Awaited);
    Connection.Buffer.commit(n);
    if (ec == asio::error::eof) {
      failed = {};
      Parse.put_eof(failed);
      co_return failed;
    }
    if (ec)
      co_return ec;
  }
}

/// Returns the idle time announced by the peer in `Keep-Alive`, reduced by a
/// margin.
Millis computeIdleTime(const Parser &Parse, const Client::Settings &Limits) {
  constexpr std::string_view Timeout = "timeout=";
  constexpr Millis PerSecond{1000};
  beast::string_view field = Parse.get()[beast::http::field::keep_alive];
  std::string_view value(field.data(), field.size());
  std::size_t at = value.find(Timeout);
  if (at == std::string_view::npos)
    return Limits.MaxIdleTime;
  value.remove_prefix(at + Timeout.size());
  std::int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::max(seconds * PerSecond - Limits.KeepAliveMargin, Millis(0));
}

// A separate function, because GCC 12 destroys temporaries in a `co_return`
// twice.
Failure makeExpiredFailure(const Address &Peer) {
  return Failure{Verdict::NotRun, FailureCode::StaleFence, toText(Peer),
                 "the send deadline of the request has passed", Millis(0)};
}

class ClientImpl final : public Client,
                         public std::enable_shared_from_this<ClientImpl> {
public:
  ClientImpl(asio::any_io_executor Executor, Settings Limits)
      : Executor(std::move(Executor)), Limits(std::move(Limits)) {}

  asio::awaitable<Outcome<bool>> probe(Address Peer, Millis Timeout) override;
  asio::awaitable<Outcome<Response>> call(Address Peer, Request Req,
                                          Millis Timeout) override;
  asio::awaitable<Outcome<std::unique_ptr<ResponseStream>>>
  open(Address Peer, Request Req, Millis Timeout) override;

  /// Returns a connection to the idle pool after its response has been read to
  /// the end, if the peer keeps it open. Closes it otherwise.
  void returnToPool(const std::shared_ptr<ClientConnection> &Connection,
                    const Parser &Parse);

private:
  asio::awaitable<Outcome<OpenResponse>>
  start(Address Peer, Request Req, TimePoint Deadline, std::uint64_t MaxBody);
  asio::awaitable<Outcome<std::shared_ptr<ClientConnection>>>
  sendRequest(Address Peer, const Request &Req, TimePoint Deadline);
  asio::awaitable<Outcome<std::shared_ptr<ClientConnection>>>
  connect(Address Peer, TimePoint Deadline, ErrorCode *ConnectError = nullptr);
  asio::awaitable<Outcome<OpenResponse>>
  readHead(std::shared_ptr<ClientConnection> Connection, bool HeadOnly,
           std::uint64_t MaxBody);
  asio::awaitable<bool> discardResponse(OpenResponse &Unmatched);
  bool isResponseTo(const Request &Req, const Response &Reply) const;
  std::shared_ptr<ClientConnection> takeIdle(const Address &Peer,
                                             std::string_view Value);
  void prune();

  const asio::any_io_executor Executor;
  const Settings Limits;
  std::map<Address, std::vector<std::shared_ptr<ClientConnection>>>
      IdleConnections;
  TimePoint LastPrune;
};

class StreamImpl final : public ResponseStream {
public:
  StreamImpl(std::shared_ptr<ClientImpl> Owner, OpenResponse Source)
      : Owner(std::move(Owner)), Source(std::move(Source)) {}
  StreamImpl(const StreamImpl &) = delete;
  StreamImpl &operator=(const StreamImpl &) = delete;
  ~StreamImpl() override { StreamImpl::cancel(); }

  const Response &head() const override { return Source.Head; }
  asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) override;
  void cancel() override;

private:
  std::shared_ptr<ClientImpl> Owner;
  const OpenResponse Source;
  bool Ended = false;
};

//===--- Connections ------------------------------------------------------===//

/// Returns an idle connection on which no request with the echoed `Value` was
/// sent lately; null if there is none.
std::shared_ptr<ClientConnection> ClientImpl::takeIdle(const Address &Peer,
                                                       std::string_view Value) {
  const std::map<Address,
                 std::vector<std::shared_ptr<ClientConnection>>>::iterator it =
      IdleConnections.find(Peer);
  if (it == IdleConnections.end())
    return nullptr;
  TimePoint now = monotonicNow();
  std::vector<std::shared_ptr<ClientConnection>> &idle = it->second;
  // The most recently used connection is the least likely to be closed.
  for (std::size_t i = idle.size(); i-- > 0;) {
    const std::deque<std::string> &sent = idle[i]->SentValues;
    if (!Value.empty() &&
        std::find(sent.begin(), sent.end(), Value) != sent.end())
      continue;
    std::shared_ptr<ClientConnection> connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (now - connection->IdleSince <= connection->MaxIdleTime &&
        peek(connection->Socket) == PeerState::NoPendingData)
      return connection;
  }
  return nullptr;
}

void ClientImpl::returnToPool(
    const std::shared_ptr<ClientConnection> &Connection, const Parser &Parse) {
  Connection->clearDeadline();
  Connection->AwaitsResponse = false;
  bool usable = Connection->Socket.is_open() && Parse.get().keep_alive() &&
                !Parse.get().need_eof() && Connection->Buffer.size() == 0;
  std::vector<std::shared_ptr<ClientConnection>> &idle =
      IdleConnections[Connection->Peer];
  if (!usable || idle.size() >= Limits.MaxIdlePerAddress) {
    Connection->close();
    return;
  }
  Connection->IdleSince = monotonicNow();
  Connection->MaxIdleTime =
      std::min(Limits.MaxIdleTime, computeIdleTime(Parse, Limits));
  idle.push_back(Connection);
  prune();
}

void ClientImpl::prune() {
  TimePoint now = monotonicNow();
  if (now - LastPrune < PruneInterval)
    return;
  LastPrune = now;
  for (auto it = IdleConnections.begin(); it != IdleConnections.end();) {
    std::erase_if(
        it->second, [now](const std::shared_ptr<ClientConnection> &Connection) {
          return now - Connection->IdleSince > Connection->MaxIdleTime;
        });
    it = it->second.empty() ? IdleConnections.erase(it) : std::next(it);
  }
}

/// Connects to `Peer`. `ConnectError`, if given, receives the error of the
/// connect.
asio::awaitable<Outcome<std::shared_ptr<ClientConnection>>>
ClientImpl::connect(Address Peer, TimePoint Deadline, ErrorCode *ConnectError) {
  Failure failure{
      Verdict::NotRun, FailureCode::Unreachable, toText(Peer), {}, {}};
  ErrorCode failed;
  asio::ip::address host = asio::ip::make_address(Peer.Host, failed);
  if (failed) {
    failure.Reason = "not a valid IP address";
    co_return failure;
  }
  std::shared_ptr<ClientConnection> connection =
      std::make_shared<ClientConnection>(Executor, Peer);
  TimePoint limit = monotonicNow() + Limits.ConnectTimeout;
  connection->setDeadline(std::min(Deadline, limit));
  Tcp::endpoint peer(host, Peer.Port);
  auto [ec] = co_await connection->Socket.async_connect(peer, Awaited);
  if (ConnectError != nullptr)
    *ConnectError = ec;
  if (ec || connection->TimedOut) {
    failure.Reason = connection->TimedOut ? "no connection within the deadline"
                                          : ec.message();
    connection->clearDeadline();
    co_return failure;
  }
  connection->Socket.set_option(Tcp::no_delay(true), failed);
  co_return connection;
}

asio::awaitable<Outcome<bool>> ClientImpl::probe(Address Peer, Millis Timeout) {
  std::shared_ptr<ClientImpl> self = shared_from_this();
  ErrorCode failed;
  Outcome<std::shared_ptr<ClientConnection>> connection =
      co_await connect(std::move(Peer), monotonicNow() + Timeout, &failed);
  if (!connection && failed == asio::error::connection_refused)
    co_return false;
  if (!connection)
    co_return connection.failure();
  (*connection)->clearDeadline();
  (*connection)->close();
  co_return true;
}

//===--- Requests ---------------------------------------------------------===//

asio::awaitable<Outcome<std::shared_ptr<ClientConnection>>>
ClientImpl::sendRequest(Address Peer, const Request &Req, TimePoint Deadline) {
  std::string head = writeHead(Req, Peer);
  std::array<asio::const_buffer, 2> data{asio::buffer(head),
                                         asio::buffer(Req.body())};
  std::string value(Limits.EchoHeader.empty() ? std::string_view()
                                              : Req.header(Limits.EchoHeader));
  for (;;) {
    std::shared_ptr<ClientConnection> connection = takeIdle(Peer, value);
    bool reused = connection != nullptr;
    if (!reused) {
      Outcome<std::shared_ptr<ClientConnection>> fresh =
          co_await connect(Peer, Deadline);
      if (!fresh)
        co_return fresh;
      connection = *fresh;
    }
    if (Req.SendDeadline && monotonicNow() >= *Req.SendDeadline) {
      connection->clearDeadline();
      connection->close();
      co_return makeExpiredFailure(Peer);
    }
    connection->setDeadline(Deadline);
    if (!value.empty())
      connection->SentValues.push_back(value);
    if (connection->SentValues.size() > MaxSentValues)
      connection->SentValues.pop_front();
    connection->AwaitsResponse = true;
    auto [ec, n] =
        co_await asio::async_write(connection->Socket, data, Awaited);
    if (!ec && !connection->TimedOut)
      co_return connection;
    connection->clearDeadline();
    connection->close();
    Failure failure = connection->makeFailure(ec);
    // The request cannot have run, as no byte was written.
    if (n == 0)
      failure.Run = Verdict::NotRun;
    if (n > 0 || !reused || connection->TimedOut ||
        ec == asio::error::operation_aborted)
      co_return failure;
  }
}

asio::awaitable<Outcome<OpenResponse>>
ClientImpl::readHead(std::shared_ptr<ClientConnection> Connection,
                     bool HeadOnly, std::uint64_t MaxBody) {
  constexpr unsigned FirstFinalStatus = 200;
  for (int interim = 0;;) {
    std::shared_ptr<Parser> parse = std::make_shared<Parser>();
    parse->header_limit(MaxHeadBytes);
    parse->body_limit(MaxBody);
    parse->skip(HeadOnly);
    auto [ec, n] = co_await beast::http::async_read_header(
        Connection->Socket, Connection->Buffer, *parse, Awaited);
    if (ec || Connection->TimedOut) {
      Connection->clearDeadline();
      Connection->close();
      co_return Connection->makeFailure(ec);
    }
    // Interim responses (1xx) precede the final one.
    bool isFinal = parse->get().result_int() >= FirstFinalStatus;
    if (!isFinal && ++interim > MaxInterimResponses) {
      Connection->clearDeadline();
      Connection->close();
      co_return Connection->makeOversizeFailure(
          "interim responses without a final one");
    }
    if (!isFinal)
      continue;
    parse->eager(true);
    Response head = makeHead(*parse);
    co_return OpenResponse{std::move(Connection), std::move(parse),
                           std::move(head)};
  }
}

asio::awaitable<Outcome<OpenResponse>>
ClientImpl::start(Address Peer, Request Req, TimePoint Deadline,
                  std::uint64_t MaxBody) {
  Outcome<std::shared_ptr<ClientConnection>> sent =
      co_await sendRequest(std::move(Peer), Req, Deadline);
  if (!sent)
    co_return sent.failure();
  for (;;) {
    Outcome<OpenResponse> opened =
        co_await readHead(*sent, Req.Method == "HEAD", MaxBody);
    if (!opened || isResponseTo(Req, opened->Head))
      co_return opened;
    if (!co_await discardResponse(*opened))
      co_return opened->Connection->makeFailure(asio::error::connection_reset);
  }
}

bool ClientImpl::isResponseTo(const Request &Req, const Response &Reply) const {
  if (Limits.EchoHeader.empty())
    return true;
  std::string_view expected = Req.header(Limits.EchoHeader);
  std::string_view echoed = Reply.header(Limits.EchoHeader);
  return expected.empty() || echoed.empty() || expected == echoed;
}

/// Reads the rest of a response that does not match the request. Returns false
/// if the connection cannot be used afterwards, or if the rest is too long to
/// wait for.
asio::awaitable<bool> ClientImpl::discardResponse(OpenResponse &Unmatched) {
  Parser &parse = *Unmatched.Parse;
  bool usable = parse.keep_alive() && !parse.need_eof();
  std::uint64_t discarded = 0;
  while (usable && !parse.is_done()) {
    ErrorCode ec = co_await readBodyPart(*Unmatched.Connection, parse);
    discarded += parse.get().body().size();
    parse.get().body().clear();
    usable = !ec && !Unmatched.Connection->TimedOut &&
             discarded <= MaxDiscardedBytes;
  }
  if (!usable) {
    Unmatched.Connection->clearDeadline();
    Unmatched.Connection->close();
  }
  co_return usable;
}

asio::awaitable<Outcome<Response>> ClientImpl::call(Address Peer, Request Req,
                                                    Millis Timeout) {
  std::shared_ptr<ClientImpl> self = shared_from_this();
  TimePoint deadline = monotonicNow() + Timeout;
  Outcome<OpenResponse> opened =
      co_await start(std::move(Peer), std::move(Req), deadline, Limits.MaxBody);
  if (!opened)
    co_return opened.failure();
  std::shared_ptr<ClientConnection> connection = opened->Connection;
  std::shared_ptr<Parser> parse = opened->Parse;
  Response response = std::move(opened->Head);
  ResponseMemory::Share share(Limits.Memory, connection->Peer,
                              [&connection] { connection->close(); });
  while (!parse->is_done()) {
    ErrorCode ec = co_await readBodyPart(*connection, *parse);
    response.Body += parse->get().body();
    parse->get().body().clear();
    bool held = share.hold(response.Body.capacity());
    if (!held || ec || connection->TimedOut) {
      connection->clearDeadline();
      connection->close();
      co_return held ? connection->makeFailure(ec)
                     : connection->makeOversizeFailure(
                           "the response exceeds the memory for responses");
    }
  }
  response.Body += parse->get().body();
  returnToPool(connection, *parse);
  co_return response;
}

asio::awaitable<Outcome<std::unique_ptr<ResponseStream>>>
ClientImpl::open(Address Peer, Request Req, Millis Timeout) {
  std::shared_ptr<ClientImpl> self = shared_from_this();
  TimePoint deadline = monotonicNow() + Timeout;
  Outcome<OpenResponse> opened =
      co_await start(std::move(Peer), std::move(Req), deadline,
                     std::numeric_limits<std::uint64_t>::max());
  if (!opened)
    co_return opened.failure();
  opened->Connection->clearDeadline();
  std::unique_ptr<ResponseStream> stream =
      std::make_unique<StreamImpl>(self, std::move(*opened));
  co_return stream;
}

//===--- Streams ----------------------------------------------------------===//

asio::awaitable<Outcome<std::optional<std::string>>>
StreamImpl::next(Millis Timeout) {
  // Keeps the state alive if the stream is destroyed during the wait.
  std::shared_ptr<ClientConnection> connection = Source.Connection;
  std::shared_ptr<Parser> parse = Source.Parse;
  std::string piece = std::move(parse->get().body());
  parse->get().body().clear();
  if (connection->Cancelled)
    co_return connection->makeFailure(asio::error::operation_aborted);

  if (piece.empty() && !parse->is_done())
    connection->setDeadline(monotonicNow() + Timeout);
  while (piece.empty() && !parse->is_done()) {
    ErrorCode ec = co_await readBodyPart(*connection, *parse);
    if (ec || connection->TimedOut || connection->Cancelled) {
      connection->clearDeadline();
      connection->close();
      co_return connection->makeFailure(ec);
    }
    piece = std::move(parse->get().body());
    parse->get().body().clear();
  }
  connection->clearDeadline();
  if (!piece.empty())
    co_return std::optional<std::string>(std::move(piece));
  if (!Ended) {
    Ended = true;
    Owner->returnToPool(connection, *parse);
  }
  co_return std::optional<std::string>();
}

void StreamImpl::cancel() {
  if (Ended || Source.Connection->Cancelled)
    return;
  Source.Connection->Cancelled = true;
  Source.Connection->clearDeadline();
  Source.Connection->close();
}

} // namespace

std::shared_ptr<Client> Client::create(boost::asio::any_io_executor Executor,
                                       Settings Limits) {
  return std::make_shared<ClientImpl>(std::move(Executor), std::move(Limits));
}

} // namespace wasabi::http
