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

/// Only the arrival of a probe's answer matters, so probes request little data.
constexpr std::size_t MaxProbeBytes = 1024;

/// A call that has no answer yet.
struct PendingCall {
  TimePoint Sent;
  asio::cancellation_signal Stop;
};

/// Returns true if a failure shows that the store is reachable. A refusal for
/// lack of capacity does not.
bool isAnswer(const Failure &Error) {
  return Error.Code == FailureCode::Conflict ||
         Error.Code == FailureCode::Expired;
}

Failure makeUnavailableFailure(const std::string &Topic) {
  return Failure{Verdict::NotRun, FailureCode::Unavailable, "store " + Topic,
                 "not sent: the store answers no probe", Millis(0)};
}

Failure makeSupersededFailure() {
  return Failure{Verdict::MayHaveRun, FailureCode::Cancelled, "store",
                 "cancelled: the store answers later calls", Millis(0)};
}

/// Tracks the pending store calls of one process.
class StoreRecovery : public std::enable_shared_from_this<StoreRecovery> {
public:
  StoreRecovery(asio::any_io_executor Executor, RecordStore Store,
                std::shared_ptr<DecisionLog> Decisions,
                StoreRecoverySettings Limits)
      : Limits(Limits), Executor(std::move(Executor)), Store(std::move(Store)),
        Decisions(std::move(Decisions)), Back(this->Executor) {
    Contact.Limits = Limits.Contact;
    // The start of the process does not count as an outage.
    Contact.Lost = false;
    Contact.LastAnswer = monotonicNow();
  }

  template <typename T>
  asio::awaitable<Outcome<T>> call(asio::awaitable<Outcome<T>> Operation) {
    std::shared_ptr<StoreRecovery> self = shared_from_this();
    std::shared_ptr<PendingCall> pending = std::make_shared<PendingCall>();
    pending->Sent = monotonicNow();
    auto position = Pending.insert(Pending.end(), pending);
    std::optional<Outcome<T>> got =
        co_await cancellable(Executor, std::move(Operation), pending->Stop);
    Pending.erase(position);
    if (!got)
      co_return makeSupersededFailure();
    noteOutcome(*got);
    co_return std::move(*got);
  }

  asio::awaitable<Outcome<LogRead>> read(std::string Topic, Offset From,
                                         Millis Timeout, std::size_t MaxBytes) {
    std::shared_ptr<StoreRecovery> self = shared_from_this();
    noteRead(Topic, From);
    bool available = co_await awaitStore(Timeout);
    if (!available)
      co_return makeUnavailableFailure(Topic);
    co_return co_await call(
        Store.Read(std::move(Topic), From, Timeout, MaxBytes));
  }

  asio::awaitable<Outcome<KeyedRead>> readKeyed(std::string Topic, Offset From,
                                                Millis Timeout) {
    std::shared_ptr<StoreRecovery> self = shared_from_this();
    noteRead(Topic, From);
    bool available = co_await awaitStore(Timeout);
    if (!available)
      co_return makeUnavailableFailure(Topic);
    co_return co_await call(Store.ReadKeyed(std::move(Topic), From, Timeout));
  }

  asio::awaitable<Outcome<KeyedRange>> newest(std::string Topic,
                                              Millis Timeout) {
    std::shared_ptr<StoreRecovery> self = shared_from_this();
    noteRead(Topic, 0);
    bool available = co_await awaitStore(Limits.SnapshotWait);
    if (!available)
      co_return makeUnavailableFailure(Topic);
    Outcome<KeyedRange> got = co_await Store.Newest(std::move(Topic), Timeout);
    noteOutcome(got);
    co_return got;
  }

  const StoreRecoverySettings Limits;
  const asio::any_io_executor Executor;
  const RecordStore Store;

private:
  template <typename T> void noteOutcome(const Outcome<T> &Got) {
    if (Got || isAnswer(Got.failure()))
      onAnswer();
    else
      onFailure();
  }

  void noteRead(const std::string &Topic, Offset From) {
    ProbeTopic = Topic;
    ProbeOffset = From;
  }

  /// Returns true unless the store is unreachable and no probe is answered
  /// within `Timeout`. Calls without a timeout are sent in any case, since a
  /// caller waits for them.
  asio::awaitable<bool> awaitStore(Millis Timeout) {
    TimePoint deadline = monotonicNow() + Timeout;
    while (Probing && Contact.Lost && monotonicNow() < deadline)
      co_await Back.wait(deadline);
    co_return !Probing || !Contact.Lost || Timeout == Millis(0);
  }

  void onAnswer() {
    TimePoint now = monotonicNow();
    Millis outage =
        std::chrono::duration_cast<Millis>(now - Contact.LastAnswer);
    if (!noteAnswer(Contact, now))
      return;
    Back.notify();
    if (outage < Limits.MinOutage)
      return;
    std::vector<std::shared_ptr<PendingCall>> stuck;
    for (const std::shared_ptr<PendingCall> &it : Pending) {
      if (now - it->Sent > Limits.StuckCallTimeout)
        stuck.push_back(it);
    }
    Decisions->line("store.back",
                    {{"away_ms", std::to_string(outage.count())},
                     {"calls_ended", std::to_string(stuck.size())}});
    for (const std::shared_ptr<PendingCall> &it : stuck)
      it->Stop.emit(asio::cancellation_type::terminal);
  }

  void onFailure() {
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
    co_await call(
        Store.Read(ProbeTopic, ProbeOffset, Millis(0), MaxProbeBytes));
  }

  const std::shared_ptr<DecisionLog> Decisions;
  StoreContact Contact;
  std::list<std::shared_ptr<PendingCall>> Pending;
  /// Notified when the store is reachable again.
  AsyncSignal Back;
  /// Topic and offset of the last read, which probes repeat.
  std::string ProbeTopic;
  Offset ProbeOffset = 0;
  bool Probing = false;
};

} // namespace

RecordStore makeRecoveringStore(asio::any_io_executor Executor,
                                RecordStore Store,
                                std::shared_ptr<DecisionLog> Decisions,
                                StoreRecoverySettings Limits) {
  std::shared_ptr<StoreRecovery> recovery = std::make_shared<StoreRecovery>(
      std::move(Executor), std::move(Store), std::move(Decisions), Limits);
  RecordStore port;
  port.Append = [recovery](std::string Topic, std::vector<std::string> Records,
                           std::optional<Offset> At, Millis Timeout) {
    return recovery->call(recovery->Store.Append(
        std::move(Topic), std::move(Records), At, Timeout));
  };
  port.AppendKeyed = [recovery](std::string Topic,
                                std::vector<KeyedValue> Values,
                                Millis Timeout) {
    return recovery->call(recovery->Store.AppendKeyed(
        std::move(Topic), std::move(Values), Timeout));
  };
  port.Read = [recovery](std::string Topic, Offset From, Millis Timeout,
                         std::size_t MaxBytes) {
    return recovery->read(std::move(Topic), From, Timeout, MaxBytes);
  };
  port.ReadKeyed = [recovery](std::string Topic, Offset From, Millis Timeout) {
    return recovery->readKeyed(std::move(Topic), From, Timeout);
  };
  port.Newest = [recovery](std::string Topic, Millis Timeout) {
    return recovery->newest(std::move(Topic), Timeout);
  };
  return port;
}

} // namespace wasabi
