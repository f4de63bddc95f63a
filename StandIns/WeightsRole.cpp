#include "StandIns/WeightsRole.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace wasabi::standins {

namespace {

/// Interval at which the shared bandwidth is distributed.
constexpr Millis Tick{5};
constexpr std::size_t MaxFetchRecords = 100000;

struct Fetch {
  std::string Model;
  std::uint64_t Version = 0;
  std::uint64_t StartedUs = 0;
  std::uint64_t EndedUs = 0;
  bool Whole = false;
  double BytesLeft = 0;
};

struct Model {
  std::uint64_t Newest = 0;
  std::uint64_t PublishedUs = 0;
};

struct Publication {
  std::string Model;
  std::uint64_t Version = 0;
  std::uint64_t AtUs = 0;
};

/// The components of "/v1/models/NAME/versions[/V/blob]".
struct VersionPath {
  std::string Model;
  /// Empty if the path names the list of versions.
  std::string Version;
  bool Valid = false;
};

VersionPath parsePath(std::string_view Path) {
  constexpr std::string_view Before = "/v1/models/";
  constexpr std::string_view Middle = "/versions";
  constexpr std::string_view After = "/blob";
  VersionPath found;
  std::size_t middle = Path.rfind(Middle);
  if (!Path.starts_with(Before) || middle == std::string_view::npos ||
      middle <= Before.size())
    return found;
  found.Model = std::string(Path.substr(Before.size(), middle - Before.size()));
  std::string_view rest = Path.substr(middle + Middle.size());
  found.Valid = rest.empty();
  if (rest.starts_with('/') && rest.ends_with(After) &&
      rest.size() > After.size() + 1) {
    found.Version = std::string(rest.substr(1, rest.size() - After.size() - 1));
    found.Valid = true;
  }
  return found;
}

class WeightsRole final : public Role,
                          public std::enable_shared_from_this<WeightsRole> {
public:
  WeightsRole(const boost::asio::any_io_executor &Executor,
              const WeightsSettings &Settings)
      : Role({{"outage", false}, {"slow_ms", 0}, {"slow_factor", 1.0}}),
        Executor(Executor), Settings(Settings), Changed(Executor),
        Progress(Executor) {}

  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;

private:
  boost::asio::awaitable<void> publish(const std::string &Name,
                                       const http::Request &Ask,
                                       const ResponderPtr &To);
  boost::asio::awaitable<void> list(const std::string &Name,
                                    const http::Request &Ask,
                                    const ResponderPtr &To);
  boost::asio::awaitable<void> fetch(const VersionPath &Requested,
                                     const ResponderPtr &To);
  boost::asio::awaitable<void> serveFetches();

  const boost::asio::any_io_executor Executor;
  const WeightsSettings Settings;
  std::map<std::string, Model> Models;
  std::vector<Publication> Publications;
  std::deque<std::shared_ptr<Fetch>> Fetches;
  std::set<std::shared_ptr<Fetch>> Running;
  bool Serving = false;
  Signal Changed;
  /// Notified after each tick of the running fetches.
  Signal Progress;
};

boost::json::value WeightsRole::truth() const {
  boost::json::array published;
  for (const Publication &it : Publications) {
    published.push_back({{"model", it.Model},
                         {"version", it.Version},
                         {"published_us", it.AtUs}});
  }
  boost::json::array fetches;
  for (const std::shared_ptr<Fetch> &it : Fetches) {
    fetches.push_back({{"model", it->Model},
                       {"version", it->Version},
                       {"started_us", it->StartedUs},
                       {"ended_us", it->EndedUs},
                       {"whole", it->Whole}});
  }
  return {{"publications", std::move(published)},
          {"fetches", std::move(fetches)},
          {"running", Running.size()}};
}

boost::asio::awaitable<void> WeightsRole::answer(const http::Request &Ask,
                                                 const ResponderPtr &To) {
  VersionPath what = parsePath(Ask.path());
  if (!what.Valid)
    co_await sendError(To, NotFound, "no such path");
  else if (!what.Version.empty())
    co_await fetch(what, To);
  else if (Ask.Method == "POST")
    co_await publish(what.Model, Ask, To);
  else
    co_await list(what.Model, Ask, To);
}

boost::asio::awaitable<void> WeightsRole::publish(const std::string &Name,
                                                  const http::Request &Ask,
                                                  const ResponderPtr &To) {
  std::uint64_t version = readNumber(readObject(Ask.Body), "version");
  Model &model = Models[Name];
  // Publishing again is idempotent.
  if (version > model.Newest) {
    model = Model{version, wallMicros()};
    Publications.push_back(Publication{Name, version, model.PublishedUs});
    Changed.notify();
  }
  boost::json::value body = {{"version", version}};
  co_await sendJson(To, Created, std::move(body));
}

boost::asio::awaitable<void> WeightsRole::list(const std::string &Name,
                                               const http::Request &Ask,
                                               const ResponderPtr &To) {
  std::uint64_t after = readQuery(Ask.query("after"), "after", 0);
  std::uint64_t wait = readQuery(Ask.query("wait_ms"), "wait_ms", 0);
  TimePoint deadline = monotonicNow() + Millis(wait);
  while (Models[Name].Newest <= after && monotonicNow() < deadline &&
         !To->gone())
    co_await Changed.wait(deadline);
  if (InjectedFaults.isOn("outage")) {
    To->abort();
    co_return;
  }
  const Model &model = Models[Name];
  boost::json::value body = {{"newest", model.Newest},
                             {"published_us", model.PublishedUs}};
  co_await sendJson(To, Ok, std::move(body));
}

boost::asio::awaitable<void> WeightsRole::fetch(const VersionPath &Requested,
                                                const ResponderPtr &To) {
  std::uint64_t version = readQuery(Requested.Version, "version", 0);
  if (version > Models[Requested.Model].Newest) {
    co_await sendError(To, NotFound, "no such version");
    co_return;
  }
  if (Running.size() >= Settings.MaxFetches) {
    co_await sendError(To, TooManyRequests, "too many fetches", 1);
    co_return;
  }
  std::shared_ptr<Fetch> fetch = std::make_shared<Fetch>(
      Fetch{Requested.Model, version, wallMicros(), 0, false,
            static_cast<double>(Settings.BlobBytes)});
  Fetches.push_back(fetch);
  if (Fetches.size() > MaxFetchRecords)
    Fetches.pop_front();
  Running.insert(fetch);
  if (!Serving) {
    Serving = true;
    boost::asio::co_spawn(
        Executor, [self = shared_from_this()] { return self->serveFetches(); },
        boost::asio::detached);
  }
  while (fetch->BytesLeft > 0 && !To->gone() && !InjectedFaults.isOn("outage"))
    co_await Progress.wait();
  Running.erase(fetch);
  fetch->EndedUs = wallMicros();
  if (InjectedFaults.isOn("outage")) {
    To->abort();
    co_return;
  }
  fetch->Whole = fetch->BytesLeft <= 0;
  boost::json::value body = {{"model", Requested.Model},
                             {"version", version},
                             {"bytes", Settings.BlobBytes}};
  co_await sendJson(To, Ok, std::move(body));
}

boost::asio::awaitable<void> WeightsRole::serveFetches() {
  constexpr double MicrosPerSecond = 1e6;
  TimePoint last = monotonicNow();
  while (!Running.empty()) {
    co_await sleepFor(Tick);
    TimePoint now = monotonicNow();
    double seconds =
        static_cast<double>((now - last).count()) / MicrosPerSecond;
    last = now;
    double slow = std::max(1.0, InjectedFaults.real("slow_factor"));
    double rate = static_cast<double>(Settings.BytesPerSecond) / slow;
    double share = rate * seconds / static_cast<double>(Running.size());
    for (const std::shared_ptr<Fetch> &it : Running)
      it->BytesLeft -= share;
    Progress.notify();
  }
  Serving = false;
}

} // namespace

std::shared_ptr<Role>
createWeightsRole(const boost::asio::any_io_executor &Executor,
                  const WeightsSettings &Settings) {
  return std::make_shared<WeightsRole>(Executor, Settings);
}

} // namespace wasabi::standins
