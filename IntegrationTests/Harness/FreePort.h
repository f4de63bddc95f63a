/// \file
/// Finds ports for processes that must know each other's address before they
/// start.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H
#define WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H

#include "Wasabi/Core/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>
#include <vector>

namespace wasabi::harness {

/// Draws loopback ports from blocks that are reserved for as long as the object
/// lives, so that another allocator, also of another process, does not draw
/// them while the process they were drawn for is down. Thread-safe.
class PortAllocator {
public:
  /// Looks for free blocks from the one of index `FirstBlock` on, modulo the
  /// number of blocks.
  explicit PortAllocator(unsigned FirstBlock) : NextBlock(FirstBlock) {}

  /// Returns a port that was free at the time of the call, a different one for
  /// each call. Errors: `Unavailable`.
  Result<Address> draw();

private:
  boost::system::error_code reserveBlock();

  std::mutex Mutex;
  boost::asio::io_context Context;
  /// Bound to the first port of each block.
  std::vector<boost::asio::ip::tcp::acceptor> Reserved;
  unsigned NextBlock;
  /// The next port and the end of the current block.
  unsigned NextPort = 0;
  unsigned EndPort = 0;
};

/// Returns a port of the allocator of this process. Errors: `Unavailable`.
/// Thread-safe.
Result<Address> freePort();

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_FREEPORT_H
