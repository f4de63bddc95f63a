/// \file
/// Stand-ins of the platform's servers: model engines and plain services.
#ifndef WASABI_INTEGRATIONTESTS_CASES_PLATFORMSERVERS_H
#define WASABI_INTEGRATIONTESTS_CASES_PLATFORMSERVERS_H

#include "Wasabi/Adapters/Http/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wasabi::test {

/// What a server was asked. An immutable value.
struct ServerCall {
  std::string Id;
  std::string Path;
  std::string Body;
  std::string ResumeAfter;
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
  Address address() const { return Serving->address(); }
  /// Its registration as the store holds it.
  std::string registration(const std::string &Service, bool Draining) const;

  /// Weights by model.
  std::map<std::string, std::uint64_t> Models;
  /// Events of a text, and the pause before each.
  std::uint64_t Length = 6;
  Millis Pace{5};
  /// The next so many runs break off after their second event.
  int Breaks = 0;
  /// The next so many whole answers are followed by a second one.
  int Extras = 0;
  /// Whether it answers that it is full.
  bool Full = false;
  std::vector<ServerCall> Runs;
  std::vector<ServerCall> Orders;

private:
  boost::asio::awaitable<void> handle(http::Request Ask,
                                      std::shared_ptr<http::Responder> Out);
  boost::asio::awaitable<void> generate(http::Request Ask,
                                        std::shared_ptr<http::Responder> Out);
  http::Response order(const http::Request &Ask);
  http::Response report() const;

  boost::asio::io_context &Context;
  const std::string Id;
  std::uint64_t Accepted = 0;
  std::shared_ptr<http::Server> Serving;
};

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_CASES_PLATFORMSERVERS_H
