#include "Wasabi/Adapters/Telemetry/DecisionLog.h"

#include <catch2/catch.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

#include <thread>

namespace wasabi {

namespace {

/// A log that writes into a pipe.
struct PipedLog {
  std::array<int, 2> Ends{};
  boost::asio::io_context Context;
  std::shared_ptr<DecisionLog> Log;

  explicit PipedLog(DecisionLog::Settings Limits) {
    REQUIRE(::pipe(Ends.data()) == 0);
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    Limits.Descriptor = Ends[1];
    Limits.Instance = "edge-1";
    Log = DecisionLog::create(Context, Limits);
  }
  PipedLog(const PipedLog &) = delete;
  PipedLog &operator=(const PipedLog &) = delete;
  ~PipedLog() {
    Log.reset();
    ::close(Ends[0]);
    ::close(Ends[1]);
  }
  std::string read() {
    std::string text;
    std::array<char, 65536> buf{};
    ssize_t n = 0;
    while ((n = ::read(Ends[0], buf.data(), buf.size())) > 0)
      text.append(buf.data(), static_cast<std::size_t>(n));
    return text;
  }
};

} // namespace

TEST_CASE("A decision is written as one line of JSON", "[telemetry]") {
  PipedLog piped({});
  piped.Log->line("job.submitted", {{"job", "a\"b"}});
  piped.Context.run_for(std::chrono::milliseconds(200));
  std::string text = piped.read();
  CHECK(text.find(R"("message":"job.submitted")") != std::string::npos);
  CHECK(text.find(R"("job":"a\"b")") != std::string::npos);
  CHECK(text.ends_with("}\n"));
}

TEST_CASE("Lines above the rate limit are dropped and counted", "[telemetry]") {
  DecisionLog::Settings limits;
  limits.LinesPerSecond = 1000;
  limits.Burst = 10;
  PipedLog piped(limits);
  for (int i = 0; i < 50; ++i)
    piped.Log->line("event", {});
  CHECK(piped.Log->dropped() >= 39);
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  piped.Log->line("event", {});
  piped.Log->flush();
  CHECK(piped.read().find("log.dropped") != std::string::npos);
}

TEST_CASE("A stopped reader does not block the log", "[telemetry]") {
  DecisionLog::Settings limits;
  limits.LinesPerSecond = 1e9;
  limits.Burst = 1e9;
  limits.MaxPendingBytes = 4096;
  PipedLog piped(limits);
  std::string text(1000, 'x');
  for (int i = 0; i < 500; ++i) {
    piped.Log->line("event", {{"text", text}});
    piped.Log->flush();
  }
  CHECK(piped.Log->dropped() > 0);
}

} // namespace wasabi
