/// \file
/// The client side of the request frames. Entries use it to forward requests of
/// callers, and rollout owners to run samples.
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
  /// Identifies the request across all its attempts; made of instance,
  /// incarnation and counter of the entry.
  std::string Request;
  /// Number of the attempt, starting at 1.
  std::uint32_t Attempt = 1;
  ServiceName Service;
  /// The server of the daemon to use; if empty, the daemon chooses one.
  ServerName Server;
  http::Request Http;
  bool Idempotent = true;
  /// The `Idempotency-Key` header of the caller; empty if there is none.
  std::string Key;
  /// Remaining time when the attempt is sent. The daemon counts from its
  /// arrival.
  Millis Deadline{60000};
  std::int32_t Priority = 0;
  std::string Caller;
  /// The trainer of a sample; empty for other requests.
  TrainerName Trainer;
  std::string Slot;
};

/// The load of a server as last reported by its daemon.
struct ReportedLoad {
  ServerName Server;
  ServiceName Service;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// The current concurrency limit of the server.
  std::uint32_t Limit = 1;
  WeightVersion Version = 0;
  bool Serving = true;
  bool operator==(const ReportedLoad &) const = default;
};

/// A response that arrives in pieces through a daemon. Destroying it before its
/// end cancels the work at the daemon. Use on the thread of the client.
class DaemonResponseStream {
public:
  virtual ~DaemonResponseStream() = default;
  /// Status and headers; the body is empty.
  virtual const http::Response &head() const = 0;
  /// The server that produces the response.
  virtual const ServerName &server() const = 0;
  /// Returns the next bytes in order, or an empty optional once the end frame
  /// confirms that all bytes have arrived. Gaps, repeated chunks and lost
  /// connections are failures. Each returned piece grants the daemon credit for
  /// as many further bytes.
  virtual boost::asio::awaitable<Outcome<std::optional<std::string>>>
  next(Millis Timeout) = 0;
  /// Cancels immediately; a pending `next` fails with `Cancelled`.
  virtual void cancel() = 0;
};

/// Maintains one multiplexed connection per daemon, reconnects with jittered
/// back-off, and forwards the load reports of the daemons. Not thread-safe: use
/// on the thread of the executor.
class RequestClient {
public:
  struct Settings {
    InstanceName Instance;
    DomainName Domain;
    Incarnation Life = 0;
    /// Body bytes that a daemon may send ahead of the reader, per response.
    std::uint32_t InitialCreditBytes = 256u << 10;
    Millis ConnectTimeout{2000};
    /// Upper bound of the back-off after failed connects.
    Millis MaxBackOff{2000};
    /// A connection is closed if the daemon sends no frame for this long, not
    /// even its periodic load reports.
    Millis HeartbeatTimeout{3000};
    /// Time between two heartbeats sent to each daemon.
    Millis HeartbeatInterval{1000};
    std::uint64_t Seed = 1;
  };

  static std::shared_ptr<RequestClient>
  create(boost::asio::any_io_executor Executor, Settings Setup);
  virtual ~RequestClient() = default;

  /// Sends one attempt to `Daemon` and waits for the head of the response
  /// within `Attempt.Deadline`. Failures carry the verdict of the daemon if it
  /// refused the attempt, `NotRun` if nothing was sent, otherwise `MayHaveRun`.
  /// Failures of the client itself name the address of the daemon as their
  /// place.
  virtual boost::asio::awaitable<Outcome<std::unique_ptr<DaemonResponseStream>>>
  open(Address Daemon, RequestAttempt Attempt) = 0;

  /// Fails each `open` of this request that still waits for its head with
  /// `Cancelled`, and tells the daemon to stop the work.
  virtual void cancel(const std::string &Request) = 0;

  /// Connects before the first request, so that load reports arrive.
  virtual void connectAhead(Address Daemon) = 0;
  /// Sets the callback for load reports. Call before any other method.
  virtual void
  onLoad(std::function<void(const Address &, const std::vector<ReportedLoad> &,
                            bool Leaving)>
             Callback) = 0;
  /// Number of attempts in flight.
  virtual std::size_t inFlight() const = 0;
  /// Closes all connections; pending attempts fail.
  virtual void stop() = 0;
};

/// Reads the remaining body and returns the whole response. `Timeout` bounds
/// the whole read. Fails as `next` does, or with `Internal` if the body exceeds
/// `MaxBody` bytes.
boost::asio::awaitable<Outcome<http::Response>>
readWholeResponse(DaemonResponseStream &Stream, Millis Timeout,
                  std::uint64_t MaxBody);

} // namespace wasabi

#endif // WASABI_ADAPTERS_FRAMES_REQUESTCLIENT_H
