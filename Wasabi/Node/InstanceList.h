/// \file
/// Client of the platform's list of instances (docs/PLATFORM.md, "instances").
#ifndef WASABI_NODE_INSTANCELIST_H
#define WASABI_NODE_INSTANCELIST_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Membership/ListedInstance.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace wasabi {

namespace http {
class Client;
} // namespace http

/// Parses the body of the list and skips entries that are malformed. Fails with
/// `BadInput` if the body is not a list. Pure.
Outcome<std::vector<ListedInstance>> parseInstanceList(const std::string &Body);

/// Reads and parses the list at `Service`.
boost::asio::awaitable<Outcome<std::vector<ListedInstance>>>
readInstanceList(http::Client &Client, Address Service, Millis Timeout);

/// Reads the list at `Service` and returns its body unparsed.
boost::asio::awaitable<Outcome<std::string>>
readInstanceListBody(http::Client &Client, Address Service, Millis Timeout);

/// Announces this process to the list at `Service`. Idempotent.
boost::asio::awaitable<Outcome<Done>> announceInstance(http::Client &Client,
                                                       Address Service,
                                                       ListedInstance Self,
                                                       Millis Timeout);

} // namespace wasabi

#endif // WASABI_NODE_INSTANCELIST_H
