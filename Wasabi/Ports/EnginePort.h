/// \file
/// Interface to upstream servers: requests, event streams and, for model
/// engines, weight loading and reports.
#ifndef WASABI_PORTS_ENGINEPORT_H
#define WASABI_PORTS_ENGINEPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/HttpMessage.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wasabi {

/// Whether a response proves that the server ran the request.
enum class AnswerProof : std::uint8_t {
  /// The server ran the request, and the response is complete.
  Ran,
  /// The server did not run the request and never will.
  NotRun,
  /// Unknown: the response belongs to another request or is not signed by a
  /// server.
  Unknown,
};

/// A complete response. An immutable value.
struct UpstreamResponse {
  AnswerProof Proof = AnswerProof::Unknown;
  http::Response Response;
  /// Signature of the response; empty if unsigned.
  std::string Signature;
};

/// One event of an event stream. An immutable value.
struct EngineEvent {
  /// Event number, from 1.
  std::uint64_t Id = 0;
  /// Data lines joined by line feeds.
  std::string Data;
  /// The event as received, including the terminating empty line.
  std::string Raw;
  /// Set if the weights changed at this event.
  std::optional<WeightVersion> Version;
};

/// Response head of a stream. An immutable value.
struct StreamHead {
  AnswerProof Proof = AnswerProof::Unknown;
  http::Response Response;
  /// Version of the weights from the start of the stream on; empty if unknown.
  std::optional<WeightVersion> Version;
};

/// An event stream. Destroying it closes the connection, which stops the work
/// at the server. Used on the port's thread only.
class EngineStream {
public:
  virtual ~EngineStream() = default;
  virtual const StreamHead &head() const = 0;
  /// Returns the next event; empty after the last one. An interrupted stream is
  /// a failure.
  virtual boost::asio::awaitable<Outcome<std::optional<EngineEvent>>>
  next(Millis Timeout) = 0;
  /// Closes the connection; a pending `next` fails with `Cancelled`.
  virtual void cancel() = 0;
};

/// Options that are sent with a request in addition to the caller's headers.
struct SendOptions {
  /// Time left for the caller's request; empty for no deadline.
  std::optional<Millis> Deadline;
  /// Resume the stream after this event.
  std::optional<std::uint64_t> ResumeAfter;
  /// Id of a request made by the system; empty for a caller's request, which
  /// has its own.
  std::string RequestId;
  /// Customer that is sent to the server; empty for none. Replaces the caller's
  /// own headers for it.
  CustomerName Customer;
  /// Priority at the server, from 0 (most urgent) to `MaxRequestPriority`;
  /// empty for the server's default. Replaces one in the request's own headers.
  std::optional<std::uint8_t> Priority;
};

/// The least urgent priority of a request at a server.
inline constexpr std::uint8_t MaxRequestPriority = 9;

/// How running requests are treated when a server loads new weights.
enum class SwapMode : std::uint8_t {
  /// Running requests finish before the swap.
  Finish,
  /// Running requests continue with the new weights.
  Continue,
};

/// A request to load weights. An immutable value.
struct WeightLoadRequest {
  ModelName Model;
  WeightVersion Version = 0;
  SwapMode Mode = SwapMode::Continue;
  /// Holder of the lease that authorizes the request.
  std::string Holder;
  FencingToken Token = 0;
  /// Expected number of load requests that the server has accepted; the server
  /// rejects the request if the number differs.
  std::optional<std::uint64_t> Accepted;
};

/// Result of a weight load request.
enum class WeightLoadOutcome : std::uint8_t {
  /// The server started to load the weights.
  Started,
  /// The server already has the version.
  AlreadyHeld,
  /// Another load is in progress, or the number of accepted requests differs.
  Busy,
  /// The server rejected the request.
  Refused,
  /// A different server answered at the address.
  WrongServer,
};

/// Status report of an engine. An immutable value.
struct EngineReport {
  /// Start time of the engine; 0 if unknown.
  ServerStartTime Start = 0;
  std::map<ModelName, WeightVersion> Models;
  /// True while a weight load is in progress.
  bool Busy = false;
  /// Number of load requests accepted since the start.
  std::uint64_t Accepted = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// Result of a connection attempt to a server's address.
enum class ServerProbeResult : std::uint8_t {
  /// The server accepted the connection.
  Listens,
  /// The connection was refused: the server's process has exited.
  RefusesConnections,
};

/// Calls to upstream servers as function objects. Use a port on the thread that
/// created it. A failure has the verdict `NotRun` only if the request cannot
/// have run.
struct EnginePort {
  /// Sends a request and returns the complete response.
  std::function<boost::asio::awaitable<Outcome<UpstreamResponse>>(
      UpstreamRegistration Server, http::Request HttpRequest,
      SendOptions Options, Millis Timeout)>
      Call;
  /// Sends a request and opens the event stream. `Timeout` applies to the
  /// response head.
  std::function<boost::asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>(
      UpstreamRegistration Server, http::Request HttpRequest,
      SendOptions Options, Millis Timeout)>
      Open;
  std::function<boost::asio::awaitable<Outcome<WeightLoadOutcome>>(
      UpstreamRegistration Server, WeightLoadRequest LoadRequest,
      Millis Timeout)>
      LoadWeights;
  std::function<boost::asio::awaitable<Outcome<EngineReport>>(
      UpstreamRegistration Server, Millis Timeout)>
      Report;
  /// Connects to the server without sending data. Fails if the connection is
  /// neither accepted nor refused in time.
  std::function<boost::asio::awaitable<Outcome<ServerProbeResult>>(
      UpstreamRegistration Server, Millis Timeout)>
      Probe;
};

} // namespace wasabi

#endif // WASABI_PORTS_ENGINEPORT_H
