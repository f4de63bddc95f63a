/// \file
/// Stand-ins of the platform's servers: model engines and plain services.
#ifndef WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSERVERS_H
#define WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSERVERS_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include "Wasabi/Core/Clock.h"
#include <cstdint>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wasabi::test {

/// A request received by a server. An immutable value.
struct ServerCall {
  /// Time of arrival, and the id that the server had then.
  TimePoint At;
  std::string Server;
  std::string Id;
  std::string Path;
  std::string Body;
  std::string ResumeAfter;
  /// Customer named in the request, and the number of headers that name one.
  std::string Customer;
  std::size_t CustomerHeaderCount = 0;
  /// True if the request carried a key.
  bool KeyForwarded = false;
  /// Holder and fencing token of an order.
  std::string Holder;
  std::uint64_t Token = 0;
};

/// One server: answers items with events, accepts orders and serves reports;
/// answers all other requests as a plain service. Used on the context's thread
/// only.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &Context, std::string Id);

  const std::string &id() const { return Id; }
  /// Number of requests in flight.
  std::size_t running() const { return Running; }
  Address address() const { return HttpServer->address(); }
  /// Address at which others reach the server, if it is not the listen address.
  void setPublicAddress(Address Where) { PublicAddress = std::move(Where); }
  Address publicAddress() const { return PublicAddress.value_or(address()); }
  /// Aborts all runs and continues as a new incarnation with the same weights;
  /// `NewId` may equal the previous id.
  void restart(std::string NewId);
  /// Returns the number of events of an item's text.
  std::uint64_t eventCount(const std::string &Item) const;
  /// Returns the server's registration as the store holds it.
  std::string registration(const std::string &Service, bool Draining) const;

  /// Start time in Unix milliseconds; if 0, the server does not report it.
  std::uint64_t StartTimeMs = wallMicros() / 1000;
  /// Weight version by model.
  std::map<std::string, std::uint64_t> Models;
  /// A text has at least `MinEvents` events, and up to `ExtraEvents` more
  /// depending on its item.
  std::uint64_t MinEvents = 6;
  std::uint64_t ExtraEvents = 0;
  /// Delay before each event.
  Millis EventDelay{5};
  /// True if each event carries the version that generated it.
  bool IncludesVersion = false;
  /// Time to execute an order.
  Millis LoadTime{0};
  /// Maximum number of concurrent runs; more are refused as not run. 0 for no
  /// limit.
  std::size_t Slots = 0;
  /// Number of following requests that run and fail.
  int RequestsToFail = 0;
  /// Number of following runs that break off after their second event.
  int StreamsToBreak = 0;
  /// True if the server answers that it is full.
  bool RefusesAsFull = false;
  /// True if the bodies of its answers have no end.
  bool AnswersWithoutEnd = false;
  /// A server crashes when it begins to run a request with this text in its
  /// target or body; empty for none. It refuses connections for `CrashDownTime`
  /// and then restarts as a new incarnation.
  std::string CrashMarker;
  Millis CrashDownTime{300};
  /// Time for which a crashing server still accepts connections, without a
  /// response, after it has closed that of the crashing request.
  Millis ListenerCloseDelay{0};
  /// Number of crashes caused by `CrashMarker`.
  int Crashes = 0;
  /// Called after a restart with the previous id.
  std::function<void(const std::string &)> OnRestarted;
  std::vector<ServerCall> Runs;
  std::vector<ServerCall> Orders;

private:
  boost::asio::awaitable<void>
  handle(http::Request Request, std::shared_ptr<http::Responder> Responder);
  boost::asio::awaitable<void>
  generate(http::Request Request, std::shared_ptr<http::Responder> Responder);
  boost::asio::awaitable<void>
  sendWithoutEnd(http::Response Head,
                 std::shared_ptr<http::Responder> Responder);
  boost::asio::awaitable<void>
  crash(std::shared_ptr<http::Responder> Responder);
  void listenAt(const Address &Where);
  http::Response acceptOrder(const http::Request &Request);
  http::Response report() const;
  std::string eventText(const std::string &Item, std::uint64_t Number,
                        std::uint64_t Version) const;

  boost::asio::io_context &Context;
  std::string Id;
  std::optional<Address> PublicAddress;
  std::uint64_t Accepted = 0;
  /// Number of the current incarnation; a run ends with its incarnation.
  std::uint64_t Incarnation = 0;
  bool Loading = false;
  /// True while a crashing server still accepts connections.
  bool Crashing = false;
  std::size_t Running = 0;
  std::shared_ptr<http::Server> HttpServer;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSERVERS_H
