/// \file
/// One request of an HTTP server's connection and its answer.
#ifndef WASABI_ADAPTERS_HTTP_HTTPEXCHANGE_H
#define WASABI_ADAPTERS_HTTP_HTTPEXCHANGE_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabi::http {

class Connection;

/// What a sender hears whose peer has closed its connection.
Failure makePeerGoneFailure();

/// One request's answer; outlives its connection harmlessly. Used on the
/// server's thread only.
class Exchange final : public Responder {
public:
  /// The answer to a request of HTTP/1.`Version` - 10 that came over `Link`.
  Exchange(std::shared_ptr<Connection> Link, unsigned Version, bool KeepAlive,
           bool HeadOnly)
      : Link(std::move(Link)), Version(Version), KeepAlive(KeepAlive),
        HeadOnly(HeadOnly) {}

  boost::asio::awaitable<Outcome<Done>> send(Response Answer) override;
  boost::asio::awaitable<Outcome<Done>> begin(Response Head) override;
  boost::asio::awaitable<Outcome<Done>> write(std::string Chunk) override;
  boost::asio::awaitable<Outcome<Done>> end() override;
  void abort() override;
  bool gone() const override { return Gone; }
  void onGone(std::function<void()> Callback) override;

  /// Tells the handler that its peer has left.
  void markPeerGone();
  /// Detaches from the connection: what is called later fails.
  void finish();
  bool begun() const { return State != Stage::Fresh; }
  bool ended() const { return State == Stage::Ended; }
  bool keepAlive() const { return KeepAlive; }

private:
  enum class Stage : std::uint8_t { Fresh, Begun, Ended };
  std::shared_ptr<Connection> Link;
  const unsigned Version;
  bool KeepAlive;
  const bool HeadOnly;
  Stage State = Stage::Fresh;
  bool Gone = false;
  std::function<void()> Callback;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPEXCHANGE_H
