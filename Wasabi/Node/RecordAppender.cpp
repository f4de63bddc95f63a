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
/// Wait of an idle appender; a new record ends it early.
constexpr Millis IdleInterval(60000);

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
      Executor,
      [self]() -> asio::awaitable<void> { return self->appendLoop(); },
      asio::detached);
}

void RecordAppender::stop() {
  Stopped = true;
  Wake.cancel();
  std::deque<Item> pending = std::exchange(Queue, {});
  bool sent = InFlight;
  for (Item &it : pending) {
    // Only the first record may have been sent.
    Verdict verdict = sent ? Verdict::MayHaveRun : Verdict::NotRun;
    sent = false;
    it.OnComplete(stopping(verdict));
  }
}

void RecordAppender::append(RecordBody Body, bool Urgent, Callback OnComplete) {
  if (Stopped) {
    OnComplete(stopping(Verdict::NotRun));
    return;
  }
  if (Queue.size() >= Setup.MaxPendingRecords) {
    OnComplete(
        Failure{Verdict::NotRun, FailureCode::Overloaded, "append",
                std::to_string(Queue.size()) + " records are already pending",
                Setup.MaxBackOff});
    return;
  }
  // The record in flight stays first.
  auto at = Queue.end();
  if (Urgent) {
    auto begin = Queue.begin() + (InFlight && !Queue.empty() ? 1 : 0);
    at = std::find_if(begin, Queue.end(),
                      [](const Item &it) { return !it.Urgent; });
  }
  Queue.insert(at, Item{std::move(Body), Urgent, std::move(OnComplete)});
  if (!InFlight)
    Wake.cancel();
}

asio::awaitable<void> RecordAppender::pause(Millis Span) {
  Wake.expires_after(Span);
  co_await Wake.async_wait(Awaited);
}

asio::awaitable<void> RecordAppender::appendLoop() {
  std::shared_ptr<RecordAppender> self = shared_from_this();
  while (!Stopped) {
    if (Queue.empty()) {
      co_await pause(IdleInterval);
      continue;
    }
    InFlight = true;
    ++Sequence;
    Completion.reset();
    RecordId id{Setup.Instance.Text, Setup.Life, Sequence};
    std::string text = encodeRecord(Record{id, Queue.front().Body});
    FirstSent = monotonicNow();
    co_await appendAndConfirm(std::move(text));
    InFlight = false;
    if (Stopped || !Completion)
      continue;
    Item done = std::move(Queue.front());
    Queue.pop_front();
    done.OnComplete(*Completion);
  }
}

asio::awaitable<void> RecordAppender::appendAndConfirm(std::string Text) {
  unsigned failures = 0;
  while (!Stopped && !Completion) {
    Counters.LogAppends.fetch_add(1);
    Counters.BytesOut.fetch_add(Text.size());
    std::string copy = Text;
    Outcome<Offset> at = co_await Log.Append(ControlStream, std::move(copy));
    if (Stopped || Completion)
      break;
    if (!at) {
      if (at.failure().Code == FailureCode::BadInput) {
        Completion.emplace(at.failure());
        break;
      }
      // It is unknown whether the append took effect; a read or the next
      // attempt resolves it.
      Follower->requestRead();
      co_await pause(std::max(backOff(failures), at.failure().RetryAfter));
      ++failures;
      continue;
    }
    Follower->applyOwnRecord(*at, Text);
    while (!Stopped && !Completion && Follower->next() <= *at) {
      co_await pause(Setup.ReadBackInterval);
      if (!Completion)
        Follower->requestRead();
    }
    // The record was read but not attributed to this process: another
    // incarnation of this instance is appending.
    if (!Completion && !Stopped)
      Completion.emplace(Failure{
          Verdict::MayHaveRun, FailureCode::Conflict,
          "append at offset " + std::to_string(*at),
          "a newer incarnation of this instance is appending", Millis(0)});
  }
}

void RecordAppender::onApplied(Offset At, const FoldState &State,
                               const ControlStateChange &Change) {
  if (InFlight && !Completion)
    confirmFromState(State, &Change, At);
}

void RecordAppender::onStateReplaced(const FoldState &State) {
  if (InFlight && !Completion)
    confirmFromState(State, nullptr, 0);
}

void RecordAppender::confirmFromState(const FoldState &State,
                                      const ControlStateChange *Change,
                                      Offset At) {
  auto author = State.Authors.find(Setup.Instance.Text);
  if (author == State.Authors.end() || author->second.Life != Setup.Life ||
      author->second.Sequence != Sequence)
    return;
  AppendedRecord done;
  done.At = author->second.At;
  // The complete change is known only if the record itself was applied here.
  if (Change != nullptr && author->second.At == At)
    done.Change = *Change;
  else
    done.Change.ApplyStatus = author->second.ApplyStatus;
  Completion.emplace(std::move(done));
  Wake.cancel();
}

Millis RecordAppender::backOff(unsigned Failures) {
  std::int64_t bound = Setup.MinBackOff.count()
                       << std::min<unsigned>(Failures, 10);
  bound = std::min(bound, Setup.MaxBackOff.count());
  std::int64_t drawn = static_cast<std::int64_t>(
      Random() % static_cast<std::uint64_t>(bound + 1));
  return std::max(Setup.MinBackOff, Millis(drawn));
}

} // namespace wasabi
