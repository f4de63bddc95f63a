/// \file
/// The server shared by all roles: `/faults` and `/truth`, errors for invalid
/// bodies, and the faults `outage` and `slow_ms`.
#ifndef WASABI_STANDINS_ROLESERVER_H
#define WASABI_STANDINS_ROLESERVER_H

#include "StandIns/Faults.h"
#include "StandIns/Json.h"
#include "StandIns/Signal.h"
#include "Wasabi/Adapters/Http/HttpServer.h"

#include <functional>
#include <memory>

namespace wasabi::standins {

using ResponderPtr = std::shared_ptr<http::Responder>;

/// The role-specific part of a server. Used on the context's thread only.
class Role {
public:
  explicit Role(boost::json::object KnownFaults)
      : InjectedFaults(std::move(KnownFaults)) {}
  Role(const Role &) = delete;
  Role &operator=(const Role &) = delete;
  virtual ~Role() = default;

  /// Returns the role's record of what has happened.
  virtual boost::json::value truth() const = 0;
  /// Handles requests other than `/faults` and `/truth`. May throw
  /// `InvalidBody` before the response has begun.
  virtual boost::asio::awaitable<void> answer(const http::Request &Ask,
                                              const ResponderPtr &To) = 0;
  /// Called after the faults have changed.
  virtual void onFaultsChanged() {}

  Faults InjectedFaults;
};

/// Starts a server for a role. Errors: as `http::Server::create`.
Result<std::shared_ptr<http::Server>>
serveRole(boost::asio::io_context &Context, const Address &Listen,
          const std::shared_ptr<Role> &Subject);

/// Sends a JSON body. Returns false if the peer has disconnected.
boost::asio::awaitable<bool> sendJson(const ResponderPtr &To, unsigned Status,
                                      boost::json::value Body);

/// Sends an error text, with `Retry-After` in seconds unless it is 0.
boost::asio::awaitable<void> sendError(const ResponderPtr &To, unsigned Status,
                                       const std::string &Reason,
                                       unsigned RetryAfter = 0);

/// Waits until the peer disconnects.
boost::asio::awaitable<void> waitForDisconnect(const ResponderPtr &To);

/// HTTP status codes used by the roles.
enum Status : unsigned {
  Ok = 200,
  Created = 201,
  BadRequest = 400,
  NotFound = 404,
  Conflict = 409,
  Gone = 410,
  TooLarge = 413,
  TooManyRequests = 429,
  InternalError = 500,
  Unavailable = 503,
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_ROLESERVER_H
