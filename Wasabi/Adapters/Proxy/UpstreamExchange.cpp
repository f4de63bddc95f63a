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
constexpr Millis EngineRetryAfter{1000};

Millis leftOf(TimePoint Until) {
  return std::max(std::chrono::ceil<Millis>(Until - monotonicNow()), Millis(0));
}

Millis retryAfterOf(const http::Response &Head) {
  std::string_view text = Head.header("Retry-After");
  std::int64_t seconds = 0;
  std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (text.empty() || read.ec != std::errc() || seconds <= 0)
    return EngineRetryAfter;
  return std::chrono::seconds(seconds);
}

} // namespace

void UpstreamExchange::breakOff(Failure Why) {
  if (Broken)
    return;
  Broken = std::move(Why);
  if (Reading)
    Reading->cancel();
  else
    Cancel.emit(asio::cancellation_type::terminal);
}

Failure UpstreamExchange::makeExchangeFailure(Failure Why) const {
  if (!Broken)
    return Why;
  Failure told = *Broken;
  // What is known of the run outweighs what broke it.
  told.Run = Why.Run;
  return told;
}

asio::awaitable<UpstreamExchange::Opened>
UpstreamExchange::open(const Ask &What) {
  std::optional<Opened> opened;
  // A coroutine of its own, so that it can be cancelled while the server is
  // silent; its connection is then closed, which tells the server.
  co_await asio::co_spawn(
      Executor,
      [this, &What, &opened]() -> asio::awaitable<void> {
        http::Request ask = What.Http;
        Opened got = co_await Client->open(What.Where, std::move(ask),
                                           leftOf(What.Until));
        opened.emplace(std::move(got));
      },
      asio::bind_cancellation_slot(Cancel.slot(),
                                   asio::as_tuple(asio::use_awaitable)));
  if (!opened)
    co_return Failure{Verdict::MayHaveRun,
                      FailureCode::Cancelled,
                      What.Server.Text,
                      "broken off before its answer",
                      {}};
  co_return std::move(*opened);
}

asio::awaitable<Outcome<Done>>
UpstreamExchange::run(Ask What, std::shared_ptr<ResponseSink> Sink) {
  Opened opened = co_await open(What);
  if (!opened)
    co_return makeExchangeFailure(opened.failure());
  std::unique_ptr<http::ResponseStream> stream = *std::move(opened);
  const http::Response &head = stream->head();
  if (What.Engine && head.Status == StatusUnavailable)
    co_return Failure{Verdict::NotRun, FailureCode::Overloaded,
                      What.Server.Text, "the engine refused it",
                      retryAfterOf(head)};
  Reading = stream.get();
  if (Broken)
    Reading->cancel();
  Outcome<Done> end = co_await relay(What, *stream, Sink);
  Reading = nullptr;
  if (!end) {
    Failure why = end.failure();
    why.Run = Verdict::Ran;
    co_return makeExchangeFailure(why);
  }
  co_return end;
}

asio::awaitable<Outcome<Done>>
UpstreamExchange::relay(const Ask &What, http::ResponseStream &From,
                        std::shared_ptr<ResponseSink> Sink) {
  http::Response head = From.head();
  removeHopByHopHeaders(head.Headers);
  if (What.MaxCopyBytes > 0)
    Kept = head;
  Sink->begin(std::move(head), What.Server);
  for (;;) {
    Outcome<std::optional<std::string>> piece =
        co_await From.next(leftOf(What.Until));
    if (!piece)
      co_return piece.failure();
    if (!piece->has_value())
      co_return Done{};
    // One byte too many is kept, so that the copy is seen to be cut short.
    if (Kept.Body.size() <= What.MaxCopyBytes && What.MaxCopyBytes > 0)
      Kept.Body += **piece;
    if (Sink->gone() && What.MaxCopyBytes > 0)
      continue;
    Outcome<Done> written = co_await Sink->write(**std::move(piece));
    if (!written && What.MaxCopyBytes == 0)
      co_return written;
  }
}

} // namespace wasabi
