#include "Wasabi/Adapters/Frames/RequestServer.h"

#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"
#include "Wasabi/Adapters/Frames/RequestFrames.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <set>
#include <tuple>
#include <unordered_map>

namespace wasabi {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
/// Interval at which a writer that waits for credit checks whether the client
/// is gone.
constexpr Millis CreditPollInterval{1000};
/// Memory of a request that is handled, without its frame, and how often the
/// bytes of the frame are held meanwhile.
constexpr std::uint64_t HandledRequestBytes = 16384;
constexpr std::uint64_t FrameCopies = 2;
/// Delay after a failed accept, for example when file descriptors run out.
constexpr Millis AcceptRetryDelay{50};

std::string toStdString(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

RequestAttempt readRequest(const wire::Request &Frame) {
  RequestAttempt attempt;
  attempt.Request = toStdString(Frame.request());
  attempt.Attempt = Frame.attempt();
  attempt.Service = ServiceName(toStdString(Frame.service()));
  attempt.Server = ServerName(toStdString(Frame.server()));
  attempt.Http.Method = toStdString(Frame.method());
  attempt.Http.Target = toStdString(Frame.target());
  if (Frame.headers()) {
    attempt.Http.Headers.reserve(Frame.headers()->size());
    for (const wire::Header *it : *Frame.headers())
      attempt.Http.Headers.push_back(
          http::Header{toStdString(it->name()), toStdString(it->value())});
  }
  if (Frame.body())
    attempt.Http.Body.assign(
        reinterpret_cast<const char *>(Frame.body()->data()),
        Frame.body()->size());
  attempt.Idempotent = Frame.idempotent();
  attempt.Key = toStdString(Frame.key());
  attempt.Deadline = Millis(Frame.deadline_ms());
  attempt.Priority = Frame.priority();
  attempt.Caller = toStdString(Frame.caller());
  attempt.Trainer = TrainerName(toStdString(Frame.trainer()));
  attempt.Slot = toStdString(Frame.slot());
  return attempt;
}

/// The response to one request on one connection.
class FrameResponseSink final : public ResponseSink {
public:
  FrameResponseSink(std::shared_ptr<FrameSocket> Socket, std::uint64_t Id,
                    std::uint64_t CreditBytes,
                    const asio::any_io_executor &Executor,
                    std::function<void()> OnFinish)
      : Socket(std::move(Socket)), Id(Id), CreditBytes(CreditBytes),
        Changed(Executor), OnFinish(std::move(OnFinish)) {}

  void begin(http::Response Head, ServerName Server) override {
    if (!Gone)
      Socket->send(frames::head(Id, Head, Server));
  }

  asio::awaitable<Outcome<Done>> write(std::string Bytes) override {
    std::string_view remaining = Bytes;
    while (!remaining.empty()) {
      while (!Gone && CreditBytes == 0) {
        Changed.expires_after(CreditPollInterval);
        co_await Changed.async_wait(Awaited);
      }
      if (Gone)
        co_return makeCancelledFailure();
      std::size_t size = std::min<std::uint64_t>(
          {remaining.size(), CreditBytes, frames::MaxChunkBytes});
      if (!Socket->send(
              frames::chunk(Id, SentBytes, remaining.substr(0, size))))
        co_return makeCancelledFailure();
      SentBytes += size;
      CreditBytes -= size;
      remaining.remove_prefix(size);
    }
    if (Gone)
      co_return makeCancelledFailure();
    co_return Done{};
  }

  void end() override {
    if (!Finished && !Gone)
      Socket->send(frames::end(Id, SentBytes));
    finish();
  }

  void fail(Failure Error) override {
    if (!Finished && !Gone)
      Socket->send(frames::refusal(Id, Error));
    finish();
  }

  bool gone() const override { return Gone; }

  void onGone(std::function<void()> Callback) override {
    if (Gone)
      Callback();
    else
      GoneCallback = std::move(Callback);
  }

  bool finished() const { return Finished; }

  void addCredit(std::uint64_t Bytes) {
    CreditBytes += Bytes;
    Changed.cancel();
  }

  void markGone() {
    if (Gone || Finished)
      return;
    Gone = true;
    Changed.cancel();
    std::function<void()> callback = std::move(GoneCallback);
    GoneCallback = {};
    if (callback)
      callback();
  }

private:
  Failure makeCancelledFailure() const {
    return Failure{Verdict::MayHaveRun,
                   FailureCode::Cancelled,
                   Socket->peer(),
                   "the client cancelled or disconnected",
                   {}};
  }

  void finish() {
    if (Finished)
      return;
    Finished = true;
    GoneCallback = {};
    OnFinish();
  }

  const std::shared_ptr<FrameSocket> Socket;
  const std::uint64_t Id;
  std::uint64_t CreditBytes;
  std::uint64_t SentBytes = 0;
  BootTimer Changed;
  std::function<void()> OnFinish;
  std::function<void()> GoneCallback;
  bool Gone = false;
  bool Finished = false;
};

struct Connection {
  std::shared_ptr<FrameSocket> Socket;
  std::unordered_map<std::uint64_t, std::shared_ptr<FrameResponseSink>>
      OpenRequests;
  std::uint64_t LastId = 0;
  TimePoint LastReadAt;
  /// Time when the last load report was sent.
  TimePoint LastLoadReportAt;
  /// Memory of the requests that are handled.
  std::uint64_t RequestBytes = 0;

  void addRequestBytes(std::uint64_t Bytes) {
    RequestBytes += Bytes;
    Socket->holdForRequests(RequestBytes);
  }
};

class FrameRequestServer final
    : public RequestServer,
      public std::enable_shared_from_this<FrameRequestServer> {
public:
  FrameRequestServer(asio::io_context &Context, Settings Setup, Handler Handle)
      : Context(Context), Setup(std::move(Setup)), Handle(std::move(Handle)),
        Acceptor(Context), ReportTimer(Context) {}

  Result<Done> listen() {
    boost::system::error_code ec;
    asio::ip::address host = asio::ip::make_address(Setup.Listen.Host, ec);
    tcp::endpoint endpoint(host, Setup.Listen.Port);
    if (!ec)
      Acceptor.open(endpoint.protocol(), ec);
    // An ephemeral port is bound without address reuse: otherwise a second
    // process could get the same port before either one listens.
    bool fixedPort = Setup.Listen.Port != 0;
    if (!ec)
      Acceptor.set_option(tcp::acceptor::reuse_address(fixedPort), ec);
    if (!ec)
      Acceptor.bind(endpoint, ec);
    // Lets a later process bind the port while connections of this listener
    // remain.
    if (!ec)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
      Acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
      return boost::leaf::new_error(Failure{Verdict::NotRun,
                                            FailureCode::Unavailable,
                                            toText(Setup.Listen),
                                            ec.message(),
                                            {}});
    tcp::endpoint bound = Acceptor.local_endpoint();
    BoundAddress = Address{bound.address().to_string(), bound.port()};
    return Done{};
  }

  void start() {
    std::shared_ptr<FrameRequestServer> self = shared_from_this();
    asio::co_spawn(
        Context,
        [self]() -> asio::awaitable<void> { return self->acceptLoop(); },
        asio::detached);
    asio::co_spawn(
        Context,
        [self]() -> asio::awaitable<void> { return self->reportLoop(); },
        asio::detached);
  }

  Address address() const override { return BoundAddress; }

  void setLoads(std::vector<ReportedLoad> NewLoads, bool NewLeaving) override {
    bool urgent = NewLeaving != Leaving || servingChanged(NewLoads);
    Loads = std::move(NewLoads);
    Leaving = NewLeaving;
    if (urgent)
      pushLoads(Millis(0));
  }

  /// True if a server appeared, disappeared, or changed its serving state or
  /// its weights. These changes are reported immediately.
  bool servingChanged(const std::vector<ReportedLoad> &NewLoads) const {
    return !std::equal(NewLoads.begin(), NewLoads.end(), Loads.begin(),
                       Loads.end(),
                       [](const ReportedLoad &Left, const ReportedLoad &Right) {
                         return Left.Server == Right.Server &&
                                Left.Serving == Right.Serving &&
                                Left.Version == Right.Version;
                       });
  }

  void
  setLoadSource(std::function<std::vector<ReportedLoad>()> NewSource) override {
    LoadSource = std::move(NewSource);
  }

  std::size_t inFlight() const override { return InFlight; }

  std::size_t unsentBytes() const override {
    std::size_t sum = 0;
    for (const std::shared_ptr<Connection> &it : Connections)
      sum += it->Socket->queuedBytes();
    return sum;
  }

  void drain() override { Draining = true; }

  void stop() override {
    Stopped = true;
    boost::system::error_code ec;
    Acceptor.close(ec);
    ReportTimer.cancel();
    std::set<std::shared_ptr<Connection>> connections = Connections;
    for (const std::shared_ptr<Connection> &it : connections)
      it->Socket->close();
  }

private:
  asio::awaitable<void> acceptLoop() {
    while (!Stopped) {
      std::tuple<boost::system::error_code, tcp::socket> accepted =
          co_await Acceptor.async_accept(Awaited);
      if (Stopped)
        break;
      if (std::get<0>(accepted)) {
        spdlog::warn("accept on {}: {}", toText(BoundAddress),
                     std::get<0>(accepted).message());
        BootTimer delay(Context, AcceptRetryDelay);
        co_await delay.async_wait(Awaited);
        continue;
      }
      bool hasRoom = !Setup.Memory ||
                     Setup.Memory->hasRoomForConnection(0, monotonicNow());
      if (!hasRoom || Connections.size() >= Setup.MaxConnections) {
        spdlog::warn(
            "limit of connections reached with {}: closing a new connection",
            Connections.size());
        continue;
      }
      serve(std::move(std::get<1>(accepted)));
    }
  }

  void serve(tcp::socket Socket) {
    std::shared_ptr<Connection> connection = std::make_shared<Connection>();
    FrameSocket::Settings limits;
    limits.Memory = Setup.Memory;
    connection->Socket =
        FrameSocket::adopt(std::move(Socket), std::move(limits));
    connection->LastReadAt = monotonicNow();
    Connections.insert(connection);
    connection->Socket->send(
        frames::hello(Setup.Instance, Setup.Domain, Setup.Life));
    connection->Socket->send(frames::loads(Loads, Leaving));
    std::shared_ptr<FrameRequestServer> self = shared_from_this();
    asio::co_spawn(
        Context,
        [self, connection]() -> asio::awaitable<void> {
          return self->receiveLoop(connection);
        },
        asio::detached);
  }

  asio::awaitable<void> receiveLoop(std::shared_ptr<Connection> Peer) {
    for (;;) {
      Outcome<FrameBytes> frame = co_await Peer->Socket->receive();
      if (!frame) {
        if (frame.failure().Code == FailureCode::BadInput)
          spdlog::warn("{}", describe(frame.failure()));
        break;
      }
      Peer->LastReadAt = monotonicNow();
      if (!handleFrame(Peer, *wire::GetFrame(frame->data()), frame->size()))
        break;
    }
    Peer->Socket->close();
    Connections.erase(Peer);
    // Cancels the handlers whose responses can no longer be delivered.
    std::unordered_map<std::uint64_t, std::shared_ptr<FrameResponseSink>> open;
    open.swap(Peer->OpenRequests);
    for (const std::pair<const std::uint64_t,
                         std::shared_ptr<FrameResponseSink>> &it : open)
      it.second->markGone();
  }

  bool handleFrame(const std::shared_ptr<Connection> &Peer,
                   const wire::Frame &Frame, std::size_t FrameSize) {
    switch (Frame.body_type()) {
    case wire::Body::Request:
      return handleRequest(Peer, *Frame.body_as_Request(), FrameSize);
    case wire::Body::Cancel:
      handleCancel(*Peer, Frame.body_as_Cancel()->id());
      return true;
    case wire::Body::Credit: {
      const wire::Credit &credit = *Frame.body_as_Credit();
      std::unordered_map<std::uint64_t,
                         std::shared_ptr<FrameResponseSink>>::iterator it =
          Peer->OpenRequests.find(credit.id());
      if (it != Peer->OpenRequests.end())
        it->second->addCredit(credit.bytes());
      return true;
    }
    default:
      return true;
    }
  }

  void handleCancel(Connection &Peer, std::uint64_t Id) {
    std::unordered_map<std::uint64_t,
                       std::shared_ptr<FrameResponseSink>>::iterator it =
        Peer.OpenRequests.find(Id);
    if (it == Peer.OpenRequests.end())
      return;
    std::shared_ptr<FrameResponseSink> sink = it->second;
    Peer.OpenRequests.erase(it);
    sink->markGone();
  }

  /// Returns false if the connection must be closed.
  bool handleRequest(const std::shared_ptr<Connection> &Peer,
                     const wire::Request &Frame, std::size_t FrameSize) {
    std::uint64_t id = Frame.id();
    // Ids increase strictly, so that a repeated frame never runs a request
    // twice.
    if (id <= Peer->LastId) {
      spdlog::warn("request frame {} from {} repeats an id: closing the "
                   "connection",
                   id, Peer->Socket->peer());
      return false;
    }
    Peer->LastId = id;
    if (Draining) {
      refuse(*Peer, id, FailureCode::Leaving, "this instance is leaving");
      return true;
    }
    if (Peer->OpenRequests.size() >= Setup.MaxRequestsPerConnection) {
      refuse(*Peer, id, FailureCode::Overloaded,
             "too many requests on one connection");
      return true;
    }
    std::uint64_t bytes = HandledRequestBytes + FrameCopies * FrameSize;
    if (Setup.Memory && !Setup.Memory->hasRoomFor(bytes, monotonicNow())) {
      refuse(*Peer, id, FailureCode::Overloaded,
             "requests hold too much memory");
      return true;
    }
    startHandler(Peer, id, readRequest(Frame), Frame.credit(), bytes);
    return true;
  }

  void refuse(Connection &Peer, std::uint64_t Id, FailureCode Code,
              std::string Reason) {
    Failure failure{Verdict::NotRun, Code, Setup.Instance.Text,
                    std::move(Reason), Setup.LoadReportInterval};
    Peer.Socket->send(frames::refusal(Id, failure));
  }

  void startHandler(const std::shared_ptr<Connection> &Peer, std::uint64_t Id,
                    RequestAttempt Attempt, std::uint32_t Credit,
                    std::uint64_t Bytes) {
    std::weak_ptr<Connection> weak = Peer;
    std::shared_ptr<FrameResponseSink> sink =
        std::make_shared<FrameResponseSink>(
            Peer->Socket, Id, Credit, Context.get_executor(), [weak, Id] {
              if (std::shared_ptr<Connection> connection = weak.lock())
                connection->OpenRequests.erase(Id);
            });
    Peer->OpenRequests.emplace(Id, sink);
    ++InFlight;
    Peer->addRequestBytes(Bytes);
    std::shared_ptr<FrameRequestServer> self = shared_from_this();
    asio::co_spawn(Context, Handle(std::move(Attempt), sink),
                   [self, sink, weak, Bytes](const std::exception_ptr &Error) {
                     self->onHandlerDone(*sink, Error);
                     std::shared_ptr<Connection> connection = weak.lock();
                     if (!connection)
                       return;
                     connection->addRequestBytes(-Bytes);
                     self->sendLoadsWithResponse(*connection);
                   });
  }

  /// Sends a failure if the handler has ended without a response.
  void onHandlerDone(FrameResponseSink &Sink, const std::exception_ptr &Error) {
    --InFlight;
    if (Sink.finished())
      return;
    std::string reason = "the handler ended without a response";
    if (Error) {
      try {
        std::rethrow_exception(Error);
      } catch (const std::exception &error) {
        reason = error.what();
      }
      spdlog::error("request handler: {}", reason);
    }
    Sink.fail(Failure{Verdict::MayHaveRun,
                      FailureCode::Internal,
                      Setup.Instance.Text,
                      reason,
                      {}});
  }

  /// Sends a load report along with a response. Active clients get recent
  /// loads; idle ones cause no extra traffic.
  void sendLoadsWithResponse(Connection &Peer) {
    TimePoint now = monotonicNow();
    if (!LoadSource ||
        now - Peer.LastLoadReportAt < Setup.MinLoadReportInterval)
      return;
    Peer.LastLoadReportAt = now;
    Loads = LoadSource();
    Peer.Socket->send(frames::loads(Loads, Leaving));
  }

  asio::awaitable<void> reportLoop() {
    while (!Stopped) {
      ReportTimer.expires_after(Setup.LoadReportInterval);
      co_await ReportTimer.async_wait(Awaited);
      closeUnresponsive();
      if (Setup.Memory)
        Setup.Memory->releaseFreed(monotonicNow());
      pushLoads(Setup.LoadReportInterval / 2);
    }
  }

  void closeUnresponsive() {
    TimePoint now = monotonicNow();
    for (const std::shared_ptr<Connection> &it : Connections) {
      if (now - it->LastReadAt > Setup.HeartbeatTimeout) {
        spdlog::warn("no frame from {} for {} ms: closing the connection",
                     it->Socket->peer(), Setup.HeartbeatTimeout.count());
        it->Socket->close();
      }
    }
  }

  /// Sends a load report on each connection whose last one is at least `MinAge`
  /// old.
  void pushLoads(Millis MinAge) {
    FrameBytes frame = frames::loads(Loads, Leaving);
    TimePoint now = monotonicNow();
    for (const std::shared_ptr<Connection> &it : Connections) {
      if (now - it->LastLoadReportAt < MinAge)
        continue;
      it->LastLoadReportAt = now;
      it->Socket->send(frame);
    }
  }

  asio::io_context &Context;
  const Settings Setup;
  const Handler Handle;
  tcp::acceptor Acceptor;
  BootTimer ReportTimer;
  Address BoundAddress;
  std::set<std::shared_ptr<Connection>> Connections;
  std::vector<ReportedLoad> Loads;
  std::function<std::vector<ReportedLoad>()> LoadSource;
  std::size_t InFlight = 0;
  bool Leaving = false;
  bool Draining = false;
  bool Stopped = false;
};

} // namespace

Result<std::shared_ptr<RequestServer>>
RequestServer::create(asio::io_context &Context, Settings Setup,
                      Handler Handle) {
  std::shared_ptr<FrameRequestServer> server =
      std::make_shared<FrameRequestServer>(Context, std::move(Setup),
                                           std::move(Handle));
  BOOST_LEAF_CHECK(server->listen());
  server->start();
  return std::shared_ptr<RequestServer>(server);
}

} // namespace wasabi
