#include "Wasabi/Adapters/Proxy/UpstreamExchange.h"

#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr unsigned StatusUnavailable = 503;
constexpr Millis DefaultRetryAfter{1000};

Millis timeLeft(TimePoint Deadline) {
  return std::max(std::chrono::ceil<Millis>(Deadline - monotonicNow()),
                  Millis(0));
}

Millis parseRetryAfter(const http::Response &Head) {
  std::string_view text = Head.header("Retry-After");
  std::int64_t seconds = 0;
  std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (text.empty() || read.ec != std::errc() || seconds <= 0)
    return DefaultRetryAfter;
  return std::chrono::seconds(seconds);
}

} // namespace

void UpstreamExchange::cancel(Failure Why) {
  if (CancelReason)
    return;
  CancelReason = std::move(Why);
  if (ActiveStream)
    ActiveStream->cancel();
  else
    CancelSignal.emit(asio::cancellation_type::terminal);
}

Failure UpstreamExchange::makeExchangeFailure(Failure Why) const {
  if (!CancelReason)
    return Why;
  Failure failure = *CancelReason;
  // The verdict of the exchange itself takes precedence.
  failure.Run = Why.Run;
  return failure;
}

asio::awaitable<UpstreamExchange::OpenResult>
UpstreamExchange::open(const ExchangeRequest &Request) {
  std::optional<OpenResult> opened;
  // Runs as a separate coroutine so that it can be cancelled while the server
  // is silent. Cancelling closes the connection.
  co_await asio::co_spawn(
      Executor,
      [this, &Request, &opened]() -> asio::awaitable<void> {
        http::Request request = Request.Http;
        OpenResult result = co_await Client->open(
            Request.Where, std::move(request), timeLeft(Request.Deadline));
        opened.emplace(std::move(result));
      },
      asio::bind_cancellation_slot(CancelSignal.slot(),
                                   asio::as_tuple(asio::use_awaitable)));
  if (!opened)
    co_return Failure{Verdict::MayHaveRun,
                      FailureCode::Cancelled,
                      Request.Server.Text,
                      "cancelled before the response",
                      {}};
  co_return std::move(*opened);
}

asio::awaitable<Outcome<Done>>
UpstreamExchange::run(ExchangeRequest Request,
                      std::shared_ptr<ResponseSink> Sink) {
  OpenResult opened = co_await open(Request);
  if (!opened)
    co_return makeExchangeFailure(opened.failure());
  std::unique_ptr<http::ResponseStream> stream = *std::move(opened);
  const http::Response &head = stream->head();
  if (Request.Engine && head.Status == StatusUnavailable)
    co_return Failure{Verdict::NotRun, FailureCode::Overloaded,
                      Request.Server.Text,
                      "the engine refused the request with status 503",
                      parseRetryAfter(head)};
  ActiveStream = stream.get();
  if (CancelReason)
    ActiveStream->cancel();
  Outcome<Done> end = co_await relay(Request, *stream, Sink);
  ActiveStream = nullptr;
  if (!end) {
    Failure why = end.failure();
    why.Run = Verdict::Ran;
    co_return makeExchangeFailure(why);
  }
  co_return end;
}

asio::awaitable<Outcome<Done>>
UpstreamExchange::relay(const ExchangeRequest &Request,
                        http::ResponseStream &Stream,
                        std::shared_ptr<ResponseSink> Sink) {
  http::Response head = Stream.head();
  removeHopByHopHeaders(head.Headers);
  if (Request.MaxCopyBytes > 0)
    ResponseCopy = head;
  Sink->begin(std::move(head), Request.Server);
  for (;;) {
    Outcome<std::optional<std::string>> chunk =
        co_await Stream.next(timeLeft(Request.Deadline));
    if (!chunk)
      co_return chunk.failure();
    if (!chunk->has_value())
      co_return Done{};
    // Lets the copy exceed the limit so that an incomplete copy can be
    // detected.
    if (ResponseCopy.Body.size() <= Request.MaxCopyBytes &&
        Request.MaxCopyBytes > 0)
      ResponseCopy.Body += **chunk;
    if (Sink->gone() && Request.MaxCopyBytes > 0)
      continue;
    Outcome<Done> written = co_await Sink->write(**std::move(chunk));
    if (!written && Request.MaxCopyBytes == 0)
      co_return written;
  }
}

} // namespace wasabi
