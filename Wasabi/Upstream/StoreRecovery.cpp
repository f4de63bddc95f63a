#include "Wasabi/Upstream/StoreRecovery.h"

#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <list>
#include <string>
#include <vector>

namespace wasabi {

namespace asio = boost::asio;

namespace {

/// A probe's answer is of no use, so little of it is asked for.
constexpr std::size_t ProbeBytes = 1024;

/// One call that has no answer yet.
struct PendingCall {
  TimePoint Sent;
  asio::cancellation_signal Stop;
};

/// A refusal for want of capacity says nothing of what the next call meets.
bool isAnswer(const Failure &Why) {
  return Why.Code == FailureCode::Conflict || Why.Code == FailureCode::Expired;
}

Failure superseded() {
  return Failure{Verdict::MayHaveRun, FailureCode::Cancelled, "store",
                 "it answers calls that were sent later", Millis(0)};
}

/// The calls of one process.
class Recovery : public std::enable_shared_from_this<Recovery> {
public:
  Recovery(asio::any_io_executor Executor, RecordStore Store,
           std::shared_ptr<DecisionLog> Decisions, StoreRecoverySettings Limits)
      : Limits(Limits), Executor(std::move(Executor)), Store(std::move(Store)),
        Decisions(std::move(Decisions)) {
    Contact.Limits = Limits.Contact;
    // Until the first answer there is nothing to return from.
    Contact.Lost = false;
    Contact.LastAnswer = monotonicNow();
  }

  template <typename T>
  asio::awaitable<Outcome<T>> call(asio::awaitable<Outcome<T>> Work) {
    std::shared_ptr<Recovery> self = shared_from_this();
    std::shared_ptr<PendingCall> own = std::make_shared<PendingCall>();
    own->Sent = monotonicNow();
    auto place = Pending.insert(Pending.end(), own);
    std::optional<Outcome<T>> got =
        co_await cancellable(Executor, std::move(Work), own->Stop);
    Pending.erase(place);
    if (!got)
      co_return superseded();
    if (*got || isAnswer(got->failure()))
      answered();
    else
      failed();
    co_return std::move(*got);
  }

  asio::awaitable<Outcome<LogRange>> read(std::string Topic, Offset From,
                                          Millis Wait, std::size_t MaxBytes) {
    ProbeTopic = Topic;
    ProbeFrom = From;
    return call(Store.Read(std::move(Topic), From, Wait, MaxBytes));
  }

  asio::awaitable<Outcome<KeyedRange>> readKeyed(std::string Topic, Offset From,
                                                 Millis Wait) {
    ProbeTopic = Topic;
    ProbeFrom = From;
    return call(Store.ReadKeyed(std::move(Topic), From, Wait));
  }

  const StoreRecoverySettings Limits;
  const asio::any_io_executor Executor;
  const RecordStore Store;

private:
  void answered() {
    TimePoint now = monotonicNow();
    Millis away = std::chrono::duration_cast<Millis>(now - Contact.LastAnswer);
    if (!noteAnswer(Contact, now) || away < Limits.MinOutage)
      return;
    std::vector<std::shared_ptr<PendingCall>> older;
    for (const std::shared_ptr<PendingCall> &it : Pending) {
      if (now - it->Sent > Limits.AnswerTime)
        older.push_back(it);
    }
    Decisions->line("store.back",
                    {{"away_ms", std::to_string(away.count())},
                     {"calls_ended", std::to_string(older.size())}});
    for (const std::shared_ptr<PendingCall> &it : older)
      it->Stop.emit(asio::cancellation_type::terminal);
  }

  void failed() {
    if (!noteFailure(Contact, monotonicNow()) || Probing)
      return;
    Probing = true;
    asio::co_spawn(
        Executor, [self = shared_from_this()] { return self->probeLoop(); },
        asio::detached);
  }

  asio::awaitable<void> probeLoop() {
    while (Contact.Lost && !ProbeTopic.empty()) {
      asio::co_spawn(
          Executor, [self = shared_from_this()] { return self->probe(); },
          asio::detached);
      co_await pauseFor(Executor, Limits.ProbeInterval);
    }
    Probing = false;
  }

  asio::awaitable<void> probe() {
    co_await call(Store.Read(ProbeTopic, ProbeFrom, Millis(0), ProbeBytes));
  }

  const std::shared_ptr<DecisionLog> Decisions;
  StoreContact Contact;
  std::list<std::shared_ptr<PendingCall>> Pending;
  /// What was read last, to be read again by probes.
  std::string ProbeTopic;
  Offset ProbeFrom = 0;
  bool Probing = false;
};

} // namespace

RecordStore makeRecoveringStore(asio::any_io_executor Executor,
                                RecordStore Store,
                                std::shared_ptr<DecisionLog> Decisions,
                                StoreRecoverySettings Limits) {
  std::shared_ptr<Recovery> calls = std::make_shared<Recovery>(
      std::move(Executor), std::move(Store), std::move(Decisions), Limits);
  RecordStore port;
  port.Append = [calls](std::string Topic, std::vector<std::string> Records,
                        std::optional<Offset> At, Millis Timeout) {
    return calls->call(
        calls->Store.Append(std::move(Topic), std::move(Records), At, Timeout));
  };
  port.AppendKeyed = [calls](std::string Topic, std::string Key,
                             std::string Value, Millis Timeout) {
    return calls->call(calls->Store.AppendKeyed(
        std::move(Topic), std::move(Key), std::move(Value), Timeout));
  };
  port.Read = [calls](std::string Topic, Offset From, Millis Wait,
                      std::size_t MaxBytes) {
    return calls->read(std::move(Topic), From, Wait, MaxBytes);
  };
  port.ReadKeyed = [calls](std::string Topic, Offset From, Millis Wait) {
    return calls->readKeyed(std::move(Topic), From, Wait);
  };
  port.Newest = [calls](std::string Topic) {
    return calls->call(calls->Store.Newest(std::move(Topic)));
  };
  return port;
}

} // namespace wasabi
