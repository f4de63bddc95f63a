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

/// How long one process may take to answer.
constexpr Millis AnswerTimeout{2000};
/// Time between two questions to a process that lags.
constexpr Millis PollPeriod{50};

/// Known processes by admin address: one process has one.
using ByAddress = std::map<Address, KnownInstance>;

void addListed(ByAddress &Into, const std::vector<ListedInstance> &From) {
  for (const ListedInstance &it : From)
    if (!it.AdminAddress.empty())
      Into[it.AdminAddress] = {it.Instance.Text, it.AdminAddress, it.Leaving};
}

/// Adds the living members that a process' status shows.
void addMembers(ByAddress &Into, const std::string &StatusText) {
  boost::system::error_code ec;
  boost::json::value whole = boost::json::parse(StatusText, ec);
  if (ec || !whole.is_object())
    return;
  const boost::json::value *members = whole.get_object().if_contains("members");
  if (!members || !members->is_array())
    return;
  for (const boost::json::value &it : members->get_array()) {
    JsonReader reader(it, "members");
    std::string state = reader.text("state", "");
    std::string name = reader.text("instance", "");
    std::string admin = reader.text("admin", "");
    Outcome<Address> where =
        toOutcome<Address>([&] { return parseAddress(admin, "admin"); });
    if (!where || state == "dead")
      continue;
    auto [known, fresh] = Into.try_emplace(*where);
    if (fresh || known->second.Name == toText(*where))
      known->second = {name, *where, state == "leaving"};
  }
}

/// Widens what is known by the view of the first process that answers.
void addView(Session &With, ByAddress &Known) {
  for (const auto &[address, who] : ByAddress(Known)) {
    Outcome<std::string> status =
        With.run(fetchFromAdmin(With, address, "/status"));
    if (!status)
      continue;
    addMembers(Known, *status);
    return;
  }
}

asio::awaitable<void> askOne(Session &With, InstanceStatus &Of) {
  Outcome<std::string> text =
      co_await fetchFromAdmin(With, Of.Who.Admin, "/status?brief=1");
  if (!text) {
    Of.Problem = text.failure();
    co_return;
  }
  const std::string place = Of.Who.Name + " /status";
  Outcome<Done> read = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_AUTO(value, parseJson(*text, place));
    JsonReader reader(value, place);
    reader.allowUnknown();
    Of.Next = reader.number("next");
    Of.ConfigRevision = reader.number("config_revision");
    Of.InFlight = reader.has("in_flight") ? reader.number("in_flight") : 0;
    BOOST_LEAF_CHECK(reader.finish());
    return Done{};
  });
  Of.Problem = read ? std::nullopt : std::optional<Failure>(read.failure());
}

asio::awaitable<void> askUntil(Session &With, InstanceStatus &Of, Offset At,
                               TimePoint Until) {
  while (true) {
    co_await askOne(With, Of);
    if (!Of.Problem && Of.Next > At)
      co_return;
    if (monotonicNow() >= Until)
      co_return;
    BootTimer pause(co_await asio::this_coro::executor);
    pause.expires_after(PollPeriod);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

std::vector<InstanceStatus>
emptyStatuses(const std::vector<KnownInstance> &Of) {
  std::vector<InstanceStatus> out;
  for (const KnownInstance &who : Of) {
    InstanceStatus one;
    one.Who = who;
    out.push_back(std::move(one));
  }
  return out;
}

} // namespace

asio::awaitable<Outcome<std::string>>
fetchFromAdmin(Session &With, Address Where, std::string Target) {
  http::Request ask;
  ask.Method = "GET";
  ask.Target = std::move(Target);
  Outcome<http::Response> answer =
      co_await With.client().call(Where, std::move(ask), AnswerTimeout);
  if (!answer)
    co_return answer.failure();
  if (answer->Status != 200) {
    Failure why{Verdict::NotRun,
                FailureCode::Unavailable,
                toText(Where),
                "status " + std::to_string(answer->Status),
                {}};
    co_return why;
  }
  co_return std::move(answer->Body);
}

Result<std::vector<KnownInstance>> listInstances(Session &With) {
  const Settings &given = With.Given;
  if (given.Instances.empty() && given.Peers.empty())
    return badInput("--instances or --peers", "is needed");
  ByAddress known;
  for (const Address &peer : given.Peers)
    known[peer] = {toText(peer), peer, false};
  if (!given.Instances.empty()) {
    Outcome<std::vector<ListedInstance>> listed = With.run(
        readInstanceList(With.client(), given.Instances, AnswerTimeout));
    if (listed)
      addListed(known, *listed);
    else if (known.empty())
      return boost::leaf::new_error(listed.failure());
    else
      std::cerr << "wasabictl: the platform's list cannot be read ("
                << describe(listed.failure()) << "); going by --peers\n";
  }
  addView(With, known);
  std::vector<KnownInstance> out;
  for (auto &[address, who] : known)
    out.push_back(std::move(who));
  std::sort(out.begin(), out.end(),
            [](const KnownInstance &Left, const KnownInstance &Right) {
              return Left.Name < Right.Name;
            });
  return out;
}

std::vector<InstanceStatus>
fetchStatuses(Session &With, const std::vector<KnownInstance> &Of) {
  std::vector<InstanceStatus> out = emptyStatuses(Of);
  With.runConcurrently(
      out.size(), [&](std::size_t Index) { return askOne(With, out[Index]); });
  return out;
}

std::vector<InstanceStatus>
awaitApplied(Session &With, const std::vector<KnownInstance> &Of, Offset At) {
  std::vector<InstanceStatus> out = emptyStatuses(Of);
  const TimePoint until = monotonicNow() + With.Given.Wait;
  With.runConcurrently(out.size(), [&](std::size_t Index) {
    return askUntil(With, out[Index], At, until);
  });
  return out;
}

} // namespace wasabi::ctl
