#include "Wasabi/Quarantine/Quarantine.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace wasabi {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Every process should know of an end before the request comes to it: a caller
/// is back after some 10 ms.
constexpr Millis FollowPace{10};

std::string_view toText(CrashStatus Standing) {
  switch (Standing) {
  case CrashStatus::Clean:
    return "clean";
  case CrashStatus::Suspect:
    return "suspect";
  case CrashStatus::Quarantined:
    return "quarantined";
  }
  return "";
}

} // namespace

std::string encodeCrashes(const std::set<ServerIncarnation> &Ends) {
  json::array ends;
  for (const ServerIncarnation &it : Ends)
    ends.push_back({{"server", it.Server.Text}, {"start", it.Start}});
  return json::serialize(json::object{{"ends", std::move(ends)}});
}

Result<std::set<ServerIncarnation>> decodeCrashes(std::string_view Text,
                                                  const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader root(value, Place);
  root.allowUnknown();
  std::set<ServerIncarnation> ends;
  for (JsonReader &it : root.objects("ends", true)) {
    it.allowUnknown();
    ends.insert({ServerName(it.text("server")), it.number("start")});
    root.mergeError(it);
  }
  BOOST_LEAF_CHECK(root.finish());
  return ends;
}

Quarantine::Quarantine(const FeedContext &Feed, EnginePort Engines,
                       Metrics &Counts, Settings Limits)
    : Limits(Limits), Feed(Feed), Engines(std::move(Engines)), Counts(Counts),
      Ledger{Limits.Ledger, {}}, WriteWake(Feed.Executor) {}

std::shared_ptr<Quarantine> Quarantine::create(const FeedContext &Feed,
                                               EnginePort Engines,
                                               Metrics &Counts,
                                               Settings Limits) {
  return std::shared_ptr<Quarantine>(
      new Quarantine(Feed, std::move(Engines), Counts, Limits));
}

void Quarantine::start() {
  std::weak_ptr<Quarantine> weak = weak_from_this();
  Follower = startFeed(Feed, CrashTopic, FollowPace,
                       [weak](const KeyedRecord &Record) -> Result<void> {
                         std::shared_ptr<Quarantine> self = weak.lock();
                         if (!self)
                           return {};
                         return self->take(Record);
                       });
  asio::co_spawn(
      Feed.Executor,
      [self = shared_from_this()] { return self->publishLoop(); },
      asio::detached);
  asio::co_spawn(
      Feed.Executor, [self = shared_from_this()] { return self->sweepLoop(); },
      asio::detached);
}

CrashStatus Quarantine::crashStatus(const RequestDigest &Of) const {
  return findCrashStatus(Ledger, Of, monotonicNow());
}

Failure Quarantine::refuse(const RequestDigest &Of) const {
  return Failure{Verdict::NotRun, FailureCode::Quarantined, Of.Text,
                 "servers have ended under this request",
                 remainingQuarantine(Ledger, Of, monotonicNow())};
}

//===--- Ends and answers -------------------------------------------------===//

asio::awaitable<Done>
Quarantine::onConnectionLost(std::shared_ptr<GuardedRequest> Of,
                             std::shared_ptr<UpstreamServer> On) {
  std::shared_ptr<Quarantine> self = shared_from_this();
  // A server whose address nobody listens at has ended; one that takes
  // connections has lost this one only, or is back already.
  Outcome<ServerProbeResult> found =
      co_await Engines.Probe(On->Entry, Limits.ProbeTime);
  bool refused = found && *found == ServerProbeResult::RefusesConnections;
  if (refused && !Of->Answered)
    noteEnd(*Of, On->Entry.incarnation());
  else if (!refused)
    asio::co_spawn(
        Feed.Executor, [self, Of, On] { return self->watch(Of, On); },
        asio::detached);
  co_return Done{};
}

asio::awaitable<void> Quarantine::watch(std::shared_ptr<GuardedRequest> Of,
                                        std::shared_ptr<UpstreamServer> On) {
  TimePoint until = monotonicNow() + Limits.CrashWatchTimeout;
  while (monotonicNow() < until && !Of->Answered) {
    if (On->Replaced || On->UnregisteredAt) {
      noteEnd(*Of, On->Entry.incarnation());
      co_return;
    }
    co_await pauseFor(Feed.Executor, Limits.CrashWatchInterval);
  }
}

void Quarantine::noteEnd(const GuardedRequest &Of,
                         const ServerIncarnation &Ended) {
  CrashStatus before = crashStatus(Of.Digest);
  Seen[Of.Digest].insert(Ended);
  recordCrashes(Ledger, Of.Digest, {Ended}, monotonicNow());
  Feed.Decisions->line(
      "request.server_ended",
      {{"request", Of.Id},
       {"digest", Of.Digest.Text},
       {"server", Ended.Server.Text},
       {"start", std::to_string(Ended.Start)},
       {"ends", std::to_string(Ledger.Requests[Of.Digest].Ends.size())},
       {"standing", std::string(toText(crashStatus(Of.Digest)))}});
  Counts.counter("server_ends_total", "Ends of servers under a request").add();
  logStatusChange(Of.Digest, before);
  Unwritten.insert(Of.Digest);
  WriteWake.notify();
}

void Quarantine::answered(GuardedRequest &Of) {
  Of.Answered = true;
  Seen.erase(Of.Digest);
  CrashStatus before = crashStatus(Of.Digest);
  if (!clearCrashes(Ledger, Of.Digest))
    return;
  logStatusChange(Of.Digest, before);
  Unwritten.insert(Of.Digest);
  WriteWake.notify();
}

void Quarantine::logStatusChange(const RequestDigest &Of,
                                 CrashStatus Before) const {
  CrashStatus now = crashStatus(Of);
  if (now != Before)
    Feed.Decisions->line("request.standing",
                         {{"digest", Of.Text},
                          {"before", std::string(toText(Before))},
                          {"now", std::string(toText(now))}});
}

//===--- Suspects at servers ----------------------------------------------===//

std::set<ServerIncarnation> Quarantine::suspectServers() const {
  std::set<ServerIncarnation> found;
  for (const auto &[server, count] : Suspects)
    found.insert(server);
  return found;
}

Quarantine::SuspectRun::SuspectRun(std::shared_ptr<Quarantine> In,
                                   ServerIncarnation At)
    : In(std::move(In)), At(std::move(At)) {
  ++this->In->Suspects[this->At];
}

Quarantine::SuspectRun::~SuspectRun() {
  auto it = In->Suspects.find(At);
  if (--it->second == 0)
    In->Suspects.erase(it);
}

std::unique_ptr<Quarantine::SuspectRun>
Quarantine::trackSuspectRun(const RequestDigest &Of,
                            const ServerIncarnation &At) {
  if (crashStatus(Of) == CrashStatus::Clean)
    return nullptr;
  return std::make_unique<SuspectRun>(shared_from_this(), At);
}

//===--- The topic --------------------------------------------------------===//

Result<void> Quarantine::take(const KeyedRecord &Record) {
  RequestDigest digest(Record.Key);
  CrashStatus before = crashStatus(digest);
  if (!Record.Value) {
    Seen.erase(digest);
    clearCrashes(Ledger, digest);
    logStatusChange(digest, before);
    return {};
  }
  BOOST_LEAF_AUTO(ends, decodeCrashes(*Record.Value, Record.Key));
  recordCrashes(Ledger, digest, ends, monotonicNow());
  logStatusChange(digest, before);
  // Two processes that write at once overwrite each other.
  auto seen = Seen.find(digest);
  if (seen != Seen.end() &&
      !std::includes(ends.begin(), ends.end(), seen->second.begin(),
                     seen->second.end())) {
    Unwritten.insert(digest);
    WriteWake.notify();
  }
  return {};
}

/// Writes what the store lacks, one record after the other; while the store is
/// away it waits here.
asio::awaitable<void> Quarantine::publishLoop() {
  constexpr Millis Idle{10000};
  for (;;) {
    if (Unwritten.empty()) {
      co_await WriteWake.wait(monotonicNow() + Idle);
      continue;
    }
    RequestDigest digest = *Unwritten.begin();
    Unwritten.erase(Unwritten.begin());
    auto known = Ledger.Requests.find(digest);
    // A key without a value is dropped.
    std::string text = known == Ledger.Requests.end()
                           ? std::string()
                           : encodeCrashes(known->second.Ends);
    Outcome<Offset> got = co_await Feed.Store.AppendKeyed(
        CrashTopic, digest.Text, std::move(text), Limits.AppendTimeout);
    if (got) {
      Follower->recordWritten(digest.Text, *got);
      continue;
    }
    Feed.Decisions->line(
        "request.ends_unwritten",
        {{"digest", digest.Text}, {"reason", describe(got.failure())}});
    Unwritten.insert(digest);
    co_await pauseFor(Feed.Executor, Limits.RetryDelay);
  }
}

asio::awaitable<void> Quarantine::sweepLoop() {
  for (;;) {
    co_await pauseFor(Feed.Executor, Limits.SweepInterval);
    for (const RequestDigest &it : evictOld(Ledger, monotonicNow())) {
      Seen.erase(it);
      Unwritten.insert(it);
    }
    WriteWake.notify();
  }
}

} // namespace wasabi
