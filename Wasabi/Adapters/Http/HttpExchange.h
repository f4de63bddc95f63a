/// \file
/// One request on a connection of an HTTP server, and its response.
#ifndef WASABI_ADAPTERS_HTTP_HTTPEXCHANGE_H
#define WASABI_ADAPTERS_HTTP_HTTPEXCHANGE_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace wasabi::http {

class Connection;

/// Returns the failure for writes to a peer that has closed its connection.
Failure makePeerGoneFailure();

/// Writes the response to one request. May outlive its connection. Use on the
/// thread of the server only.
class Exchange final : public Responder {
public:
  /// Creates the response to a request that arrived on `Link`. `Version` is the
  /// HTTP version as ten times the major plus the minor number: 11 is HTTP/1.1.
  Exchange(std::shared_ptr<Connection> Link, unsigned Version, bool KeepAlive,
           bool HeadOnly)
      : Link(std::move(Link)), Version(Version), KeepAlive(KeepAlive),
        HeadOnly(HeadOnly) {}

  boost::asio::awaitable<Outcome<Done>> send(Response Reply) override;
  boost::asio::awaitable<Outcome<Done>> begin(Response Head) override;
  boost::asio::awaitable<Outcome<Done>> write(std::string Chunk) override;
  boost::asio::awaitable<Outcome<Done>> end() override;
  void abort() override;
  bool gone() const override { return Gone; }
  void onGone(std::function<void()> Callback) override;

  /// Notifies the handler that the peer has disconnected.
  void markPeerGone();
  /// Detaches from the connection; later calls fail.
  void finish();
  bool hasBegun() const { return State != Stage::Initial; }
  bool hasEnded() const { return State == Stage::Ended; }
  bool keepAlive() const { return KeepAlive; }

private:
  enum class Stage : std::uint8_t { Initial, Begun, Ended };
  std::shared_ptr<Connection> Link;
  const unsigned Version;
  bool KeepAlive;
  const bool HeadOnly;
  Stage State = Stage::Initial;
  bool Gone = false;
  std::function<void()> Callback;
};

} // namespace wasabi::http

#endif // WASABI_ADAPTERS_HTTP_HTTPEXCHANGE_H
