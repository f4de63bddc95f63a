#include "Wasabi/Node/RecordAppender.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
/// How long an idle appender sleeps; a new record wakes it.
constexpr Millis IdlePeriod(60000);

Failure stopping(Verdict Run) {
  return Failure{Run, FailureCode::Cancelled, "append",
                 "this process is stopping", Millis(0)};
}

} // namespace

std::shared_ptr<RecordAppender>
RecordAppender::create(asio::any_io_executor Executor, Settings Setup,
                       LogPort Log, std::shared_ptr<LogFollower> Follower,
                       ControlCounters &Counters) {
  return std::shared_ptr<RecordAppender>(
      new RecordAppender(std::move(Executor), std::move(Setup), std::move(Log),
                         std::move(Follower), Counters));
}

RecordAppender::RecordAppender(asio::any_io_executor Executor, Settings Setup,
                               LogPort Log,
                               std::shared_ptr<LogFollower> Follower,
                               ControlCounters &Counters)
    : Executor(std::move(Executor)), Setup(std::move(Setup)),
      Log(std::move(Log)), Follower(std::move(Follower)), Counters(Counters),
      Wake(this->Executor), Random(this->Setup.Seed) {}

void RecordAppender::start() {
  std::shared_ptr<RecordAppender> self = shared_from_this();
  asio::co_spawn(
      Executor, [self]() -> asio::awaitable<void> { return self->run(); },
      asio::detached);
}

void RecordAppender::stop() {
  Stopped = true;
  Wake.cancel();
  std::deque<Item> waiting = std::exchange(Queue, {});
  bool sent = InFlight;
  for (Item &it : waiting) {
    // Only the first can have been sent.
    Verdict run = sent ? Verdict::MayHaveRun : Verdict::NotRun;
    sent = false;
    it.Then(stopping(run));
  }
}

void RecordAppender::append(RecordBody Body, bool Urgent, Callback Then) {
  if (Stopped) {
    Then(stopping(Verdict::NotRun));
    return;
  }
  if (Queue.size() >= Setup.MaxWaiting) {
    Then(Failure{Verdict::NotRun, FailureCode::Overloaded, "append",
                 std::to_string(Queue.size()) + " records wait already",
                 Setup.MaxBackOff});
    return;
  }
  // The one in flight stays first.
  auto at = Queue.end();
  if (Urgent) {
    auto begin = Queue.begin() + (InFlight && !Queue.empty() ? 1 : 0);
    at = std::find_if(begin, Queue.end(),
                      [](const Item &it) { return !it.Urgent; });
  }
  Queue.insert(at, Item{std::move(Body), Urgent, std::move(Then)});
  if (!InFlight)
    Wake.cancel();
}

asio::awaitable<void> RecordAppender::pause(Millis Span) {
  Wake.expires_after(Span);
  co_await Wake.async_wait(Awaited);
}

asio::awaitable<void> RecordAppender::run() {
  std::shared_ptr<RecordAppender> self = shared_from_this();
  while (!Stopped) {
    if (Queue.empty()) {
      co_await pause(IdlePeriod);
      continue;
    }
    InFlight = true;
    ++Sequence;
    Settled.reset();
    RecordId id{Setup.Instance.Text, Setup.Life, Sequence};
    std::string text = encodeRecord(Record{id, Queue.front().Body});
    FirstSent = monotonicNow();
    co_await settle(std::move(text));
    InFlight = false;
    if (Stopped || !Settled)
      continue;
    Item done = std::move(Queue.front());
    Queue.pop_front();
    done.Then(*Settled);
  }
}

asio::awaitable<void> RecordAppender::settle(std::string Text) {
  unsigned failures = 0;
  while (!Stopped && !Settled) {
    Counters.LogAppends.fetch_add(1);
    Counters.BytesOut.fetch_add(Text.size());
    std::string copy = Text;
    Outcome<Offset> at = co_await Log.Append(ControlStream, std::move(copy));
    if (Stopped || Settled)
      break;
    if (!at) {
      if (at.failure().Code == FailureCode::BadInput) {
        Settled.emplace(at.failure());
        break;
      }
      // Not known whether it took effect: reading tells, or the next try does.
      Follower->requestRead();
      co_await pause(std::max(backOff(failures), at.failure().RetryAfter));
      ++failures;
      continue;
    }
    Follower->applyOwnRecord(*at, Text);
    while (!Stopped && !Settled && Follower->next() <= *at) {
      co_await pause(Setup.ReadBackInterval);
      if (!Settled)
        Follower->requestRead();
    }
    // Read past without a mark: another life of this instance is at work.
    if (!Settled && !Stopped)
      Settled.emplace(Failure{Verdict::MayHaveRun, FailureCode::Conflict,
                              "append at offset " + std::to_string(*at),
                              "a newer process of this instance appends too",
                              Millis(0)});
  }
}

void RecordAppender::onApplied(Offset At, const FoldState &State,
                               const ControlStateChange &Did) {
  if (InFlight && !Settled)
    settleFromState(State, &Did, At);
}

void RecordAppender::onStateReplaced(const FoldState &State) {
  if (InFlight && !Settled)
    settleFromState(State, nullptr, 0);
}

void RecordAppender::settleFromState(const FoldState &State,
                                     const ControlStateChange *Did, Offset At) {
  auto mark = State.Authors.find(Setup.Instance.Text);
  if (mark == State.Authors.end() || mark->second.Life != Setup.Life ||
      mark->second.Sequence != Sequence)
    return;
  Appended done;
  done.At = mark->second.At;
  // The reason is known only where the record itself was applied here.
  if (Did != nullptr && mark->second.At == At)
    done.Did = *Did;
  else
    done.Did.ApplyStatus = mark->second.ApplyStatus;
  Settled.emplace(std::move(done));
  Wake.cancel();
}

Millis RecordAppender::backOff(unsigned Failures) {
  std::int64_t most = Setup.MinBackOff.count()
                      << std::min<unsigned>(Failures, 10);
  most = std::min(most, Setup.MaxBackOff.count());
  std::int64_t drawn = static_cast<std::int64_t>(
      Random() % static_cast<std::uint64_t>(most + 1));
  return std::max(Setup.MinBackOff, Millis(drawn));
}

} // namespace wasabi
