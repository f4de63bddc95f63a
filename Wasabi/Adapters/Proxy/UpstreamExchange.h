/// \file
/// Forwards one admitted attempt to its server and relays the response.
#ifndef WASABI_ADAPTERS_PROXY_UPSTREAMEXCHANGE_H
#define WASABI_ADAPTERS_PROXY_UPSTREAMEXCHANGE_H

#include "Wasabi/Adapters/Frames/RequestServer.h"
#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <memory>
#include <optional>

namespace wasabi {

/// One cancellable HTTP exchange with a server. Not thread-safe: use on the
/// executor's thread.
class UpstreamExchange {
public:
  UpstreamExchange(boost::asio::any_io_executor Executor,
                   std::shared_ptr<http::Client> Client)
      : Executor(std::move(Executor)), Client(std::move(Client)) {}
  UpstreamExchange(const UpstreamExchange &) = delete;
  UpstreamExchange &operator=(const UpstreamExchange &) = delete;

  struct ExchangeRequest {
    Address Where;
    http::Request Http;
    ServerName Server;
    TimePoint Deadline;
    /// True if the server is an engine, whose status 503 proves that the
    /// request did not run.
    bool Engine = false;
    /// Maximum size of the response copy in bytes; 0 keeps no copy. With a
    /// copy, the response is read to its end even if the requester has
    /// disconnected.
    std::size_t MaxCopyBytes = 0;
  };

  /// Sends the request and relays the response to `Sink`; the caller ends or
  /// fails `Sink`. The verdict of a failure tells how far the request got.
  boost::asio::awaitable<Outcome<Done>> run(ExchangeRequest Request,
                                            std::shared_ptr<ResponseSink> Sink);
  /// Cancels the exchange; `run` then fails with this reason. The verdict still
  /// follows from how far the request got.
  void cancel(Failure Why);
  /// Returns the copied response, if `MaxCopyBytes` is not 0. The body exceeds
  /// `MaxCopyBytes` if the copy is incomplete.
  const http::Response &responseCopy() const { return ResponseCopy; }

private:
  using OpenResult = Outcome<std::unique_ptr<http::ResponseStream>>;
  boost::asio::awaitable<OpenResult> open(const ExchangeRequest &Request);
  boost::asio::awaitable<Outcome<Done>>
  relay(const ExchangeRequest &Request, http::ResponseStream &Stream,
        std::shared_ptr<ResponseSink> Sink);
  Failure makeExchangeFailure(Failure Why) const;

  boost::asio::any_io_executor Executor;
  std::shared_ptr<http::Client> Client;
  boost::asio::cancellation_signal CancelSignal;
  http::ResponseStream *ActiveStream = nullptr;
  std::optional<Failure> CancelReason;
  http::Response ResponseCopy;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_UPSTREAMEXCHANGE_H
