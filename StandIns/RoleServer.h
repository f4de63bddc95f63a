/// \file
/// What all roles share: a server with `/faults` and `/truth`, errors for bad
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

using Answer = std::shared_ptr<http::Responder>;

/// A role's own part of a server. Used on the context's thread only.
class Role {
public:
  explicit Role(boost::json::object KnownFaults)
      : InjectedFaults(std::move(KnownFaults)) {}
  Role(const Role &) = delete;
  Role &operator=(const Role &) = delete;
  virtual ~Role() = default;

  /// Its record of the truth.
  virtual boost::json::value truth() const = 0;
  /// Answers what is neither `/faults` nor `/truth`; may throw `InvalidBody`
  /// before it has begun to answer.
  virtual boost::asio::awaitable<void> answer(const http::Request &Ask,
                                              const Answer &To) = 0;
  /// Called after the faults have changed.
  virtual void onFaultsChanged() {}

  Faults InjectedFaults;
};

/// Serves a role. Errors: as `http::Server::create`.
Result<std::shared_ptr<http::Server>>
serveRole(boost::asio::io_context &Context, const Address &Listen,
          const std::shared_ptr<Role> &Subject);

/// Sends a JSON body; false when the peer has left.
boost::asio::awaitable<bool> sendJson(const Answer &To, unsigned Status,
                                      boost::json::value Body);

/// Sends an error's text, with a `Retry-After` in seconds unless it is 0.
boost::asio::awaitable<void> sendError(const Answer &To, unsigned Status,
                                       const std::string &Reason,
                                       unsigned RetryAfter = 0);

/// Waits until the peer has left.
boost::asio::awaitable<void> waitForDisconnect(const Answer &To);

/// Status codes that the roles use.
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
