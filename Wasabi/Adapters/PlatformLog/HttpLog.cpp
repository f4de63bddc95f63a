#include "Wasabi/Adapters/PlatformLog/HttpLog.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace wasabi {

namespace {

namespace asio = boost::asio;

/// How long an append may take before its fate counts as unknown.
constexpr Millis AppendTimeout{5000};
/// How long a read may take beyond the wait that it asked for.
constexpr Millis ReadSlack{5000};
/// When to come back if the log refuses and does not say.
constexpr Millis DefaultRetry{1000};
constexpr char Place[] = "log";

std::string recordsPath(const std::string &Stream) {
  return "/v1/streams/" + Stream + "/records";
}

/// Delay of a `Retry-After` header in seconds, or the default.
Millis retryAfter(const http::Response &Answer) {
  std::string_view text = Answer.header("Retry-After");
  int seconds = 0;
  std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (read.ec != std::errc() || seconds <= 0)
    return DefaultRetry;
  return Millis(seconds * 1000);
}

/// The failure that a status means. Refusals by status 4xx did not run; of a
/// failure inside the service nobody knows.
Failure statusFailure(const http::Response &Answer) {
  constexpr unsigned TooManyRequests = 429;
  std::string reason = "status " + std::to_string(Answer.Status);
  if (Answer.Status == TooManyRequests)
    return {Verdict::NotRun, FailureCode::Overloaded, Place, reason,
            retryAfter(Answer)};
  if (Answer.Status >= 400 && Answer.Status < 500)
    return {Verdict::NotRun, FailureCode::BadInput, Place, reason, {}};
  return {Verdict::MayHaveRun, FailureCode::Unavailable, Place, reason,
          retryAfter(Answer)};
}

Result<Offset> readAppended(const http::Response &Answer) {
  BOOST_LEAF_AUTO(value, parseJson(Answer.Body, Place));
  JsonReader reader(value, Place);
  reader.allowUnknown();
  Offset out = reader.number("offset");
  BOOST_LEAF_CHECK(reader.finish());
  return out;
}

Result<LogRange> readRange(const http::Response &Answer, Offset From,
                           bool Expired) {
  BOOST_LEAF_AUTO(value, parseJson(Answer.Body, Place));
  JsonReader reader(value, Place);
  reader.allowUnknown();
  LogRange out;
  out.First = reader.number("first");
  out.End = reader.number("end");
  Offset next = From;
  for (JsonReader &part : reader.objects("records", !Expired)) {
    LogEntry entry{part.number("offset"), part.text("body")};
    if (entry.At != next++)
      part.fail("offset", "is not contiguous");
    reader.mergeError(part);
    out.Entries.push_back(std::move(entry));
  }
  BOOST_LEAF_CHECK(reader.finish());
  return out;
}

/// An answer that cannot be read says nothing about what was done.
Failure unreadable(Failure Why) {
  Why.Run = Verdict::MayHaveRun;
  Why.Code = FailureCode::Unavailable;
  return Why;
}

asio::awaitable<Outcome<Offset>> append(std::shared_ptr<http::Client> Client,
                                        Address Service, std::string Stream,
                                        std::string Text) {
  http::Request ask;
  ask.Method = "POST";
  ask.Target = recordsPath(Stream);
  ask.Headers = {{"Content-Type", "application/json"}};
  ask.Body = std::move(Text);
  Outcome<http::Response> answer =
      co_await Client->call(Service, std::move(ask), AppendTimeout);
  if (!answer)
    co_return answer.failure();
  constexpr unsigned Created = 201;
  if (answer->Status != Created)
    co_return statusFailure(*answer);
  Outcome<Offset> offset =
      toOutcome<Offset>([&] { return readAppended(*answer); });
  if (!offset)
    co_return unreadable(offset.failure());
  co_return offset;
}

asio::awaitable<Outcome<LogRange>> read(std::shared_ptr<http::Client> Client,
                                        Address Service, std::string Stream,
                                        Offset From, std::size_t Max,
                                        Millis Wait) {
  http::Request ask;
  ask.Method = "GET";
  ask.Target = recordsPath(Stream) + "?from=" + std::to_string(From) +
               "&max=" + std::to_string(Max) +
               "&wait_ms=" + std::to_string(Wait.count());
  Outcome<http::Response> answer =
      co_await Client->call(Service, std::move(ask), Wait + ReadSlack);
  if (!answer)
    co_return answer.failure();
  constexpr unsigned Ok = 200;
  constexpr unsigned Gone = 410;
  if (answer->Status != Ok && answer->Status != Gone)
    co_return statusFailure(*answer);
  Outcome<LogRange> range = toOutcome<LogRange>(
      [&] { return readRange(*answer, From, answer->Status == Gone); });
  if (!range)
    co_return unreadable(range.failure());
  co_return range;
}

} // namespace

LogPort makeHttpLog(std::shared_ptr<http::Client> Client, Address Service) {
  LogPort out;
  out.Append = [Client, Service](std::string Stream, std::string Text) {
    return append(Client, Service, std::move(Stream), std::move(Text));
  };
  out.Read = [Client = std::move(Client),
              Service = std::move(Service)](std::string Stream, Offset From,
                                            std::size_t Max, Millis Wait) {
    return read(Client, Service, std::move(Stream), From, Max, Wait);
  };
  return out;
}

} // namespace wasabi
