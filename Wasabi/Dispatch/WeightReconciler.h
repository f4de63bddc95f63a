/// \file
/// Loads the wanted weights into one engine. Runs in the engine's sidecar,
/// which is the only process that sends it load requests.
#ifndef WASABI_DISPATCH_WEIGHTRECONCILER_H
#define WASABI_DISPATCH_WEIGHTRECONCILER_H

#include "Wasabi/Adapters/Telemetry/DecisionLog.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Dispatch/EngineTopics.h"
#include "Wasabi/Ports/RecordStore.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wasabi {

/// Polls one engine, requests the weights that are wanted of it, and publishes
/// the weights that it holds. Must be used on the thread of its executor only.
class WeightReconciler : public std::enable_shared_from_this<WeightReconciler> {
public:
  struct Settings {
    /// Name of the holder in each load request.
    std::string Holder;
    /// Time between two polls while the engine is loading or lacks the wanted
    /// weights.
    Millis PollInterval{60};
    /// Time between two polls otherwise. Polling continues since the engine may
    /// restart or execute a delayed request.
    Millis IdlePollInterval{500};
    /// Time limit of each call to the engine: a report or a load request.
    Millis ReportTimeout{500};
    /// Time limit of an append to the store.
    Millis AppendTimeout{800};
  };

  static std::shared_ptr<WeightReconciler>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         EnginePort Engines, std::shared_ptr<DecisionLog> Decisions,
         Settings Limits);

  /// Starts the polling loop. It runs as long as the executor's context.
  void start();
  /// Sets the registrations at the engine's address, most likely first: after a
  /// restart the previous one may still exist. The first one that the engine
  /// has not rejected as another server's is used.
  void setRegistrations(std::vector<UpstreamRegistration> Entries);
  /// Sets the weights that are wanted of a server. A record at a lower offset
  /// than the last one is ignored.
  void setWanted(const ServerName &Server, WantedWeights Weights,
                 Offset RecordOffset);

private:
  /// Wanted weights and the offset of their record.
  struct WantedRecord {
    WantedWeights Weights;
    Offset RecordOffset = 0;
  };

  WeightReconciler(boost::asio::any_io_executor Executor, RecordStore Store,
                   EnginePort Engines, std::shared_ptr<DecisionLog> Decisions,
                   Settings Limits);
  const UpstreamRegistration *engine() const;
  boost::asio::awaitable<void> pollLoop();
  boost::asio::awaitable<bool> pollEngine();
  const WantedWeights *findDueWeights(const ServerIncarnation &Running,
                                      const EngineReport &Report) const;
  boost::asio::awaitable<void> orderWeights(UpstreamRegistration Engine,
                                            WantedWeights Weights,
                                            std::uint64_t Accepted);
  boost::asio::awaitable<void> publish(ServerName Server, HeldWeights Held);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  const RecordStore Store;
  const EnginePort Engines;
  const std::shared_ptr<DecisionLog> Decisions;
  AsyncSignal Changed;
  std::vector<UpstreamRegistration> Registrations;
  /// Servers that are no longer at the address.
  std::set<ServerIncarnation> ReplacedServers;
  std::map<ServerName, WantedRecord> WantedByServer;
  /// Last published weights, and the server that holds them.
  std::optional<HeldWeights> Published;
  ServerName PublishedServer;
  /// Offset of the newest record of this incarnation. Greater than the tokens
  /// of earlier incarnations, so that it fences their requests off. Empty until
  /// the first record is appended.
  std::optional<FencingToken> Token;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_WEIGHTRECONCILER_H
