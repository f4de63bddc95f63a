/// \file
/// Runs the items of all open batch jobs on the engines, has finished texts
/// scored, commits results and requests weight loads.
///
/// Several dispatchers may run at once: the first committed result of an item
/// counts, and an engine takes load requests from its sidecar only.
#ifndef WASABI_DISPATCH_DISPATCHER_H
#define WASABI_DISPATCH_DISPATCHER_H

#include "Wasabi/Adapters/Telemetry/Metrics.h"
#include "Wasabi/Batch/PayloadStore.h"
#include "Wasabi/Batch/RolloutLog.h"
#include "Wasabi/Dispatch/CommitOrder.h"
#include "Wasabi/Dispatch/EnginePool.h"
#include "Wasabi/Dispatch/EngineTopics.h"
#include "Wasabi/Dispatch/LoadOrder.h"
#include "Wasabi/Dispatch/StepPlanner.h"
#include "Wasabi/Ports/EnginePort.h"
#include "Wasabi/Quarantine/Quarantine.h"
#include "Wasabi/Upstream/ConfigurationReader.h"
#include "Wasabi/Upstream/FleetView.h"
#include "Wasabi/Upstream/Forwarder.h"

#include <boost/asio/cancellation_signal.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// Progress of an item.
enum class ItemStage : std::uint8_t {
  /// The request, or the saved text to resume from, is not loaded yet.
  Loading,
  Waiting,
  Running,
  Scoring,
  Finished,
};

/// The route of an item in one configuration. Valid while `Table` is the table
/// in use.
struct CachedRoute {
  std::shared_ptr<const RouteTable> Table;
  const UpstreamRoute *Route = nullptr;
};

/// One item of an open job and the state of its run.
struct ItemTask {
  std::shared_ptr<JobState> Job;
  std::size_t Index = 0;
  /// The item. While `Stage` is `Loading`, it holds only the fields that the
  /// job record contains.
  BatchItem Item;
  ItemStage Stage = ItemStage::Loading;
  /// Number of runs in succession that lost their connection before the text
  /// grew. Work that was handed in for later does not crash engines by itself,
  /// so the item stays owed: it is placed with care, and after a delay.
  std::uint32_t LostRuns = 0;
  /// True while the run counts in `DispatchEngine::CarefulRuns`.
  bool IsCareful = false;
  /// True if its expected length exceeds the mean of its job.
  bool ExpectedLong = false;
  /// True if the item was part of an earlier step.
  bool IsCarriedOver = false;
  /// As of the plan by which the item was started last.
  ItemUrgency Urgency = ItemUrgency::Needed;
  /// Result of the last route lookup.
  mutable CachedRoute RouteCache;
  PartialText Text;
  /// Number of events and bytes of `Text` that this dispatcher has saved in the
  /// rollout topic.
  std::uint64_t SavedEvents = 0;
  std::size_t SavedBytes = 0;
  /// Number of runs that an engine answered with status 500.
  std::uint32_t Failures = 0;
  /// Earliest time of the next run.
  TimePoint NotBefore;
  std::shared_ptr<DispatchEngine> Engine;
  /// The engine of the last incomplete run, which the next run avoids.
  ServerIncarnation Avoid;
  /// The open stream of the current run; null if there is none.
  EngineStream *Stream = nullptr;
  /// Time of the last event of the run, or of its start.
  TimePoint LastEvent;
  /// True once the current run has received an event.
  bool HasEvent = false;
  /// Failure of opening or reading the stream of the last run; empty if there
  /// was none.
  std::optional<Failure> RunFailure;
  /// True if the run was cancelled to continue on a faster engine.
  bool Moved = false;
  /// True if the item was moved because its engine is in a slower tier. This
  /// happens at most once.
  bool MovedForPace = false;
  /// Cancels the pending open or scoring call.
  boost::asio::cancellation_signal CancelSignal;
  /// True if the item ends without a result.
  bool Cancelled = false;
};

/// Discards the text of an item, so that its next run starts from the
/// beginning.
void clearText(ItemTask &Task);

/// Dispatches the items of all open jobs while this process holds the dispatch
/// lease. Not thread-safe: used on the thread of its executor only.
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
  struct Settings {
    EnginePoolSettings Pool;
    StepPlannerSettings Planner;
    /// Interval between checks of the runs and engines while there are items: a
    /// tenth of the shortest latency target.
    Millis MonitorInterval{50};
    /// Maximum time between two events of a run before it is cancelled and its
    /// server counts as failed. An event takes some 40 ms, and a prompt that is
    /// read beside it some 10 ms more.
    Millis RunStallTimeout{450};
    /// The same before the first event, which also waits for the prompt and for
    /// a slot: some 100 ms at an engine that has a free slot.
    Millis FirstEventTimeout{800};
    /// The same while the engine loads weights, which takes 0.9 s, and longer
    /// when several engines load.
    Millis LoadStallTimeout{2500};
    /// Interval between saves of texts in progress, from which a successor
    /// resumes. The longest texts take 7 s of a step's 7.5 s, and what is
    /// generated again delays their trainer by as much.
    Millis SaveInterval{350};
    /// Minimum number of new events of a text that is saved; about as many
    /// arrive between two saves.
    std::uint64_t MinSaveEvents = 8;
    /// Time that a result may wait for its append before texts in progress are
    /// no longer saved. After an outage of the store the results come first:
    /// their trainers wait, whereas a text that is not saved costs some
    /// generation if this process fails.
    Millis MaxCommitDelay{500};
    /// Time limit of an append to the store.
    Millis AppendTimeout{800};
    /// Time limit of a weight load. Afterwards it no longer counts as in
    /// progress and is requested again, of this engine or another.
    Millis SwapTimeout{4000};
    /// Time limit of opening a stream and of each read from it.
    /// `RunStallTimeout` normally ends a stalled run earlier.
    Millis EventTimeout{6000};
    /// Maximum size of a text, in bytes.
    std::size_t MaxTextBytes = 1u << 20;
    /// Delay before an item is tried again after a failure.
    Millis RetryDelay{60};
    /// Maximum delay before an item or a scoring call is tried again after
    /// lost connections; it doubles with each of them. Well below the 5 s after
    /// which an item that is at no engine counts as lost.
    Millis MaxLostRunDelay{2000};
    /// Lost runs from which on an item avoids engines on which a request that
    /// may crash them runs, or another such item.
    std::uint32_t CarefulAfterLostRuns = 2;
    /// Maximum number of saved texts of a job that are fetched concurrently. An
    /// answer of the store takes 4 ms, and a text consists of up to ten pieces.
    std::size_t MaxTextFetches = 8;
    /// Delay before an item that could not be read from the store is read
    /// again.
    Millis LoadRetryDelay{200};
    /// Time limit of the first scoring call of an item. It is shorter than the
    /// later ones to replace a slow call early: a call takes 80 ms, and one in
    /// a hundred 400 ms.
    Millis FirstScoreCallTimeout{450};
    /// Time limit of each later scoring call.
    Millis ScoreCallTimeout{1500};
    /// Time after the naming of a version within which the trainer is expected
    /// to submit its step. A trainer that is on time takes 0.06 to 0.2 s.
    Millis StepArrivalTimeout{500};
    /// Minimum time between two reassignments of engines of a service.
    Millis MinMoveInterval{4000};
    /// Maximum age of a job that counts toward the demand of its model.
    Millis DemandWindow{12000};
    /// Length that is assumed for an item without an expected length, in
    /// tokens.
    double DefaultExpectedTokens = 800;
  };

  /// Dependencies of a dispatcher.
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
    ConfigurationReader Configuration;
  };

  static std::shared_ptr<Dispatcher> create(Parts Dependencies,
                                            Settings Limits);

  /// Starts the background loops, which idle while the dispatcher is inactive.
  void start();

  /// Starts dispatching all open jobs as soon as the rollout topic has been
  /// read to its end. Call when this process has acquired the dispatch lease.
  void activate();
  /// Cancels all runs. Call when this process has lost the dispatch lease.
  void deactivate();
  /// Cancels all runs and appends their unsaved texts to the rollout topic for
  /// the successor.
  boost::asio::awaitable<void> handOverTexts();

  /// Applies a change of the rollout topic.
  void onChange(const BatchStateChange &Change);
  /// Reports a change of the servers, the configuration or a named version.
  void onFleetChange();
  /// Applies a report of the weights that `Server` holds, from its sidecar.
  void onHeldWeights(const ServerName &Server, const HeldWeights &Weights);

private:
  /// Outcome of loading an item: `Retry` if the store may return it later,
  /// `Gone` if it is lost or unreadable.
  enum class LoadOutcome : std::uint8_t { Loaded, Retry, Gone };
  /// Decoded items of one payload.
  struct LoadedItems {
    PayloadLocation Location;
    std::vector<BatchItem> Items;
  };
  /// A text that is being saved, and its record.
  struct TextSave {
    std::shared_ptr<ItemTask> Task;
    PartialTextRecord Record;
  };
  /// Work by service and model.
  using ServiceWork = std::map<ServiceName, std::map<ModelName, ModelWork>>;
  /// A weight load that is requested of an engine.
  struct WeightLoad {
    std::shared_ptr<DispatchEngine> Engine;
    WantedWeights Weights;
  };
  /// The input of a plan.
  struct PlannerView {
    PlanInput Input;
    /// By index into `Input.Items`.
    std::vector<std::shared_ptr<ItemTask>> Tasks;
    /// True if an item may be started now.
    bool HasWaiting = false;
  };
  /// A result that is not yet in the folded state of the rollout topic.
  struct PendingResult {
    ResultRecord Record;
    /// Output to write to the payload topic; empty if written or stored inline.
    std::string Text;
    TimePoint FinishedAt;
    /// Time at which its step is due, and the offset of the step's submission.
    TimePoint Due;
    Offset Step = 0;
  };

  Dispatcher(Parts Dependencies, Settings Limits);

  boost::asio::awaitable<void> takeOver(std::uint64_t Number);
  void startDispatching();

  // Items.
  void addJob(const std::shared_ptr<JobState> &Job);
  boost::asio::awaitable<void>
  loadItems(std::vector<std::shared_ptr<ItemTask>> Items);
  boost::asio::awaitable<LoadOutcome> loadItem(ItemTask &Task,
                                               LoadedItems &Cache);
  const SavedPartialText *findSavedText(const ItemTask &Task) const;
  void loadSavedTexts(std::vector<std::shared_ptr<ItemTask>> Items);
  boost::asio::awaitable<void>
  fetchTexts(std::shared_ptr<std::deque<std::shared_ptr<ItemTask>>> Queue);
  boost::asio::awaitable<void> loadSavedText(ItemTask &Task);
  boost::asio::awaitable<Outcome<PartialText>>
  loadText(SavedPartialText Saved) const;
  void onItemLoaded(const std::shared_ptr<ItemTask> &Task);
  void resumeComplete(const std::shared_ptr<ItemTask> &Task);
  bool canResumeFrom(const PartialText &Text, const ItemTask &Task) const;
  void cancel(const std::shared_ptr<ItemTask> &Task);
  void clearFinished();
  void schedule();
  void scheduleNow();
  PlannerView makePlannerView(const std::map<ModelName, EngineList> &Candidates,
                              TimePoint Now);
  bool isCarriedOver(const JobState &Job, const BatchItem &Item) const;
  double expectedEvents(const BatchItem &Item) const;
  double predictedTokens(const ItemTask &Task) const;
  void updatePredictedTokens();
  Millis lostRunDelay(std::uint32_t LostRuns) const;
  void recordLostRun(ItemTask &Task, const DispatchEngine &Engine);
  std::shared_ptr<DispatchEngine> findEngineFor(const ItemTask &Task,
                                                const EngineRequirements &Need,
                                                const EngineList &Candidates,
                                                const PaceBaseline &Baseline,
                                                TimePoint Now) const;
  std::map<ModelName, EngineList> enginesWithRoom(TimePoint Now) const;
  std::vector<ServiceName> servicesOf(const ItemTask &Task) const;
  EngineRequirements requirementsOf(const ItemTask &Task) const;
  bool requiresSingleVersion(const ItemTask &Task) const;
  void discardMixedText(ItemTask &Task, TimePoint Now) const;
  PartialTextRecord unsavedText(const ItemTask &Task) const;
  boost::asio::awaitable<void> saveLoop();
  boost::asio::awaitable<bool> saveTexts(std::vector<TextSave> Due);
  boost::asio::awaitable<Outcome<Offset>>
  appendTexts(std::vector<PartialTextRecord> Texts) const;
  void startRun(const std::shared_ptr<ItemTask> &Task,
                const std::shared_ptr<DispatchEngine> &Engine);
  boost::asio::awaitable<void> run(std::shared_ptr<ItemTask> Task);
  boost::asio::awaitable<bool> readEvents(ItemTask &Task);
  void requeueItem(const std::shared_ptr<ItemTask> &Task, const Failure &Cause);
  bool checkStreamHead(const std::shared_ptr<ItemTask> &Task,
                       const StreamHead &Head);
  void terminate(const std::shared_ptr<ItemTask> &Task,
                 std::string_view Reason);
  void startScoring(const std::shared_ptr<ItemTask> &Task);
  boost::asio::awaitable<void> score(std::shared_ptr<ItemTask> Task);
  void finish(const std::shared_ptr<ItemTask> &Task, ItemResult Result);
  boost::asio::awaitable<void> commitLoop();
  boost::asio::awaitable<Outcome<Done>> commitNextResults();
  std::vector<CommitEntry> pendingCommits() const;
  bool hasConfigurationOf(const JobState &Job) const;
  void requestConfiguration(const std::shared_ptr<JobState> &Job);
  boost::asio::awaitable<void> readConfiguration(std::shared_ptr<JobState> Job);
  const UpstreamRoute *routeOf(const ItemTask &Task) const;
  std::uint32_t priorityOf(const ItemTask &Task,
                           const UpstreamRoute &Route) const;
  http::Request makeItemRequest(const ItemTask &Task) const;

  // Engines.
  void syncEngines();
  bool mayRunAt(const JobState &Job, const ServiceName &Service) const;
  std::map<ModelName, double> findDemand(const UpstreamService &Service,
                                         TimePoint Now) const;
  ServiceWork findWork(TimePoint Now) const;
  EngineList syncServiceEngines(const UpstreamService &Service,
                                const EngineList &Known, TimePoint Now) const;
  void assignEngines(const UpstreamService &Service, EngineList &Engines,
                     TimePoint Now);
  void logLoans(const EngineList &Engines) const;
  std::map<ModelName, ModelDemand> modelDemands();
  boost::asio::awaitable<void> monitorLoop();
  void cancelStalledRuns();
  void moveRunsToFasterEngines();
  bool isLong(const ItemTask &Task) const;
  void forgetPaces();
  void applyReportedWeights(DispatchEngine &Engine) const;
  void requestWeightLoads();
  boost::asio::awaitable<void> appendWeightLoads(std::vector<WeightLoad> Loads);
  void noteEvent(DispatchEngine &Engine, ItemTask &Task);
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
  const ConfigurationReader Configuration;

  bool Active = false;
  /// Number of calls of `activate` and `deactivate`.
  std::uint64_t Activations = 0;
  /// Random identifier of the saved texts of one activation.
  std::uint64_t Source = 0;
  std::vector<std::shared_ptr<ItemTask>> Tasks;
  /// Texts of unfinished items of ended jobs, from which a later job of the
  /// same customer resumes.
  std::map<std::pair<CustomerName, ItemId>, PartialText> CarriedTexts;
  /// Engine of the last run of each group, which has read the group's prompt.
  std::map<std::string, ServerIncarnation> PromptEngines;
  EngineList Pool;
  TextScale Lengths;
  /// Last report of a sidecar.
  struct HeldReport {
    HeldWeights Held;
    TimePoint ReceivedAt;
  };
  std::map<ServerName, HeldReport> Held;
  /// By service: time of the last reassignment of one of its engines.
  std::map<ServiceName, TimePoint> LastMoves;
  /// Time at which this process has begun to dispatch.
  TimePoint ActiveSince;
  /// Highest minimum version of the jobs of each model.
  std::map<ModelName, WeightVersion> NewestMinVersions;
  /// The version that a trainer named last.
  struct NamedVersion {
    WeightVersion Version = 0;
    /// Time at which this dispatcher first saw the version.
    TimePoint Since;
    /// Value of `NewestMinVersions` at that time.
    WeightVersion MinVersionAtNaming = 0;
  };
  std::map<ModelName, NamedVersion> NamedVersions;
  std::vector<PendingResult> Uncommitted;
  /// True if a call of `scheduleNow` is pending.
  bool Scheduled = false;
  /// True while the topic of the configuration is read for a job.
  bool ReadsConfiguration = false;
  AsyncSignal Wake;
  AsyncSignal CommitWake;
};

} // namespace wasabi

#endif // WASABI_DISPATCH_DISPATCHER_H
