#include "IntegrationTests/Chaos/CallerLoad.h"

#include "IntegrationTests/Chaos/AnswerCheck.h"
#include "Wasabi/Adapters/Http/HttpClient.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Published.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace wasabi::chaos {

namespace {

namespace asio = boost::asio;

/// A caller pauses between two asks for up to this long.
constexpr std::uint64_t MaxPauseMs = 80;
/// The balancer goes on to another entry where it cannot connect.
constexpr int MaxConnects = 4;
/// How often a keyed write is sent while its fate is in doubt.
constexpr int MaxKeyedSends = 3;
constexpr std::uint64_t MaxTokens = 48;
constexpr Millis ConnectPause{50};
/// What a patient caller waits before it sends again; refusals ask for up to a
/// second.
constexpr Millis RepeatPause{1000};

/// One ask as sent.
struct Ask {
  std::string Mark;
  CallKind Kind = CallKind::Read;
  std::uint64_t TokenSeed = 0;
  http::Request Http;
};

CallKind drawKind(std::mt19937_64 &random) {
  constexpr CallKind Kinds[] = {CallKind::CompletionWhole,
                                CallKind::CompletionStreamed,
                                CallKind::Read,
                                CallKind::Read,
                                CallKind::Write,
                                CallKind::Write,
                                CallKind::KeyedWrite,
                                CallKind::KeyedWrite};
  return Kinds[random() % std::size(Kinds)];
}

http::Request completionRequest(const CallerLoad::Settings &setup,
                                const Ask &ask) {
  const bool streamed = ask.Kind == CallKind::CompletionStreamed;
  std::string body = R"({"model":")" + setup.Model + R"(","prompt":")" +
                     ask.Mark + R"(","max_tokens":)" +
                     std::to_string(MaxTokens) + R"(,"seed":)" +
                     std::to_string(ask.TokenSeed) + R"(,"stream":)" +
                     (streamed ? "true}" : "false}");
  return {"POST",
          "/v1/completions",
          {{"X-Service", setup.EngineService},
           {"Content-Type", "application/json"}},
          std::move(body)};
}

http::Request plainRequest(const CallerLoad::Settings &setup, const Ask &ask) {
  http::Request request;
  request.Method = ask.Kind == CallKind::Read ? "GET" : "POST";
  request.Target = ask.Mark;
  request.Headers = {{"X-Service", setup.PlainService}};
  if (ask.Kind != CallKind::Read)
    request.Body = "body of " + ask.Mark;
  if (ask.Kind == CallKind::KeyedWrite)
    request.Headers.push_back({"Idempotency-Key", ask.Mark});
  return request;
}

Ask makeAsk(const CallerLoad::Settings &setup, std::uint32_t caller,
            std::uint64_t count, std::mt19937_64 &random) {
  Ask ask;
  ask.Kind = drawKind(random);
  ask.TokenSeed = random() % 1000;
  const std::string name = std::to_string(caller) + "-" + std::to_string(count);
  const bool isCompletion = ask.Kind == CallKind::CompletionWhole ||
                            ask.Kind == CallKind::CompletionStreamed;
  // Reads and writes have paths of their own, so that a route tells them apart.
  ask.Mark = isCompletion                 ? "prompt-" + name
             : ask.Kind == CallKind::Read ? "/items/" + name
                                          : "/bids/" + name;
  ask.Http =
      isCompletion ? completionRequest(setup, ask) : plainRequest(setup, ask);
  ask.Http.Headers.push_back({"X-Caller", "caller-" + std::to_string(caller)});
  ask.Http.Headers.push_back(
      {"X-Deadline-Ms", std::to_string(setup.Deadline.count())});
  return ask;
}

std::string faultOf(const Ask &ask, const std::string &answer) {
  switch (ask.Kind) {
  case CallKind::CompletionWhole:
    return findCompletionError(answer, ask.Mark, ask.TokenSeed);
  case CallKind::CompletionStreamed:
    return findStreamError(answer, ask.Mark, ask.TokenSeed);
  default:
    return findPlainAnswerError(answer, ask.Http.Method, ask.Mark,
                                ask.Http.Body);
  }
}

/// What an answer read to its end means to the caller.
void judgeAnswer(CallerRecord &record, const Ask &ask,
                 const http::Response &answer) {
  constexpr unsigned Success = 200;
  record.Status = answer.Status;
  if (answer.Status == Success) {
    const std::string fault = faultOf(ask, answer.Body);
    record.End = fault.empty() ? CallOutcome::Whole : CallOutcome::Wrong;
    record.Note += fault;
    return;
  }
  const std::string_view verdict = answer.header("X-Wasabi-Verdict");
  record.End =
      verdict == "not-run" ? CallOutcome::NotRun : CallOutcome::MayHaveRun;
  record.Note += answer.Body.substr(0, 300);
}

class Load : public CallerLoad {
public:
  explicit Load(Settings Setup)
      : Setup(std::move(Setup)),
        Client(http::Client::create(Context.get_executor(), {})) {}
  ~Load() override { end(); }

  void begin() {
    for (std::uint32_t n = 0; n < Setup.Callers; ++n)
      asio::co_spawn(Context, runCaller(n), asio::detached);
    Thread = std::thread([this] { Context.run(); });
  }
  void setEntries(std::vector<Address> Ready) override {
    Entries.set(std::move(Ready));
  }
  std::vector<CallerRecord> finish() override {
    end();
    return Records;
  }
  std::uint64_t completeAnswerCount() const override { return Whole; }

private:
  void end() {
    Ending = true;
    if (Thread.joinable())
      Thread.join();
  }
  asio::awaitable<void> pause(Millis length) {
    BootTimer timer(Context, length);
    co_await timer.async_wait(asio::use_awaitable);
  }
  asio::awaitable<void> runCaller(std::uint32_t caller);
  asio::awaitable<void> sendAtOnce(const Ask &ask, std::mt19937_64 &random);
  asio::awaitable<void> sendPatiently(const Ask &ask, std::mt19937_64 &random);
  asio::awaitable<CallOutcome> send(const Ask &ask, std::mt19937_64 &random);
  asio::awaitable<bool> trySend(const Ask &ask, Address where,
                                CallerRecord &record);

  const Settings Setup;
  asio::io_context Context{1};
  std::shared_ptr<http::Client> Client;
  Published<std::vector<Address>> Entries;
  std::atomic<bool> Ending{false};
  std::atomic<std::uint64_t> Whole{0};
  std::vector<CallerRecord> Records;
  std::thread Thread;
};

asio::awaitable<void> Load::runCaller(std::uint32_t caller) {
  std::mt19937_64 random(Setup.Seed * 1000 + caller);
  for (std::uint64_t count = 0; !Ending; ++count) {
    const Ask ask = makeAsk(Setup, caller, count, random);
    if (Setup.MaxDelayedRetries > 0)
      co_await sendPatiently(ask, random);
    else
      co_await sendAtOnce(ask, random);
    co_await pause(Millis(random() % MaxPauseMs));
  }
}

asio::awaitable<void> Load::sendAtOnce(const Ask &ask,
                                       std::mt19937_64 &random) {
  const int sends = ask.Kind == CallKind::KeyedWrite ? MaxKeyedSends : 1;
  for (int n = 0; n < sends && !Ending; ++n) {
    if (co_await send(ask, random) == CallOutcome::Whole)
      break;
  }
}

/// Goes on also when the load is ending: a request once begun is seen through.
asio::awaitable<void> Load::sendPatiently(const Ask &ask,
                                          std::mt19937_64 &random) {
  for (std::uint32_t n = 0; n <= Setup.MaxDelayedRetries; ++n) {
    const CallOutcome end = co_await send(ask, random);
    const bool mayRepeat =
        end == CallOutcome::NotRun ||
        (end == CallOutcome::MayHaveRun && ask.Kind == CallKind::KeyedWrite);
    if (!mayRepeat)
      break;
    co_await pause(RepeatPause);
  }
}

/// One ask through the balancer: where it can't connect, it tries another.
asio::awaitable<CallOutcome> Load::send(const Ask &ask,
                                        std::mt19937_64 &random) {
  CallerRecord record;
  record.Mark = ask.Mark;
  record.Kind = ask.Kind;
  record.Begun = wallMicros();
  record.End = CallOutcome::NotRun;
  for (int n = 0; n < MaxConnects; ++n) {
    const std::shared_ptr<const std::vector<Address>> ready = Entries.get();
    if (ready->empty()) {
      record.Note = "no entry is ready";
      co_await pause(ConnectPause);
      continue;
    }
    if (co_await trySend(ask, (*ready)[random() % ready->size()], record))
      break;
    co_await pause(ConnectPause);
  }
  record.Ended = wallMicros();
  if (record.End == CallOutcome::Whole)
    ++Whole;
  Records.push_back(record);
  co_return record.End;
}

/// False when the entry could not be connected to.
asio::awaitable<bool> Load::trySend(const Ask &ask, Address where,
                                    CallerRecord &record) {
  record.Note = toText(where) + ": ";
  const Outcome<http::Response> answer =
      co_await Client->call(where, ask.Http, Setup.CallerTimeout);
  if (answer) {
    judgeAnswer(record, ask, *answer);
    co_return true;
  }
  record.Note += describe(answer.failure());
  if (answer.failure().Run == Verdict::NotRun)
    co_return false;
  record.End = CallOutcome::MayHaveRun;
  co_return true;
}

} // namespace

std::unique_ptr<CallerLoad> CallerLoad::start(Settings Setup) {
  std::unique_ptr<Load> load = std::make_unique<Load>(std::move(Setup));
  load->begin();
  return load;
}

} // namespace wasabi::chaos
