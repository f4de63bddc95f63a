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

/// What a server was asked. An immutable value.
struct ServerCall {
  /// When it came, and the id that the server had then.
  TimePoint At;
  std::string Server;
  std::string Id;
  std::string Path;
  std::string Body;
  std::string ResumeAfter;
  /// Whose request it is, as the server was told, and how often it was.
  std::string Customer;
  std::size_t CustomerHeaderCount = 0;
  /// Whether a key was passed on.
  bool KeyForwarded = false;
  /// Of an order: who gave it, and its token.
  std::string Holder;
  std::uint64_t Token = 0;
};

/// One server: it answers items with events, orders, reports, and everything
/// else as a plain service. Everything happens on the context's thread.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &Context, std::string Id);

  const std::string &id() const { return Id; }
  /// Requests that it works on now.
  std::size_t running() const { return Running; }
  Address address() const { return Serving->address(); }
  /// Where others reach it, if not at its own address.
  void setPublicAddress(Address Where) { Public = std::move(Where); }
  Address publicAddress() const { return Public.value_or(address()); }
  /// Ends all runs and goes on as another incarnation, with the same weights;
  /// `NewId` may be the id that it had.
  void restart(std::string NewId);
  /// Events of an item's text.
  std::uint64_t eventCount(const std::string &Item) const;
  /// Its registration as the store holds it.
  std::string registration(const std::string &Service, bool Draining) const;

  /// When it started, in Unix milliseconds; 0 lets it say nothing of that.
  std::uint64_t Born = wallMicros() / 1000;
  /// Weights by model.
  std::map<std::string, std::uint64_t> Models;
  /// Events of a text: at least `MinEvents`, and up to `ExtraEvents` more by
  /// its item.
  std::uint64_t MinEvents = 6;
  std::uint64_t ExtraEvents = 0;
  /// The pause before each event.
  Millis EventDelay{5};
  /// Whether each event tells the version that made it.
  bool IncludesVersion = false;
  /// How long an order takes.
  Millis LoadTime{0};
  /// Runs at once; more are refused as not run. 0 for any number.
  std::size_t Slots = 0;
  /// The next so many requests run and fail.
  int RequestsToFail = 0;
  /// The next so many runs break off after their second event.
  int StreamsToBreak = 0;
  /// Whether it answers that it is full.
  bool RefusesAsFull = false;
  /// A request with this in its target or body ends the server that begins to
  /// run it; empty for none. The server is back as another incarnation after
  /// `CrashDownTime`, and refuses connections until then.
  std::string CrashOn;
  Millis CrashDownTime{300};
  /// Ends by `CrashOn`.
  int Ends = 0;
  /// Called when it is back, with the id that it had.
  std::function<void(const std::string &)> Back;
  std::vector<ServerCall> Runs;
  std::vector<ServerCall> Orders;

private:
  boost::asio::awaitable<void> handle(http::Request Ask,
                                      std::shared_ptr<http::Responder> Out);
  boost::asio::awaitable<void> generate(http::Request Ask,
                                        std::shared_ptr<http::Responder> Out);
  boost::asio::awaitable<void> crash();
  void listenAt(const Address &Where);
  http::Response order(const http::Request &Ask);
  http::Response report() const;
  std::string eventText(const std::string &Id, std::uint64_t Number,
                        std::uint64_t Version) const;

  boost::asio::io_context &Context;
  std::string Id;
  std::optional<Address> Public;
  std::uint64_t Accepted = 0;
  /// Counts the incarnations; a run ends with its own.
  std::uint64_t Life = 0;
  bool Loading = false;
  std::size_t Running = 0;
  std::shared_ptr<http::Server> Serving;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_PLATFORM_PLATFORMSERVERS_H
