/// \file
/// Writes the response to one caller: adds the common response headers and
/// counts the bytes sent.
#ifndef WASABI_ADAPTERS_PROXY_CALLERRESPONSE_H
#define WASABI_ADAPTERS_PROXY_CALLERRESPONSE_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wasabi {

/// Response to one caller. Not thread-safe.
class CallerResponse {
public:
  CallerResponse() = default;
  CallerResponse(std::shared_ptr<http::Responder> Out, std::string RequestId)
      : Out(std::move(Out)), RequestId(std::move(RequestId)) {}

  /// Sends a complete response of the upstream.
  boost::asio::awaitable<Outcome<Done>> send(http::Response Response);
  /// Starts a streamed response; `Response.Body` is ignored.
  boost::asio::awaitable<Outcome<Done>> begin(http::Response Response);
  boost::asio::awaitable<Outcome<Done>> write(std::string Chunk);
  /// Ends a streamed response. Precondition: the response is complete.
  boost::asio::awaitable<Outcome<Done>> end();
  /// Sends an error response with the verdict of the failure.
  boost::asio::awaitable<Outcome<Done>> refuse(Failure Why);
  /// Closes the connection so that the caller can't mistake a partial response
  /// for a complete one.
  void abort() { Out->abort(); }

  bool started() const { return Started; }
  bool gone() const { return Out->gone(); }
  void onGone(std::function<void()> Callback) {
    Out->onGone(std::move(Callback));
  }
  unsigned status() const { return Status; }
  std::uint64_t bytes() const { return Bytes; }
  Failure makeCallerLeftFailure() const;

private:
  void prepareHeaders(http::Response &Response);

  std::shared_ptr<http::Responder> Out;
  std::string RequestId;
  unsigned Status = 0;
  std::uint64_t Bytes = 0;
  bool Started = false;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_CALLERRESPONSE_H
