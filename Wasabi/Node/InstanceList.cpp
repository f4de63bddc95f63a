#include "Wasabi/Node/InstanceList.h"

#include "Wasabi/Adapters/Http/HttpClient.h"

#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr char Target[] = "/v1/instances";

std::string text(const json::object &From, std::string_view Key) {
  const json::value *found = From.if_contains(Key);
  if (found == nullptr || !found->is_string())
    return {};
  return std::string(found->as_string());
}

Address address(const json::object &From, std::string_view Key) {
  std::string shown = text(From, Key);
  Outcome<Address> read = toOutcome<Address>(
      [&]() { return parseAddress(shown, "instance list"); });
  return read ? *read : Address();
}

std::optional<ListedInstance> lineFrom(const json::value &Line) {
  const json::object *from = Line.if_object();
  if (from == nullptr)
    return std::nullopt;
  ListedInstance line;
  line.Instance = InstanceName(text(*from, "name"));
  line.Domain = DomainName(text(*from, "failure_domain"));
  line.Kind = text(*from, "role") == "entry" ? Role::Entry : Role::Daemon;
  line.ControlAddress = address(*from, "frames");
  line.AdminAddress = address(*from, "http");
  line.Leaving = text(*from, "state") == "leaving";
  const json::value *life = from->if_contains("incarnation");
  if (life != nullptr && life->is_number()) {
    boost::system::error_code ec;
    std::uint64_t number = life->to_number<std::uint64_t>(ec);
    line.Life = ec ? 0 : number;
  }
  if (line.Instance.empty())
    return std::nullopt;
  return line;
}

std::string bodyFor(const ListedInstance &Self) {
  json::object body;
  body["name"] = Self.Instance.Text;
  body["failure_domain"] = Self.Domain.Text;
  body["role"] = Self.Kind == Role::Entry ? "entry" : "daemon";
  body["frames"] = toText(Self.ControlAddress);
  body["http"] = Self.AdminAddress.empty() ? "" : toText(Self.AdminAddress);
  body["state"] = Self.Leaving ? "leaving" : "live";
  body["incarnation"] = Self.Life;
  return json::serialize(body);
}

Failure unexpected(unsigned Status) {
  return Failure{Verdict::MayHaveRun, FailureCode::Unavailable, "instance list",
                 "status " + std::to_string(Status), Millis(0)};
}

} // namespace

Outcome<std::vector<ListedInstance>>
parseInstanceList(const std::string &Body) {
  boost::system::error_code ec;
  json::value whole = json::parse(Body, ec);
  const json::object *object = ec ? nullptr : whole.if_object();
  const json::value *lines =
      object == nullptr ? nullptr : object->if_contains("instances");
  if (lines == nullptr || !lines->is_array())
    return Failure{Verdict::Ran, FailureCode::BadInput, "instance list",
                   "the body has no array `instances`", Millis(0)};
  std::vector<ListedInstance> found;
  for (const json::value &it : lines->as_array()) {
    std::optional<ListedInstance> line = lineFrom(it);
    if (line)
      found.push_back(std::move(*line));
  }
  return found;
}

asio::awaitable<Outcome<std::string>>
readInstanceListBody(http::Client &Client, Address Service, Millis Timeout) {
  http::Request ask;
  ask.Method = "GET";
  ask.Target = Target;
  Outcome<http::Response> got =
      co_await Client.call(std::move(Service), std::move(ask), Timeout);
  if (!got)
    co_return got.failure();
  if (got->Status != 200)
    co_return unexpected(got->Status);
  co_return std::move(got->Body);
}

asio::awaitable<Outcome<std::vector<ListedInstance>>>
readInstanceList(http::Client &Client, Address Service, Millis Timeout) {
  Outcome<std::string> body =
      co_await readInstanceListBody(Client, std::move(Service), Timeout);
  if (!body)
    co_return body.failure();
  co_return parseInstanceList(*body);
}

asio::awaitable<Outcome<Done>> announceInstance(http::Client &Client,
                                                Address Service,
                                                ListedInstance Self,
                                                Millis Timeout) {
  http::Request ask;
  ask.Method = "POST";
  ask.Target = Target;
  http::Header kind{"Content-Type", "application/json"};
  ask.Headers.push_back(std::move(kind));
  ask.Body = bodyFor(Self);
  Outcome<http::Response> got =
      co_await Client.call(std::move(Service), std::move(ask), Timeout);
  if (!got)
    co_return got.failure();
  if (got->Status < 200 || got->Status > 299)
    co_return unexpected(got->Status);
  co_return Done();
}

} // namespace wasabi
