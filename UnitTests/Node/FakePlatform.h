/// \file
/// In-memory implementation of the platform's log and instance list over HTTP,
/// for tests.
#ifndef WASABI_UNITTESTS_NODE_FAKEPLATFORM_H
#define WASABI_UNITTESTS_NODE_FAKEPLATFORM_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace wasabi {

/// Serves both interfaces on one address and its own thread. Thread-safe.
class FakePlatform {
public:
  FakePlatform();
  ~FakePlatform();
  FakePlatform(const FakePlatform &) = delete;
  FakePlatform &operator=(const FakePlatform &) = delete;

  Address address() const { return Bound; }
  std::vector<std::string> records() const;
  Offset first() const;
  /// Drops all but the newest `Count` records.
  void retainNewest(std::size_t Count);
  /// Removes an instance from the list.
  void unlist(const std::string &Name);
  /// Number of read requests so far.
  std::size_t reads() const { return Reads.load(); }

  /// While true, the log answers no request.
  std::atomic<bool> Outage{false};
  /// While true, announcements do not change the list.
  std::atomic<bool> ListFrozen{false};
  /// Number of appends that take effect but lose their answer.
  std::atomic<int> AppendAnswersToLose{0};
  /// Number of the newest records that reads hide.
  std::atomic<std::size_t> HideNewest{0};

private:
  boost::asio::awaitable<void> handle(http::Request Request,
                                      std::shared_ptr<http::Responder> Answer);
  boost::asio::awaitable<void> append(const http::Request &Request,
                                      http::Responder &Answer);
  boost::asio::awaitable<void> read(const http::Request &Request,
                                    http::Responder &Answer);
  std::string rangeJson(Offset From, std::size_t Max, bool &Expired,
                        bool &Empty) const;
  std::string listJson() const;
  void announce(const std::string &Body);

  boost::asio::io_context Context{1};
  std::shared_ptr<http::Server> Server;
  Address Bound;
  mutable std::mutex Guard;
  std::vector<std::string> Records;
  Offset First = 0;
  /// Announced entries as JSON, by name.
  std::vector<std::pair<std::string, std::string>> Listed;
  std::atomic<std::size_t> Reads{0};
  std::thread Thread;
};

} // namespace wasabi

#endif // WASABI_UNITTESTS_NODE_FAKEPLATFORM_H
