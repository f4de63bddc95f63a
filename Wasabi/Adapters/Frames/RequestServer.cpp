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
/// Longest wait of a writer before it looks again whether it is still wanted.
constexpr Millis CreditWait{1000};
/// Pause after a failed accept (no file descriptors left, say).
constexpr Millis AcceptPause{50};

std::string textOf(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

RequestAttempt readRequest(const wire::Request &From) {
  RequestAttempt attempt;
  attempt.Request = textOf(From.request());
  attempt.Attempt = From.attempt();
  attempt.Service = ServiceName(textOf(From.service()));
  attempt.Server = ServerName(textOf(From.server()));
  attempt.Http.Method = textOf(From.method());
  attempt.Http.Target = textOf(From.target());
  if (From.headers()) {
    attempt.Http.Headers.reserve(From.headers()->size());
    for (const wire::Header *it : *From.headers())
      attempt.Http.Headers.push_back(
          http::Header{textOf(it->name()), textOf(it->value())});
  }
  if (From.body())
    attempt.Http.Body.assign(
        reinterpret_cast<const char *>(From.body()->data()),
        From.body()->size());
  attempt.Idempotent = From.idempotent();
  attempt.Key = textOf(From.key());
  attempt.Deadline = Millis(From.deadline_ms());
  attempt.Priority = From.priority();
  attempt.Caller = textOf(From.caller());
  attempt.Trainer = TrainerName(textOf(From.trainer()));
  attempt.Slot = textOf(From.slot());
  return attempt;
}

/// The answer to one request on one connection.
class FrameResponseSink final : public ResponseSink {
public:
  FrameResponseSink(std::shared_ptr<FrameSocket> Socket, std::uint64_t Id,
                    std::uint64_t Credit, const asio::any_io_executor &Executor,
                    std::function<void()> Finish)
      : Socket(std::move(Socket)), Id(Id), Credit(Credit), Changed(Executor),
        Finish(std::move(Finish)) {}

  void begin(http::Response Head, ServerName Server) override {
    if (!Gone)
      Socket->send(frames::head(Id, Head, Server));
  }

  asio::awaitable<Outcome<Done>> write(std::string Bytes) override {
    std::string_view left = Bytes;
    while (!left.empty()) {
      while (!Gone && Credit == 0) {
        Changed.expires_after(CreditWait);
        co_await Changed.async_wait(Awaited);
      }
      if (Gone)
        co_return unwanted();
      std::size_t size =
          std::min<std::uint64_t>({left.size(), Credit, frames::MaxChunkBytes});
      if (!Socket->send(frames::chunk(Id, Sent, left.substr(0, size))))
        co_return unwanted();
      Sent += size;
      Credit -= size;
      left.remove_prefix(size);
    }
    if (Gone)
      co_return unwanted();
    co_return Done{};
  }

  void end() override {
    if (!Finished && !Gone)
      Socket->send(frames::end(Id, Sent));
    finish();
  }

  void fail(Failure Why) override {
    if (!Finished && !Gone)
      Socket->send(frames::refusal(Id, Why));
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
    Credit += Bytes;
    Changed.cancel();
  }

  void becomeGone() {
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
  Failure unwanted() const {
    return Failure{Verdict::MayHaveRun,
                   FailureCode::Cancelled,
                   Socket->peer(),
                   "the asker cancelled or is gone",
                   {}};
  }

  void finish() {
    if (Finished)
      return;
    Finished = true;
    GoneCallback = {};
    Finish();
  }

  const std::shared_ptr<FrameSocket> Socket;
  const std::uint64_t Id;
  std::uint64_t Credit;
  std::uint64_t Sent = 0;
  BootTimer Changed;
  std::function<void()> Finish;
  std::function<void()> GoneCallback;
  bool Gone = false;
  bool Finished = false;
};

struct Connection {
  std::shared_ptr<FrameSocket> Socket;
  std::unordered_map<std::uint64_t, std::shared_ptr<FrameResponseSink>> Open;
  std::uint64_t LastId = 0;
  TimePoint LastHeard;
  /// When the last load report went.
  TimePoint LastLoads;
};

class FrameRequestServer final
    : public RequestServer,
      public std::enable_shared_from_this<FrameRequestServer> {
public:
  FrameRequestServer(asio::io_context &Context, Settings Setup, Handler Handle)
      : Context(Context), Setup(std::move(Setup)), Handle(std::move(Handle)),
        Acceptor(Context), Tick(Context) {}

  Result<Done> listen() {
    boost::system::error_code ec;
    asio::ip::address host = asio::ip::make_address(Setup.Listen.Host, ec);
    tcp::endpoint where(host, Setup.Listen.Port);
    if (!ec)
      Acceptor.open(where.protocol(), ec);
    // A port that the kernel chooses must be ours alone: shared, it could be
    // given to a second process before either listens.
    bool chosen = Setup.Listen.Port != 0;
    if (!ec)
      Acceptor.set_option(tcp::acceptor::reuse_address(chosen), ec);
    if (!ec)
      Acceptor.bind(where, ec);
    // Connections that outlive this listener must not keep its successor out.
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
    Bound = Address{bound.address().to_string(), bound.port()};
    return Done{};
  }

  void start() {
    std::shared_ptr<FrameRequestServer> self = shared_from_this();
    asio::co_spawn(
        Context, [self]() -> asio::awaitable<void> { return self->accept(); },
        asio::detached);
    asio::co_spawn(
        Context, [self]() -> asio::awaitable<void> { return self->report(); },
        asio::detached);
  }

  Address address() const override { return Bound; }

  void setLoads(std::vector<ReportedLoad> NewLoads, bool NewLeaving) override {
    bool urgent = NewLeaving != Leaving || serveOtherwise(NewLoads);
    Loads = std::move(NewLoads);
    Leaving = NewLeaving;
    if (urgent)
      pushLoads(Millis(0));
  }

  /// Whether some server begins or ceases to take work, or has other weights:
  /// what askers must not learn late.
  bool serveOtherwise(const std::vector<ReportedLoad> &Now) const {
    return !std::equal(Now.begin(), Now.end(), Loads.begin(), Loads.end(),
                       [](const ReportedLoad &One, const ReportedLoad &Other) {
                         return One.Server == Other.Server &&
                                One.Serving == Other.Serving &&
                                One.Version == Other.Version;
                       });
  }

  void
  setLoadSource(std::function<std::vector<ReportedLoad>()> NewSource) override {
    Source = std::move(NewSource);
  }

  std::size_t inFlight() const override { return InFlight; }

  std::size_t unsentBytes() const override {
    std::size_t sum = 0;
    for (const std::shared_ptr<Connection> &it : Connections)
      sum += it->Socket->queued();
    return sum;
  }

  void drain() override { Draining = true; }

  void stop() override {
    Stopped = true;
    boost::system::error_code ec;
    Acceptor.close(ec);
    Tick.cancel();
    std::set<std::shared_ptr<Connection>> closing = Connections;
    for (const std::shared_ptr<Connection> &it : closing)
      it->Socket->close();
  }

private:
  asio::awaitable<void> accept() {
    while (!Stopped) {
      std::tuple<boost::system::error_code, tcp::socket> got =
          co_await Acceptor.async_accept(Awaited);
      if (Stopped)
        break;
      if (std::get<0>(got)) {
        spdlog::warn("accept on {}: {}", toText(Bound),
                     std::get<0>(got).message());
        BootTimer pause(Context, AcceptPause);
        co_await pause.async_wait(Awaited);
        continue;
      }
      if (Connections.size() >= Setup.MaxConnections) {
        spdlog::warn("more than {} connections: one is closed",
                     Setup.MaxConnections);
        continue;
      }
      serve(std::move(std::get<1>(got)));
    }
  }

  void serve(tcp::socket Socket) {
    std::shared_ptr<Connection> connection = std::make_shared<Connection>();
    connection->Socket =
        FrameSocket::adopt(std::move(Socket), FrameSocket::Settings());
    connection->LastHeard = monotonicNow();
    Connections.insert(connection);
    connection->Socket->send(
        frames::hello(Setup.Instance, Setup.Domain, Setup.Life));
    connection->Socket->send(frames::loads(Loads, Leaving));
    std::shared_ptr<FrameRequestServer> self = shared_from_this();
    asio::co_spawn(
        Context,
        [self, connection]() -> asio::awaitable<void> {
          return self->receiveAll(connection);
        },
        asio::detached);
  }

  asio::awaitable<void> receiveAll(std::shared_ptr<Connection> From) {
    for (;;) {
      Outcome<FrameBytes> frame = co_await From->Socket->receive();
      if (!frame) {
        if (frame.failure().Code == FailureCode::BadInput)
          spdlog::warn("{}", describe(frame.failure()));
        break;
      }
      From->LastHeard = monotonicNow();
      if (!take(From, *wire::GetFrame(frame->data())))
        break;
    }
    From->Socket->close();
    Connections.erase(From);
    // Nobody can take these answers any more: their work is given up.
    std::unordered_map<std::uint64_t, std::shared_ptr<FrameResponseSink>> open;
    open.swap(From->Open);
    for (const std::pair<const std::uint64_t,
                         std::shared_ptr<FrameResponseSink>> &it : open)
      it.second->becomeGone();
  }

  bool take(const std::shared_ptr<Connection> &From, const wire::Frame &Frame) {
    switch (Frame.body_type()) {
    case wire::Body::Request:
      return takeRequest(From, *Frame.body_as_Request());
    case wire::Body::Cancel:
      takeCancel(*From, Frame.body_as_Cancel()->id());
      return true;
    case wire::Body::Credit: {
      const wire::Credit &credit = *Frame.body_as_Credit();
      std::unordered_map<std::uint64_t,
                         std::shared_ptr<FrameResponseSink>>::iterator it =
          From->Open.find(credit.id());
      if (it != From->Open.end())
        it->second->addCredit(credit.bytes());
      return true;
    }
    default:
      return true;
    }
  }

  void takeCancel(Connection &From, std::uint64_t Id) {
    std::unordered_map<std::uint64_t,
                       std::shared_ptr<FrameResponseSink>>::iterator it =
        From.Open.find(Id);
    if (it == From.Open.end())
      return;
    std::shared_ptr<FrameResponseSink> sink = it->second;
    From.Open.erase(it);
    sink->becomeGone();
  }

  /// False ends the connection.
  bool takeRequest(const std::shared_ptr<Connection> &From,
                   const wire::Request &Frame) {
    std::uint64_t id = Frame.id();
    // Ids only grow: a repeated frame must never run a request twice.
    if (id <= From->LastId) {
      spdlog::warn("request frame {} from {} repeats an id: closing the "
                   "connection",
                   id, From->Socket->peer());
      return false;
    }
    From->LastId = id;
    if (Draining) {
      refuse(*From, id, FailureCode::Leaving, "this instance is leaving");
      return true;
    }
    if (From->Open.size() >= Setup.MaxRequestsPerConnection) {
      refuse(*From, id, FailureCode::Overloaded,
             "too many requests on one connection");
      return true;
    }
    run(From, id, readRequest(Frame), Frame.credit());
    return true;
  }

  void refuse(Connection &To, std::uint64_t Id, FailureCode Code,
              std::string Reason) {
    Failure why{Verdict::NotRun, Code, Setup.Instance.Text, std::move(Reason),
                Setup.LoadReportInterval};
    To.Socket->send(frames::refusal(Id, why));
  }

  void run(const std::shared_ptr<Connection> &From, std::uint64_t Id,
           RequestAttempt Attempt, std::uint32_t Credit) {
    std::weak_ptr<Connection> weak = From;
    std::shared_ptr<FrameResponseSink> sink =
        std::make_shared<FrameResponseSink>(
            From->Socket, Id, Credit, Context.get_executor(), [weak, Id] {
              if (std::shared_ptr<Connection> held = weak.lock())
                held->Open.erase(Id);
            });
    From->Open.emplace(Id, sink);
    ++InFlight;
    std::shared_ptr<FrameRequestServer> self = shared_from_this();
    asio::co_spawn(Context, Handle(std::move(Attempt), sink),
                   [self, sink, weak](const std::exception_ptr &Thrown) {
                     self->handled(*sink, Thrown);
                     if (std::shared_ptr<Connection> held = weak.lock())
                       self->reportWithAnswer(*held);
                   });
  }

  /// A handler that ends without an answer still owes the asker the truth.
  void handled(FrameResponseSink &Sink, const std::exception_ptr &Thrown) {
    --InFlight;
    if (Sink.finished())
      return;
    std::string reason = "the handler ended without an answer";
    if (Thrown) {
      try {
        std::rethrow_exception(Thrown);
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

  /// Whoever is busy here learns soon what the others do; who is not costs
  /// nothing.
  void reportWithAnswer(Connection &To) {
    TimePoint now = monotonicNow();
    if (!Source || now - To.LastLoads < Setup.MinLoadReportInterval)
      return;
    To.LastLoads = now;
    Loads = Source();
    To.Socket->send(frames::loads(Loads, Leaving));
  }

  asio::awaitable<void> report() {
    while (!Stopped) {
      Tick.expires_after(Setup.LoadReportInterval);
      co_await Tick.async_wait(Awaited);
      closeSilent();
      pushLoads(Setup.LoadReportInterval / 2);
    }
  }

  void closeSilent() {
    TimePoint now = monotonicNow();
    for (const std::shared_ptr<Connection> &it : Connections) {
      if (now - it->LastHeard > Setup.SilenceLimit) {
        spdlog::warn("{} was silent for {} ms: closing the connection",
                     it->Socket->peer(), Setup.SilenceLimit.count());
        it->Socket->close();
      }
    }
  }

  /// Sends a report to all but those that had one within `Since`.
  void pushLoads(Millis Since) {
    FrameBytes frame = frames::loads(Loads, Leaving);
    TimePoint now = monotonicNow();
    for (const std::shared_ptr<Connection> &it : Connections) {
      if (now - it->LastLoads < Since)
        continue;
      it->LastLoads = now;
      it->Socket->send(frame);
    }
  }

  asio::io_context &Context;
  const Settings Setup;
  const Handler Handle;
  tcp::acceptor Acceptor;
  BootTimer Tick;
  Address Bound;
  std::set<std::shared_ptr<Connection>> Connections;
  std::vector<ReportedLoad> Loads;
  std::function<std::vector<ReportedLoad>()> Source;
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
