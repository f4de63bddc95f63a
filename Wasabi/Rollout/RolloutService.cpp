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

constexpr Millis SupervisePeriod{50};
/// How long a leaving owner waits for what it has at hand.
constexpr Millis LeavePatience{5000};

std::string trainerResource(const TrainerName &Trainer) {
  return "trainer/" + Trainer.Text;
}

RolloutContext makeContext(const RolloutService::Settings &Setup,
                           ControlPlane &Control, Timeline &Events,
                           const boost::asio::any_io_executor &Executor) {
  std::shared_ptr<http::Client> client =
      http::Client::create(Executor, http::Client::Settings());
  RequestClient::Settings asking;
  asking.Instance = Setup.Instance;
  asking.Domain = Setup.Domain;
  asking.Life = Setup.Life;
  asking.Seed = Setup.Seed;
  return RolloutContext{Setup,
                        Control,
                        Events,
                        Executor,
                        std::make_shared<GuardedExecutor>(Executor),
                        client,
                        RequestClient::create(Executor, std::move(asking)),
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
            Context.Loads.take(it, monotonicNow());
        });
    boost::asio::co_spawn(Loop, supervise(), boost::asio::detached);
    Thread = std::thread([this] { Loop.run(); });
  }
  RolloutServiceImpl(const RolloutServiceImpl &) = delete;
  RolloutServiceImpl &operator=(const RolloutServiceImpl &) = delete;

  ~RolloutServiceImpl() override {
    // Answers of the control plane may still be on their way.
    Context.Gate->close();
    Loop.stop();
    Thread.join();
    // Sockets go before the loop that serves them.
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
      boost::asio::co_spawn(Loop, leaveNow(callback), boost::asio::detached);
    });
  }

  std::string statusJson() const override { return *Status.get(); }

private:
  boost::asio::awaitable<void> supervise() {
    while (true) {
      if (!Leaving && Context.Control.ready())
        followConfiguration();
      superviseTrainers();
      superviseModels();
      publishStatus();
      co_await pause(SupervisePeriod);
    }
  }

  /// Wants the claims of all that is declared, and no others.
  void followConfiguration() {
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
      if (!Wanted.contains(it))
        Context.Control.requestClaim(it);
    }
    for (const std::string &it : Wanted) {
      if (!wanted.contains(it))
        Context.Control.withdrawClaim(it);
    }
    Wanted = std::move(wanted);
  }

  void superviseTrainers() {
    std::erase_if(Trainers, [this](const auto &it) {
      if (it.second->ownsClaim() && !it.second->isStopped())
        return false;
      if (it.second->isStopped())
        Abandoned.insert(it.second->fence());
      it.second->stop();
      return true;
    });
    std::shared_ptr<const Configuration> config =
        Context.Control.state()->Config;
    for (const auto &it : config->Trainers) {
      std::optional<HeldClaim> held =
          Context.Control.held(trainerResource(it.first));
      if (!held || Leaving || Trainers.contains(it.first) ||
          Abandoned.contains(held->Token))
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
      if (it.second->ownsClaim() && !Leaving)
        return false;
      it.second->stop();
      return true;
    });
    std::shared_ptr<const Configuration> config =
        Context.Control.state()->Config;
    for (const auto &it : config->Services) {
      const ModelName &model = it.second.Model;
      if (model.empty() || Leaving || Models.contains(model))
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

  boost::asio::awaitable<void> leaveNow(std::function<void()> Callback) {
    Leaving = true;
    for (auto &it : Trainers)
      it.second->drain();
    TimePoint until = monotonicNow() + LeavePatience;
    while (!allIdle() && monotonicNow() < until)
      co_await pause(SupervisePeriod);
    for (auto &it : Trainers)
      it.second->stop();
    for (const std::string &it : Wanted)
      Context.Control.withdrawClaim(it);
    Wanted.clear();
    Callback();
  }

  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  RolloutContext Context;
  std::map<TrainerName, std::shared_ptr<TrainerOwner>> Trainers;
  std::map<ModelName, std::shared_ptr<WeightsOwner>> Models;
  /// Claims whose trainer has seen a greater token: not to be taken up again.
  std::set<FencingToken> Abandoned;
  std::set<std::string> Wanted;
  bool Leaving = false;
  Published<std::string> Status{std::string("{}")};
  std::thread Thread;
};

} // namespace

Result<std::unique_ptr<RolloutService>>
RolloutService::create(const Settings &Setup, ControlPlane &Control,
                       Timeline &Events) {
  if (Setup.Log.empty() || Setup.Weights.empty() || Setup.Scorer.empty())
    return badInput("rollout settings",
                    "the log, the weight store and the scorer are needed");
  return std::unique_ptr<RolloutService>(
      std::make_unique<RolloutServiceImpl>(Setup, Control, Events));
}

} // namespace wasabi
