/// \file
/// Gives one admitted attempt to its server, once, and relays the answer.
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

/// One exchange with a server, which can be broken off from outside. Not
/// thread-safe: use on the executor's thread.
class UpstreamExchange {
public:
  UpstreamExchange(boost::asio::any_io_executor Executor,
                   std::shared_ptr<http::Client> Client)
      : Executor(std::move(Executor)), Client(std::move(Client)) {}
  UpstreamExchange(const UpstreamExchange &) = delete;
  UpstreamExchange &operator=(const UpstreamExchange &) = delete;

  struct Ask {
    Address Where;
    http::Request Http;
    ServerName Server;
    TimePoint Until;
    /// An engine's 503 says that it did not run.
    bool Engine = false;
    /// Read to the end even when the asker is gone, and keep a copy of the
    /// answer up to this many bytes; 0 for neither.
    std::size_t MaxCopyBytes = 0;
  };

  /// Sends the request and relays the answer into `Sink`, without its end.
  /// The verdict of a failure says how far it came.
  boost::asio::awaitable<Outcome<Done>> run(Ask What,
                                            std::shared_ptr<ResponseSink> Sink);
  /// Closes the exchange with this reason; `run` then fails with it, except
  /// that nothing sent yet is `NotRun`.
  void breakOff(Failure Why);
  /// The answer kept, when one was wanted.
  const http::Response &kept() const { return Kept; }

private:
  using Opened = Outcome<std::unique_ptr<http::ResponseStream>>;
  boost::asio::awaitable<Opened> open(const Ask &What);
  boost::asio::awaitable<Outcome<Done>>
  relay(const Ask &What, http::ResponseStream &From,
        std::shared_ptr<ResponseSink> Sink);
  Failure makeExchangeFailure(Failure Why) const;

  boost::asio::any_io_executor Executor;
  std::shared_ptr<http::Client> Client;
  boost::asio::cancellation_signal Cancel;
  http::ResponseStream *Reading = nullptr;
  std::optional<Failure> Broken;
  http::Response Kept;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_UPSTREAMEXCHANGE_H
