/// \file
/// An active dispatcher on in-memory engines and a fake store.
#ifndef WASABI_UNITTESTS_DISPATCH_DISPATCHERFIXTURE_H
#define WASABI_UNITTESTS_DISPATCH_DISPATCHERFIXTURE_H

#include "UnitTests/Batch/BatchFixture.h"
#include "UnitTests/Dispatch/FakeEngines.h"
#include "Wasabi/Dispatch/Dispatcher.h"
#include "Wasabi/Upstream/StoreRecovery.h"

namespace wasabi::batchtest {

inline const ModelName Model("model");
inline const ServiceName Llm("llm");
inline const ServiceName Judge("judge");

inline std::shared_ptr<const RouteTable> makeRoutes() {
  RouteTable table;
  table.Version = 1;
  UpstreamRoute rollout;
  rollout.Host = "host.example";
  rollout.Prefix = "/rollout/";
  rollout.Kind = RouteKind::Rollout;
  rollout.MaxAttempts = 3;
  rollout.ResultDeadline = Millis(7500);
  rollout.Services = {{Llm, 1}};
  UpstreamRoute score = rollout;
  score.Prefix = "/score/";
  score.Kind = RouteKind::Idempotent;
  score.MaxAttempts = 2;
  score.Services = {{Judge, 1}};
  table.Routes = {rollout, score};
  UpstreamService engines;
  engines.Name = Llm;
  engines.Engine = EngineTraits{4, {Model}};
  table.Services = {engines, UpstreamService{Judge, "", 0, {}}};
  return std::make_shared<const RouteTable>(table);
}

/// An active dispatcher with two engines and a scoring server.
struct DispatcherFixture : BatchTestFixture {
  FakeEngines Engines{Context};
  FleetView View;
  Metrics Counts;
  /// The store as the dispatcher reaches it.
  RecordStore Port;
  std::shared_ptr<RolloutLog> Log;
  std::shared_ptr<PayloadStore> Payloads;
  std::shared_ptr<Dispatcher> Dispatch;
  /// Time up to which the configuration is known; empty for now.
  std::optional<TimePoint> ConfigurationAsOf;
  /// Effect of a read of the configuration; returns whether it succeeds.
  std::function<bool()> OnConfigurationRead = [] { return true; };
  std::size_t ConfigurationReads = 0;

  /// \param StallTimeout time without an event after which a run is cancelled.
  /// \param StepArrivalTimeout time for which the step of a named version is
  /// expected.
  /// \param SaveInterval interval between saves of texts in progress.
  /// \param RecoversStore true if calls that are stuck in an outage of the
  /// store are cancelled when it returns, as in the program.
  explicit DispatcherFixture(Millis StallTimeout = Millis(80),
                             Millis StepArrivalTimeout = Millis(0),
                             Millis SaveInterval = Millis(10),
                             bool RecoversStore = false)
      : Port(RecoversStore
                 ? makeRecoveringStore(Context.get_executor(), Store.port(),
                                       Decisions, StoreRecoverySettings())
                 : Store.port()),
        Log(startLog(Port)), Payloads(PayloadStore::create(Port, {})) {
    View.Routes = makeRoutes();
    noteAnswer(View.Contact, monotonicNow());
    addServer("e1", Llm);
    addServer("e2", Llm);
    addServer("j1", Judge);
    std::shared_ptr<Quarantine> crashes = Quarantine::create(
        {Context.get_executor(), Store.port(), Decisions, View}, Engines.port(),
        Counts, Quarantine::Settings());
    crashes->start();
    std::shared_ptr<Forwarder> scores =
        Forwarder::create({Context.get_executor(), View, Engines.port(),
                           crashes, Decisions, Counts},
                          Forwarder::Settings());
    Dispatcher::Settings limits;
    limits.MonitorInterval = Millis(10);
    limits.RunStallTimeout = StallTimeout;
    limits.EventTimeout = std::max(limits.EventTimeout, StallTimeout);
    limits.FirstEventTimeout = Millis(120);
    limits.LoadStallTimeout = Millis(3000);
    limits.RetryDelay = Millis(2);
    limits.SwapTimeout = Millis(150);
    limits.SaveInterval = SaveInterval;
    limits.MinSaveEvents = 4;
    limits.StepArrivalTimeout = StepArrivalTimeout;
    Dispatch = Dispatcher::create({Context.get_executor(), View, Log, Payloads,
                                   Port, Engines.port(), scores, crashes,
                                   Decisions, Counts, configurationReader()},
                                  limits);
    Log->onChange(
        [this](const BatchStateChange &Change) { Dispatch->onChange(Change); });
    Dispatch->start();
    Dispatch->activate();
  }

  ConfigurationReader configurationReader() {
    return {[this]() -> std::optional<TimePoint> {
              return ConfigurationAsOf.value_or(monotonicNow());
            },
            [this] { return readConfiguration(); }};
  }
  boost::asio::awaitable<Outcome<Done>> readConfiguration() {
    ++ConfigurationReads;
    co_await pauseFor(Context.get_executor(), Millis(1));
    if (OnConfigurationRead())
      co_return Done{};
    co_return Failure{
        Verdict::NotRun, FailureCode::TimedOut, "store", "no answer", {}};
  }

  void addServer(const std::string &Id, const ServiceName &Service) {
    UpstreamRegistration entry;
    entry.Id = ServerName(Id);
    entry.Service = Service;
    entry.Slots = 4;
    if (Service == Llm)
      entry.Models = {{Model, 1}};
    registerServer(View.Servers, entry);
    Engines.Servers[entry.Id];
  }
  FakeServer &server(const std::string &Id) {
    return Engines.Servers[ServerName(Id)];
  }
  void submit(const BatchJob &Job) {
    Store.append("rollout", encodeRecord(JobPart{Job, 0, 1}));
  }
  /// Returns the results of a job, including stored outputs.
  std::vector<ItemResult> results(const BatchJob &Job) {
    std::shared_ptr<JobState> known = findJob(Log->fold(), Job.Id);
    if (!known)
      return {};
    std::vector<ItemResult> all = known->Results;
    for (ItemResult &it : all) {
      run([&]() -> boost::asio::awaitable<void> {
        Outcome<std::string> text = co_await Payloads->get(it.OutputLocation);
        it.Output += text ? *text : "(text not available)";
      });
    }
    return all;
  }
  bool finishes(const BatchJob &Job) {
    return runUntil([&] {
      std::shared_ptr<JobState> known = findJob(Log->fold(), Job.Id);
      return known && known->Results.size() == Job.Items.size();
    });
  }
};

inline BatchJob scoredJob(const std::string &Id, std::size_t Items) {
  BatchJob job = makeJob(Id, Items);
  for (BatchItem &it : job.Items)
    it.Score =
        ScoreRequest{"score-" + it.Id.Text, "host.example", "/score/x", "body"};
  return job;
}

inline std::string wholeText(const std::string &Item, std::uint64_t Length) {
  std::string text;
  for (std::uint64_t i = 1; i <= Length; ++i)
    text += (i > 1 ? "\n" : "") + Item + ":" + std::to_string(i);
  return text;
}

} // namespace wasabi::batchtest

#endif // WASABI_UNITTESTS_DISPATCH_DISPATCHERFIXTURE_H
