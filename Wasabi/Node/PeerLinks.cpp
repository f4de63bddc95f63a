#include "Wasabi/Node/PeerLinks.h"

#include "Wasabi/Adapters/Frames/FrameSocket.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <optional>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
constexpr std::size_t PrefixBytes = 4;

} // namespace

/// One question that waits for its answer.
struct PeerLinks::PendingRequest {
  explicit PendingRequest(const asio::any_io_executor &Executor)
      : Timer(Executor) {}
  BootTimer Timer;
  std::optional<Outcome<ControlMessage>> Answer;

  void settle(Outcome<ControlMessage> With) {
    Answer.emplace(std::move(With));
    Timer.cancel();
  }
};

struct PeerLinks::Link {
  /// Null while the connection is being opened.
  std::shared_ptr<FrameSocket> Socket;
  std::deque<FrameBytes> Waiting;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> Questions;
  TimePoint LastUsed;
  bool Dropped = false;
};

std::shared_ptr<PeerLinks> PeerLinks::create(asio::any_io_executor Executor,
                                             Settings Limits,
                                             ControlCounters &Counters) {
  std::shared_ptr<PeerLinks> made(
      new PeerLinks(std::move(Executor), Limits, Counters));
  made->sweep();
  return made;
}

PeerLinks::PeerLinks(asio::any_io_executor Executor, Settings Limits,
                     ControlCounters &Counters)
    : Executor(std::move(Executor)), Limits(Limits), Counters(Counters),
      SweepTimer(this->Executor) {}

PeerLinks::~PeerLinks() = default;

asio::awaitable<Outcome<ControlMessage>>
PeerLinks::ask(Address Where, ControlMessage What, Millis Timeout) {
  std::shared_ptr<PeerLinks> self = shared_from_this();
  if (Stopped)
    co_return Failure{Verdict::NotRun, FailureCode::Cancelled, toText(Where),
                      "this process is stopping", Millis(0)};
  std::shared_ptr<Link> link = linkTo(Where);
  std::uint64_t sequence = sequenceOf(What);
  std::shared_ptr<PendingRequest> question =
      std::make_shared<PendingRequest>(Executor);
  link->Questions[sequence] = question;
  put(*link, encodeControl(What));

  // The answer, a lost connection or the timeout ends the wait.
  question->Timer.expires_after(Timeout);
  if (!question->Answer)
    co_await question->Timer.async_wait(Awaited);
  link->Questions.erase(sequence);
  if (question->Answer)
    co_return std::move(*question->Answer);
  bool sent = link->Socket != nullptr;
  co_return Failure{sent ? Verdict::MayHaveRun : Verdict::NotRun,
                    FailureCode::TimedOut, toText(Where),
                    "no answer in " + std::to_string(Timeout.count()) + " ms",
                    Millis(0)};
}

void PeerLinks::send(const Address &Where, const ControlMessage &What) {
  if (!Stopped)
    put(*linkTo(Where), encodeControl(What));
}

void PeerLinks::stop() {
  Stopped = true;
  SweepTimer.cancel();
  std::map<Address, std::shared_ptr<Link>> all = std::exchange(Links, {});
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled, "control links",
              "this process is stopping", Millis(0)};
  for (auto &[where, link] : all)
    drop(where, link, why);
}

std::shared_ptr<PeerLinks::Link> PeerLinks::linkTo(const Address &Where) {
  auto found = Links.find(Where);
  if (found != Links.end())
    return found->second;

  makeRoom();
  std::shared_ptr<Link> link = std::make_shared<Link>();
  link->LastUsed = monotonicNow();
  Links[Where] = link;
  std::shared_ptr<PeerLinks> self = shared_from_this();
  asio::co_spawn(
      Executor,
      [self, Where, link]() -> asio::awaitable<void> {
        return self->run(Where, link);
      },
      asio::detached);
  return link;
}

void PeerLinks::makeRoom() {
  if (Links.size() < Limits.MaxLinks)
    return;
  auto oldest = Links.end();
  for (auto it = Links.begin(); it != Links.end(); ++it) {
    if (it->second->Questions.empty() &&
        (oldest == Links.end() ||
         it->second->LastUsed < oldest->second->LastUsed))
      oldest = it;
  }
  if (oldest == Links.end())
    return;
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled,
              toText(oldest->first), "too many connections", Millis(0)};
  std::shared_ptr<Link> link = oldest->second;
  drop(Address(oldest->first), link, why);
}

void PeerLinks::sweep() {
  if (Stopped)
    return;
  TimePoint now = monotonicNow();
  std::vector<Address> idle;
  for (const auto &[where, link] : Links) {
    if (link->Questions.empty() && now - link->LastUsed > Limits.MaxIdle)
      idle.push_back(where);
  }
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled, "control link",
              "idle", Millis(0)};
  for (const Address &it : idle) {
    std::shared_ptr<Link> link = Links[it];
    drop(it, link, why);
  }

  std::weak_ptr<PeerLinks> self = weak_from_this();
  SweepTimer.expires_after(Limits.MaxIdle / 4);
  SweepTimer.async_wait([self](boost::system::error_code Ec) {
    std::shared_ptr<PeerLinks> held = self.lock();
    if (!Ec && held)
      held->sweep();
  });
}

asio::awaitable<void> PeerLinks::run(Address Where,
                                     std::shared_ptr<Link> Peer) {
  std::shared_ptr<PeerLinks> self = shared_from_this();
  FrameSocket::Settings limits;
  limits.ConnectTimeout = Limits.ConnectTimeout;
  Outcome<std::shared_ptr<FrameSocket>> opened =
      co_await FrameSocket::connect(Executor, Where, limits);
  if (!opened) {
    drop(Where, Peer, opened.failure());
    co_return;
  }
  std::shared_ptr<FrameSocket> socket = *opened;
  if (Peer->Dropped) {
    socket->close();
    co_return;
  }

  // What was waiting for the connection goes out first.
  Peer->Socket = socket;
  std::deque<FrameBytes> waiting = std::exchange(Peer->Waiting, {});
  for (FrameBytes &it : waiting)
    put(*Peer, std::move(it));

  while (!Peer->Dropped) {
    Outcome<FrameBytes> frame = co_await socket->receive();
    if (!frame) {
      drop(Where, Peer, frame.failure());
      co_return;
    }
    Counters.FramesIn.fetch_add(1);
    Counters.BytesIn.fetch_add(frame->size() + PrefixBytes);
    Outcome<ControlMessage> message = decodeControl(*frame);
    if (!message) {
      drop(Where, Peer, message.failure());
      co_return;
    }
    auto question = Peer->Questions.find(sequenceOf(*message));
    if (question != Peer->Questions.end())
      question->second->settle(std::move(*message));
  }
}

void PeerLinks::put(Link &Peer, FrameBytes Frame) {
  Peer.LastUsed = monotonicNow();
  if (Peer.Socket == nullptr) {
    // A peer that does not come up must not hold our memory.
    if (Peer.Waiting.size() < Limits.MaxWaitingFrames)
      Peer.Waiting.push_back(std::move(Frame));
    return;
  }
  Counters.FramesOut.fetch_add(1);
  Counters.BytesOut.fetch_add(Frame.size() + PrefixBytes);
  Peer.Socket->send(std::move(Frame));
}

void PeerLinks::drop(const Address &Where, const std::shared_ptr<Link> &Peer,
                     const Failure &Why) {
  if (Peer->Dropped)
    return;
  Peer->Dropped = true;
  auto found = Links.find(Where);
  if (found != Links.end() && found->second == Peer)
    Links.erase(found);
  if (Peer->Socket)
    Peer->Socket->close();
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> questions =
      std::exchange(Peer->Questions, {});
  for (auto &[sequence, question] : questions)
    question->settle(Why);
}

} // namespace wasabi
