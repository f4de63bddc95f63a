#include "UnitTests/Batch/BatchFixture.h"
#include "Wasabi/Upstream/Forwarder.h"

namespace wasabi::batchtest {

namespace {

namespace asio = boost::asio;

const ServiceName Desk("desk");
constexpr std::uint64_t Events = 50;

/// A stream whose events are all available, and counts those that were read.
class ReadyStream final : public EngineStream {
public:
  explicit ReadyStream(std::uint64_t &Read) : Read(Read) {
    Head.Proof = AnswerProof::Ran;
  }
  const StreamHead &head() const override { return Head; }
  asio::awaitable<Outcome<std::optional<EngineEvent>>> next(Millis) override {
    if (Read == Events)
      co_return std::optional<EngineEvent>();
    EngineEvent event;
    event.Id = ++Read;
    event.Raw = "id: " + std::to_string(event.Id) + "\n\n";
    co_return std::optional<EngineEvent>(std::move(event));
  }
  void cancel() override {}

private:
  std::uint64_t &Read;
  StreamHead Head;
};

/// A caller that takes events only as they are allowed.
class SlowCaller final : public http::Responder {
public:
  explicit SlowCaller(asio::any_io_executor Executor)
      : Executor(std::move(Executor)) {}
  asio::awaitable<Outcome<Done>> send(http::Response) override {
    co_return Done{};
  }
  asio::awaitable<Outcome<Done>> begin(http::Response) override {
    co_return Done{};
  }
  asio::awaitable<Outcome<Done>> write(std::string) override {
    while (Taken >= Allowed)
      co_await pauseFor(Executor, Millis(1));
    ++Taken;
    co_return Done{};
  }
  asio::awaitable<Outcome<Done>> end() override {
    Ended = true;
    co_return Done{};
  }
  void abort() override {}
  bool gone() const override { return false; }
  void onGone(std::function<void()>) override {}

  asio::any_io_executor Executor;
  std::uint64_t Taken = 0;
  std::uint64_t Allowed = 0;
  bool Ended = false;
};

} // namespace

// Guards against a forwarder that reads a stream while its caller does not, and
// so holds all of it.
TEST_CASE("The forwarder reads a stream one event ahead of its caller",
          "[upstream]") {
  BatchTestFixture fixture;
  FleetView view;
  Metrics counts;
  noteAnswer(view.Contact, monotonicNow());
  std::uint64_t read = 0;
  EnginePort port;
  port.Open =
      [&](UpstreamRegistration, const http::Request &, SendOptions,
          Millis) -> asio::awaitable<Outcome<std::unique_ptr<EngineStream>>> {
    std::unique_ptr<EngineStream> stream = std::make_unique<ReadyStream>(read);
    co_return stream;
  };
  FeedContext feed{fixture.Context.get_executor(), fixture.Store.port(),
                   fixture.Decisions, view};
  std::shared_ptr<Quarantine> quarantine =
      Quarantine::create(feed, port, counts, Quarantine::Settings());
  std::shared_ptr<Forwarder> forwarder =
      Forwarder::create({fixture.Context.get_executor(), view, port, quarantine,
                         fixture.Decisions, counts},
                        Forwarder::Settings());
  UpstreamRegistration entry;
  entry.Id = ServerName("a");
  entry.Service = Desk;
  registerServer(view.Servers, entry);
  UpstreamRoute route;
  route.Kind = RouteKind::Streaming;
  route.Services = {{Desk, 1}};
  std::shared_ptr<SlowCaller> caller =
      std::make_shared<SlowCaller>(fixture.Context.get_executor());
  ForwardRequest request;
  request.Id = "r1";
  request.ArrivedAt = monotonicNow();
  asio::co_spawn(
      fixture.Context,
      [&] { return forwarder->forwardStream(request, route, caller); },
      asio::detached);
  for (std::uint64_t allowed : {0, 1, 7}) {
    caller->Allowed = allowed;
    REQUIRE(fixture.runUntil([&] { return caller->Taken == allowed; }));
    REQUIRE(fixture.runUntil([&] { return read > allowed; }));
    fixture.Context.run_for(Millis(20));
    CHECK(read == allowed + 1);
  }
  caller->Allowed = Events;
  REQUIRE(fixture.runUntil([&] { return caller->Ended; }));
  CHECK(caller->Taken == Events);
}

} // namespace wasabi::batchtest
