#include "Wasabi/Adapters/Frames/RequestClient.h"

#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"
#include "Wasabi/Adapters/Frames/RequestFrames.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <tuple>
#include <unordered_map>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
/// Upper bound of the back-off after the first failed connect.
constexpr Millis InitialBackOff{20};

std::string toStdString(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

Failure makeLostFailure(const std::string &Place, std::string Reason) {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::ConnectionLost,
                 Place,
                 std::move(Reason),
                 {}};
}

/// The received part of a response, shared by its reader and its connection.
struct PendingResponse {
  explicit PendingResponse(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  std::string Request;
  std::optional<http::Response> Head;
  ServerName Server;
  std::deque<std::string> Chunks;
  std::uint64_t Received = 0;
  bool Ended = false;
  std::optional<Failure> Error;
  /// Cancelled to wake the waiting reader; expires at the deadline of the
  /// reader.
  BootTimer Changed;

  void fail(Failure Cause) {
    if (!Ended && !Error)
      Error = std::move(Cause);
    Changed.cancel();
  }
};

/// The connection to one daemon.
class DaemonConnection : public std::enable_shared_from_this<DaemonConnection> {
public:
  using LoadCallback = std::function<void(
      const Address &, const std::vector<ReportedLoad> &, bool Leaving)>;

  DaemonConnection(asio::any_io_executor Executor, Address Daemon,
                   std::shared_ptr<const RequestClient::Settings> Shared,
                   std::shared_ptr<const LoadCallback> OnLoad)
      : Executor(std::move(Executor)), Daemon(std::move(Daemon)),
        Shared(std::move(Shared)), Setup(*this->Shared),
        OnLoad(std::move(OnLoad)),
        Random(Setup.Seed ^ std::hash<std::string>()(toText(this->Daemon))) {}

  bool isConnected() const { return Socket && Socket->isOpen(); }
  std::size_t inFlight() const { return Responses.size(); }
  TimePoint lastUsedAt() const { return LastUsedAt; }

  /// Starts connecting unless connected, connecting or backing off.
  void start() {
    if (Running || Stopped || monotonicNow() < NextConnectAt)
      return;
    Running = true;
    std::shared_ptr<DaemonConnection> self = shared_from_this();
    asio::co_spawn(
        Executor,
        [self]() -> asio::awaitable<void> { return self->connectAndReceive(); },
        asio::detached);
  }

  /// Waits until the connection is established. Failures, all with `NotRun`:
  /// `Unreachable`, `TimedOut`.
  asio::awaitable<Outcome<Done>> awaitConnection(TimePoint Until) {
    std::shared_ptr<DaemonConnection> self = shared_from_this();
    LastUsedAt = monotonicNow();
    start();
    while (!isConnected()) {
      TimePoint now = monotonicNow();
      if (!Running || Stopped)
        co_return makeUnreachableFailure(now);
      if (now >= Until)
        co_return Failure{Verdict::NotRun,
                          FailureCode::TimedOut,
                          toText(Daemon),
                          "no connection within the deadline",
                          {}};
      BootTimer timer(Executor, Until);
      Waiters.push_back(&timer);
      co_await timer.async_wait(Awaited);
      std::erase(Waiters, &timer);
    }
    co_return Done{};
  }

  /// Sends the attempt. Returns null if nothing of it was sent.
  std::shared_ptr<PendingResponse> send(const RequestAttempt &Attempt,
                                        std::uint64_t &Id) {
    Id = NextId++;
    if (!Socket->send(frames::request(Id, Attempt, Setup.InitialCreditBytes)))
      return nullptr;
    std::shared_ptr<PendingResponse> pending =
        std::make_shared<PendingResponse>(Executor);
    pending->Request = Attempt.Request;
    Responses.emplace(Id, pending);
    return pending;
  }

  void abandon(std::uint64_t Id) {
    if (Responses.erase(Id) > 0 && isConnected())
      Socket->send(frames::cancel(Id));
  }

  void grantCredit(std::uint64_t Id, std::size_t Bytes) {
    if (isConnected() && Responses.contains(Id))
      Socket->send(frames::credit(Id, static_cast<std::uint32_t>(Bytes)));
  }

  void cancel(const std::string &Request) {
    for (const std::pair<const std::uint64_t, std::shared_ptr<PendingResponse>>
             &it : Responses) {
      if (it.second->Request == Request && !it.second->Head)
        it.second->fail(Failure{Verdict::MayHaveRun,
                                FailureCode::Cancelled,
                                toText(Daemon),
                                "cancelled by the client",
                                {}});
    }
  }

  void stop() {
    Stopped = true;
    if (Socket)
      Socket->close();
    wakeWaiters();
  }

private:
  Failure makeUnreachableFailure(TimePoint Now) const {
    Millis remaining{0};
    if (NextConnectAt > Now)
      remaining = std::chrono::ceil<Millis>(NextConnectAt - Now);
    return Failure{Verdict::NotRun, FailureCode::Unreachable, toText(Daemon),
                   LastError, remaining};
  }

  void wakeWaiters() {
    for (BootTimer *it : Waiters)
      it->cancel();
  }

  asio::awaitable<void> connectAndReceive() {
    FrameSocket::Settings limits;
    limits.ConnectTimeout = Setup.ConnectTimeout;
    Outcome<std::shared_ptr<FrameSocket>> socket =
        co_await FrameSocket::connect(Executor, Daemon, limits);
    if (!socket) {
      backOff(socket.failure().Reason);
      co_return;
    }
    Socket = *socket;
    if (Stopped)
      Socket->close();
    Failures = 0;
    LastReadAt = monotonicNow();
    Socket->send(frames::hello(Setup.Instance, Setup.Domain, Setup.Life));
    wakeWaiters();
    std::shared_ptr<DaemonConnection> self = shared_from_this();
    std::shared_ptr<FrameSocket> monitored = Socket;
    asio::co_spawn(
        Executor,
        [self, monitored]() -> asio::awaitable<void> {
          return self->heartbeatLoop(monitored);
        },
        asio::detached);
    co_await receiveLoop();
  }

  asio::awaitable<void> receiveLoop() {
    std::string reason = "closed";
    while (isConnected()) {
      Outcome<FrameBytes> frame = co_await Socket->receive();
      if (!frame) {
        reason = frame.failure().Reason;
        if (frame.failure().Code == FailureCode::BadInput)
          spdlog::warn("{}", describe(frame.failure()));
        break;
      }
      LastReadAt = monotonicNow();
      handleFrame(*wire::GetFrame(frame->data()));
    }
    Socket->close();
    backOff(reason);
  }

  /// Fails all requests that were sent on the lost connection and schedules the
  /// next attempt to connect.
  void backOff(std::string Reason) {
    LastError = std::move(Reason);
    std::unordered_map<std::uint64_t, std::shared_ptr<PendingResponse>> failed;
    failed.swap(Responses);
    for (const std::pair<const std::uint64_t, std::shared_ptr<PendingResponse>>
             &it : failed)
      it.second->fail(
          makeLostFailure("connection to " + toText(Daemon), LastError));
    Socket.reset();

    // Jitter spreads the reconnects of many clients to a restarted daemon.
    Millis maxDelay =
        InitialBackOff * (1 << std::min<std::uint32_t>(Failures, 10));
    maxDelay = std::min(maxDelay, Setup.MaxBackOff);
    std::uniform_int_distribution<std::int64_t> jitter(maxDelay.count() / 2,
                                                       maxDelay.count());
    NextConnectAt = monotonicNow() + Millis(jitter(Random));
    ++Failures;
    Running = false;
    wakeWaiters();
  }

  /// Sends heartbeats, and closes the connection if the daemon is unresponsive.
  asio::awaitable<void> heartbeatLoop(std::shared_ptr<FrameSocket> Monitored) {
    BootTimer timer(Executor);
    while (Monitored->isOpen()) {
      timer.expires_after(Setup.HeartbeatInterval);
      co_await timer.async_wait(Awaited);
      if (!Monitored->isOpen())
        break;
      if (monotonicNow() - LastReadAt > Setup.HeartbeatTimeout) {
        spdlog::warn("no frame from {} for {} ms: closing the connection",
                     toText(Daemon), Setup.HeartbeatTimeout.count());
        Monitored->close();
        break;
      }
      Monitored->send(frames::hello(Setup.Instance, Setup.Domain, Setup.Life));
    }
  }

  void handleFrame(const wire::Frame &Frame) {
    switch (Frame.body_type()) {
    case wire::Body::ResponseHead:
      return handleHead(*Frame.body_as_ResponseHead());
    case wire::Body::ResponseChunk:
      return handleChunk(*Frame.body_as_ResponseChunk());
    case wire::Body::ResponseEnd:
      return handleEnd(*Frame.body_as_ResponseEnd());
    case wire::Body::Refusal:
      return handleRefusal(*Frame.body_as_Refusal());
    case wire::Body::LoadReport:
      return handleLoadReport(*Frame.body_as_LoadReport());
    default:
      return;
    }
  }

  /// Returns null for a response that has no reader any more.
  std::shared_ptr<PendingResponse> find(std::uint64_t Id) {
    std::unordered_map<std::uint64_t,
                       std::shared_ptr<PendingResponse>>::iterator it =
        Responses.find(Id);
    return it == Responses.end() ? nullptr : it->second;
  }

  /// Fails a response after a frame that is out of order.
  void rejectFrame(std::uint64_t Id, PendingResponse &Response,
                   std::string Reason) {
    Response.fail(Failure{Verdict::MayHaveRun,
                          FailureCode::ConnectionLost,
                          "response from " + toText(Daemon),
                          std::move(Reason),
                          {}});
    abandon(Id);
  }

  void handleHead(const wire::ResponseHead &Head) {
    std::shared_ptr<PendingResponse> pending = find(Head.id());
    if (!pending)
      return;
    if (pending->Head)
      return rejectFrame(Head.id(), *pending, "duplicate response head");
    http::Response response;
    response.Status = Head.status();
    if (Head.headers()) {
      response.Headers.reserve(Head.headers()->size());
      for (const wire::Header *it : *Head.headers())
        response.Headers.push_back(
            http::Header{toStdString(it->name()), toStdString(it->value())});
    }
    pending->Head = std::move(response);
    pending->Server = ServerName(toStdString(Head.server()));
    pending->Changed.cancel();
  }

  void handleChunk(const wire::ResponseChunk &Chunk) {
    std::shared_ptr<PendingResponse> pending = find(Chunk.id());
    if (!pending)
      return;
    if (!pending->Head)
      return rejectFrame(Chunk.id(), *pending,
                         "response chunk before the head");
    if (Chunk.position() != pending->Received)
      return rejectFrame(Chunk.id(), *pending,
                         "chunk position " + std::to_string(Chunk.position()) +
                             " does not match " +
                             std::to_string(pending->Received) +
                             " bytes received");
    if (!Chunk.bytes())
      return;
    const flatbuffers::Vector<std::uint8_t> &bytes = *Chunk.bytes();
    pending->Received += bytes.size();
    pending->Chunks.emplace_back(reinterpret_cast<const char *>(bytes.data()),
                                 bytes.size());
    pending->Changed.cancel();
  }

  void handleEnd(const wire::ResponseEnd &End) {
    std::shared_ptr<PendingResponse> pending = find(End.id());
    if (!pending)
      return;
    if (!pending->Head || End.total() != pending->Received)
      return rejectFrame(End.id(), *pending,
                         "ended after " + std::to_string(pending->Received) +
                             " of " + std::to_string(End.total()) + " bytes");
    pending->Ended = true;
    Responses.erase(End.id());
    pending->Changed.cancel();
  }

  void handleRefusal(const wire::Refusal &Refusal) {
    std::shared_ptr<PendingResponse> pending = find(Refusal.id());
    if (!pending)
      return;
    Responses.erase(Refusal.id());
    pending->fail(
        Failure{static_cast<Verdict>(std::min<int>(
                    Refusal.run(), static_cast<int>(Verdict::Ran))),
                static_cast<FailureCode>(std::min<int>(
                    Refusal.code(), static_cast<int>(FailureCode::Internal))),
                toStdString(Refusal.place()), toStdString(Refusal.reason()),
                Millis(Refusal.retry_after_ms())});
  }

  void handleLoadReport(const wire::LoadReport &Report) {
    if (!*OnLoad || !Report.servers())
      return;
    std::vector<ReportedLoad> loads;
    loads.reserve(Report.servers()->size());
    for (const wire::ServerLoad *it : *Report.servers())
      loads.push_back(ReportedLoad{ServerName(toStdString(it->server())),
                                   ServiceName(toStdString(it->service())),
                                   it->running(), it->queued(), it->limit(),
                                   it->version(), it->serving()});
    (*OnLoad)(Daemon, loads, Report.leaving());
  }

  asio::any_io_executor Executor;
  const Address Daemon;
  const std::shared_ptr<const RequestClient::Settings> Shared;
  const RequestClient::Settings &Setup;
  const std::shared_ptr<const LoadCallback> OnLoad;
  std::mt19937_64 Random;
  std::shared_ptr<FrameSocket> Socket;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingResponse>> Responses;
  std::vector<BootTimer *> Waiters;
  std::uint64_t NextId = 1;
  std::uint32_t Failures = 0;
  TimePoint NextConnectAt;
  TimePoint LastReadAt;
  TimePoint LastUsedAt;
  std::string LastError = "not connected";
  bool Running = false;
  bool Stopped = false;
};

class FrameResponseStream final : public DaemonResponseStream {
public:
  FrameResponseStream(std::shared_ptr<DaemonConnection> Connection,
                      std::uint64_t Id, std::shared_ptr<PendingResponse> State)
      : Connection(std::move(Connection)), Id(Id), State(std::move(State)) {}
  ~FrameResponseStream() override { Connection->abandon(Id); }

  const http::Response &head() const override { return *State->Head; }
  const ServerName &server() const override { return State->Server; }

  asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) override {
    // Keeps the state alive if the stream is destroyed during the wait.
    std::shared_ptr<PendingResponse> state = State;
    TimePoint until = monotonicNow() + Timeout;
    while (state->Chunks.empty() && !state->Ended && !state->Error) {
      state->Changed.expires_at(until);
      co_await state->Changed.async_wait(Awaited);
      bool changed = !state->Chunks.empty() || state->Ended || state->Error;
      if (!changed && monotonicNow() >= until)
        co_return Failure{Verdict::MayHaveRun,
                          FailureCode::TimedOut,
                          "response to " + state->Request,
                          "no data within the timeout",
                          {}};
    }
    if (state->Error && state->Error->Code == FailureCode::Cancelled)
      co_return *state->Error;
    if (!state->Chunks.empty()) {
      std::string piece = std::move(state->Chunks.front());
      state->Chunks.pop_front();
      Connection->grantCredit(Id, piece.size());
      co_return std::optional<std::string>(std::move(piece));
    }
    if (state->Error)
      co_return *state->Error;
    co_return std::optional<std::string>();
  }

  void cancel() override {
    State->fail(Failure{Verdict::MayHaveRun,
                        FailureCode::Cancelled,
                        "response to " + State->Request,
                        "cancelled by the reader",
                        {}});
    Connection->abandon(Id);
  }

private:
  std::shared_ptr<DaemonConnection> Connection;
  const std::uint64_t Id;
  std::shared_ptr<PendingResponse> State;
};

class FrameRequestClient final : public RequestClient {
public:
  FrameRequestClient(asio::any_io_executor Executor, Settings Setup)
      : Executor(std::move(Executor)),
        Setup(std::make_shared<const Settings>(std::move(Setup))) {}
  ~FrameRequestClient() override { FrameRequestClient::stop(); }

  asio::awaitable<Outcome<std::unique_ptr<DaemonResponseStream>>>
  open(Address Daemon, RequestAttempt Attempt) override {
    TimePoint until = monotonicNow() + Attempt.Deadline;
    std::shared_ptr<DaemonConnection> connection = connectionTo(Daemon);
    if (!connection->isConnected()) {
      Outcome<Done> connected = co_await connection->awaitConnection(until);
      if (!connected)
        co_return connected.failure();
      Attempt.Deadline = std::chrono::floor<Millis>(until - monotonicNow());
    }
    std::uint64_t id = 0;
    std::shared_ptr<PendingResponse> pending = connection->send(Attempt, id);
    if (!pending)
      co_return Failure{Verdict::NotRun,
                        FailureCode::ConnectionLost,
                        toText(Daemon),
                        "the connection is closed or its send queue is full",
                        {}};

    std::unique_ptr<DaemonResponseStream> stream =
        std::make_unique<FrameResponseStream>(connection, id, pending);
    while (!pending->Head && !pending->Error) {
      if (monotonicNow() >= until)
        co_return Failure{Verdict::MayHaveRun,
                          FailureCode::TimedOut,
                          toText(Daemon),
                          "no response within the deadline",
                          {}};
      pending->Changed.expires_at(until);
      co_await pending->Changed.async_wait(Awaited);
    }
    // Once the head has arrived, later errors are reported by `next`.
    if (!pending->Head)
      co_return *pending->Error;
    co_return std::move(stream);
  }

  void cancel(const std::string &Request) override {
    for (const std::pair<const Address, std::shared_ptr<DaemonConnection>> &it :
         Connections)
      it.second->cancel(Request);
  }

  void connectAhead(Address Daemon) override { connectionTo(Daemon)->start(); }

  void onLoad(DaemonConnection::LoadCallback Callback) override {
    *OnLoad = std::move(Callback);
  }

  std::size_t inFlight() const override {
    std::size_t sum = 0;
    for (const std::pair<const Address, std::shared_ptr<DaemonConnection>> &it :
         Connections)
      sum += it.second->inFlight();
    return sum;
  }

  void stop() override {
    for (const std::pair<const Address, std::shared_ptr<DaemonConnection>> &it :
         Connections)
      it.second->stop();
  }

private:
  std::shared_ptr<DaemonConnection> connectionTo(const Address &Daemon) {
    std::shared_ptr<DaemonConnection> &connection = Connections[Daemon];
    if (!connection)
      connection =
          std::make_shared<DaemonConnection>(Executor, Daemon, Setup, OnLoad);
    return connection;
  }

  asio::any_io_executor Executor;
  const std::shared_ptr<const Settings> Setup;
  const std::shared_ptr<DaemonConnection::LoadCallback> OnLoad =
      std::make_shared<DaemonConnection::LoadCallback>();
  std::map<Address, std::shared_ptr<DaemonConnection>> Connections;
};

} // namespace

std::shared_ptr<RequestClient>
RequestClient::create(asio::any_io_executor Executor, Settings Setup) {
  return std::make_shared<FrameRequestClient>(std::move(Executor),
                                              std::move(Setup));
}

asio::awaitable<Outcome<http::Response>>
readWholeResponse(DaemonResponseStream &Stream, Millis Timeout,
                  std::uint64_t MaxBody) {
  http::Response response = Stream.head();
  TimePoint until = monotonicNow() + Timeout;
  for (;;) {
    Millis remaining = std::chrono::ceil<Millis>(until - monotonicNow());
    Outcome<std::optional<std::string>> piece =
        co_await Stream.next(std::max(remaining, Millis(0)));
    if (!piece)
      co_return piece.failure();
    if (!piece->has_value())
      co_return response;
    response.Body += **piece;
    if (response.Body.size() > MaxBody) {
      Stream.cancel();
      co_return Failure{Verdict::Ran,
                        FailureCode::Internal,
                        "response body",
                        "more than " + std::to_string(MaxBody) + " bytes",
                        {}};
    }
  }
}

} // namespace wasabi
