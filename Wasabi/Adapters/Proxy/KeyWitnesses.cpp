#include "Wasabi/Adapters/Proxy/KeyWitnesses.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <charconv>

namespace wasabi {
namespace {

namespace asio = boost::asio;

/// Keys handed over at once when this process leaves.
constexpr std::size_t HandOverWorkers = 32;
constexpr char ReserveMethod[] = "RESERVE";
constexpr char ReleaseMethod[] = "RELEASE";
constexpr char FingerprintHeader[] = "Fingerprint";
constexpr char RunnerHeader[] = "Runner";
constexpr char LifeHeader[] = "Life";
constexpr char TurnHeader[] = "Turn";

std::uint64_t countFrom(std::string_view Text) {
  std::uint64_t count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), count);
  return count;
}

} // namespace

/// Keys under way to their witnesses, shared by the workers that tell them.
struct KeyWitnesses::HandOver {
  std::vector<KeyRecord> Left;
  TimePoint Until;
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
KeyWitnesses::reserve(KeyRecord What, std::vector<Address> &Reserved) {
  std::shared_ptr<const View> view = Members();
  for (const Member &it : findWitnesses(What.Key, *view, self())) {
    Outcome<Done> told = co_await tell(it.Requests, What, ReserveMethod);
    if (told) {
      Reserved.push_back(it.Requests);
      continue;
    }
    // Its own refusal says what is known; silence says only that this request
    // was not forwarded.
    if (told.failure().Place == "Idempotency-Key")
      co_return told;
    // What a leaver remembered is with the others, who were told as well.
    if (hasLeft(it))
      continue;
    co_return Failure{Verdict::NotRun, FailureCode::Unavailable,
                      "witness " + it.Instance.Text, told.failure().Reason,
                      Setup.ComeBack};
  }
  co_return Done{};
}

asio::awaitable<Outcome<Done>> KeyWitnesses::tell(Address Where, KeyRecord What,
                                                  const char *Method) {
  RequestAttempt ask;
  ask.Request = self().Text + "/key";
  ask.Http.Method = Method;
  ask.Http.Target = What.Key;
  ask.Http.Headers = {{FingerprintHeader, std::to_string(What.Fingerprint)},
                      {RunnerHeader, What.Who.Instance.Text},
                      {LifeHeader, std::to_string(What.Who.Life)},
                      {TurnHeader, std::to_string(What.Turn)}};
  ask.Deadline = Setup.WitnessTimeout;
  Outcome<std::unique_ptr<DaemonResponseStream>> answer =
      co_await Peers->open(std::move(Where), std::move(ask));
  if (!answer)
    co_return answer.failure();
  co_return Done{};
}

asio::awaitable<void> KeyWitnesses::release(KeyRecord What,
                                            std::vector<Address> Reserved) {
  for (const Address &it : Reserved)
    co_await tell(it, What, ReleaseMethod);
}

void KeyWitnesses::handOver(std::function<void()> Callback) {
  std::shared_ptr<HandOver> work = std::make_shared<HandOver>();
  work->Left = Keys.records();
  work->Until = monotonicNow() + Setup.HandOverTimeout;
  work->Callback = std::move(Callback);
  work->Workers = HandOverWorkers;
  std::shared_ptr<KeyWitnesses> held = shared_from_this();
  for (std::size_t n = 0; n < HandOverWorkers; ++n) {
    asio::co_spawn(
        Executor,
        [held, work]() -> asio::awaitable<void> {
          return held->handOverKeys(work);
        },
        asio::detached);
  }
}

asio::awaitable<void>
KeyWitnesses::handOverKeys(std::shared_ptr<HandOver> Work) {
  std::shared_ptr<KeyWitnesses> held = shared_from_this();
  while (!Work->Left.empty() && monotonicNow() < Work->Until) {
    KeyRecord record = std::move(Work->Left.back());
    Work->Left.pop_back();
    std::shared_ptr<const View> view = Members();
    for (const Member &it : findWitnesses(record.Key, *view, self())) {
      // A witness that knows better refuses, which is as good.
      if (takesWork(it))
        co_await tell(it.Requests, record, ReserveMethod);
    }
  }
  if (--Work->Workers == 0)
    Work->Callback();
}

/// Whether the newest view has this incarnation leaving, replaced or dead.
bool KeyWitnesses::hasLeft(const Member &Who) const {
  std::shared_ptr<const View> view = Members();
  auto it = view->Members.find(Who.Instance);
  if (it == view->Members.end())
    return true;
  return it->second.Life != Who.Life || !takesWork(it->second);
}

void KeyWitnesses::answer(const RequestAttempt &Ask, ResponseSink &Sink) {
  bool release = Ask.Http.Method == ReleaseMethod;
  if (!release && Ask.Http.Method != ReserveMethod) {
    Sink.fail(Failure{Verdict::NotRun,
                      FailureCode::BadInput,
                      "request",
                      "it names no service",
                      {}});
    return;
  }
  Runner who{InstanceName(std::string(Ask.Http.header(RunnerHeader))),
             countFrom(Ask.Http.header(LifeHeader))};
  std::uint64_t turn = countFrom(Ask.Http.header(TurnHeader));
  std::optional<Failure> refused;
  if (release)
    Keys.release(Ask.Http.Target, who, turn);
  else
    refused = Keys.reserve(Ask.Http.Target,
                           countFrom(Ask.Http.header(FingerprintHeader)), who,
                           monotonicNow(), turn);
  if (refused) {
    Sink.fail(*refused);
    return;
  }
  Sink.begin(http::Response{}, ServerName());
  Sink.end();
}

} // namespace wasabi
