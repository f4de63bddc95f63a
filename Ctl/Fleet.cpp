#include "Ctl/Fleet.h"

#include "Wasabi/Config/JsonReader.h"
#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Node/InstanceList.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>

namespace wasabi::ctl {

namespace {

namespace asio = boost::asio;

/// Time limit of one call to a process.
constexpr Millis CallTimeout{2000};
/// Pause between two calls to a process that is behind.
constexpr Millis PollInterval{50};

/// Known processes by admin address, which is unique per process.
using InstancesByAddress = std::map<Address, KnownInstance>;

void addListed(InstancesByAddress &Known,
               const std::vector<ListedInstance> &Listed) {
  for (const ListedInstance &it : Listed)
    if (!it.AdminAddress.empty())
      Known[it.AdminAddress] = {it.Instance.Text, it.AdminAddress, it.Leaving};
}

/// Adds the members in a status that are not dead.
void addMembers(InstancesByAddress &Known, const std::string &StatusText) {
  boost::system::error_code ec;
  boost::json::value root = boost::json::parse(StatusText, ec);
  if (ec || !root.is_object())
    return;
  const boost::json::value *members = root.get_object().if_contains("members");
  if (!members || !members->is_array())
    return;
  for (const boost::json::value &it : members->get_array()) {
    JsonReader reader(it, "members");
    std::string state = reader.text("state", "");
    std::string name = reader.text("instance", "");
    std::string admin = reader.text("admin", "");
    Outcome<Address> endpoint =
        toOutcome<Address>([&] { return parseAddress(admin, "admin"); });
    if (!endpoint || state == "dead")
      continue;
    auto [known, isNew] = Known.try_emplace(*endpoint);
    if (isNew || known->second.Name == toText(*endpoint))
      known->second = {name, *endpoint, state == "leaving"};
  }
}

/// Adds the members known to the first process that answers.
void addMembersOfFirst(Session &CtlSession, InstancesByAddress &Known) {
  for (const auto &[address, instance] : InstancesByAddress(Known)) {
    Outcome<std::string> status =
        CtlSession.run(fetchFromAdmin(CtlSession, address, "/status"));
    if (!status)
      continue;
    addMembers(Known, *status);
    return;
  }
}

asio::awaitable<void> fetchStatus(Session &CtlSession, InstanceStatus &Status) {
  Outcome<std::string> text = co_await fetchFromAdmin(
      CtlSession, Status.Instance.Admin, "/status?brief=1");
  if (!text) {
    Status.Problem = text.failure();
    co_return;
  }
  const std::string place = Status.Instance.Name + " /status";
  Outcome<Done> read = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_AUTO(value, parseJson(*text, place));
    JsonReader reader(value, place);
    reader.allowUnknown();
    Status.NextOffset = reader.number("next");
    Status.ConfigRevision = reader.number("config_revision");
    Status.InFlight = reader.has("in_flight") ? reader.number("in_flight") : 0;
    BOOST_LEAF_CHECK(reader.finish());
    return Done{};
  });
  Status.Problem = read ? std::nullopt : std::optional<Failure>(read.failure());
}

asio::awaitable<void> pollUntilApplied(Session &CtlSession,
                                       InstanceStatus &Status, Offset At,
                                       TimePoint Deadline) {
  while (true) {
    co_await fetchStatus(CtlSession, Status);
    if (!Status.Problem && Status.NextOffset > At)
      co_return;
    if (monotonicNow() >= Deadline)
      co_return;
    BootTimer pause(co_await asio::this_coro::executor);
    pause.expires_after(PollInterval);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

std::vector<InstanceStatus>
makeStatuses(const std::vector<KnownInstance> &Instances) {
  std::vector<InstanceStatus> out;
  for (const KnownInstance &instance : Instances) {
    InstanceStatus status;
    status.Instance = instance;
    out.push_back(std::move(status));
  }
  return out;
}

} // namespace

asio::awaitable<Outcome<std::string>>
fetchFromAdmin(Session &CtlSession, Address Endpoint, std::string Target) {
  http::Request request;
  request.Method = "GET";
  request.Target = std::move(Target);
  Outcome<http::Response> answer = co_await CtlSession.client().call(
      Endpoint, std::move(request), CallTimeout);
  if (!answer)
    co_return answer.failure();
  if (answer->Status != 200) {
    Failure problem{Verdict::NotRun,
                    FailureCode::Unavailable,
                    toText(Endpoint),
                    "status " + std::to_string(answer->Status),
                    {}};
    co_return problem;
  }
  co_return std::move(answer->Body);
}

Result<std::vector<KnownInstance>> listInstances(Session &CtlSession) {
  const Settings &flags = CtlSession.Flags;
  if (flags.Instances.empty() && flags.Peers.empty())
    return badInput("--instances or --peers", "is required");
  InstancesByAddress known;
  for (const Address &peer : flags.Peers)
    known[peer] = {toText(peer), peer, false};
  if (!flags.Instances.empty()) {
    Outcome<std::vector<ListedInstance>> listed = CtlSession.run(
        readInstanceList(CtlSession.client(), flags.Instances, CallTimeout));
    if (listed)
      addListed(known, *listed);
    else if (known.empty())
      return boost::leaf::new_error(listed.failure());
    else
      std::cerr << "wasabictl: the platform's list cannot be read ("
                << describe(listed.failure()) << "); going by --peers\n";
  }
  addMembersOfFirst(CtlSession, known);
  std::vector<KnownInstance> out;
  for (auto &[address, instance] : known)
    out.push_back(std::move(instance));
  std::sort(out.begin(), out.end(),
            [](const KnownInstance &Left, const KnownInstance &Right) {
              return Left.Name < Right.Name;
            });
  return out;
}

std::vector<InstanceStatus>
fetchStatuses(Session &CtlSession,
              const std::vector<KnownInstance> &Instances) {
  std::vector<InstanceStatus> out = makeStatuses(Instances);
  CtlSession.runConcurrently(out.size(), [&](std::size_t Index) {
    return fetchStatus(CtlSession, out[Index]);
  });
  return out;
}

std::vector<InstanceStatus>
awaitApplied(Session &CtlSession, const std::vector<KnownInstance> &Instances,
             Offset At) {
  std::vector<InstanceStatus> out = makeStatuses(Instances);
  const TimePoint deadline = monotonicNow() + CtlSession.Flags.Timeout;
  CtlSession.runConcurrently(out.size(), [&](std::size_t Index) {
    return pollUntilApplied(CtlSession, out[Index], At, deadline);
  });
  return out;
}

} // namespace wasabi::ctl
