#include "IntegrationTests/Harness/HttpCall.h"

#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <optional>

namespace wasabi::harness {

namespace {

constexpr unsigned FirstFailingStatus = 300;

Failure statusFailure(const Address &Where, std::string_view Path,
                      const http::Response &Answer) {
  return Failure{Verdict::Ran,
                 FailureCode::Unavailable,
                 toText(Where) + std::string(Path),
                 "status " + std::to_string(Answer.Status) + ": " + Answer.Body,
                 {}};
}

http::Request request(std::string_view Method, std::string_view Path) {
  http::Request req;
  req.Method = Method;
  req.Target = Path;
  return req;
}

} // namespace

Outcome<http::Response> call(const Address &Where, http::Request Request,
                             Millis Timeout) {
  boost::asio::io_context context(1);
  std::shared_ptr<http::Client> client =
      http::Client::create(context.get_executor(), {});
  std::optional<Outcome<http::Response>> answer;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        answer.emplace(
            co_await client->call(Where, std::move(Request), Timeout));
        // The answer is complete: close idle connections, so that `run`
        // returns.
        context.stop();
      },
      boost::asio::detached);
  context.run();
  if (!answer)
    return Failure{Verdict::MayHaveRun,
                   FailureCode::Internal,
                   toText(Where),
                   "the call ended without an answer",
                   {}};
  return std::move(*answer);
}

Outcome<std::string> getText(const Address &Where, std::string_view Path,
                             Millis Timeout) {
  Outcome<http::Response> answer = call(Where, request("GET", Path), Timeout);
  if (!answer)
    return answer.failure();
  if (answer->Status != 200)
    return statusFailure(Where, Path, *answer);
  return answer->Body;
}

Outcome<boost::json::value> getJson(const Address &Where, std::string_view Path,
                                    Millis Timeout) {
  Outcome<std::string> text = getText(Where, Path, Timeout);
  if (!text)
    return text.failure();
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(*text, ec);
  if (ec)
    return Failure{Verdict::Ran,
                   FailureCode::Internal,
                   toText(Where) + std::string(Path),
                   "the body is no JSON",
                   {}};
  return value;
}

Outcome<http::Response> postJson(const Address &Where, std::string_view Path,
                                 std::string Body, Millis Timeout) {
  http::Request req = request("POST", Path);
  req.Headers.push_back({"Content-Type", "application/json"});
  req.Body = std::move(Body);
  Outcome<http::Response> answer = call(Where, std::move(req), Timeout);
  if (answer && answer->Status >= FirstFailingStatus)
    return statusFailure(Where, Path, *answer);
  return answer;
}

} // namespace wasabi::harness
