#include "Wasabi/Adapters/PlatformLog/HttpLog.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace wasabi {

namespace {

namespace asio = boost::asio;

/// Time limit of an append, after which its outcome is unknown.
constexpr Millis AppendTimeout{5000};
/// Time allowed for a read beyond its poll timeout.
constexpr Millis ReadTimeoutMargin{5000};
/// Retry delay if the log does not name one.
constexpr Millis DefaultRetryDelay{1000};
constexpr char Place[] = "log";

std::string recordsPath(const std::string &Stream) {
  return "/v1/streams/" + Stream + "/records";
}

/// Returns the delay that the `Retry-After` header gives in seconds, or the
/// default if the header is missing or invalid.
Millis parseRetryAfter(const http::Response &Response) {
  std::string_view text = Response.header("Retry-After");
  int seconds = 0;
  std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (read.ec != std::errc() || seconds <= 0)
    return DefaultRetryDelay;
  return Millis(seconds * 1000);
}

/// Returns the failure for a status. A request refused with 4xx did not run;
/// with any other status it may have run.
Failure makeStatusFailure(const http::Response &Response) {
  constexpr unsigned TooManyRequests = 429;
  std::string reason = "status " + std::to_string(Response.Status);
  if (Response.Status == TooManyRequests)
    return {Verdict::NotRun, FailureCode::Overloaded, Place, reason,
            parseRetryAfter(Response)};
  if (Response.Status >= 400 && Response.Status < 500)
    return {Verdict::NotRun, FailureCode::BadInput, Place, reason, {}};
  return {Verdict::MayHaveRun, FailureCode::Unavailable, Place, reason,
          parseRetryAfter(Response)};
}

Result<Offset> parseAppendResponse(const http::Response &Response) {
  BOOST_LEAF_AUTO(value, parseJson(Response.Body, Place));
  JsonReader reader(value, Place);
  reader.allowUnknown();
  Offset out = reader.number("offset");
  BOOST_LEAF_CHECK(reader.finish());
  return out;
}

Result<LogRange> parseRange(const http::Response &Response, Offset From,
                            bool Expired) {
  BOOST_LEAF_AUTO(value, parseJson(Response.Body, Place));
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

/// A malformed response does not tell whether the request ran.
Failure makeUnreadableFailure(Failure Why) {
  Why.Run = Verdict::MayHaveRun;
  Why.Code = FailureCode::Unavailable;
  return Why;
}

asio::awaitable<Outcome<Offset>> append(std::shared_ptr<http::Client> Client,
                                        Address Service, std::string Stream,
                                        std::string Text) {
  http::Request request;
  request.Method = "POST";
  request.Target = recordsPath(Stream);
  request.Headers = {{"Content-Type", "application/json"}};
  request.Body = std::move(Text);
  Outcome<http::Response> response =
      co_await Client->call(Service, std::move(request), AppendTimeout);
  if (!response)
    co_return response.failure();
  constexpr unsigned Created = 201;
  if (response->Status != Created)
    co_return makeStatusFailure(*response);
  Outcome<Offset> offset =
      toOutcome<Offset>([&] { return parseAppendResponse(*response); });
  if (!offset)
    co_return makeUnreadableFailure(offset.failure());
  co_return offset;
}

asio::awaitable<Outcome<LogRange>> read(std::shared_ptr<http::Client> Client,
                                        Address Service, std::string Stream,
                                        Offset From, std::size_t Max,
                                        Millis PollTimeout) {
  http::Request request;
  request.Method = "GET";
  request.Target = recordsPath(Stream) + "?from=" + std::to_string(From) +
                   "&max=" + std::to_string(Max) +
                   "&wait_ms=" + std::to_string(PollTimeout.count());
  Outcome<http::Response> response = co_await Client->call(
      Service, std::move(request), PollTimeout + ReadTimeoutMargin);
  if (!response)
    co_return response.failure();
  constexpr unsigned Ok = 200;
  constexpr unsigned Gone = 410;
  if (response->Status != Ok && response->Status != Gone)
    co_return makeStatusFailure(*response);
  Outcome<LogRange> range = toOutcome<LogRange>(
      [&] { return parseRange(*response, From, response->Status == Gone); });
  if (!range)
    co_return makeUnreadableFailure(range.failure());
  co_return range;
}

} // namespace

LogPort makeHttpLog(std::shared_ptr<http::Client> Client, Address Service) {
  LogPort out;
  out.Append = [Client, Service](std::string Stream, std::string Text) {
    return append(Client, Service, std::move(Stream), std::move(Text));
  };
  out.Read = [Client = std::move(Client), Service = std::move(Service)](
                 std::string Stream, Offset From, std::size_t Max,
                 Millis PollTimeout) {
    return read(Client, Service, std::move(Stream), From, Max, PollTimeout);
  };
  return out;
}

} // namespace wasabi
