/// \file
/// Sends one input to a server on the same thread and waits until the server
/// closes the connection.
#ifndef WASABI_FUZZ_SOCKETFUZZ_H
#define WASABI_FUZZ_SOCKETFUZZ_H

#include "Wasabi/Core/Address.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>

namespace wasabi::fuzz {

/// Connects to `Where`, sends the bytes, half-closes, and runs the context
/// until the server has closed the connection. Aborts if the server does not
/// close it.
void sendInput(boost::asio::io_context &Context, const Address &Where,
               const std::uint8_t *Data, std::size_t Size);

} // namespace wasabi::fuzz

#endif // WASABI_FUZZ_SOCKETFUZZ_H
