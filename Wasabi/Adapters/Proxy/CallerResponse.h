/// \file
/// The answer to one caller: what has been given of it, with the headers that
/// every answer carries.
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

/// Counts what a caller is given. Not thread-safe.
class CallerResponse {
public:
  CallerResponse() = default;
  CallerResponse(std::shared_ptr<http::Responder> Out, std::string Name)
      : Out(std::move(Out)), Name(std::move(Name)) {}

  /// Gives a whole answer of the upstream.
  boost::asio::awaitable<Outcome<Done>> send(http::Response Whole);
  /// Begins an answer in pieces; `Head.Body` is ignored.
  boost::asio::awaitable<Outcome<Done>> begin(http::Response Head);
  boost::asio::awaitable<Outcome<Done>> write(std::string Piece);
  /// Ends an answer in pieces that is proved whole.
  boost::asio::awaitable<Outcome<Done>> end();
  /// Gives a refusal with its verdict.
  boost::asio::awaitable<Outcome<Done>> refuse(Failure Why);
  /// Breaks off: the caller must not take what it has for whole.
  void abort() { Out->abort(); }

  bool begun() const { return Begun; }
  bool gone() const { return Out->gone(); }
  void onGone(std::function<void()> Callback) {
    Out->onGone(std::move(Callback));
  }
  unsigned status() const { return Status; }
  std::uint64_t bytes() const { return Bytes; }
  Failure callerLeft() const;

private:
  void prepare(http::Response &Answer);

  std::shared_ptr<http::Responder> Out;
  std::string Name;
  unsigned Status = 0;
  std::uint64_t Bytes = 0;
  bool Begun = false;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_PROXY_CALLERRESPONSE_H
