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
#include <limits>
#include <map>

namespace wasabi::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Errors come back as values: a lost connection is an ordinary event here.
constexpr asio::as_tuple_t<asio::use_awaitable_t<>>
    Awaited(asio::use_awaitable);

/// Largest response head.
constexpr std::uint32_t MaxHead = 65536;
/// Largest read from the socket.
constexpr std::size_t ReadBytes = 16384;
/// How often idle connections of all addresses are looked through.
constexpr Millis PrunePause{1000};

/// A body taken piece by piece: it reserves nothing for a length announced.
struct PieceBody {
  using value_type = std::string;
  // Beast prescribes the name.
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

using Parser = beast::http::response_parser<PieceBody>;

/// A connection to one address, with the deadline of what it is doing.
class Link : public std::enable_shared_from_this<Link> {
public:
  Link(const asio::any_io_executor &Executor, Address Where)
      : Socket(Executor), Where(std::move(Where)), Timer(Executor) {}

  /// Closes the socket at `Deadline` unless `disarm` comes first.
  void arm(TimePoint Deadline) {
    Timer.expires_at(Deadline);
    Timer.async_wait([weak = weak_from_this()](ErrorCode Failed) {
      std::shared_ptr<Link> self = weak.lock();
      if (Failed || !self || !self->Armed)
        return;
      self->TimedOut = true;
      self->close();
    });
    Armed = true;
  }

  void disarm() {
    Armed = false;
    Timer.cancel();
  }

  void close() {
    ErrorCode ec;
    Socket.close(ec);
  }

  /// Why an operation failed after something had been sent.
  Failure lost(const ErrorCode &Failed) const {
    FailureCode code = TimedOut    ? FailureCode::TimedOut
                       : Cancelled ? FailureCode::Cancelled
                                   : FailureCode::ConnectionLost;
    std::string reason = TimedOut    ? "no answer in time"
                         : Cancelled ? "cancelled"
                                     : Failed.message();
    return Failure{Verdict::MayHaveRun, code, toText(Where), reason, {}};
  }

  Tcp::socket Socket;
  const Address Where;
  beast::flat_buffer Buffer;
  TimePoint IdleSince;
  /// How long it may lie idle.
  Millis MaxIdle{0};
  bool TimedOut = false;
  bool Cancelled = false;

private:
  BootTimer Timer;
  bool Armed = false;
};

/// A request that has been sent, and the head of its answer.
struct Opened {
  std::shared_ptr<Link> Via;
  std::shared_ptr<Parser> Parse;
  Response Head;
};

Response headOf(const Parser &Parse) {
  Response head;
  head.Status = Parse.get().result_int();
  for (const beast::http::fields::value_type &it : Parse.get()) {
    head.Headers.push_back(
        Header{std::string(it.name_string()), std::string(it.value())});
  }
  return head;
}

/// Takes body bytes in until there are some, or the body is whole. Beast's own
/// read goes on until the next chunk's head is there, which would hold the
/// bytes of this one back.
asio::awaitable<ErrorCode> readPart(Link &Via, Parser &Parse) {
  for (;;) {
    if (Parse.is_done() || !Parse.get().body().empty())
      co_return ErrorCode();
    ErrorCode failed = beast::http::error::need_more;
    if (Via.Buffer.size() > 0) {
      failed = {};
      std::size_t used = Parse.put(Via.Buffer.data(), failed);
      Via.Buffer.consume(used);
      if (used > 0 && !failed)
        continue;
    }
    if (failed && failed != beast::http::error::need_more)
      co_return failed;
    if (Parse.is_done() || !Parse.get().body().empty())
      co_return ErrorCode();

    auto [ec, n] = co_await Via.Socket.async_read_some(
        Via.Buffer.prepare(ReadBytes), Awaited);
    Via.Buffer.commit(n);
    if (ec == asio::error::eof) {
      failed = {};
      Parse.put_eof(failed);
      co_return failed;
    }
    if (ec)
      co_return ec;
  }
}

/// How long the peer says that it keeps the connection, less a margin.
Millis promisedIdle(const Parser &Parse, const Client::Settings &Limits) {
  constexpr std::string_view Timeout = "timeout=";
  constexpr Millis PerSecond{1000};
  beast::string_view field = Parse.get()[beast::http::field::keep_alive];
  std::string_view value(field.data(), field.size());
  std::size_t at = value.find(Timeout);
  if (at == std::string_view::npos)
    return Limits.MaxIdle;
  value.remove_prefix(at + Timeout.size());
  std::int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::max(seconds * PerSecond - Limits.KeepAliveMargin, Millis(0));
}

// A function of its own: GCC 12 destroys temporaries of a co_return twice.
Failure outdated(const Address &Where) {
  return Failure{Verdict::NotRun, FailureCode::StaleFence, toText(Where),
                 "it was too late to send the request", Millis(0)};
}

class ClientImpl final : public Client,
                         public std::enable_shared_from_this<ClientImpl> {
public:
  ClientImpl(asio::any_io_executor Executor, Settings Limits)
      : Executor(std::move(Executor)), Limits(std::move(Limits)) {}

  asio::awaitable<Outcome<bool>> probe(Address Where, Millis Timeout) override;
  asio::awaitable<Outcome<Response>> call(Address Where, Request Ask,
                                          Millis Timeout) override;
  asio::awaitable<Outcome<std::unique_ptr<ResponseStream>>>
  open(Address Where, Request Ask, Millis Timeout) override;

  /// Keeps a connection whose answer has been read to its end, if the peer
  /// keeps it too.
  void keep(const std::shared_ptr<Link> &Via, const Parser &Parse);

private:
  asio::awaitable<Outcome<Opened>>
  start(Address Where, Request Ask, TimePoint Deadline, std::uint64_t MaxBody);
  asio::awaitable<Outcome<std::shared_ptr<Link>>>
  sendRequest(Address Where, const Request &Ask, TimePoint Deadline);
  asio::awaitable<Outcome<std::shared_ptr<Link>>>
  connect(Address Where, TimePoint Deadline, ErrorCode *Refused = nullptr);
  asio::awaitable<Outcome<Opened>>
  readHead(std::shared_ptr<Link> Via, bool HeadOnly, std::uint64_t MaxBody);
  asio::awaitable<bool> passOver(Opened &Foreign);
  bool answers(const Request &Ask, const Response &Answer) const;
  std::shared_ptr<Link> takeIdle(const Address &Where);
  void prune();

  const asio::any_io_executor Executor;
  const Settings Limits;
  std::map<Address, std::vector<std::shared_ptr<Link>>> Idle;
  TimePoint LastPrune;
};

class StreamImpl final : public ResponseStream {
public:
  StreamImpl(std::shared_ptr<ClientImpl> Owner, Opened What)
      : Owner(std::move(Owner)), What(std::move(What)) {}
  StreamImpl(const StreamImpl &) = delete;
  StreamImpl &operator=(const StreamImpl &) = delete;
  ~StreamImpl() override { StreamImpl::cancel(); }

  const Response &head() const override { return What.Head; }
  asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) override;
  void cancel() override;

private:
  std::shared_ptr<ClientImpl> Owner;
  const Opened What;
  bool Ended = false;
};

//===--- Connections ------------------------------------------------------===//

std::shared_ptr<Link> ClientImpl::takeIdle(const Address &Where) {
  const std::map<Address, std::vector<std::shared_ptr<Link>>>::iterator it =
      Idle.find(Where);
  if (it == Idle.end())
    return nullptr;
  TimePoint now = monotonicNow();
  // The last one used is the least likely to have been closed meanwhile.
  while (!it->second.empty()) {
    std::shared_ptr<Link> link = std::move(it->second.back());
    it->second.pop_back();
    if (now - link->IdleSince <= link->MaxIdle &&
        peek(link->Socket) == PeerState::NoPendingData)
      return link;
  }
  return nullptr;
}

void ClientImpl::keep(const std::shared_ptr<Link> &Via, const Parser &Parse) {
  Via->disarm();
  bool usable = Via->Socket.is_open() && Parse.get().keep_alive() &&
                !Parse.get().need_eof() && Via->Buffer.size() == 0;
  std::vector<std::shared_ptr<Link>> &idle = Idle[Via->Where];
  if (!usable || idle.size() >= Limits.MaxIdlePerAddress) {
    Via->close();
    return;
  }
  Via->IdleSince = monotonicNow();
  Via->MaxIdle = std::min(Limits.MaxIdle, promisedIdle(Parse, Limits));
  idle.push_back(Via);
  prune();
}

void ClientImpl::prune() {
  TimePoint now = monotonicNow();
  if (now - LastPrune < PrunePause)
    return;
  LastPrune = now;
  for (auto it = Idle.begin(); it != Idle.end();) {
    std::erase_if(it->second, [now](const std::shared_ptr<Link> &Kept) {
      return now - Kept->IdleSince > Kept->MaxIdle;
    });
    it = it->second.empty() ? Idle.erase(it) : std::next(it);
  }
}

/// `Refused`, if given, takes the error of the connect itself.
asio::awaitable<Outcome<std::shared_ptr<Link>>>
ClientImpl::connect(Address Where, TimePoint Deadline, ErrorCode *Refused) {
  Failure why{Verdict::NotRun, FailureCode::Unreachable, toText(Where), {}, {}};
  ErrorCode failed;
  asio::ip::address host = asio::ip::make_address(Where.Host, failed);
  if (failed) {
    why.Reason = "not an IP number";
    co_return why;
  }
  std::shared_ptr<Link> link = std::make_shared<Link>(Executor, Where);
  TimePoint latest = monotonicNow() + Limits.ConnectTimeout;
  link->arm(std::min(Deadline, latest));
  Tcp::endpoint peer(host, Where.Port);
  auto [ec] = co_await link->Socket.async_connect(peer, Awaited);
  if (Refused != nullptr)
    *Refused = ec;
  if (ec || link->TimedOut) {
    why.Reason = link->TimedOut ? "no connection in time" : ec.message();
    link->disarm();
    co_return why;
  }
  link->Socket.set_option(Tcp::no_delay(true), failed);
  co_return link;
}

asio::awaitable<Outcome<bool>> ClientImpl::probe(Address Where,
                                                 Millis Timeout) {
  std::shared_ptr<ClientImpl> self = shared_from_this();
  ErrorCode failed;
  Outcome<std::shared_ptr<Link>> link =
      co_await connect(std::move(Where), monotonicNow() + Timeout, &failed);
  if (!link && failed == asio::error::connection_refused)
    co_return false;
  if (!link)
    co_return link.failure();
  (*link)->disarm();
  (*link)->close();
  co_return true;
}

//===--- Requests ---------------------------------------------------------===//

asio::awaitable<Outcome<std::shared_ptr<Link>>>
ClientImpl::sendRequest(Address Where, const Request &Ask, TimePoint Deadline) {
  std::string head = writeHead(Ask, Where);
  std::array<asio::const_buffer, 2> data{asio::buffer(head),
                                         asio::buffer(Ask.Body)};
  for (;;) {
    std::shared_ptr<Link> link = takeIdle(Where);
    bool reused = link != nullptr;
    if (!reused) {
      Outcome<std::shared_ptr<Link>> fresh = co_await connect(Where, Deadline);
      if (!fresh)
        co_return fresh;
      link = *fresh;
    }
    if (Ask.SendDeadline && monotonicNow() >= *Ask.SendDeadline) {
      link->disarm();
      link->close();
      co_return outdated(Where);
    }
    link->arm(Deadline);
    auto [ec, n] = co_await asio::async_write(link->Socket, data, Awaited);
    if (!ec && !link->TimedOut)
      co_return link;
    link->disarm();
    link->close();
    Failure why = link->lost(ec);
    // Not a byte was taken, so nothing can have run.
    if (n == 0)
      why.Run = Verdict::NotRun;
    if (n > 0 || !reused || link->TimedOut ||
        ec == asio::error::operation_aborted)
      co_return why;
  }
}

asio::awaitable<Outcome<Opened>> ClientImpl::readHead(std::shared_ptr<Link> Via,
                                                      bool HeadOnly,
                                                      std::uint64_t MaxBody) {
  constexpr unsigned FirstFinalStatus = 200;
  for (;;) {
    std::shared_ptr<Parser> parse = std::make_shared<Parser>();
    parse->header_limit(MaxHead);
    parse->body_limit(MaxBody);
    parse->skip(HeadOnly);
    auto [ec, n] = co_await beast::http::async_read_header(
        Via->Socket, Via->Buffer, *parse, Awaited);
    if (ec || Via->TimedOut) {
      Via->disarm();
      Via->close();
      co_return Via->lost(ec);
    }
    // An interim answer precedes the one that counts.
    if (parse->get().result_int() < FirstFinalStatus)
      continue;
    parse->eager(true);
    Response head = headOf(*parse);
    co_return Opened{std::move(Via), std::move(parse), std::move(head)};
  }
}

asio::awaitable<Outcome<Opened>> ClientImpl::start(Address Where, Request Ask,
                                                   TimePoint Deadline,
                                                   std::uint64_t MaxBody) {
  Outcome<std::shared_ptr<Link>> sent =
      co_await sendRequest(std::move(Where), Ask, Deadline);
  if (!sent)
    co_return sent.failure();
  for (;;) {
    Outcome<Opened> got =
        co_await readHead(*sent, Ask.Method == "HEAD", MaxBody);
    if (!got || answers(Ask, got->Head))
      co_return got;
    if (!co_await passOver(*got))
      co_return got->Via->lost(asio::error::connection_reset);
  }
}

bool ClientImpl::answers(const Request &Ask, const Response &Answer) const {
  if (Limits.EchoHeader.empty())
    return true;
  std::string_view asked = Ask.header(Limits.EchoHeader);
  std::string_view told = Answer.header(Limits.EchoHeader);
  return asked.empty() || told.empty() || asked == told;
}

/// Reads an answer that belongs to nobody to its end; false if the connection
/// does not go on behind it.
asio::awaitable<bool> ClientImpl::passOver(Opened &Foreign) {
  while (!Foreign.Parse->is_done()) {
    ErrorCode ec = co_await readPart(*Foreign.Via, *Foreign.Parse);
    if (ec || Foreign.Via->TimedOut) {
      Foreign.Via->disarm();
      Foreign.Via->close();
      co_return false;
    }
    Foreign.Parse->get().body().clear();
  }
  bool more = Foreign.Parse->get().keep_alive();
  if (!more) {
    Foreign.Via->disarm();
    Foreign.Via->close();
  }
  co_return more;
}

asio::awaitable<Outcome<Response>> ClientImpl::call(Address Where, Request Ask,
                                                    Millis Timeout) {
  std::shared_ptr<ClientImpl> self = shared_from_this();
  TimePoint deadline = monotonicNow() + Timeout;
  Outcome<Opened> begun = co_await start(std::move(Where), std::move(Ask),
                                         deadline, Limits.MaxBody);
  if (!begun)
    co_return begun.failure();
  std::shared_ptr<Link> link = begun->Via;
  std::shared_ptr<Parser> parse = begun->Parse;
  Response answer = std::move(begun->Head);
  while (!parse->is_done()) {
    ErrorCode ec = co_await readPart(*link, *parse);
    if (ec || link->TimedOut) {
      link->disarm();
      link->close();
      co_return link->lost(ec);
    }
    answer.Body += parse->get().body();
    parse->get().body().clear();
  }
  answer.Body += parse->get().body();
  keep(link, *parse);
  co_return answer;
}

asio::awaitable<Outcome<std::unique_ptr<ResponseStream>>>
ClientImpl::open(Address Where, Request Ask, Millis Timeout) {
  std::shared_ptr<ClientImpl> self = shared_from_this();
  TimePoint deadline = monotonicNow() + Timeout;
  Outcome<Opened> begun =
      co_await start(std::move(Where), std::move(Ask), deadline,
                     std::numeric_limits<std::uint64_t>::max());
  if (!begun)
    co_return begun.failure();
  begun->Via->disarm();
  std::unique_ptr<ResponseStream> stream =
      std::make_unique<StreamImpl>(self, std::move(*begun));
  co_return stream;
}

//===--- Streams ----------------------------------------------------------===//

asio::awaitable<Outcome<std::optional<std::string>>>
StreamImpl::next(Millis Timeout) {
  // The stream may be destroyed while this waits.
  std::shared_ptr<Link> link = What.Via;
  std::shared_ptr<Parser> parse = What.Parse;
  std::string piece = std::move(parse->get().body());
  parse->get().body().clear();
  if (link->Cancelled)
    co_return link->lost(asio::error::operation_aborted);

  if (piece.empty() && !parse->is_done())
    link->arm(monotonicNow() + Timeout);
  while (piece.empty() && !parse->is_done()) {
    ErrorCode ec = co_await readPart(*link, *parse);
    if (ec || link->TimedOut || link->Cancelled) {
      link->disarm();
      link->close();
      co_return link->lost(ec);
    }
    piece = std::move(parse->get().body());
    parse->get().body().clear();
  }
  link->disarm();
  if (!piece.empty())
    co_return std::optional<std::string>(std::move(piece));
  if (!Ended) {
    Ended = true;
    Owner->keep(link, *parse);
  }
  co_return std::optional<std::string>();
}

void StreamImpl::cancel() {
  if (Ended || What.Via->Cancelled)
    return;
  What.Via->Cancelled = true;
  What.Via->disarm();
  What.Via->close();
}

} // namespace

std::shared_ptr<Client> Client::create(boost::asio::any_io_executor Executor,
                                       Settings Limits) {
  return std::make_shared<ClientImpl>(std::move(Executor), std::move(Limits));
}

} // namespace wasabi::http
