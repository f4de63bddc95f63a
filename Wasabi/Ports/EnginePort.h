/// \file
/// What the product needs from upstream servers: whole answers, streams of
/// events, and, from model engines, orders and reports.
#ifndef WASABI_PORTS_ENGINEPORT_H
#define WASABI_PORTS_ENGINEPORT_H

#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Ports/HttpMessage.h"
#include "Wasabi/Upstream/UpstreamTable.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wasabi {

/// What an answer proves.
enum class AnswerProof : std::uint8_t {
  /// The server ran the request, and this is its whole answer.
  Ran,
  /// The server says that it did not run the request and never will.
  NotRun,
  /// Neither: it names another request, or no server signed it.
  Unknown,
};

/// A whole answer. An immutable value.
struct UpstreamResponse {
  AnswerProof Proof = AnswerProof::Unknown;
  http::Response Response;
  /// What signs the answer; empty if nothing does.
  std::string Signature;
};

/// One event of a stream. An immutable value.
struct EngineEvent {
  /// Counts from 1.
  std::uint64_t Id = 0;
  /// Its data lines, joined by line feeds.
  std::string Data;
  /// The event as it came, with its closing empty line.
  std::string Raw;
  /// Set when the weights changed at this event.
  std::optional<WeightVersion> Version;
};

/// The head of a stream. An immutable value.
struct StreamHead {
  AnswerProof Proof = AnswerProof::Unknown;
  http::Response Response;
  /// Weights that generate from here on; empty if the server does not say.
  std::optional<WeightVersion> Version;
};

/// A stream of events. Destroying it closes the connection, which stops the
/// work at the server. Used on the port's thread only.
class EngineStream {
public:
  virtual ~EngineStream() = default;
  virtual const StreamHead &head() const = 0;
  /// The next event; empty after the last. A stream that breaks off is a
  /// failure, never an end.
  virtual boost::asio::awaitable<Outcome<std::optional<EngineEvent>>>
  next(Millis Timeout) = 0;
  /// Closes the connection; a pending `next` fails with `Cancelled`.
  virtual void cancel() = 0;
};

/// What is sent to a server beside the caller's own headers.
struct SendOptions {
  /// What is left of the caller's time; empty for none.
  std::optional<Millis> Deadline;
  /// Go on after this event.
  std::optional<std::uint64_t> ResumeAfter;
  /// The request's id, for one that the system makes; a caller's has its own.
  std::string RequestId;
  /// Whose request it is, as the server is told; empty for nobody's. What the
  /// caller's headers say of that is not passed on.
  CustomerName Customer;
};

/// What becomes of runs when a server takes new weights.
enum class SwapMode : std::uint8_t {
  /// Runs finish first.
  Finish,
  /// Runs go on under the new weights.
  Continue,
};

/// An order to take new weights. An immutable value.
struct WeightLoadRequest {
  ModelName Model;
  WeightVersion Version = 0;
  SwapMode Mode = SwapMode::Continue;
  /// Who orders.
  std::string Holder;
  FencingToken Token = 0;
  /// Orders that the server is thought to have accepted; it refuses this one
  /// if the number differs.
  std::optional<std::uint64_t> Accepted;
};

/// What became of an order.
enum class WeightLoadOutcome : std::uint8_t {
  /// It is being carried out.
  Started,
  /// The server holds the version already.
  AlreadyHeld,
  /// Another order is under way, or the number of accepted orders differs.
  Busy,
  /// The server will not carry it out.
  Refused,
  /// Another server has the address.
  WrongServer,
};

/// What an engine reports of itself. An immutable value.
struct EngineReport {
  /// When the engine started; 0 if it does not say.
  ServerStartTime Start = 0;
  std::map<ModelName, WeightVersion> Models;
  /// Whether an order is under way.
  bool Busy = false;
  /// Orders accepted since its start.
  std::uint64_t Accepted = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// Whether somebody listens at a server's address.
enum class ServerProbeResult : std::uint8_t {
  /// A connection was taken.
  Listens,
  /// It was refused: the server's process has ended.
  RefusesConnections,
};

/// Calls to servers, as plain functions; each is used on the thread that built
/// it. Failures carry `NotRun` only where nothing can have run.
struct EnginePort {
  /// One request, one whole answer.
  std::function<boost::asio::awaitable<Outcome<UpstreamResponse>>(
      UpstreamRegistration Server, http::Request Ask, SendOptions Options,
      Millis Timeout)>
      Call;
  /// One request, a stream. `Timeout` bounds the head.
  std::function<boost::asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>(
      UpstreamRegistration Server, http::Request Ask, SendOptions Options,
      Millis Timeout)>
      Open;
  std::function<boost::asio::awaitable<Outcome<WeightLoadOutcome>>(
      UpstreamRegistration Server, WeightLoadRequest What, Millis Timeout)>
      LoadWeights;
  std::function<boost::asio::awaitable<Outcome<EngineReport>>(
      UpstreamRegistration Server, Millis Timeout)>
      Report;
  /// Connects to the server and sends nothing. Fails when neither a connection
  /// nor its refusal comes in time.
  std::function<boost::asio::awaitable<Outcome<ServerProbeResult>>(
      UpstreamRegistration Server, Millis Timeout)>
      Probe;
};

} // namespace wasabi

#endif // WASABI_PORTS_ENGINEPORT_H
