/// \file
/// Identifies a request by its content, so that all attempts of one request
/// have the same digest.
#ifndef WASABI_QUARANTINE_REQUESTDIGEST_H
#define WASABI_QUARANTINE_REQUESTDIGEST_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Ports/HttpMessage.h"

namespace wasabi {

/// A 128-bit hash in hexadecimal.
using RequestDigest = Name<struct RequestDigestTag>;

/// Returns the digest of a request's method, target, host, caller and body. The
/// caller is identified by its customer, its credentials and its user agent.
/// Fields that differ between attempts are left out: the request id, the
/// remaining time and the position at which a stream resumes. Pure;
/// thread-safe.
RequestDigest digestOf(const http::Request &Request,
                       const CustomerName &Customer = CustomerName());

} // namespace wasabi

#endif // WASABI_QUARANTINE_REQUESTDIGEST_H
