/// \file
/// What makes two requests the same one, whatever id each attempt of it bears.
#ifndef WASABI_QUARANTINE_REQUESTDIGEST_H
#define WASABI_QUARANTINE_REQUESTDIGEST_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Ports/HttpMessage.h"

namespace wasabi {

/// 128 bits in hexadecimal.
using RequestDigest = Name<struct RequestDigestTag>;

/// Of what a server is given of a request and what stays the same when it is
/// sent again: its method, host, target, caller and body. The caller is named
/// by its customer, its credentials and its agent. Left out is what each
/// attempt has anew: its id, what is left of its time, where a stream goes on.
/// Pure; thread-safe.
RequestDigest digestOf(const http::Request &Ask,
                       const CustomerName &By = CustomerName());

} // namespace wasabi

#endif // WASABI_QUARANTINE_REQUESTDIGEST_H
