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

/// Maximum delay between two requests of a caller.
constexpr std::uint64_t MaxDelayMs = 80;
/// Maximum number of entries that the balancer tries to connect to.
constexpr int MaxConnectAttempts = 4;
/// Maximum number of times that a keyed write is sent while its outcome is
/// unknown.
constexpr int MaxKeyedSends = 3;
constexpr std::uint64_t MaxTokens = 48;
constexpr Millis ConnectRetryDelay{50};
/// Delay before a retry, at least as long as a refusal requests.
constexpr Millis RetryDelay{1000};

/// A request as it is sent.
struct RequestSpec {
  std::string Mark;
  CallKind Kind = CallKind::Read;
  std::uint64_t TokenSeed = 0;
  http::Request Http;
};

CallKind randomKind(std::mt19937_64 &random) {
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

http::Request makeCompletionRequest(const CallerLoad::Settings &setup,
                                    const RequestSpec &spec) {
  const bool streamed = spec.Kind == CallKind::CompletionStreamed;
  std::string body = R"({"model":")" + setup.Model + R"(","prompt":")" +
                     spec.Mark + R"(","max_tokens":)" +
                     std::to_string(MaxTokens) + R"(,"seed":)" +
                     std::to_string(spec.TokenSeed) + R"(,"stream":)" +
                     (streamed ? "true}" : "false}");
  return {"POST",
          "/v1/completions",
          {{"X-Service", setup.EngineService},
           {"Content-Type", "application/json"}},
          std::move(body)};
}

http::Request makePlainRequest(const CallerLoad::Settings &setup,
                               const RequestSpec &spec) {
  http::Request request;
  request.Method = spec.Kind == CallKind::Read ? "GET" : "POST";
  request.Target = spec.Mark;
  request.Headers = {{"X-Service", setup.PlainService}};
  if (spec.Kind != CallKind::Read)
    request.Body = "body of " + spec.Mark;
  if (spec.Kind == CallKind::KeyedWrite)
    request.Headers.push_back({"Idempotency-Key", spec.Mark});
  return request;
}

RequestSpec makeRequestSpec(const CallerLoad::Settings &setup,
                            std::uint32_t caller, std::uint64_t count,
                            std::mt19937_64 &random) {
  RequestSpec spec;
  spec.Kind = randomKind(random);
  spec.TokenSeed = random() % 1000;
  const std::string name = std::to_string(caller) + "-" + std::to_string(count);
  const bool isCompletion = spec.Kind == CallKind::CompletionWhole ||
                            spec.Kind == CallKind::CompletionStreamed;
  // Reads and writes have different paths, so that routes can distinguish them.
  spec.Mark = isCompletion                  ? "prompt-" + name
              : spec.Kind == CallKind::Read ? "/items/" + name
                                            : "/bids/" + name;
  spec.Http = isCompletion ? makeCompletionRequest(setup, spec)
                           : makePlainRequest(setup, spec);
  spec.Http.Headers.push_back({"X-Caller", "caller-" + std::to_string(caller)});
  spec.Http.Headers.push_back(
      {"X-Deadline-Ms", std::to_string(setup.Deadline.count())});
  return spec;
}

std::string findResponseError(const RequestSpec &spec,
                              const std::string &answer) {
  switch (spec.Kind) {
  case CallKind::CompletionWhole:
    return findCompletionError(answer, spec.Mark, spec.TokenSeed);
  case CallKind::CompletionStreamed:
    return findStreamError(answer, spec.Mark, spec.TokenSeed);
  default:
    return findPlainAnswerError(answer, spec.Http.Method, spec.Mark,
                                spec.Http.Body);
  }
}

/// Records the outcome of a response that was read to its end.
void recordResponse(CallerRecord &record, const RequestSpec &spec,
                    const http::Response &answer) {
  constexpr unsigned Success = 200;
  record.Status = answer.Status;
  if (answer.Status == Success) {
    const std::string error = findResponseError(spec, answer.Body);
    record.End = error.empty() ? CallOutcome::Whole : CallOutcome::Wrong;
    record.Note += error;
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
  std::uint64_t completeAnswerCount() const override { return CompleteCount; }

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
  asio::awaitable<void> sendWithoutDelay(const RequestSpec &spec,
                                         std::mt19937_64 &random);
  asio::awaitable<void> sendWithRetries(const RequestSpec &spec,
                                        std::mt19937_64 &random);
  asio::awaitable<CallOutcome> send(const RequestSpec &spec,
                                    std::mt19937_64 &random);
  asio::awaitable<bool> trySend(const RequestSpec &spec, Address where,
                                CallerRecord &record);

  const Settings Setup;
  asio::io_context Context{1};
  std::shared_ptr<http::Client> Client;
  Published<std::vector<Address>> Entries;
  std::atomic<bool> Ending{false};
  std::atomic<std::uint64_t> CompleteCount{0};
  std::vector<CallerRecord> Records;
  std::thread Thread;
};

asio::awaitable<void> Load::runCaller(std::uint32_t caller) {
  std::mt19937_64 random(Setup.Seed * 1000 + caller);
  for (std::uint64_t count = 0; !Ending; ++count) {
    const RequestSpec spec = makeRequestSpec(Setup, caller, count, random);
    if (Setup.MaxDelayedRetries > 0)
      co_await sendWithRetries(spec, random);
    else
      co_await sendWithoutDelay(spec, random);
    co_await pause(Millis(random() % MaxDelayMs));
  }
}

asio::awaitable<void> Load::sendWithoutDelay(const RequestSpec &spec,
                                             std::mt19937_64 &random) {
  const int sends = spec.Kind == CallKind::KeyedWrite ? MaxKeyedSends : 1;
  for (int n = 0; n < sends && !Ending; ++n) {
    if (co_await send(spec, random) == CallOutcome::Whole)
      break;
  }
}

/// Continues after the load is stopped, so that a started request is completed.
asio::awaitable<void> Load::sendWithRetries(const RequestSpec &spec,
                                            std::mt19937_64 &random) {
  for (std::uint32_t n = 0; n <= Setup.MaxDelayedRetries; ++n) {
    const CallOutcome end = co_await send(spec, random);
    const bool mayRetry =
        end == CallOutcome::NotRun ||
        (end == CallOutcome::MayHaveRun && spec.Kind == CallKind::KeyedWrite);
    if (!mayRetry)
      break;
    co_await pause(RetryDelay);
  }
}

/// Sends a request through the balancer, which tries another entry if it can't
/// connect.
asio::awaitable<CallOutcome> Load::send(const RequestSpec &spec,
                                        std::mt19937_64 &random) {
  CallerRecord record;
  record.Mark = spec.Mark;
  record.Kind = spec.Kind;
  record.Begun = wallMicros();
  record.End = CallOutcome::NotRun;
  for (int n = 0; n < MaxConnectAttempts; ++n) {
    const std::shared_ptr<const std::vector<Address>> ready = Entries.get();
    if (ready->empty()) {
      record.Note = "no entry is ready";
      co_await pause(ConnectRetryDelay);
      continue;
    }
    if (co_await trySend(spec, (*ready)[random() % ready->size()], record))
      break;
    co_await pause(ConnectRetryDelay);
  }
  record.Ended = wallMicros();
  if (record.End == CallOutcome::Whole)
    ++CompleteCount;
  Records.push_back(record);
  co_return record.End;
}

/// Returns false if the entry could not be connected to.
asio::awaitable<bool> Load::trySend(const RequestSpec &spec, Address where,
                                    CallerRecord &record) {
  record.Note = toText(where) + ": ";
  const Outcome<http::Response> answer =
      co_await Client->call(where, spec.Http, Setup.CallerTimeout);
  if (answer) {
    recordResponse(record, spec, *answer);
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
