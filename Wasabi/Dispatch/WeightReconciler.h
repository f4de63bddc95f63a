/// \file
/// Brings one engine to the weights that are wanted of it. It runs beside the
/// engine and is the only one that gives it orders, so that no two holders ever
/// take turns.
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

/// Used on one thread, that of its executor.
class WeightReconciler : public std::enable_shared_from_this<WeightReconciler> {
public:
  struct Settings {
    /// Named as the holder in each order.
    std::string Holder;
    /// Pause between two looks at an engine that is not where it should be;
    /// a load takes 0.9 s.
    Millis PollInterval{60};
    /// Pause between two looks at one that is: it may be restarted, or a late
    /// order may be carried out.
    Millis IdlePollInterval{500};
    /// How long an answer of the engine may take.
    Millis AnswerTime{500};
    /// How long the store may take for a record.
    Millis AppendTimeout{800};
  };

  static std::shared_ptr<WeightReconciler>
  create(boost::asio::any_io_executor Executor, RecordStore Store,
         EnginePort Engines, std::shared_ptr<DecisionLog> Decisions,
         Settings Limits);

  /// Begins to look after the engine, for as long as the context runs.
  void start();
  /// The registrations at the engine's address, the likeliest first: after a
  /// restart the one before may still be there. The first that has not turned
  /// out to be another server is the engine.
  void setRegistrations(std::vector<UpstreamRegistration> Entries);
  /// What is wanted of the server `Of`, from the record at `At`.
  void setWanted(const ServerName &Of, WantedWeights What, Offset At);

private:
  /// What is wanted, and the offset of its record.
  struct Wanted {
    WantedWeights What;
    Offset At = 0;
  };

  WeightReconciler(boost::asio::any_io_executor Executor, RecordStore Store,
                   EnginePort Engines, std::shared_ptr<DecisionLog> Decisions,
                   Settings Limits);
  const UpstreamRegistration *engine() const;
  boost::asio::awaitable<void> keep();
  boost::asio::awaitable<bool> look();
  const WantedWeights *findDueWeights(const ServerIncarnation &Of,
                                      const EngineReport &Now) const;
  boost::asio::awaitable<void> order(UpstreamRegistration Engine,
                                     WantedWeights What,
                                     std::uint64_t Accepted);
  boost::asio::awaitable<void> publish(ServerName Of, HeldWeights Now);

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  const RecordStore Store;
  const EnginePort Engines;
  const std::shared_ptr<DecisionLog> Decisions;
  AsyncSignal Changed;
  std::vector<UpstreamRegistration> Entries;
  /// Servers that are not at the address any more.
  std::set<ServerIncarnation> Gone;
  std::map<ServerName, Wanted> WantedByServer;
  /// What the store was told last, and of whom.
  std::optional<HeldWeights> Published;
  ServerName PublishedServer;
  /// Offset of the newest record of this life: greater than that of any record
  /// of a life before, so it fences their orders off. Empty until there is one.
  std::optional<FencingToken> Token;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_WEIGHTRECONCILER_H
