#include "Wasabi/Adapters/Proxy/EngineApi.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace wasabi {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

std::uint64_t countOf(const json::object &From, std::string_view Name) {
  const json::value *found = From.if_contains(Name);
  if (!found)
    return 0;
  boost::system::error_code ec;
  std::uint64_t count = found->to_number<std::uint64_t>(ec);
  return ec ? 0 : count;
}

bool flagOf(const json::object &From, std::string_view Name) {
  const json::value *found = From.if_contains(Name);
  return found && found->is_bool() && found->get_bool();
}

http::Request jsonRequest(std::string Method, std::string Target,
                          std::string Body) {
  http::Request ask;
  ask.Method = std::move(Method);
  ask.Target = std::move(Target);
  ask.Headers = {{"Content-Type", "application/json"}};
  ask.Body = std::move(Body);
  return ask;
}

} // namespace

Outcome<EngineStatus> parseEngineState(std::string_view Text) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Text, ec);
  if (ec || !parsed.is_object())
    return Failure{Verdict::NotRun,
                   FailureCode::BadInput,
                   "engine state",
                   "it is not a JSON object",
                   {}};
  const json::object &from = parsed.get_object();
  EngineStatus state;
  const json::value *model = from.if_contains("model");
  if (model && model->is_string())
    state.Model = ModelName(std::string(model->get_string()));
  state.Version = countOf(from, "version");
  state.Running = static_cast<std::uint32_t>(countOf(from, "running"));
  state.Queued = static_cast<std::uint32_t>(countOf(from, "queued"));
  state.Slots = static_cast<std::uint32_t>(countOf(from, "slots"));
  state.Fence = countOf(from, "fence");
  state.ChecksFences = flagOf(from, "checks_fences");
  state.Draining = flagOf(from, "draining");
  return state;
}

asio::awaitable<Outcome<EngineStatus>>
readEngineState(http::Client &Client, Address Where, Millis Timeout) {
  http::Request ask = jsonRequest("GET", "/v1/state", "");
  Outcome<http::Response> answer =
      co_await Client.call(std::move(Where), std::move(ask), Timeout);
  if (!answer)
    co_return answer.failure();
  if (answer->Status != StatusOk)
    co_return Failure{Verdict::NotRun,
                      FailureCode::Unavailable,
                      "engine state",
                      "status " + std::to_string(answer->Status),
                      {}};
  co_return parseEngineState(answer->Body);
}

asio::awaitable<Outcome<Done>>
sendLoadOrder(http::Client &Client, Address Where, Order What, Millis Timeout) {
  json::object body;
  body["fence"] = What.Token;
  body["order"] = "load";
  body["model"] = What.Model.Text;
  body["version"] = What.Version;
  http::Request ask = jsonRequest("POST", "/v1/orders", json::serialize(body));
  Outcome<http::Response> answer =
      co_await Client.call(std::move(Where), std::move(ask), Timeout);
  if (!answer)
    co_return answer.failure();
  if (answer->Status == StatusConflict)
    co_return Failure{Verdict::NotRun,
                      FailureCode::StaleFence,
                      What.Resource,
                      "the engine holds a newer token",
                      {}};
  if (answer->Status != StatusOk)
    co_return Failure{Verdict::MayHaveRun,
                      FailureCode::Unavailable,
                      "order to " + What.Server.Text,
                      "status " + std::to_string(answer->Status),
                      {}};
  co_return Done{};
}

std::string setRequestPriority(const std::string &Body, std::int32_t Priority) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Body, ec);
  if (ec || !parsed.is_object())
    return Body;
  parsed.get_object()["priority"] = Priority;
  return json::serialize(parsed);
}

} // namespace wasabi
