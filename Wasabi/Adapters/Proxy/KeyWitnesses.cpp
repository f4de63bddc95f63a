#include "Wasabi/Adapters/Proxy/KeyWitnesses.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>

namespace wasabi {
namespace {

namespace asio = boost::asio;

/// Maximum number of concurrent requests during the handover.
constexpr std::size_t HandOverWorkers = 32;
constexpr char ReserveMethod[] = "RESERVE";
constexpr char ReleaseMethod[] = "RELEASE";
constexpr char FingerprintHeader[] = "Fingerprint";
constexpr char RunnerHeader[] = "Runner";
constexpr char LifeHeader[] = "Life";
constexpr char TurnHeader[] = "Turn";

std::uint64_t parseCount(std::string_view Text) {
  std::uint64_t count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), count);
  return count;
}

} // namespace

/// Progress of a handover, shared by its workers.
struct KeyWitnesses::HandOver {
  std::vector<KeyRecord> Remaining;
  TimePoint Deadline;
  std::size_t Workers = 0;
  std::function<void()> Callback;
};

KeyWitnesses::KeyWitnesses(asio::any_io_executor Executor, Settings Setup,
                           std::shared_ptr<RequestClient> Peers,
                           ViewSource Members)
    : Executor(std::move(Executor)), Setup(std::move(Setup)),
      Peers(std::move(Peers)), Members(std::move(Members)),
      Keys(this->Setup.Keys) {}

asio::awaitable<Outcome<Done>>
KeyWitnesses::reserve(KeyRecord Record, std::vector<Address> &Reserved) {
  std::shared_ptr<const View> view = Members();
  for (const Member &it : findWitnesses(Record.Key, *view, self())) {
    Outcome<Done> reserved =
        co_await sendToWitness(it.Requests, Record, ReserveMethod);
    if (reserved) {
      Reserved.push_back(it.Requests);
      continue;
    }
    // A refusal by the witness carries the verdict for the key. An unreachable
    // witness proves only that this request was not forwarded.
    if (reserved.failure().Place == "Idempotency-Key")
      co_return reserved;
    // A leaving witness has handed its keys over to the remaining witnesses.
    if (hasLeft(it))
      continue;
    co_return Failure{Verdict::NotRun, FailureCode::Unavailable,
                      "witness " + it.Instance.Text, reserved.failure().Reason,
                      Setup.RetryDelay};
  }
  co_return Done{};
}

asio::awaitable<Outcome<Done>> KeyWitnesses::sendToWitness(Address Witness,
                                                           KeyRecord Record,
                                                           const char *Method) {
  RequestAttempt request;
  request.Request = self().Text + "/key";
  request.Http.Method = Method;
  request.Http.Target = Record.Key;
  request.Http.Headers = {
      {FingerprintHeader, std::to_string(Record.Fingerprint)},
      {RunnerHeader, Record.Who.Instance.Text},
      {LifeHeader, std::to_string(Record.Who.Life)},
      {TurnHeader, std::to_string(Record.Turn)}};
  request.Deadline = Setup.WitnessTimeout;
  Outcome<std::unique_ptr<DaemonResponseStream>> handlePeerRequest =
      co_await Peers->open(std::move(Witness), std::move(request));
  if (!handlePeerRequest)
    co_return handlePeerRequest.failure();
  co_return Done{};
}

asio::awaitable<void> KeyWitnesses::release(KeyRecord Record,
                                            std::vector<Address> Reserved) {
  for (const Address &it : Reserved)
    co_await sendToWitness(it, Record, ReleaseMethod);
}

void KeyWitnesses::handOver(std::function<void()> Callback) {
  std::shared_ptr<HandOver> task = std::make_shared<HandOver>();
  task->Remaining = Keys.records();
  task->Deadline = monotonicNow() + Setup.HandOverTimeout;
  task->Callback = std::move(Callback);
  task->Workers = HandOverWorkers;
  std::shared_ptr<KeyWitnesses> held = shared_from_this();
  for (std::size_t n = 0; n < HandOverWorkers; ++n) {
    asio::co_spawn(
        Executor,
        [held, task]() -> asio::awaitable<void> {
          return held->handOverKeys(task);
        },
        asio::detached);
  }
}

asio::awaitable<void>
KeyWitnesses::handOverKeys(std::shared_ptr<HandOver> Task) {
  std::shared_ptr<KeyWitnesses> held = shared_from_this();
  while (!Task->Remaining.empty() && monotonicNow() < Task->Deadline) {
    KeyRecord record = std::move(Task->Remaining.back());
    Task->Remaining.pop_back();
    std::shared_ptr<const View> view = Members();
    for (const Member &it : findWitnesses(record.Key, *view, self())) {
      // Ignores refusals: a witness that refuses already holds a record of the
      // key.
      if (takesWork(it))
        co_await sendToWitness(it.Requests, record, ReserveMethod);
    }
  }
  if (--Task->Workers == 0)
    Task->Callback();
}

/// Returns true if this incarnation is leaving, replaced, dead or unknown in
/// the newest view.
bool KeyWitnesses::hasLeft(const Member &Witness) const {
  std::shared_ptr<const View> view = Members();
  auto it = view->Members.find(Witness.Instance);
  if (it == view->Members.end())
    return true;
  return it->second.Life != Witness.Life || !takesWork(it->second);
}

void KeyWitnesses::handlePeerRequest(const RequestAttempt &Request,
                                     ResponseSink &Sink) {
  bool release = Request.Http.Method == ReleaseMethod;
  if (!release && Request.Http.Method != ReserveMethod) {
    Sink.fail(Failure{Verdict::NotRun,
                      FailureCode::BadInput,
                      "request",
                      "it names no service",
                      {}});
    return;
  }
  Runner runner{InstanceName(std::string(Request.Http.header(RunnerHeader))),
                parseCount(Request.Http.header(LifeHeader))};
  std::uint64_t turn = parseCount(Request.Http.header(TurnHeader));
  std::optional<Failure> refused;
  if (release)
    Keys.release(Request.Http.Target, runner, turn);
  else
    refused = Keys.reserve(Request.Http.Target,
                           parseCount(Request.Http.header(FingerprintHeader)),
                           runner, monotonicNow(), turn);
  if (refused) {
    Sink.fail(*refused);
    return;
  }
  Sink.begin(http::Response{}, ServerName());
  Sink.end();
}

} // namespace wasabi
