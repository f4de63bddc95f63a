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

/// A request that waits for its answer.
struct PeerLinks::PendingRequest {
  explicit PendingRequest(const asio::any_io_executor &Executor)
      : Timer(Executor) {}
  BootTimer Timer;
  std::optional<Outcome<ControlMessage>> Answer;

  void complete(Outcome<ControlMessage> Result) {
    Answer.emplace(std::move(Result));
    Timer.cancel();
  }
};

struct PeerLinks::Link {
  /// Null while the connection is being opened.
  std::shared_ptr<FrameSocket> Socket;
  std::deque<FrameBytes> PendingFrames;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> PendingRequests;
  TimePoint LastUsed;
  bool Dropped = false;
};

std::shared_ptr<PeerLinks> PeerLinks::create(asio::any_io_executor Executor,
                                             Settings Limits,
                                             ControlCounters &Counters) {
  std::shared_ptr<PeerLinks> made(
      new PeerLinks(std::move(Executor), Limits, Counters));
  made->closeIdleLinks();
  return made;
}

PeerLinks::PeerLinks(asio::any_io_executor Executor, Settings Limits,
                     ControlCounters &Counters)
    : Executor(std::move(Executor)), Limits(Limits), Counters(Counters),
      IdleTimer(this->Executor) {}

PeerLinks::~PeerLinks() = default;

asio::awaitable<Outcome<ControlMessage>>
PeerLinks::ask(Address Where, ControlMessage Message, Millis Timeout) {
  std::shared_ptr<PeerLinks> self = shared_from_this();
  if (Stopped)
    co_return Failure{Verdict::NotRun, FailureCode::Cancelled, toText(Where),
                      "this process is stopping", Millis(0)};
  std::shared_ptr<Link> link = findOrOpenLink(Where);
  std::uint64_t sequence = sequenceOf(Message);
  std::shared_ptr<PendingRequest> pending =
      std::make_shared<PendingRequest>(Executor);
  link->PendingRequests[sequence] = pending;
  sendOrQueue(*link, encodeControl(Message));

  // The wait ends with the answer, a lost connection or the timeout.
  pending->Timer.expires_after(Timeout);
  if (!pending->Answer)
    co_await pending->Timer.async_wait(Awaited);
  link->PendingRequests.erase(sequence);
  if (pending->Answer)
    co_return std::move(*pending->Answer);
  bool sent = link->Socket != nullptr;
  co_return Failure{sent ? Verdict::MayHaveRun : Verdict::NotRun,
                    FailureCode::TimedOut, toText(Where),
                    "no answer in " + std::to_string(Timeout.count()) + " ms",
                    Millis(0)};
}

void PeerLinks::send(const Address &Where, const ControlMessage &Message) {
  if (!Stopped)
    sendOrQueue(*findOrOpenLink(Where), encodeControl(Message));
}

void PeerLinks::stop() {
  Stopped = true;
  IdleTimer.cancel();
  std::map<Address, std::shared_ptr<Link>> all = std::exchange(Links, {});
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled, "control links",
              "this process is stopping", Millis(0)};
  for (auto &[where, link] : all)
    closeLink(where, link, why);
}

std::shared_ptr<PeerLinks::Link>
PeerLinks::findOrOpenLink(const Address &Where) {
  auto found = Links.find(Where);
  if (found != Links.end())
    return found->second;

  evictLeastRecentlyUsed();
  std::shared_ptr<Link> link = std::make_shared<Link>();
  link->LastUsed = monotonicNow();
  Links[Where] = link;
  std::shared_ptr<PeerLinks> self = shared_from_this();
  asio::co_spawn(
      Executor,
      [self, Where, link]() -> asio::awaitable<void> {
        return self->runLink(Where, link);
      },
      asio::detached);
  return link;
}

void PeerLinks::evictLeastRecentlyUsed() {
  if (Links.size() < Limits.MaxLinks)
    return;
  auto oldest = Links.end();
  for (auto it = Links.begin(); it != Links.end(); ++it) {
    if (it->second->PendingRequests.empty() &&
        (oldest == Links.end() ||
         it->second->LastUsed < oldest->second->LastUsed))
      oldest = it;
  }
  if (oldest == Links.end())
    return;
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled,
              toText(oldest->first), "too many connections", Millis(0)};
  std::shared_ptr<Link> link = oldest->second;
  closeLink(Address(oldest->first), link, why);
}

void PeerLinks::closeIdleLinks() {
  if (Stopped)
    return;
  TimePoint now = monotonicNow();
  std::vector<Address> idle;
  for (const auto &[where, link] : Links) {
    if (link->PendingRequests.empty() && now - link->LastUsed > Limits.MaxIdle)
      idle.push_back(where);
  }
  Failure why{Verdict::MayHaveRun, FailureCode::Cancelled, "control link",
              "idle", Millis(0)};
  for (const Address &it : idle) {
    std::shared_ptr<Link> link = Links[it];
    closeLink(it, link, why);
  }

  std::weak_ptr<PeerLinks> self = weak_from_this();
  IdleTimer.expires_after(Limits.MaxIdle / 4);
  IdleTimer.async_wait([self](boost::system::error_code Ec) {
    std::shared_ptr<PeerLinks> held = self.lock();
    if (!Ec && held)
      held->closeIdleLinks();
  });
}

asio::awaitable<void> PeerLinks::runLink(Address Where,
                                         std::shared_ptr<Link> Peer) {
  std::shared_ptr<PeerLinks> self = shared_from_this();
  FrameSocket::Settings limits;
  limits.ConnectTimeout = Limits.ConnectTimeout;
  Outcome<std::shared_ptr<FrameSocket>> opened =
      co_await FrameSocket::connect(Executor, Where, limits);
  if (!opened) {
    closeLink(Where, Peer, opened.failure());
    co_return;
  }
  std::shared_ptr<FrameSocket> socket = *opened;
  if (Peer->Dropped) {
    socket->close();
    co_return;
  }

  // Send the frames that were queued while the connection was opened.
  Peer->Socket = socket;
  std::deque<FrameBytes> pendingFrames = std::exchange(Peer->PendingFrames, {});
  for (FrameBytes &it : pendingFrames)
    sendOrQueue(*Peer, std::move(it));

  while (!Peer->Dropped) {
    Outcome<FrameBytes> frame = co_await socket->receive();
    if (!frame) {
      closeLink(Where, Peer, frame.failure());
      co_return;
    }
    Counters.FramesIn.fetch_add(1);
    Counters.BytesIn.fetch_add(frame->size() + PrefixBytes);
    Outcome<ControlMessage> message = decodeControl(*frame);
    if (!message) {
      closeLink(Where, Peer, message.failure());
      co_return;
    }
    auto pending = Peer->PendingRequests.find(sequenceOf(*message));
    if (pending != Peer->PendingRequests.end())
      pending->second->complete(std::move(*message));
  }
}

void PeerLinks::sendOrQueue(Link &Peer, FrameBytes Frame) {
  Peer.LastUsed = monotonicNow();
  if (Peer.Socket == nullptr) {
    // Bounds the memory used for an unreachable peer.
    if (Peer.PendingFrames.size() < Limits.MaxPendingFrames)
      Peer.PendingFrames.push_back(std::move(Frame));
    return;
  }
  Counters.FramesOut.fetch_add(1);
  Counters.BytesOut.fetch_add(Frame.size() + PrefixBytes);
  Peer.Socket->send(std::move(Frame));
}

void PeerLinks::closeLink(const Address &Where,
                          const std::shared_ptr<Link> &Peer,
                          const Failure &Why) {
  if (Peer->Dropped)
    return;
  Peer->Dropped = true;
  auto found = Links.find(Where);
  if (found != Links.end() && found->second == Peer)
    Links.erase(found);
  if (Peer->Socket)
    Peer->Socket->close();
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pendingRequests =
      std::exchange(Peer->PendingRequests, {});
  for (auto &[sequence, pending] : pendingRequests)
    pending->complete(Why);
}

} // namespace wasabi
