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
/// The first back-off after a failed connect.
constexpr Millis FirstBackOff{20};

std::string textOf(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

Failure lost(const std::string &Place, std::string Reason) {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::ConnectionLost,
                 Place,
                 std::move(Reason),
                 {}};
}

/// What has arrived of one answer. Shared by its reader and its connection.
struct Answer {
  explicit Answer(const asio::any_io_executor &Executor) : Changed(Executor) {}

  std::string Request;
  std::optional<http::Response> Head;
  ServerName Server;
  std::deque<std::string> Pieces;
  std::uint64_t Received = 0;
  bool Ended = false;
  std::optional<Failure> Broken;
  /// Ended by cancelling: whoever waits looks again.
  BootTimer Changed;

  void breakOff(Failure Why) {
    if (!Ended && !Broken)
      Broken = std::move(Why);
    Changed.cancel();
  }
};

/// The one connection to one daemon.
class Link : public std::enable_shared_from_this<Link> {
public:
  using LoadCallback = std::function<void(
      const Address &, const std::vector<ReportedLoad> &, bool Leaving)>;

  Link(asio::any_io_executor Executor, Address Where,
       std::shared_ptr<const RequestClient::Settings> Shared,
       std::shared_ptr<const LoadCallback> Loads)
      : Executor(std::move(Executor)), Where(std::move(Where)),
        Shared(std::move(Shared)), Setup(*this->Shared),
        Loads(std::move(Loads)),
        Random(Setup.Seed ^ std::hash<std::string>()(toText(this->Where))) {}

  bool isUp() const { return Socket && Socket->isOpen(); }
  std::size_t inFlight() const { return Answers.size(); }
  TimePoint lastUse() const { return LastUse; }

  /// Starts to connect unless connected, connecting or backing off.
  void start() {
    if (Running || Stopped || monotonicNow() < NextTry)
      return;
    Running = true;
    std::shared_ptr<Link> self = shared_from_this();
    asio::co_spawn(
        Executor, [self]() -> asio::awaitable<void> { return self->run(); },
        asio::detached);
  }

  /// Waits for the connection. Failures: `Unreachable`, `NotRun`.
  asio::awaitable<Outcome<Done>> ready(TimePoint Until) {
    std::shared_ptr<Link> self = shared_from_this();
    LastUse = monotonicNow();
    start();
    while (!isUp()) {
      TimePoint now = monotonicNow();
      if (!Running || Stopped)
        co_return unreachable(now);
      if (now >= Until)
        co_return Failure{Verdict::NotRun,
                          FailureCode::TimedOut,
                          toText(Where),
                          "no connection within the deadline",
                          {}};
      BootTimer timer(Executor, Until);
      Waiting.push_back(&timer);
      co_await timer.async_wait(Awaited);
      std::erase(Waiting, &timer);
    }
    co_return Done{};
  }

  /// Sends the attempt; null when nothing of it was sent.
  std::shared_ptr<Answer> send(const RequestAttempt &What, std::uint64_t &Id) {
    Id = NextId++;
    if (!Socket->send(frames::request(Id, What, Setup.Credit)))
      return nullptr;
    std::shared_ptr<Answer> answer = std::make_shared<Answer>(Executor);
    answer->Request = What.Request;
    Answers.emplace(Id, answer);
    return answer;
  }

  void giveUp(std::uint64_t Id) {
    if (Answers.erase(Id) > 0 && isUp())
      Socket->send(frames::cancel(Id));
  }

  void giveCredit(std::uint64_t Id, std::size_t Bytes) {
    if (isUp() && Answers.contains(Id))
      Socket->send(frames::credit(Id, static_cast<std::uint32_t>(Bytes)));
  }

  void cancel(const std::string &Request) {
    for (const std::pair<const std::uint64_t, std::shared_ptr<Answer>> &it :
         Answers) {
      if (it.second->Request == Request && !it.second->Head)
        it.second->breakOff(Failure{Verdict::MayHaveRun,
                                    FailureCode::Cancelled,
                                    toText(Where),
                                    "cancelled by the asker",
                                    {}});
    }
  }

  void stop() {
    Stopped = true;
    if (Socket)
      Socket->close();
    wakeAll();
  }

private:
  Failure unreachable(TimePoint Now) const {
    Millis left{0};
    if (NextTry > Now)
      left = std::chrono::ceil<Millis>(NextTry - Now);
    return Failure{Verdict::NotRun, FailureCode::Unreachable, toText(Where),
                   LastError, left};
  }

  void wakeAll() {
    for (BootTimer *it : Waiting)
      it->cancel();
  }

  asio::awaitable<void> run() {
    FrameSocket::Settings limits;
    limits.ConnectTimeout = Setup.ConnectTimeout;
    Outcome<std::shared_ptr<FrameSocket>> socket =
        co_await FrameSocket::connect(Executor, Where, limits);
    if (!socket) {
      backOff(socket.failure().Reason);
      co_return;
    }
    Socket = *socket;
    if (Stopped)
      Socket->close();
    Failures = 0;
    LastHeard = monotonicNow();
    Socket->send(frames::hello(Setup.Instance, Setup.Domain, Setup.Life));
    wakeAll();
    std::shared_ptr<Link> self = shared_from_this();
    std::shared_ptr<FrameSocket> watched = Socket;
    asio::co_spawn(
        Executor,
        [self, watched]() -> asio::awaitable<void> {
          return self->watch(watched);
        },
        asio::detached);
    co_await receiveAll();
  }

  asio::awaitable<void> receiveAll() {
    std::string reason = "closed";
    while (isUp()) {
      Outcome<FrameBytes> frame = co_await Socket->receive();
      if (!frame) {
        reason = frame.failure().Reason;
        if (frame.failure().Code == FailureCode::BadInput)
          spdlog::warn("{}", describe(frame.failure()));
        break;
      }
      LastHeard = monotonicNow();
      take(*wire::GetFrame(frame->data()));
    }
    Socket->close();
    backOff(reason);
  }

  /// The connection is gone: all that was asked on it may have run.
  void backOff(std::string Reason) {
    LastError = std::move(Reason);
    std::unordered_map<std::uint64_t, std::shared_ptr<Answer>> broken;
    broken.swap(Answers);
    for (const std::pair<const std::uint64_t, std::shared_ptr<Answer>> &it :
         broken)
      it.second->breakOff(lost("connection to " + toText(Where), LastError));
    Socket.reset();

    // Jitter keeps the askers of a returning daemon from coming all at once.
    Millis most = FirstBackOff * (1 << std::min<std::uint32_t>(Failures, 10));
    most = std::min(most, Setup.MaxBackOff);
    std::uniform_int_distribution<std::int64_t> spread(most.count() / 2,
                                                       most.count());
    NextTry = monotonicNow() + Millis(spread(Random));
    ++Failures;
    Running = false;
    wakeAll();
  }

  /// Sends signs of life, and closes a connection that gives none.
  asio::awaitable<void> watch(std::shared_ptr<FrameSocket> Watched) {
    BootTimer timer(Executor);
    while (Watched->isOpen()) {
      timer.expires_after(Setup.HeartbeatInterval);
      co_await timer.async_wait(Awaited);
      if (!Watched->isOpen())
        break;
      if (monotonicNow() - LastHeard > Setup.SilenceLimit) {
        spdlog::warn("{} was silent for {} ms: closing the connection",
                     toText(Where), Setup.SilenceLimit.count());
        Watched->close();
        break;
      }
      Watched->send(frames::hello(Setup.Instance, Setup.Domain, Setup.Life));
    }
  }

  void take(const wire::Frame &Frame) {
    switch (Frame.body_type()) {
    case wire::Body::ResponseHead:
      return takeHead(*Frame.body_as_ResponseHead());
    case wire::Body::ResponseChunk:
      return takeChunk(*Frame.body_as_ResponseChunk());
    case wire::Body::ResponseEnd:
      return takeEnd(*Frame.body_as_ResponseEnd());
    case wire::Body::Refusal:
      return takeRefusal(*Frame.body_as_Refusal());
    case wire::Body::LoadReport:
      return takeLoads(*Frame.body_as_LoadReport());
    default:
      return;
    }
  }

  /// Null for an answer that nobody waits for any more: it is dropped.
  std::shared_ptr<Answer> find(std::uint64_t Id) {
    std::unordered_map<std::uint64_t, std::shared_ptr<Answer>>::iterator it =
        Answers.find(Id);
    return it == Answers.end() ? nullptr : it->second;
  }

  /// A frame out of its order: the answer can never be proved whole.
  void refuse(std::uint64_t Id, Answer &Broken, std::string Reason) {
    Broken.breakOff(Failure{Verdict::MayHaveRun,
                            FailureCode::ConnectionLost,
                            "answer from " + toText(Where),
                            std::move(Reason),
                            {}});
    giveUp(Id);
  }

  void takeHead(const wire::ResponseHead &Head) {
    std::shared_ptr<Answer> answer = find(Head.id());
    if (!answer)
      return;
    if (answer->Head)
      return refuse(Head.id(), *answer, "a second head");
    http::Response response;
    response.Status = Head.status();
    if (Head.headers()) {
      response.Headers.reserve(Head.headers()->size());
      for (const wire::Header *it : *Head.headers())
        response.Headers.push_back(
            http::Header{textOf(it->name()), textOf(it->value())});
    }
    answer->Head = std::move(response);
    answer->Server = ServerName(textOf(Head.server()));
    answer->Changed.cancel();
  }

  void takeChunk(const wire::ResponseChunk &Chunk) {
    std::shared_ptr<Answer> answer = find(Chunk.id());
    if (!answer)
      return;
    if (!answer->Head)
      return refuse(Chunk.id(), *answer, "a chunk before the head");
    if (Chunk.position() != answer->Received)
      return refuse(Chunk.id(), *answer,
                    "a chunk at " + std::to_string(Chunk.position()) +
                        " where " + std::to_string(answer->Received) +
                        " was due");
    if (!Chunk.bytes())
      return;
    const flatbuffers::Vector<std::uint8_t> &bytes = *Chunk.bytes();
    answer->Received += bytes.size();
    answer->Pieces.emplace_back(reinterpret_cast<const char *>(bytes.data()),
                                bytes.size());
    answer->Changed.cancel();
  }

  void takeEnd(const wire::ResponseEnd &End) {
    std::shared_ptr<Answer> answer = find(End.id());
    if (!answer)
      return;
    if (!answer->Head || End.total() != answer->Received)
      return refuse(End.id(), *answer,
                    "it ended after " + std::to_string(answer->Received) +
                        " of " + std::to_string(End.total()) + " bytes");
    answer->Ended = true;
    Answers.erase(End.id());
    answer->Changed.cancel();
  }

  void takeRefusal(const wire::Refusal &Refusal) {
    std::shared_ptr<Answer> answer = find(Refusal.id());
    if (!answer)
      return;
    Answers.erase(Refusal.id());
    answer->breakOff(
        Failure{static_cast<Verdict>(std::min<int>(
                    Refusal.run(), static_cast<int>(Verdict::Ran))),
                static_cast<FailureCode>(std::min<int>(
                    Refusal.code(), static_cast<int>(FailureCode::Internal))),
                textOf(Refusal.place()), textOf(Refusal.reason()),
                Millis(Refusal.retry_after_ms())});
  }

  void takeLoads(const wire::LoadReport &Report) {
    if (!*Loads || !Report.servers())
      return;
    std::vector<ReportedLoad> seen;
    seen.reserve(Report.servers()->size());
    for (const wire::ServerLoad *it : *Report.servers())
      seen.push_back(ReportedLoad{ServerName(textOf(it->server())),
                                  ServiceName(textOf(it->service())),
                                  it->running(), it->queued(), it->limit(),
                                  it->version(), it->serving()});
    (*Loads)(Where, seen, Report.leaving());
  }

  asio::any_io_executor Executor;
  const Address Where;
  const std::shared_ptr<const RequestClient::Settings> Shared;
  const RequestClient::Settings &Setup;
  const std::shared_ptr<const LoadCallback> Loads;
  std::mt19937_64 Random;
  std::shared_ptr<FrameSocket> Socket;
  std::unordered_map<std::uint64_t, std::shared_ptr<Answer>> Answers;
  std::vector<BootTimer *> Waiting;
  std::uint64_t NextId = 1;
  std::uint32_t Failures = 0;
  TimePoint NextTry;
  TimePoint LastHeard;
  TimePoint LastUse;
  std::string LastError = "not connected";
  bool Running = false;
  bool Stopped = false;
};

class FrameResponseStream final : public DaemonResponseStream {
public:
  FrameResponseStream(std::shared_ptr<Link> Through, std::uint64_t Id,
                      std::shared_ptr<Answer> Held)
      : Through(std::move(Through)), Id(Id), Held(std::move(Held)) {}
  ~FrameResponseStream() override { Through->giveUp(Id); }

  const http::Response &head() const override { return *Held->Head; }
  const ServerName &server() const override { return Held->Server; }

  asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) override {
    // The state outlives this stream when it is destroyed meanwhile.
    std::shared_ptr<Answer> held = Held;
    TimePoint until = monotonicNow() + Timeout;
    while (held->Pieces.empty() && !held->Ended && !held->Broken) {
      held->Changed.expires_at(until);
      co_await held->Changed.async_wait(Awaited);
      bool changed = !held->Pieces.empty() || held->Ended || held->Broken;
      if (!changed && monotonicNow() >= until)
        co_return Failure{Verdict::MayHaveRun,
                          FailureCode::TimedOut,
                          "answer of " + held->Request,
                          "no more of it in time",
                          {}};
    }
    if (held->Broken && held->Broken->Code == FailureCode::Cancelled)
      co_return *held->Broken;
    if (!held->Pieces.empty()) {
      std::string piece = std::move(held->Pieces.front());
      held->Pieces.pop_front();
      Through->giveCredit(Id, piece.size());
      co_return std::optional<std::string>(std::move(piece));
    }
    if (held->Broken)
      co_return *held->Broken;
    co_return std::optional<std::string>();
  }

  void cancel() override {
    Held->breakOff(Failure{Verdict::MayHaveRun,
                           FailureCode::Cancelled,
                           "answer of " + Held->Request,
                           "cancelled by its reader",
                           {}});
    Through->giveUp(Id);
  }

private:
  std::shared_ptr<Link> Through;
  const std::uint64_t Id;
  std::shared_ptr<Answer> Held;
};

class FrameRequestClient final : public RequestClient {
public:
  FrameRequestClient(asio::any_io_executor Executor, Settings Setup)
      : Executor(std::move(Executor)),
        Setup(std::make_shared<const Settings>(std::move(Setup))) {}
  ~FrameRequestClient() override { FrameRequestClient::stop(); }

  asio::awaitable<Outcome<std::unique_ptr<DaemonResponseStream>>>
  open(Address Where, RequestAttempt Attempt) override {
    TimePoint until = monotonicNow() + Attempt.Deadline;
    std::shared_ptr<Link> link = linkTo(Where);
    if (!link->isUp()) {
      Outcome<Done> ready = co_await link->ready(until);
      if (!ready)
        co_return ready.failure();
      Attempt.Deadline = std::chrono::floor<Millis>(until - monotonicNow());
    }
    std::uint64_t id = 0;
    std::shared_ptr<Answer> answer = link->send(Attempt, id);
    if (!answer)
      co_return Failure{Verdict::NotRun,
                        FailureCode::ConnectionLost,
                        toText(Where),
                        "the connection is closed or full",
                        {}};

    std::unique_ptr<DaemonResponseStream> stream =
        std::make_unique<FrameResponseStream>(link, id, answer);
    while (!answer->Head && !answer->Broken) {
      if (monotonicNow() >= until)
        co_return Failure{Verdict::MayHaveRun,
                          FailureCode::TimedOut,
                          toText(Where),
                          "no answer within the deadline",
                          {}};
      answer->Changed.expires_at(until);
      co_await answer->Changed.async_wait(Awaited);
    }
    // A head followed by a break is still an answer that began.
    if (!answer->Head)
      co_return *answer->Broken;
    co_return std::move(stream);
  }

  void cancel(const std::string &Request) override {
    for (const std::pair<const Address, std::shared_ptr<Link>> &it : Links)
      it.second->cancel(Request);
  }

  void connectAhead(Address Where) override { linkTo(Where)->start(); }

  void onLoad(Link::LoadCallback Callback) override {
    *Loads = std::move(Callback);
  }

  std::size_t inFlight() const override {
    std::size_t sum = 0;
    for (const std::pair<const Address, std::shared_ptr<Link>> &it : Links)
      sum += it.second->inFlight();
    return sum;
  }

  void stop() override {
    for (const std::pair<const Address, std::shared_ptr<Link>> &it : Links)
      it.second->stop();
  }

private:
  std::shared_ptr<Link> linkTo(const Address &Where) {
    std::shared_ptr<Link> &link = Links[Where];
    if (!link)
      link = std::make_shared<Link>(Executor, Where, Setup, Loads);
    return link;
  }

  asio::any_io_executor Executor;
  const std::shared_ptr<const Settings> Setup;
  const std::shared_ptr<Link::LoadCallback> Loads =
      std::make_shared<Link::LoadCallback>();
  std::map<Address, std::shared_ptr<Link>> Links;
};

} // namespace

std::shared_ptr<RequestClient>
RequestClient::create(asio::any_io_executor Executor, Settings Setup) {
  return std::make_shared<FrameRequestClient>(std::move(Executor),
                                              std::move(Setup));
}

asio::awaitable<Outcome<http::Response>>
readWhole(DaemonResponseStream &Stream, Millis Timeout, std::uint64_t MaxBody) {
  http::Response whole = Stream.head();
  TimePoint until = monotonicNow() + Timeout;
  for (;;) {
    Millis left = std::chrono::ceil<Millis>(until - monotonicNow());
    Outcome<std::optional<std::string>> piece =
        co_await Stream.next(std::max(left, Millis(0)));
    if (!piece)
      co_return piece.failure();
    if (!piece->has_value())
      co_return whole;
    whole.Body += **piece;
    if (whole.Body.size() > MaxBody) {
      Stream.cancel();
      co_return Failure{Verdict::Ran,
                        FailureCode::Internal,
                        "answer's body",
                        "more than " + std::to_string(MaxBody) + " bytes",
                        {}};
    }
  }
}

} // namespace wasabi
