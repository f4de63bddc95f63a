/// \file
/// The asking side of the request frames: used by entries for callers and by a
/// trainer's owner for samples.
#ifndef WASABI_ADAPTERS_FRAMES_REQUESTCLIENT_H
#define WASABI_ADAPTERS_FRAMES_REQUESTCLIENT_H

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabi {

/// One attempt of a request, as sent to one daemon. An immutable value.
struct RequestAttempt {
  /// Names the request over all its attempts: entry's instance, life, count.
  std::string Request;
  /// From 1.
  std::uint32_t Attempt = 1;
  ServiceName Service;
  /// Which of the daemon's servers; empty lets the daemon choose.
  ServerName Server;
  http::Request Http;
  bool Idempotent = true;
  /// The caller's Idempotency-Key; empty for none.
  std::string Key;
  /// Time left when sent; the daemon counts down from its arrival.
  Millis Deadline{60000};
  std::int32_t Priority = 0;
  std::string Caller;
  /// Set for samples.
  TrainerName Trainer;
  std::string Slot;
};

/// A server's load as its daemon pushed it last.
struct ReportedLoad {
  ServerName Server;
  ServiceName Service;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// The daemon's present concurrency limit.
  std::uint32_t Limit = 1;
  WeightVersion Version = 0;
  bool Serving = true;
  bool operator==(const ReportedLoad &) const = default;
};

/// An answer that arrives in pieces through a daemon. Destroying it before its
/// end cancels the work at the daemon. Used on the client's thread.
class DaemonResponseStream {
public:
  virtual ~DaemonResponseStream() = default;
  /// Status and headers; the body is empty.
  virtual const http::Response &head() const = 0;
  /// The server that answers.
  virtual const ServerName &server() const = 0;
  /// The next bytes in order, or an empty optional after a proved whole end.
  /// Gaps, repeats and lost connections are failures, never an end. Taking a
  /// piece gives the daemon credit for as much again.
  virtual boost::asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) = 0;
  /// Cancels now; a pending `next` fails with `Cancelled`.
  virtual void cancel() = 0;
};

/// Keeps one multiplexed connection to each daemon it asks, reconnects with
/// jitter, and keeps the loads that the daemons push.
/// Not thread-safe: use on the executor's thread.
class RequestClient {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// Body bytes a daemon may send ahead of the reader, per answer.
    std::uint32_t Credit = 256u << 10;
    Millis ConnectTimeout{2000};
    /// Longest the bounded back-off after failed connects gets.
    Millis MaxBackOff{2000};
    /// A daemon that sends nothing for this long, not even the load reports
    /// that it owes, is taken for gone and its connection is closed.
    Millis SilenceLimit{3000};
    /// Time between two signs of life sent to each daemon.
    Millis HeartbeatInterval{1000};
    std::uint64_t Seed = 1;
  };

  static std::shared_ptr<RequestClient>
  create(boost::asio::any_io_executor Executor, Settings Setup);
  virtual ~RequestClient() = default;

  /// Sends one attempt to the daemon at `Where`, and waits for the answer's
  /// head within `Attempt.Deadline`. Failures carry the daemon's own verdict if
  /// it refused, `NotRun` when nothing could be sent, else `MayHaveRun`. Those
  /// of this client itself name the daemon's address as their place.
  virtual boost::asio::awaitable<Outcome<std::unique_ptr<DaemonResponseStream>>>
  open(Address Where, RequestAttempt Attempt) = 0;

  /// Ends each `open` of this request that still waits for its head: it fails
  /// with `Cancelled`, and the daemon is told to stop the work.
  virtual void cancel(const std::string &Request) = 0;

  /// Connects ahead of the first request, so that loads begin to flow.
  virtual void connectAhead(Address Where) = 0;
  /// Called on each load report. Set before use.
  virtual void
  onLoad(std::function<void(const Address &, const std::vector<ReportedLoad> &,
                            bool Leaving)>
             Callback) = 0;
  /// Attempts open now.
  virtual std::size_t inFlight() const = 0;
  /// Closes all connections; pending attempts fail.
  virtual void stop() = 0;
};

/// Reads a whole answer. Failures as for `next`.
boost::asio::awaitable<Outcome<http::Response>>
readWhole(DaemonResponseStream &Stream, Millis Timeout, std::uint64_t MaxBody);

} // namespace wasabi

#endif // WASABI_ADAPTERS_FRAMES_REQUESTCLIENT_H
