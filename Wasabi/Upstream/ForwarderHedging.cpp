#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Upstream/ForwardProgress.h"
#include "Wasabi/Upstream/ServerSelection.h"

#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace wasabi {

namespace asio = boost::asio;

/// Shared with the coroutines of the attempts, which may outlive the request
/// once they are cancelled. Only `tryHedged` accesses the state of the request.
struct Forwarder::AttemptRace {
  explicit AttemptRace(asio::any_io_executor Executor)
      : Executor(Executor), Changed(std::move(Executor)) {}

  const asio::any_io_executor Executor;
  /// Notified when an attempt has changed its stage or the caller has
  /// disconnected.
  AsyncSignal Changed;
  /// Attempts that are not over, in the order of their starts; at most two.
  std::vector<std::shared_ptr<Attempt>> Attempts;
  bool CallerLeft = false;
  /// Number of hedges that were started.
  std::uint32_t Hedges = 0;
  /// True if a hedge was suppressed for lack of budget.
  bool IsSuppressed = false;
  /// The attempt that was answered; null if there is none.
  std::shared_ptr<Attempt> Winner;

  /// Returns true if the result of an attempt has not been recorded yet, so
  /// that a server may still run or have run it.
  bool hasOpenAttempts() const {
    return std::any_of(Attempts.begin(), Attempts.end(),
                       [](const std::shared_ptr<Attempt> &Each) {
                         return Each->Current == Attempt::Stage::Calling ||
                                Each->Current == Attempt::Stage::Returned;
                       });
  }

  /// Waits for the end of the call of an attempt.
  static asio::awaitable<void>
  awaitCall(std::shared_ptr<AttemptRace> Race, std::shared_ptr<Attempt> Called,
            asio::awaitable<Outcome<UpstreamResponse>> Call);
  /// Waits until the lost connection of an attempt is examined.
  static asio::awaitable<void>
  awaitExamination(std::shared_ptr<AttemptRace> Race,
                   std::shared_ptr<Attempt> Lost,
                   asio::awaitable<Done> Examination);
};

asio::awaitable<void> Forwarder::AttemptRace::awaitCall(
    std::shared_ptr<AttemptRace> Race, std::shared_ptr<Attempt> Called,
    asio::awaitable<Outcome<UpstreamResponse>> Call) {
  // A signal that is emitted before the call is bound to it has no effect.
  if (Called->Current == Attempt::Stage::Cancelled)
    co_return;
  std::optional<Outcome<UpstreamResponse>> got =
      co_await cancellable(Race->Executor, std::move(Call), Called->Stop);
  if (Called->Current == Attempt::Stage::Cancelled)
    co_return;
  if (!got)
    got = Failure{Verdict::MayHaveRun,
                  FailureCode::Internal,
                  Called->Server->Entry.Id.Text,
                  "the call ended without a result",
                  {}};
  Called->Got = std::move(got);
  Called->Current = Attempt::Stage::Returned;
  Race->Changed.notify();
}

asio::awaitable<void>
Forwarder::AttemptRace::awaitExamination(std::shared_ptr<AttemptRace> Race,
                                         std::shared_ptr<Attempt> Lost,
                                         asio::awaitable<Done> Examination) {
  if (Lost->Current == Attempt::Stage::Cancelled)
    co_return;
  co_await cancellable(Race->Executor, std::move(Examination), Lost->Stop);
  if (Lost->Current == Attempt::Stage::Cancelled)
    co_return;
  Lost->Current = Attempt::Stage::Ended;
  Race->Changed.notify();
}

void Forwarder::startCall(const Progress &State,
                          const std::shared_ptr<AttemptRace> &Race,
                          const std::shared_ptr<Attempt> &Started,
                          Millis Timeout) const {
  Race->Attempts.push_back(Started);
  asio::co_spawn(Executor,
                 AttemptRace::awaitCall(Race, Started,
                                        callServer(State, *Started, Timeout)),
                 asio::detached);
}

/// Returns the best server for a second attempt: one that is not suspect, has a
/// free slot and is expected to answer before `First`. Returns null if there is
/// none.
std::shared_ptr<UpstreamServer>
Forwarder::selectHedgeServer(const Progress &State, const Attempt &First,
                             TimePoint Now) {
  ServerQuery query;
  query.Service = State.Service;
  query.PreferredDomain = View.Domain;
  query.Others = Loads ? Loads->findLoad(State.Service) : nullptr;
  query.Excluded = CrashQuarantine->suspectServers();
  query.Excluded.insert(State.TriedServers.begin(), State.TriedServers.end());
  query.Excluded.insert(First.Server->Entry.incarnation());
  for (const std::shared_ptr<UpstreamServer> &it :
       findUsableServers(View.Servers, State.Service, View.Contact, Now))
    if (it->SuspectUntil > Now || it->Outage || it->InFlight >= it->Entry.Slots)
      query.Excluded.insert(it->Entry.incarnation());
  std::shared_ptr<UpstreamServer> server =
      chooseServer(View.Servers, View.Contact, query, Now, Random);
  if (!server)
    return nullptr;
  HedgeCandidate candidate;
  candidate.AgeMs = First.ageMs();
  // The server as it is without the attempt, whose completion is estimated.
  UpstreamServer firstServer = *First.Server;
  endAttempt(firstServer, First.Start);
  candidate.FirstExpectedMs =
      expectedCompletionMs(View.Servers, firstServer, query.Others, Now);
  candidate.SecondExpectedMs =
      expectedCompletionMs(View.Servers, *server, query.Others, Now);
  candidate.RemainingMs = static_cast<double>(State.remainingTime().count());
  return isHedgeUseful(candidate) ? server : nullptr;
}

/// Starts a second attempt if the limits of the request, another server and the
/// budget allow it. Precondition: one attempt is in flight.
void Forwarder::startHedge(Progress &State,
                           const std::shared_ptr<AttemptRace> &Race) {
  const Attempt &first = *Race->Attempts.front();
  std::uint32_t runs = State.PossibleRuns + 1;
  if (!mayHedge(State.Route, runs,
                CrashQuarantine->crashStatus(State.Guard->Digest)) ||
      CrashQuarantine->hasUnresolvedLosses(State.Guard->Digest) ||
      !State.canAttempt(Limits))
    return;
  std::shared_ptr<UpstreamServer> server =
      selectHedgeServer(State, first, monotonicNow());
  if (!server)
    return;
  if (!canSpend(Hedges.Budget)) {
    if (!Race->IsSuppressed)
      Counts
          .counter("hedges_suppressed_total",
                   "Hedges not started for lack of budget")
          .add();
    Race->IsSuppressed = true;
    return;
  }
  Hedges.Budget = spend(Hedges.Budget);
  ++Race->Hedges;
  Counts.counter("hedges_started_total", "Second attempts of slow requests")
      .add();
  Decisions->line("request.hedge",
                  {{"request", State.Request.Id},
                   {"route", State.Route.Name},
                   {"server", first.Server->Entry.Id.Text},
                   {"second", server->Entry.Id.Text},
                   {"after_ms", fmt::format("{:.1f}", first.ageMs())}});
  std::shared_ptr<Attempt> second = beginAttempt(State, std::move(server));
  second->IsHedge = true;
  bool isLastAttempt = runs + 1 >= State.Route.MaxAttempts;
  startCall(State, Race, second,
            isLastAttempt ? State.remainingTime() : attemptTimeout(State));
}

/// Records the results of the attempts that have ended. Returns true if one of
/// them is the answer.
bool Forwarder::collectEnded(Progress &State,
                             const std::shared_ptr<AttemptRace> &Race,
                             AttemptResult &Result) {
  std::vector<std::shared_ptr<Attempt>> attempts = Race->Attempts;
  for (const std::shared_ptr<Attempt> &it : attempts) {
    if (it->Current == Attempt::Stage::Returned) {
      it->release();
      it->Current = Attempt::Stage::Ended;
      recordAttempt(State, *it, /*IsLastInFlight=*/!Race->hasOpenAttempts());
      bool isLost = !*it->Got && it->Got->failure().Run != Verdict::NotRun &&
                    it->Got->failure().Code == FailureCode::ConnectionLost;
      if (isLost && State.Request.IsDeferredWork)
        noteConnectionLost(*it->Server, monotonicNow());
      else if (isLost) {
        it->Current = Attempt::Stage::Examining;
        asio::co_spawn(Executor,
                       AttemptRace::awaitExamination(
                           Race, it,
                           CrashQuarantine->onConnectionLost(
                               State.Guard, it->Server, it->Start)),
                       asio::detached);
      }
    }
    if (it->Current != Attempt::Stage::Ended)
      continue;
    std::erase(Race->Attempts, it);
    if (!Race->Winner && mergeAttempt(State, *it, Result))
      Race->Winner = it;
  }
  // A crash may have made the request suspect while it runs elsewhere.
  for (const std::shared_ptr<Attempt> &it : Race->Attempts)
    if (it->Current == Attempt::Stage::Calling && !it->Suspect &&
        !State.Request.IsDeferredWork)
      it->Suspect = CrashQuarantine->trackSuspectRun(
          State.Guard->Digest, it->Server->Entry.incarnation());
  return Race->Winner != nullptr;
}

/// Cancels the attempts that are not over. After an answer, those that were in
/// flight count as runs, and their ages as latencies.
void Forwarder::cancelAttempts(Progress &State, AttemptRace &Race) {
  for (const std::shared_ptr<Attempt> &it : Race.Attempts) {
    bool isExamined = it->Current == Attempt::Stage::Examining;
    it->Current = Attempt::Stage::Cancelled;
    it->Stop.emit(asio::cancellation_type::terminal);
    if (isExamined)
      continue;
    it->release();
    recordUnanswered(View.Servers, *it->Server, it->ageMs(), monotonicNow());
    if (!Race.Winner)
      continue;
    ++State.PossibleRuns;
    addLatency(Hedges, State.Route.Name, State.Service, it->ageMs());
  }
  Race.Attempts.clear();
}

void Forwarder::recordHedgeEnd(const Progress &State, const AttemptRace &Race) {
  if (Race.Hedges == 0)
    return;
  bool won = Race.Winner && Race.Winner->IsHedge;
  if (won)
    Counts.counter("hedges_won_total", "Hedges that gave the answer").add();
  std::string_view result = "unanswered";
  if (Race.CallerLeft)
    result = "caller_left";
  else if (Race.Winner)
    result = won ? "won" : "lost";
  Decisions->line(
      "request.hedge_end",
      {{"request", State.Request.Id},
       {"result", std::string(result)},
       {"server", Race.Winner ? Race.Winner->Server->Entry.Id.Text : ""}});
}

/// Sends the request to `State.Server`, and to a second server as well if no
/// answer arrives within the hedge delay. The first answer that is no server
/// error ends the other attempt. Returns as `tryOnce`.
asio::awaitable<bool> Forwarder::tryHedged(Progress &State,
                                           AttemptResult &Result,
                                           asio::cancellation_signal &Stop) {
  std::shared_ptr<AttemptRace> race = std::make_shared<AttemptRace>(Executor);
  Stop.slot().assign([race](asio::cancellation_type) {
    race->CallerLeft = true;
    race->Changed.notify();
  });
  Micros delay = hedgeDelay(Hedges, State.Route, State.Service);
  if (State.IsTrial)
    delay = std::min(delay, trialHedgeDelay(typicalLatencyMs(
                                View.Servers, State.Service, nullptr)));
  startCall(State, race, beginAttempt(State, State.Server),
            attemptTimeout(State));
  TimePoint nextCheck = race->Attempts.front()->Start + delay;
  while (!collectEnded(State, race, Result) && !race->CallerLeft &&
         !race->Attempts.empty()) {
    const Attempt &first = *race->Attempts.front();
    bool isSingleCall =
        race->Attempts.size() == 1 && first.Current == Attempt::Stage::Calling;
    nextCheck = std::max(nextCheck, first.Start + delay);
    TimePoint now = monotonicNow();
    if (isSingleCall && now >= nextCheck) {
      // The next check is due at twice the age, which bounds their number.
      nextCheck = now + (now - first.Start);
      startHedge(State, race);
      isSingleCall = race->Attempts.size() == 1;
    }
    if (isSingleCall)
      co_await race->Changed.wait(nextCheck);
    else
      co_await race->Changed.wait();
  }
  Stop.slot().clear();
  Result.CallerLeft = race->CallerLeft && !race->Winner;
  cancelAttempts(State, *race);
  recordHedgeEnd(State, *race);
  co_return Result.CallerLeft || race->Winner;
}

} // namespace wasabi
