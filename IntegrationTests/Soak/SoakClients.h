/// \file
/// Callers and trainers that use a deployment for as long as they are let, each
/// over its open connection until that breaks, and write down what they see.
#ifndef WASABI_INTEGRATIONTESTS_SOAK_SOAKCLIENTS_H
#define WASABI_INTEGRATIONTESTS_SOAK_SOAKCLIENTS_H

#include "IntegrationTests/Soak/SoakObservations.h"
#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <atomic>
#include <functional>
#include <random>
#include <thread>

namespace wasabi::soak {

/// An edge process as clients know it.
struct EdgeEndpoints {
  Address Callers;
  Address Readiness;
};

/// Runs on a thread of its own; `record` may be called after `stop`.
class SoakClients {
public:
  struct Settings {
    std::uint64_t Seed = 1;
    std::size_t Callers = 6;
    std::size_t Trainers = 2;
    /// Callers whose one request ends servers.
    std::size_t Crashing = 0;
    /// Customers that callers and trainers belong to; 0 for none.
    std::size_t Customers = 0;
    std::size_t ItemsPerJob = 8;
    /// How long a caller waits, as it says.
    Millis Deadline{2000};
    /// A trainer ends a job that is older than this.
    Millis JobTimeout{5000};
    /// Events of an item's or a stream's text.
    std::function<std::uint64_t(const std::string &)> ExpectedEventCount;
  };

  SoakClients(Settings Setup, std::vector<EdgeEndpoints> Edges);
  ~SoakClients();
  SoakClients(const SoakClients &) = delete;
  SoakClients &operator=(const SoakClients &) = delete;

  /// Lets each client finish what it has begun.
  void stop();
  const SoakObservations &record() const { return Record; }

  /// Which start of each edge process runs now.
  std::vector<std::atomic<std::uint64_t>> Lives;
  /// The newest configuration and weights that were published.
  std::atomic<std::uint64_t> LatestConfigVersion{1};
  std::atomic<std::uint64_t> Named{1};

private:
  template <typename T> using Task = boost::asio::awaitable<T>;

  void spawn(std::function<Task<void>()> Body);
  Task<void> watch(std::size_t Edge);
  Task<void> call(std::size_t Number);
  Task<void> probe();
  Task<void> crash(std::size_t Number);
  Task<void> train(std::size_t Number);
  Task<void> ask(ClientRequestKind Kind, std::string Path, std::size_t Edge,
                 std::uint64_t Version);
  Task<Outcome<http::Response>> sendStreamRequest(http::Request What,
                                                  Address Where);
  Task<bool> submit(std::size_t Job, std::string Body);
  Task<void> follow(std::size_t Job);
  Task<bool> readOnce(std::size_t Job, std::size_t After);
  std::string findResultError(const JobRecord &Job,
                              const boost::json::value &Result) const;
  Task<void> end(std::size_t Job);
  std::size_t pickEdge();
  void chooseCustomerKey(ClientRequestRecord &For);
  http::Request makeJobRequest(const JobRecord &Job, const std::string &Method,
                               const std::string &Target);
  Task<void> readAsOtherCustomer(std::size_t Job);
  std::uint64_t draw(std::uint64_t Below) { return Random() % Below; }

  const Settings Setup;
  const std::vector<EdgeEndpoints> Edges;
  boost::asio::io_context Context{1};
  std::shared_ptr<http::Client> Client;
  std::mt19937_64 Random;
  std::vector<int> MissedReadinessChecks;
  std::atomic<bool> Stopping{false};
  std::uint64_t Requests = 0;
  SoakObservations Record;
  std::thread Thread;
};

/// What is wrong with a text that is said to be `Item`'s whole one of `Length`
/// events made by `Versions`; empty if nothing is.
std::string findTextError(const std::string &Text, const std::string &Item,
                          std::uint64_t Length,
                          const std::vector<std::uint64_t> &Versions);

} // namespace wasabi::soak

#endif // WASABI_INTEGRATIONTESTS_SOAK_SOAKCLIENTS_H
