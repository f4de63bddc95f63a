/// \file
/// The platform's lagging list of instances (docs/PLATFORM.md, "instances").
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

/// Reads the body of the list; lines that cannot be read are left out.
/// Fails with `BadInput` when it is no list at all. Pure.
Outcome<std::vector<ListedInstance>> parseInstanceList(const std::string &Body);

/// Reads the list at `Service`.
boost::asio::awaitable<Outcome<std::vector<ListedInstance>>>
readInstanceList(http::Client &Client, Address Service, Millis Timeout);

/// The same, not parsed: for one that counts its bytes.
boost::asio::awaitable<Outcome<std::string>>
readInstanceListBody(http::Client &Client, Address Service, Millis Timeout);

/// Announces this process to the list at `Service`. Idempotent.
boost::asio::awaitable<Outcome<Done>> announceInstance(http::Client &Client,
                                                       Address Service,
                                                       ListedInstance Self,
                                                       Millis Timeout);

} // namespace wasabi

#endif // WASABI_NODE_INSTANCELIST_H
