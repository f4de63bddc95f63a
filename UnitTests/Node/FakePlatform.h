/// \file
/// The platform's log and instance list in memory, over HTTP, for tests.
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

/// Serves both interfaces on one address, on a thread of its own. Thread-safe.
class FakePlatform {
public:
  FakePlatform();
  ~FakePlatform();
  FakePlatform(const FakePlatform &) = delete;
  FakePlatform &operator=(const FakePlatform &) = delete;

  Address address() const { return Bound; }
  std::vector<std::string> records() const;
  Offset first() const;
  /// Drops the oldest records but `Count`.
  void retainNewest(std::size_t Count);
  /// Drops an instance from the list.
  void unlist(const std::string &Name);
  /// Requests for records so far.
  std::size_t reads() const { return Reads.load(); }

  /// The log answers nothing.
  std::atomic<bool> Outage{false};
  /// The list stays as it is, whatever is announced.
  std::atomic<bool> ListFrozen{false};
  /// This many next appends take effect and lose their answer.
  std::atomic<int> LoseAnswers{0};
  /// Reads hide this many of the newest records.
  std::atomic<std::size_t> HideNewest{0};

private:
  boost::asio::awaitable<void> handle(http::Request Ask,
                                      std::shared_ptr<http::Responder> Answer);
  boost::asio::awaitable<void> append(const http::Request &Ask,
                                      http::Responder &Answer);
  boost::asio::awaitable<void> read(const http::Request &Ask,
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
  /// Bodies of announcements by name, as JSON.
  std::vector<std::pair<std::string, std::string>> Listed;
  std::atomic<std::size_t> Reads{0};
  std::thread Thread;
};

} // namespace wasabi

#endif // WASABI_UNITTESTS_NODE_FAKEPLATFORM_H
