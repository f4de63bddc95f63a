#include "UnitTests/Adapters/PlatformLog/FakeLog.h"
#include "Wasabi/Adapters/PlatformLog/HttpLog.h"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using wasabi::FailureCode;
using wasabi::LogPort;
using wasabi::LogRange;
using wasabi::Millis;
using wasabi::Offset;
using wasabi::Outcome;
using wasabi::Verdict;

namespace {

namespace asio = boost::asio;
namespace http = wasabi::http;

/// Server that gives one response and stores the request.
class SingleResponseServer {
public:
  explicit SingleResponseServer(http::Response Answer)
      : Answer(std::move(Answer)) {}

  template <typename T>
  T ask(const std::function<asio::awaitable<T>(const LogPort &)> &Call) {
    asio::io_context context;
    Outcome<std::shared_ptr<http::Server>> server =
        wasabi::toOutcome<std::shared_ptr<http::Server>>([&] {
          return http::Server::create(
              context, {},
              [this](http::Request Request,
                     std::shared_ptr<http::Responder> Out)
                  -> asio::awaitable<void> {
                LastRequest = std::move(Request);
                co_await Out->send(Answer);
              });
        });
    REQUIRE(server);
    std::shared_ptr<http::Client> client =
        http::Client::create(context.get_executor(), {});
    std::optional<T> out;
    asio::co_spawn(
        context,
        wasabi::logtest::storeResult(
            out, Call(wasabi::makeHttpLog(client, (*server)->address()))),
        [&](const std::exception_ptr &) {
          (*server)->stop();
          context.stop();
        });
    context.run();
    REQUIRE(out);
    return std::move(*out);
  }

  Outcome<Offset> append() {
    return ask<Outcome<Offset>>(
        [](const LogPort &Log) { return Log.Append("control", "{\"a\":1}"); });
  }
  Outcome<LogRange> read(Offset From) {
    return ask<Outcome<LogRange>>([From](const LogPort &Log) {
      return Log.Read("control", From, 10, Millis(7));
    });
  }

  http::Request LastRequest;

private:
  http::Response Answer;
};

} // namespace

TEST_CASE("An append posts the record and returns its offset") {
  SingleResponseServer log(
      http::jsonResponse(201, R"({"offset":12,"more":true})"));
  Outcome<Offset> at = log.append();
  REQUIRE(at);
  CHECK(*at == 12);
  CHECK(log.LastRequest.Method == "POST");
  CHECK(log.LastRequest.Target == "/v1/streams/control/records");
  CHECK(log.LastRequest.Body == "{\"a\":1}");
}

TEST_CASE("A failed append reports whether it may have run") {
  http::Response busy = http::jsonResponse(429, "{}");
  busy.Headers.push_back({"Retry-After", "3"});
  Outcome<Offset> at = SingleResponseServer(busy).append();
  REQUIRE_FALSE(at);
  CHECK(at.failure().Run == Verdict::NotRun);
  CHECK(at.failure().Code == FailureCode::Overloaded);
  CHECK(at.failure().RetryAfter == Millis(3000));

  CHECK(SingleResponseServer(http::jsonResponse(413, "{}"))
            .append()
            .failure()
            .Run == Verdict::NotRun);
  CHECK(SingleResponseServer(http::jsonResponse(500, "{}"))
            .append()
            .failure()
            .Run == Verdict::MayHaveRun);
  CHECK(SingleResponseServer(http::jsonResponse(201, "{}"))
            .append()
            .failure()
            .Run == Verdict::MayHaveRun);
}

TEST_CASE("A read returns contiguous entries, or none with the first offset if "
          "expired") {
  SingleResponseServer log(http::jsonResponse(
      200, R"({"first":1,"end":9,"records":[{"offset":4,"body":"x"},)"
           R"({"offset":5,"body":"y"}]})"));
  Outcome<LogRange> range = log.read(4);
  REQUIRE(range);
  CHECK(range->First == 1);
  CHECK(range->End == 9);
  CHECK(range->Entries == std::vector<wasabi::LogEntry>{{4, "x"}, {5, "y"}});
  CHECK(log.LastRequest.Target ==
        "/v1/streams/control/records?from=4&max=10&wait_ms=7");
  CHECK_FALSE(log.read(3));

  range =
      SingleResponseServer(http::jsonResponse(410, R"({"first":5,"end":9})"))
          .read(2);
  REQUIRE(range);
  CHECK(range->First == 5);
  CHECK(range->Entries.empty());
  CHECK_FALSE(SingleResponseServer(http::jsonResponse(200, "[]")).read(2));
  CHECK_FALSE(SingleResponseServer(http::jsonResponse(503, "{}")).read(2));
}
