/// \file
/// The dispatching duty: runs the items of all open batch jobs on the engines,
/// has finished texts scored, commits results, and says which weights each
/// engine should hold.
///
/// Nothing depends on its being alone: the first committed result of an item
/// counts, whoever found it, and engines take orders from the process beside
/// them only.
#ifndef WASABI_DISPATCH_DISPATCHER_H
#define WASABI_DISPATCH_DISPATCHER_H

#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Batch/PayloadStore.h"
#include "Wasabi/Batch/RolloutLog.h"
#include "Wasabi/Dispatch/EnginePool.h"
#include "Wasabi/Dispatch/EngineTopics.h"
#include "Wasabi/Dispatch/LoadOrder.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/Quarantine.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Upstream/Forwarder.h"

#include <boost/asio/cancellation_signal.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// How far an item has come.
enum class ItemStage : std::uint8_t {
  /// What it asks for, or the text that it goes on from, isn't here yet.
  Loading,
  Waiting,
  Running,
  Scoring,
  Finished,
};

/// The route of an item in one configuration. Valid while `Of` is in force.
struct CachedRoute {
  std::shared_ptr<const RouteTable> Of;
  const UpstreamRoute *Route = nullptr;
};

/// One item that the dispatcher works on.
struct ItemTask {
  std::shared_ptr<JobState> Job;
  std::size_t Index = 0;
  /// The item; only what every process knows of it while `Stage` is `Loading`.
  BatchItem Item;
  ItemStage Stage = ItemStage::Loading;
  /// Shared with whoever finds out why a run has ended.
  std::shared_ptr<GuardedRequest> Guard;
  /// Whether it gets no engine since some have ended under it.
  bool Quarantined = false;
  /// Whether it is expected to be longer than its job's mean.
  bool ExpectedLong = false;
  /// Where its route was found last.
  mutable CachedRoute Found;
  PartialText Text;
  /// Events and bytes of `Text` that this dispatcher has saved in the topic.
  std::uint64_t SavedEvents = 0;
  std::size_t SavedBytes = 0;
  /// Answers of 500 by engines.
  std::uint32_t Failures = 0;
  /// Not sent anywhere before this.
  TimePoint NotBefore;
  std::shared_ptr<DispatchEngine> Engine;
  /// The engine that it was taken from or that failed it.
  ServerIncarnation Avoid;
  /// While it runs: its stream, once there is one.
  EngineStream *Stream = nullptr;
  /// When its run began or had its last event.
  TimePoint LastEvent;
  /// Whether its run has had an event.
  bool Begun = false;
  /// Why its last run broke off; empty if it did not by itself.
  std::optional<Failure> Broken;
  /// Whether its run was ended for a faster engine.
  bool Moved = false;
  /// Whether it has been moved because others are always faster: once is
  /// enough.
  bool MovedForPace = false;
  /// Stops whatever it waits for.
  boost::asio::cancellation_signal Stop;
  /// Set when the run is to end without a result.
  bool Dropped = false;
};

/// Lets an item begin anew.
void clearText(ItemTask &Work);

/// Used on one thread, that of its executor.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
  struct Settings {
    EnginePoolSettings Pool;
    /// Look at running items this often while there are any: a tenth of the
    /// shortest objective.
    Millis PollInterval{50};
    /// A run without an event for this long has lost its server. An event takes
    /// some 40 ms; a prompt that is read beside it some 10 ms more.
    Millis RunStallTimeout{450};
    /// The same before its first event, which waits for the prompt and may wait
    /// for a slot: some 100 ms at an engine that has a place free.
    Millis FirstEventTimeout{800};
    /// The same while its server takes weights: a load takes 0.9 s, and longer
    /// when several load.
    Millis LoadStallTimeout{2500};
    /// Texts in progress are saved this often, so that a successor goes on from
    /// there: the longest take 7 s of a step's 7.5, and what is generated again
    /// makes their trainer late by as much.
    Millis SaveInterval{350};
    /// Fewer new events than this are not worth a record: about as many come
    /// between two saves.
    std::uint64_t MinSaveEvents = 8;
    /// How long an answer of the store may take.
    Millis AppendTimeout{800};
    /// Weights that have not come after this are wanted anew, of this engine or
    /// of another: a load takes 0.9 s, and longer when several load.
    Millis SwapTimeout{4000};
    /// Longest pause between two events of a stream before it is broken, as a
    /// last resort: `RunStallTimeout` ends it long before.
    Millis EventTimeout{6000};
    /// Pause before an item is tried again after a failure.
    Millis RetryDelay{60};
    /// Pause before a quarantined scoring call is looked at again: it is free
    /// again when a server has answered it, which is rare.
    Millis QuarantineRetryDelay{1000};
    /// Saved texts of a job that are fetched at once: an answer of the store
    /// takes 4 ms, and a text comes in up to ten pieces.
    std::size_t MaxTextFetches = 8;
    /// Pause before the store is asked again for an item that it did not give.
    Millis LoadPause{200};
    /// Time that a scoring call is given before it is made again elsewhere: it
    /// takes 80 ms and in one case of a hundred 400.
    Millis FirstScoreCallTimeout{450};
    /// The same from the second time on.
    Millis ScoreCallTimeout{1500};
    /// A trainer asks for the step of a version this soon after naming it, if
    /// it is not ahead of its time: 0.06 to 0.2 s.
    Millis StepArrivalTimeout{500};
    /// Pause between two moves of an engine to another model.
    Millis MinMoveInterval{4000};
    /// What a job's demand counts for: its expected tokens while it is younger
    /// than this.
    Millis DemandWindow{12000};
    /// Demand of an item that does not say how long it will be, in tokens.
    double DefaultExpectedTokens = 800;
  };

  /// What a dispatcher works with.
  struct Parts {
    boost::asio::any_io_executor Executor;
    /// Outlives the dispatcher.
    FleetView &View;
    std::shared_ptr<RolloutLog> Log;
    std::shared_ptr<PayloadStore> Payloads;
    RecordStore Store;
    EnginePort Engines;
    std::shared_ptr<Forwarder> Scores;
    std::shared_ptr<Quarantine> Crashes;
    std::shared_ptr<DecisionLog> Decisions;
    /// Outlives the dispatcher.
    Metrics &Counts;
  };

  static std::shared_ptr<Dispatcher> create(Parts With, Settings Limits);

  /// Begins the loops, which rest while the duty is another's.
  void start();

  /// The duty is this process's: takes up all open jobs.
  void activate();
  /// The duty is another's: stops all runs.
  void deactivate();
  /// Stops all runs and gives their texts as records for the successor.
  boost::asio::awaitable<std::vector<std::string>> handOverTexts();

  /// Takes a change of the rollout topic.
  void onChange(const BatchStateChange &Change);
  /// The servers, the configuration or a named version changed.
  void onFleetChange();
  /// The process beside the server `Of` told what it holds.
  void onHeldWeights(const ServerName &Of, const HeldWeights &Now);

private:
  /// What became of bringing in an item: the store may give it later, or has it
  /// no more.
  enum class LoadOutcome : std::uint8_t { Loaded, Later, Never };
  /// Items that lie together in the payload topic.
  struct LoadedItems {
    PayloadLocation From;
    std::vector<BatchItem> Items;
  };
  /// A text that is saved, and the record of it.
  struct TextSave {
    std::shared_ptr<ItemTask> Work;
    PartialTextRecord Record;
  };
  /// A result that the topic does not show yet.
  struct PendingResult {
    ResultRecord Record;
    /// Its text, until it is in the payload topic.
    std::string Text;
  };

  Dispatcher(Parts With, Settings Limits);

  // Items.
  void addJob(const std::shared_ptr<JobState> &Job);
  boost::asio::awaitable<void> load(std::vector<std::shared_ptr<ItemTask>> All);
  boost::asio::awaitable<LoadOutcome> loadItem(ItemTask &Work,
                                               LoadedItems &Near);
  const SavedPartialText *savedText(const ItemTask &Work) const;
  void loadSavedTexts(std::vector<std::shared_ptr<ItemTask>> All);
  boost::asio::awaitable<void>
  fetchTexts(std::shared_ptr<std::deque<std::shared_ptr<ItemTask>>> From);
  boost::asio::awaitable<void> loadSavedText(ItemTask &Work);
  boost::asio::awaitable<Outcome<PartialText>>
  loadText(SavedPartialText From) const;
  void loaded(const std::shared_ptr<ItemTask> &Work);
  bool fits(const PartialText &Text, const ItemTask &For) const;
  void drop(const std::shared_ptr<ItemTask> &Work);
  void clearFinished();
  void schedule();
  void scheduleNow();
  bool updateQuarantined(ItemTask &Work) const;
  std::shared_ptr<DispatchEngine> findEngineFor(const ItemTask &Work,
                                                const EngineList &Free,
                                                const PaceBaseline &Scale,
                                                TimePoint Now) const;
  std::map<ModelName, EngineList> enginesWithRoom(TimePoint Now) const;
  EngineRequirements needOf(const ItemTask &Work) const;
  bool singleVersion(const ItemTask &Work) const;
  void dropMixedText(ItemTask &Work) const;
  PartialTextRecord unsavedText(const ItemTask &Work) const;
  boost::asio::awaitable<void> saveLoop();
  boost::asio::awaitable<bool> saveTexts(std::vector<TextSave> Due);
  boost::asio::awaitable<Outcome<std::vector<std::string>>>
  storeTexts(std::vector<PartialTextRecord> Texts) const;
  void startRun(const std::shared_ptr<ItemTask> &Work,
                const std::shared_ptr<DispatchEngine> &On);
  boost::asio::awaitable<void> run(std::shared_ptr<ItemTask> Work);
  boost::asio::awaitable<bool> readEvents(ItemTask &Work);
  void requeueItem(const std::shared_ptr<ItemTask> &Work, const Failure &Why);
  bool checkStreamHead(const std::shared_ptr<ItemTask> &Work,
                       const StreamHead &Head);
  void terminate(const std::shared_ptr<ItemTask> &Work, std::string_view Why);
  void startScoring(const std::shared_ptr<ItemTask> &Work);
  boost::asio::awaitable<void> score(std::shared_ptr<ItemTask> Work);
  void finish(const std::shared_ptr<ItemTask> &Work, ItemResult Result);
  boost::asio::awaitable<void> commitLoop();
  boost::asio::awaitable<Outcome<Done>> commitOldestResults();
  const UpstreamRoute *routeOf(const ItemTask &Work) const;
  std::uint32_t priorityOf(const ItemTask &Work,
                           const UpstreamRoute &Route) const;
  http::Request askOf(const ItemTask &Work) const;

  // Engines.
  void syncEngines();
  std::map<ModelName, double> demand() const;
  std::map<ModelName, ModelDemand> modelDemands();
  boost::asio::awaitable<void> monitorLoop();
  void cancelStalledRuns();
  void moveRunsToFasterEngines();
  bool isLong(const ItemTask &Work) const;
  void forgetPaces();
  void applyReportedWeights(DispatchEngine &Engine) const;
  void requestWeightLoads();
  boost::asio::awaitable<void> want(std::shared_ptr<DispatchEngine> On,
                                    WantedWeights What);
  void noteEvent(DispatchEngine &On, ItemTask &Work);
  SwapMode swapMode(const ModelName &Model) const;

  const Settings Limits;
  const boost::asio::any_io_executor Executor;
  FleetView &View;
  const std::shared_ptr<RolloutLog> Log;
  const std::shared_ptr<PayloadStore> Payloads;
  const RecordStore Store;
  const EnginePort Engines;
  const std::shared_ptr<Forwarder> Scores;
  const std::shared_ptr<Quarantine> Crashes;
  const std::shared_ptr<DecisionLog> Decisions;
  Metrics &Counts;

  bool Active = false;
  /// Drawn anew each time the duty is taken up.
  std::uint64_t Source = 0;
  std::vector<std::shared_ptr<ItemTask>> Works;
  /// Texts of items that were not finished, for jobs that carry them over: a
  /// customer's own only.
  std::map<std::pair<CustomerName, ItemId>, PartialText> Carried;
  /// The engine that read a group's prompt.
  std::map<std::string, ServerIncarnation> PromptEngines;
  EngineList Pool;
  /// What the processes beside the servers told last, and when it came.
  struct HeldReport {
    HeldWeights Held;
    TimePoint Came;
  };
  std::map<ServerName, HeldReport> Held;
  TimePoint LastMove;
  /// The oldest weights that the newest step of each model allows.
  std::map<ModelName, WeightVersion> NewestMinVersions;
  /// The version that was named last.
  struct NamedVersion {
    WeightVersion Version = 0;
    /// When this dispatcher learnt of it.
    TimePoint Since;
    /// `NewestMinVersions` at that time.
    WeightVersion MinVersionAtNaming = 0;
  };
  std::map<ModelName, NamedVersion> NamedVersions;
  std::deque<PendingResult> Uncommitted;
  /// Whether `scheduleNow` is on its way.
  bool Scheduled = false;
  AsyncSignal Wake;
  AsyncSignal CommitWake;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_DISPATCHER_H
