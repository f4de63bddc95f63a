#include "StandIns/InstancesRole.h"

#include <deque>
#include <map>
#include <optional>

namespace wasabi::standins {

namespace {

constexpr std::string_view ListPath = "/v1/instances";

/// An instance that is announced, or removed if there is no entry.
struct Change {
  TimePoint At;
  std::uint64_t WallUs = 0;
  std::string Name;
  std::optional<boost::json::object> Entry;
};

using Entries = std::map<std::string, boost::json::object>;

void applyTo(Entries &List, const Change &Delta) {
  if (Delta.Entry)
    List[Delta.Name] = *Delta.Entry;
  else
    List.erase(Delta.Name);
}

boost::json::array toArray(const Entries &List) {
  boost::json::array all;
  for (const std::pair<const std::string, boost::json::object> &it : List)
    all.push_back(it.second);
  return all;
}

class InstancesRole final : public Role {
public:
  explicit InstancesRole(Millis Lag)
      : Role({{"outage", false},
              {"slow_ms", 0},
              {"lag_ms", static_cast<std::uint64_t>(Lag.count())}}) {}

  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;

private:
  void announce(const boost::json::object &Entry);
  void change(std::string Name, std::optional<boost::json::object> Entry);
  boost::json::object listNow();

  /// The current list.
  Entries Now;
  /// The list as of `lag_ms` ago, and the changes since.
  Entries Lagging;
  std::deque<Change> Changes;
};

boost::json::value InstancesRole::truth() const {
  return {{"instances", toArray(Now)}};
}

boost::asio::awaitable<void> InstancesRole::answer(const http::Request &Ask,
                                                   const ResponderPtr &To) {
  std::string_view path = Ask.path();
  if (Ask.Method == "GET" && path == ListPath) {
    co_await sendJson(To, Ok, listNow());
  } else if (Ask.Method == "POST" && path == ListPath) {
    announce(readObject(Ask.Body));
    co_await sendJson(To, Ok, boost::json::object());
  } else if (Ask.Method == "DELETE" && path.starts_with(ListPath) &&
             path.size() > ListPath.size() + 1) {
    change(std::string(path.substr(ListPath.size() + 1)), std::nullopt);
    co_await sendJson(To, Ok, boost::json::object());
  } else {
    co_await sendError(To, NotFound, "no such path");
  }
}

void InstancesRole::announce(const boost::json::object &Entry) {
  std::string name = readText(Entry, "name");
  readText(Entry, "failure_domain");
  readText(Entry, "frames", "");
  readText(Entry, "http", "");
  std::string role = readText(Entry, "role");
  std::string state = readText(Entry, "state");
  std::uint64_t incarnation = readNumber(Entry, "incarnation");
  if (role != "daemon" && role != "entry")
    throw InvalidBody("'role' is neither daemon nor entry");
  if (state != "live" && state != "leaving")
    throw InvalidBody("'state' is neither live nor leaving");
  // Ignores a late announcement of an earlier process.
  const Entries::iterator known = Now.find(name);
  if (known != Now.end() &&
      readNumber(known->second, "incarnation") > incarnation)
    return;
  change(std::move(name), Entry);
}

void InstancesRole::change(std::string Name,
                           std::optional<boost::json::object> Entry) {
  Change what{monotonicNow(), wallMicros(), std::move(Name), std::move(Entry)};
  applyTo(Now, what);
  Changes.push_back(std::move(what));
}

boost::json::object InstancesRole::listNow() {
  Millis lag = InjectedFaults.millis("lag_ms");
  TimePoint seen = monotonicNow() - lag;
  while (!Changes.empty() && Changes.front().At <= seen) {
    applyTo(Lagging, Changes.front());
    Changes.pop_front();
  }
  boost::json::object list;
  list["as_of_us"] =
      wallMicros() - static_cast<std::uint64_t>(Micros(lag).count());
  list["instances"] = toArray(Lagging);
  return list;
}

} // namespace

std::shared_ptr<Role> createInstancesRole(Millis Lag) {
  return std::make_shared<InstancesRole>(Lag);
}

} // namespace wasabi::standins
