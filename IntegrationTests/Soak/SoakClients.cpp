#include "IntegrationTests/Soak/SoakClients.h"

#include "IntegrationTests/Platform/PlatformFixture.h"
#include "IntegrationTests/Soak/SoakCustomers.h"
#include "Wasabi/Core/AsyncSignal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <sstream>

namespace wasabi::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;
constexpr const char *Host = "host.example";
constexpr const char *Model = "model";

/// Beyond what a client says that it will wait.
constexpr Millis Slack{500};
/// Misses of readiness after which a process gets no new connections.
constexpr int MissesAllowed = 1;

http::Request request(const std::string &Method, const std::string &Target,
                      const std::string &Id) {
  http::Request ask;
  ask.Method = Method;
  ask.Target = Target;
  ask.Headers = {{"Host", Host}, {"Wasabisail-Request-Id", Id}};
  return ask;
}

/// What is wrong with a whole answer of a plain service to `Id`.
std::string findAnswerError(const http::Response &Answer,
                            const std::string &Id) {
  if (Answer.Body != "answer to " + Id)
    return "body: " + Answer.Body;
  if (Answer.header("Wasabisail-Server-Stamp") != "stamp-" + Id)
    return "stamp: " + std::string(Answer.header("Wasabisail-Server-Stamp"));
  return "";
}

/// The data of all events of a stream, joined by line feeds.
std::string dataOf(const std::string &Events) {
  constexpr std::string_view Field = "data: ";
  std::istringstream lines(Events);
  std::string text;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(Field))
      text += (text.empty() ? "" : "\n") + line.substr(Field.size());
  }
  return text;
}

} // namespace

std::string findTextError(const std::string &Text, const std::string &Item,
                          std::uint64_t Length,
                          const std::vector<std::uint64_t> &Versions) {
  std::istringstream lines(Text);
  std::uint64_t count = 0;
  std::vector<std::uint64_t> found;
  for (std::string line; std::getline(lines, line);) {
    ++count;
    std::string start = Item + ":" + std::to_string(count) + ":v";
    if (!line.starts_with(start))
      return "event " + std::to_string(count) + " is '" + line + "'";
    found.push_back(std::stoull(line.substr(start.size())));
  }
  if (count != Length)
    return std::to_string(count) + " events of " + std::to_string(Length);
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  return Versions.empty() || found == Versions ? "" : "other versions made it";
}

SoakClients::SoakClients(Settings Setup, std::vector<EdgeEndpoints> Edges)
    : Lives(Edges.size()), Setup(std::move(Setup)), Edges(std::move(Edges)),
      Random(this->Setup.Seed), MissedReadinessChecks(this->Edges.size(), 0) {
  http::Client::Settings limits;
  limits.ConnectTimeout = Millis(1000);
  Client = http::Client::create(Context.get_executor(), limits);
  for (std::size_t i = 0; i < this->Edges.size(); ++i)
    spawn([this, i] { return watch(i); });
  for (std::size_t i = 0; i < this->Setup.Callers; ++i)
    spawn([this, i] { return call(i); });
  for (std::size_t i = 0; i < this->Setup.Trainers; ++i)
    spawn([this, i] { return train(i); });
  spawn([this] { return probe(); });
  for (std::size_t i = 0; i < this->Setup.Crashing; ++i)
    spawn([this, i] { return crash(i); });
  Thread = std::thread([this] { Context.run(); });
}

SoakClients::~SoakClients() { stop(); }

void SoakClients::spawn(std::function<Task<void>()> Body) {
  asio::co_spawn(Context, std::move(Body), asio::detached);
}

void SoakClients::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

/// Readiness as the platform's balancer asks for it.
SoakClients::Task<void> SoakClients::watch(std::size_t Edge) {
  constexpr Millis Every{250};
  while (!Stopping) {
    Outcome<http::Response> got = co_await Client->call(
        Edges[Edge].Readiness, request("GET", "/api/readiness", ""), Every);
    MissedReadinessChecks[Edge] =
        got && got->Status == Ok ? 0 : MissedReadinessChecks[Edge] + 1;
    co_await pauseFor(Context.get_executor(), Every);
  }
}

std::size_t SoakClients::pickEdge() {
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < Edges.size(); ++i) {
    if (MissedReadinessChecks[i] <= MissesAllowed)
      ready.push_back(i);
  }
  return ready.empty() ? draw(Edges.size()) : ready[draw(ready.size())];
}

/// Any customer's request, now and then by the key that may be gone.
void SoakClients::chooseCustomerKey(ClientRequestRecord &For) {
  if (Setup.Customers == 0)
    return;
  For.CustomerNumber = draw(Setup.Customers);
  For.Customer = customerName(For.CustomerNumber);
  For.UsesRevocableKey = For.Kind != ClientRequestKind::Probe && draw(4) == 0;
}

http::Request SoakClients::makeJobRequest(const JobRecord &Job,
                                          const std::string &Method,
                                          const std::string &Target) {
  http::Request ask = request(Method, Target, Job.Id);
  if (Setup.Customers > 0)
    ask.Headers.push_back({"Wasabisail-Key", permanentKey(Job.CustomerNumber)});
  return ask;
}

//===--- Callers ----------------------------------------------------------===//

SoakClients::Task<void> SoakClients::call(std::size_t Number) {
  constexpr std::uint64_t MostPauseMs = 80;
  std::size_t edge = pickEdge();
  while (!Stopping) {
    std::uint64_t kind = draw(10);
    if (kind < 5)
      co_await ask(ClientRequestKind::Repeatable,
                   "/desk/" + std::to_string(Number), edge, 0);
    else if (kind < 8)
      co_await ask(ClientRequestKind::Once, "/once/" + std::to_string(Number),
                   edge, 0);
    else
      co_await ask(ClientRequestKind::Stream,
                   "/stream/" + std::to_string(Number), edge, 0);
    // A client stays with its connection until that fails it.
    if (Record.Requests.back().Status != Ok ||
        MissedReadinessChecks[edge] > MissesAllowed)
      edge = pickEdge();
    co_await pauseFor(Context.get_executor(), Millis(draw(MostPauseMs)));
  }
}

SoakClients::Task<void> SoakClients::probe() {
  constexpr Millis Every{60};
  for (std::size_t n = 0; !Stopping; ++n) {
    std::uint64_t newest = LatestConfigVersion;
    bool old = newest > 1 && draw(2) == 0;
    std::uint64_t version = old ? newest - 1 : newest;
    co_await ask(ClientRequestKind::Probe,
                 "/desk-" + std::to_string(version) + "/", n % Edges.size(),
                 version);
    co_await pauseFor(Context.get_executor(), Every);
  }
}

SoakClients::Task<void> SoakClients::crash(std::size_t Number) {
  constexpr std::uint64_t LeastPauseMs = 200;
  constexpr std::uint64_t MorePauseMs = 700;
  while (!Stopping) {
    co_await ask(ClientRequestKind::Crashing,
                 CrashPathPrefix + std::to_string(Number), pickEdge(), 0);
    co_await pauseFor(Context.get_executor(),
                      Millis(LeastPauseMs + draw(MorePauseMs)));
  }
}

SoakClients::Task<void> SoakClients::ask(ClientRequestKind Kind,
                                         std::string Path, std::size_t Edge,
                                         std::uint64_t Version) {
  ClientRequestRecord record;
  record.Kind = Kind;
  record.Id = "r" + std::to_string(++Requests);
  record.Version = Version;
  record.Edge = Edge;
  record.Life = Lives[Edge];
  chooseCustomerKey(record);
  http::Request what = request("POST", Path, record.Id);
  bool stream = Kind == ClientRequestKind::Stream;
  Millis patience = stream ? 4 * Setup.Deadline : Setup.Deadline;
  what.Headers.push_back(
      {"Wasabisail-Deadline-Ms", std::to_string(patience.count())});
  what.Headers.push_back({"Wasabisail-Model", Model});
  if (Setup.Customers > 0)
    what.Headers.push_back(
        {"Wasabisail-Key", record.UsesRevocableKey
                               ? revocableKey(record.CustomerNumber)
                               : permanentKey(record.CustomerNumber)});
  what.Body =
      Kind == ClientRequestKind::Crashing ? "body" : "body of " + record.Id;
  record.Sent = monotonicNow();
  std::optional<Outcome<http::Response>> got;
  if (stream)
    got.emplace(
        co_await sendStreamRequest(std::move(what), Edges[Edge].Callers));
  else
    got.emplace(co_await Client->call(Edges[Edge].Callers, std::move(what),
                                      patience + Slack));
  record.Done = monotonicNow();
  if (*got) {
    record.Status = (*got)->Status;
    if (record.Status == Ok && stream)
      record.Error = findTextError(dataOf((*got)->Body), record.Id,
                                   Setup.ExpectedEventCount(record.Id), {});
    else if (record.Status == Ok)
      record.Error = findAnswerError(**got, record.Id);
  } else
    record.CallerTimedOut = got->failure().Code == FailureCode::TimedOut;
  Record.Requests.push_back(std::move(record));
}

SoakClients::Task<Outcome<http::Response>>
SoakClients::sendStreamRequest(http::Request What, Address Where) {
  Millis patience = 4 * Setup.Deadline + Slack;
  Outcome<std::unique_ptr<http::ResponseStream>> got =
      co_await Client->open(Where, std::move(What), patience);
  if (!got)
    co_return got.failure();
  http::Response whole = (*got)->head();
  for (;;) {
    Outcome<std::optional<std::string>> piece = co_await (*got)->next(patience);
    if (!piece)
      co_return piece.failure();
    if (!*piece)
      co_return whole;
    whole.Body += **piece;
  }
}

//===--- Trainers ---------------------------------------------------------===//

SoakClients::Task<void> SoakClients::train(std::size_t Number) {
  for (std::size_t step = 0; !Stopping; ++step) {
    JobRecord job;
    job.Id = "job-" + std::to_string(Number) + "-" + std::to_string(step);
    if (Setup.Customers > 0) {
      job.CustomerNumber = Number % Setup.Customers;
      job.Customer = customerName(job.CustomerNumber);
    }
    for (std::size_t i = 0; i < Setup.ItemsPerJob; ++i)
      job.Items.push_back(job.Id + "-" + std::to_string(i));
    // Weights that were named a moment ago are on their way.
    std::uint64_t named = Named;
    job.MinVersion = named > 1 ? named - 1 : 1;
    std::string body = test::makeJobBody(job.Id, job.Items, job.MinVersion);
    std::size_t index = Record.Jobs.size();
    Record.Jobs.push_back(std::move(job));
    if (!co_await submit(index, std::move(body)))
      continue;
    co_await follow(index);
    co_await end(index);
  }
}

/// Submits until the job is accepted or its step's time is up.
SoakClients::Task<bool> SoakClients::submit(std::size_t Job, std::string Body) {
  constexpr Millis Pause{150};
  TimePoint until = monotonicNow() + Setup.JobTimeout;
  while (monotonicNow() < until) {
    const std::string id = Record.Jobs[Job].Id;
    http::Request ask =
        makeJobRequest(Record.Jobs[Job], "POST", "/rollout/" + id);
    ask.Body = Body;
    Outcome<http::Response> got = co_await Client->call(
        Edges[pickEdge()].Callers, std::move(ask), Setup.Deadline + Slack);
    JobRecord &job = Record.Jobs[Job];
    if (got && got->Status == Accepted) {
      job.Accepted = true;
      job.AcceptedAt = monotonicNow();
      co_return true;
    }
    bool promise = got && got->Status == Unavailable;
    // No connection means that nothing was read.
    bool unsent = !got && got.failure().Run == Verdict::NotRun;
    job.RefusalsGuaranteed = job.RefusalsGuaranteed && (promise || unsent);
    co_await pauseFor(Context.get_executor(), Pause);
  }
  co_return false;
}

SoakClients::Task<void> SoakClients::follow(std::size_t Job) {
  constexpr Millis Pause{120};
  TimePoint until = monotonicNow() + Setup.JobTimeout;
  while (monotonicNow() < until) {
    std::size_t known = Record.Jobs[Job].Seen.size();
    if (known == Record.Jobs[Job].Items.size())
      co_return;
    // Now and then from the start, elsewhere.
    co_await readOnce(Job, draw(3) == 0 ? 0 : known);
    if (Setup.Customers > 1 && draw(4) == 0)
      co_await readAsOtherCustomer(Job);
    co_await pauseFor(Context.get_executor(), Pause);
  }
}

/// Another customer asks for a job and learns nothing.
SoakClients::Task<void> SoakClients::readAsOtherCustomer(std::size_t Job) {
  JobRecord other;
  other.Id = Record.Jobs[Job].Id;
  other.CustomerNumber =
      (Record.Jobs[Job].CustomerNumber + 1) % Setup.Customers;
  http::Request ask =
      makeJobRequest(other, "GET", "/api/lots/" + other.Id + "?after=0");
  Outcome<http::Response> got = co_await Client->call(
      Edges[pickEdge()].Callers, std::move(ask), Setup.Deadline + Slack);
  if (got && got->Status == Ok)
    Record.Jobs[Job].Errors.push_back("another customer could read it");
}

/// Reads a page and holds it against what was read before.
SoakClients::Task<bool> SoakClients::readOnce(std::size_t Job,
                                              std::size_t After) {
  constexpr Millis Wait{300};
  std::string target =
      "/api/lots/" + Record.Jobs[Job].Id + "?after=" + std::to_string(After);
  http::Request ask = makeJobRequest(Record.Jobs[Job], "GET", target);
  ask.Headers.push_back({"Wasabisail-Wait-Ms", std::to_string(Wait.count())});
  TimePoint sent = monotonicNow();
  Outcome<http::Response> got = co_await Client->call(
      Edges[pickEdge()].Callers, std::move(ask), Setup.Deadline + Slack);
  JobRecord &job = Record.Jobs[Job];
  // The platform's own time for all processes to agree.
  constexpr Millis Settle{1000};
  if (got && got->Status == NotFound && sent > job.AcceptedAt + Settle)
    job.Errors.push_back("there is no such job, it says");
  if (!got || got->Status != Ok)
    co_return false;
  json::value page = json::parse(got->Body);
  if (page.at("total").to_number<std::size_t>() != job.Items.size())
    job.Errors.push_back("total is wrong");
  std::size_t position = After;
  for (const json::value &it : page.at("results").as_array()) {
    std::string text = json::serialize(it);
    auto [seen, fresh] = job.Seen.emplace(position, text);
    if (!fresh && seen->second != text)
      job.Errors.push_back("position " + std::to_string(position) + " changed");
    if (fresh) {
      std::string fault = findResultError(job, it);
      if (!fault.empty())
        job.Errors.push_back(fault);
    }
    ++position;
  }
  co_return true;
}

std::string SoakClients::findResultError(const JobRecord &Job,
                                         const json::value &Result) const {
  std::string id = json::value_to<std::string>(Result.at("id"));
  if (std::find(Job.Items.begin(), Job.Items.end(), id) == Job.Items.end())
    return id + " is not an item of the job";
  for (const auto &[position, text] : Job.Seen) {
    bool other = text != json::serialize(Result);
    if (other && json::parse(text).at("id") == Result.at("id"))
      return id + " stands at two positions";
  }
  if (Result.at("state") != "completed")
    return "";
  std::string score = json::value_to<std::string>(Result.at("score"));
  if (score != "stamp-score-" + id)
    return id + " has another score";
  std::vector<std::uint64_t> versions =
      json::value_to<std::vector<std::uint64_t>>(Result.at("versions"));
  if (versions.empty() || versions.front() < Job.MinVersion)
    return id + " is older than allowed";
  std::string fault =
      findTextError(json::value_to<std::string>(Result.at("output")), id,
                    Setup.ExpectedEventCount(id), versions);
  return fault.empty() ? "" : id + ": " + fault;
}

SoakClients::Task<void> SoakClients::end(std::size_t Job) {
  constexpr Millis Pause{150};
  TimePoint until = monotonicNow() + Setup.JobTimeout;
  Record.Jobs[Job].EndRequested = true;
  while (monotonicNow() < until) {
    http::Request ask = makeJobRequest(Record.Jobs[Job], "DELETE",
                                       "/api/lots/" + Record.Jobs[Job].Id);
    Outcome<http::Response> got = co_await Client->call(
        Edges[pickEdge()].Callers, std::move(ask), Setup.Deadline + Slack);
    JobRecord &job = Record.Jobs[Job];
    if (got && got->Status == Ok) {
      job.EndAccepted = true;
      job.EndAcceptedAt = monotonicNow();
      co_return;
    }
    co_await pauseFor(Context.get_executor(), Pause);
  }
}

} // namespace wasabi::soak
