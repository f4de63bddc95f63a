#include "Wasabi/Rollout/RolloutService.h"

#include "Wasabi/Adapters/Platform/HttpScorer.h"
#include "Wasabi/Adapters/Platform/HttpWeightStore.h"
#include "Wasabi/Adapters/PlatformLog/HttpLog.h"
#include "Wasabi/Core/Published.h"
#include "Wasabi/Rollout/RolloutContext.h"
#include "Wasabi/Rollout/TrainerOwner.h"
#include "Wasabi/Weights/WeightsOwner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <set>
#include <thread>

namespace wasabi {

namespace {

constexpr Millis SuperviseInterval{50};
/// Time limit for the work in flight at shutdown.
constexpr Millis ShutdownTimeout{5000};

std::string trainerResource(const TrainerName &Trainer) {
  return "trainer/" + Trainer.Text;
}

RolloutContext makeContext(const RolloutService::Settings &Setup,
                           ControlPlane &Control, Timeline &Events,
                           const boost::asio::any_io_executor &Executor) {
  std::shared_ptr<http::Client> client =
      http::Client::create(Executor, http::Client::Settings());
  RequestClient::Settings clientSetup;
  clientSetup.Instance = Setup.Instance;
  clientSetup.Domain = Setup.Domain;
  clientSetup.Life = Setup.Life;
  clientSetup.Seed = Setup.Seed;
  return RolloutContext{Setup,
                        Control,
                        Events,
                        Executor,
                        std::make_shared<GuardedExecutor>(Executor),
                        client,
                        RequestClient::create(Executor, std::move(clientSetup)),
                        makeHttpLog(client, Setup.Log),
                        makeHttpScorer(client, Setup.Scorer),
                        makeHttpWeightStore(client, Setup.Weights),
                        {},
                        1};
}

class RolloutServiceImpl : public RolloutService {
public:
  RolloutServiceImpl(const Settings &Setup, ControlPlane &Control,
                     Timeline &Events)
      : Work(boost::asio::make_work_guard(Loop)),
        Context(makeContext(Setup, Control, Events, Loop.get_executor())) {
    Context.Requests->onLoad(
        [this](const Address &, const std::vector<ReportedLoad> &loads, bool) {
          for (const ReportedLoad &it : loads)
            Context.Loads.update(it, monotonicNow());
        });
    boost::asio::co_spawn(Loop, superviseLoop(), boost::asio::detached);
    Thread = std::thread([this] { Loop.run(); });
  }
  RolloutServiceImpl(const RolloutServiceImpl &) = delete;
  RolloutServiceImpl &operator=(const RolloutServiceImpl &) = delete;

  ~RolloutServiceImpl() override {
    // Callbacks of the control plane may still arrive.
    Context.Gate->close();
    Loop.stop();
    Thread.join();
    // Sockets must be destroyed before their event loop.
    for (auto &it : Trainers)
      it.second->stop();
    Trainers.clear();
    Models.clear();
    Context.Requests->stop();
    Context.Requests.reset();
    Context.Log = LogPort();
    Context.Scorer = ScorerPort();
    Context.Weights = WeightStorePort();
    Context.Http.reset();
  }

  void shutDown(std::function<void()> Callback) override {
    boost::asio::post(Loop, [this, callback = std::move(Callback)] {
      boost::asio::co_spawn(Loop, shutDownLoop(callback),
                            boost::asio::detached);
    });
  }

  std::string statusJson() const override { return *Status.get(); }

private:
  boost::asio::awaitable<void> superviseLoop() {
    while (true) {
      if (!ShuttingDown && Context.Control.ready())
        updateClaims();
      superviseTrainers();
      superviseModels();
      publishStatus();
      co_await pause(SuperviseInterval);
    }
  }

  /// Requests the claims of all declared trainers and models, and withdraws the
  /// others.
  void updateClaims() {
    std::shared_ptr<const Configuration> config =
        Context.Control.state()->Config;
    std::set<std::string> wanted;
    for (const auto &it : config->Trainers)
      wanted.insert(trainerResource(it.first));
    for (const auto &it : config->Services) {
      if (it.second.Kind == ServiceKind::Engines && !it.second.Model.empty())
        wanted.insert(weightsResource(it.second.Model));
    }
    for (const std::string &it : wanted) {
      if (!WantedClaims.contains(it))
        Context.Control.requestClaim(it);
    }
    for (const std::string &it : WantedClaims) {
      if (!wanted.contains(it))
        Context.Control.withdrawClaim(it);
    }
    WantedClaims = std::move(wanted);
  }

  void superviseTrainers() {
    std::erase_if(Trainers, [this](const auto &it) {
      if (it.second->ownsClaim() && !it.second->isStopped())
        return false;
      if (it.second->isStopped())
        AbandonedTokens.insert(it.second->fence());
      it.second->stop();
      return true;
    });
    std::shared_ptr<const Configuration> config =
        Context.Control.state()->Config;
    for (const auto &it : config->Trainers) {
      std::optional<HeldClaim> held =
          Context.Control.held(trainerResource(it.first));
      if (!held || ShuttingDown || Trainers.contains(it.first) ||
          AbandonedTokens.contains(held->Token))
        continue;
      TrainerOwner::Settings setup;
      setup.Trainer = it.first;
      setup.Fence = held->Token;
      std::shared_ptr<TrainerOwner> owner =
          TrainerOwner::create(Context, std::move(setup));
      Trainers.emplace(it.first, owner);
      owner->start();
    }
  }

  void superviseModels() {
    std::erase_if(Models, [this](const auto &it) {
      if (it.second->ownsClaim() && !ShuttingDown)
        return false;
      it.second->stop();
      return true;
    });
    std::shared_ptr<const Configuration> config =
        Context.Control.state()->Config;
    for (const auto &it : config->Services) {
      const ModelName &model = it.second.Model;
      if (model.empty() || ShuttingDown || Models.contains(model))
        continue;
      std::optional<HeldClaim> held =
          Context.Control.held(weightsResource(model));
      if (!held)
        continue;
      WeightsOwner::Settings setup;
      setup.Model = model;
      setup.Fence = held->Token;
      std::shared_ptr<WeightsOwner> owner =
          WeightsOwner::create(Context, std::move(setup));
      Models.emplace(model, owner);
      owner->start();
    }
  }

  void publishStatus() {
    std::string text = "{\"trainers\":[";
    for (const auto &it : Trainers)
      text += (text.back() == '[' ? "" : ",") + it.second->statusJson();
    text += "],\"weights\":[";
    for (const auto &it : Models)
      text += (text.back() == '[' ? "" : ",") + it.second->statusJson();
    Status.set(text + "]}");
  }

  bool allIdle() const {
    for (const auto &it : Trainers) {
      if (!it.second->isIdle())
        return false;
    }
    return true;
  }

  boost::asio::awaitable<void> shutDownLoop(std::function<void()> Callback) {
    ShuttingDown = true;
    for (auto &it : Trainers)
      it.second->drain();
    TimePoint deadline = monotonicNow() + ShutdownTimeout;
    while (!allIdle() && monotonicNow() < deadline)
      co_await pause(SuperviseInterval);
    for (auto &it : Trainers)
      it.second->stop();
    for (const std::string &it : WantedClaims)
      Context.Control.withdrawClaim(it);
    WantedClaims.clear();
    Callback();
  }

  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  RolloutContext Context;
  std::map<TrainerName, std::shared_ptr<TrainerOwner>> Trainers;
  std::map<ModelName, std::shared_ptr<WeightsOwner>> Models;
  /// Tokens of claims whose owner stopped because its trainer has seen a
  /// greater token. They get no new owner.
  std::set<FencingToken> AbandonedTokens;
  std::set<std::string> WantedClaims;
  bool ShuttingDown = false;
  Published<std::string> Status{std::string("{}")};
  std::thread Thread;
};

} // namespace

Result<std::unique_ptr<RolloutService>>
RolloutService::create(const Settings &Setup, ControlPlane &Control,
                       Timeline &Events) {
  if (Setup.Log.empty() || Setup.Weights.empty() || Setup.Scorer.empty())
    return badInput("rollout settings", "the addresses of the log, the weight "
                                        "store and the scorer are required");
  return std::unique_ptr<RolloutService>(
      std::make_unique<RolloutServiceImpl>(Setup, Control, Events));
}

} // namespace wasabi
